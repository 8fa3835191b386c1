package scheduler

import (
	"slices"
	"testing"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/protocol"
)

// TestReserveForGang checks that enough machines for all tasks of a gang are reserved, in one zone if the
// gang requires it, and no more than may be reserved in the pass. Machines that were reserved in the
// previous pass come first. Nothing is reserved if all machines together are too small.
func TestReserveForGang(t *testing.T) {
	for _, c := range []struct {
		name            string
		sameZone        bool
		reservedBefore  string
		tasks           int
		maxReservations int
		want            []string
	}{
		{name: "most free resources first", tasks: 2, maxReservations: 9, want: []string{"m-1", "m-3"}},
		{
			name: "reserved in the previous pass first", reservedBefore: "m-0",
			tasks: 2, maxReservations: 9, want: []string{"m-0", "m-1"},
		},
		{name: "zone with most free CPUs", sameZone: true, tasks: 2, maxReservations: 9, want: []string{"m-2", "m-3"}},
		{name: "up to the limit", tasks: 2, maxReservations: 1, want: []string{"m-1"}},
		{name: "too few machines", tasks: 5, maxReservations: 9},
		{name: "too few machines in each zone", sameZone: true, tasks: 3, maxReservations: 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			machines := []*machine{
				newTestMachine("m-0", "a", 8), newTestMachine("m-1", "a", 8),
				newTestMachine("m-2", "b", 8), newTestMachine("m-3", "b", 8),
			}
			for i, usedCPUs := range []float64{7, 0, 3, 2} {
				machines[i].allocated.CPUs = usedCPUs
				machines[i].wasReserved = machines[i].name == c.reservedBefore
			}
			j := &job{
				spec:   protocol.Spec{Shape: protocol.ShapeGang, SameZone: c.sameZone, Tasks: c.tasks},
				demand: resource.Vector{CPUs: 5}, team: &team{cfg: config.Team{CPUsMax: 100}},
			}
			j.gang = newGang(j)
			p := newPlacer(&environment{}, nil, nil)
			p.pass.machines, p.pass.reservationsLeft = machines, c.maxReservations
			p.reserveForGang(j)
			var reserved []string
			for _, m := range machines {
				if m.reservedFor == j {
					reserved = append(reserved, m.name)
				}
			}
			if !slices.Equal(reserved, c.want) {
				t.Errorf("reserved machines %v, want %v", reserved, c.want)
			}
			if left := c.maxReservations - len(c.want); p.pass.reservationsLeft != left {
				t.Errorf("%d reservations left, want %d", p.pass.reservationsLeft, left)
			}
		})
	}
}
