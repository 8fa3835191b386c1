package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestReconcileMachineList checks that an unknown machine in the cloud's list is adopted only if it is too
// old to belong to a rental whose reply is still in flight, and that a machine is returned once it has
// failed or is missing from several lists in a row.
func TestReconcileMachineList(t *testing.T) {
	const lag = 2 * time.Second
	old := (3 * lag).Seconds()
	for _, c := range []struct {
		name     string
		entry    protocol.Machine
		at       time.Duration
		adopted  bool
		returned bool
	}{
		{"young", protocol.Machine{State: protocol.MachineRunning, AgeS: old - 1}, time.Second, false, false},
		{"running", protocol.Machine{State: protocol.MachineRunning, AgeS: old}, time.Minute, true, false},
		{"booting, earlier leases valid", protocol.Machine{State: "booting", AgeS: old}, time.Second, true, false},
		{"booting, earlier leases expired", protocol.Machine{State: "booting", AgeS: old}, time.Minute, false, false},
		{"failed", protocol.Machine{State: protocol.MachineFailed, AgeS: old}, time.Second, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newSchedulerFixture(t, 0)
			f.scheduler.cfg.ListLag = lag
			f.now = c.at
			c.entry.Name, c.entry.MachineType, c.entry.Zone = "m-0", "s8", "a"
			f.step(MachinesListed{OK: true, Machines: []protocol.Machine{c.entry}})
			m := f.scheduler.inventory.find("m-0")
			if adopted := m != nil && m.rental != ""; adopted != c.adopted {
				t.Fatalf("adopted = %v, want %v", adopted, c.adopted)
			}
			if m == nil {
				return
			}
			if m.deleting != c.returned {
				t.Errorf("returned = %v, want %v", m.deleting, c.returned)
			}
			f.now += time.Minute
			for n := 1; n <= limits.MissingListsBeforeDelete; n++ {
				if m.deleting != c.returned {
					t.Errorf("returned = %v after %d lists without the machine", m.deleting, n-1)
				}
				f.step(MachinesListed{OK: true})
			}
			if !m.deleting {
				t.Error("machine is not returned although it is no longer listed")
			}
		})
	}
}
