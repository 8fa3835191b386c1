package scheduler

import (
	"strings"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestGangReservations: where gangs should start sooner than a machine boots, independent tasks leave
// as much free as gangs lately used, until they have waited for long.
func TestGangReservations(t *testing.T) {
	f := newGangFixture(t, 2)
	f.scheduler.cfg.Objectives = []config.Objective{{Kind: "wait", Class: "g", WithinS: 2, Share: 0.9}}
	f.gang("job-1", 2, 2)
	f.deliver(f.effects)
	f.setState("job-1", protocol.TaskRunning)
	f.reportAll()
	f.step(Tick{Entitled: true})
	f.now += limits.PlanInterval
	f.reportAll()
	f.step(Tick{Entitled: true})
	reserved := 0
	for _, m := range f.scheduler.inventory.all() {
		if m.reservedForGangs {
			reserved++
		}
	}
	if reserved == 0 {
		t.Fatal("no machine is reserved")
	}
	f.job("job-2", "red", "standard", 16, 1, 0)
	f.deliver(f.effects)
	free := 0.0
	for _, m := range f.scheduler.inventory.all() {
		if m.reservedForGangs {
			free += m.freeResources().CPUs
		}
	}
	if free < 4 {
		t.Fatalf("independent tasks use what is reserved: %v CPUs left", free)
	}
	for end := f.now + limits.GangReservationYieldAge + 2*time.Second; f.now < end; f.now += time.Second {
		f.reportAll()
		f.step(Tick{Entitled: true})
		f.deliver(f.effects)
	}
	if assigned := len(f.scheduler.jobs.find("job-2").assignments); assigned < 12 {
		t.Errorf("still reserved for gangs although the job has waited for long: %d tasks assigned", assigned)
	}
}

// TestGangThatCannotBeComplete: no machine is rented or reserved for a gang that is spread over more
// zones than there are, nor for long for one that the cloud has not enough machines for.
func TestGangThatCannotBeComplete(t *testing.T) {
	f := newGangFixture(t, 1)
	f.gang("job-1", 4, 8, func(s *protocol.Spec) { s.SpreadZones = true })
	for range 3 {
		f.now += limits.PlanInterval
		f.step(Tick{Entitled: true})
		for _, effect := range f.effects {
			write, ok := effect.(WriteRecords)
			if ok && strings.HasPrefix(write.Operations[0].Put, storage.PrefixRental) {
				t.Fatalf("rented for a gang that no zones can hold: %+v", write)
			}
		}
	}
	for _, c := range []struct {
		age    time.Duration
		needed bool
	}{{0, true}, {limits.GangCapacityTimeout + time.Second, false}} {
		f = newGangFixture(t, 1)
		for _, spot := range []bool{true, false} {
			f.scheduler.rentals.pool(machinePool{"s8", "a", spot}).notBefore = never
		}
		f.version++
		f.step(JobChanged{
			JobID: "job-1", Version: 100 + f.version, SinceSubmission: c.age,
			Record: storage.OpenJob{Spec: protocol.Spec{
				ID: "job-1", Class: "g", Team: "red", Shape: protocol.ShapeGang, Priority: "standard", Tasks: 2,
				CPUs: 8, MemoryGB: 1, Spot: true, Image: "i", EstimateS: 10,
			}},
		})
		f.now += limits.PlanInterval
		f.reportAll()
		f.step(Tick{Entitled: true})
		if m := f.scheduler.inventory.find(f.machine(0)); m.neededByPlan != c.needed {
			t.Errorf("after %v: its machine is needed: %v", c.age, m.neededByPlan)
		}
	}
}
