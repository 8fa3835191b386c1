package scheduler

import (
	"strings"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestGangReservations checks that independent tasks leave as many CPUs free as gangs recently used, if
// these gangs should start in less time than a rented machine takes to boot. A job that has waited for
// GangReservationYieldAge may use the reserved machines.
func TestGangReservations(t *testing.T) {
	f := newGangFixture(t, 2)
	f.scheduler.cfg.Objectives = []config.Objective{{Kind: "wait", Class: "g", WithinS: 2, Share: 0.9}}
	f.submitGang("job-1", 2, 2)
	f.deliverDirectCommands(f.effects)
	f.setTaskStates("job-1", protocol.TaskRunning)
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
	f.submitJob("job-2", "red", "standard", 16, 1, 0)
	f.deliverDirectCommands(f.effects)
	free := 0.0
	for _, m := range f.scheduler.inventory.all() {
		if m.reservedForGangs {
			free += m.freeResources().CPUs
		}
	}
	if free < 4 {
		t.Fatalf("independent tasks use reserved machines: %v CPUs are free there, want at least 4", free)
	}
	for end := f.now + limits.GangReservationYieldAge + 2*time.Second; f.now < end; f.now += time.Second {
		f.reportAll()
		f.step(Tick{Entitled: true})
		f.deliverDirectCommands(f.effects)
	}
	if assigned := len(f.scheduler.jobs.find("job-2").assignments); assigned < 12 {
		t.Errorf("%d tasks of the waiting job are assigned, want at least 12: it may use reserved machines now",
			assigned)
	}
}

// TestNoMachinesForUnplaceableGang checks that no machine is rented for a gang that must be spread over
// more zones than there are. It also checks that machines are kept for a gang for which the cloud has
// too few, but only until GangCapacityTimeout after the submission.
func TestNoMachinesForUnplaceableGang(t *testing.T) {
	f := newGangFixture(t, 1)
	f.submitGang("job-1", 4, 8, func(s *protocol.Spec) { s.SpreadZones = true })
	for range 3 {
		f.now += limits.PlanInterval
		f.step(Tick{Entitled: true})
		for _, effect := range f.effects {
			write, ok := effect.(WriteRecords)
			if ok && strings.HasPrefix(write.Operations[0].Put, storage.PrefixRental) {
				t.Fatalf("machines rented for a gang that cannot be spread over the zones: %+v", write)
			}
		}
	}
	for _, c := range []struct {
		age    time.Duration
		needed bool
	}{{0, true}, {limits.GangCapacityTimeout + time.Second, false}} {
		f = newGangFixture(t, 1)
		for _, spot := range []bool{true, false} {
			f.scheduler.rentals.poolState(machinePool{"s8", "a", spot}).backoffUntil = never
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
			t.Errorf("%v after the submission: machine needed by the plan: %v, want %v",
				c.age, m.neededByPlan, c.needed)
		}
	}
}

// TestGangReservationZone checks the zone in which machines are reserved for gangs that must be in one
// zone: the previous zone if machines are still reserved there, or else the zone with most machines
// that may be reserved.
func TestGangReservationZone(t *testing.T) {
	machines := []*machine{
		newTestMachine("m-0", "a", 8),
		newTestMachine("m-1", "b", 8), newTestMachine("m-2", "b", 8),
		newTestMachine("m-3", "c", 8), newTestMachine("m-4", "c", 8), newTestMachine("m-5", "c", 8),
	}
	machines[3].deleting, machines[4].spot = true, true
	j := &job{spec: protocol.Spec{SameZone: true}, demand: resource.Vector{CPUs: 8}}
	env := &environment{}
	r := newGangReservations(env, nil, &machineInventory{environment: env, sorted: machines}, nil)
	for _, c := range []struct {
		name, previous, reservedMachine string
		want                            string
	}{
		{name: "no previous zone", want: "b"},
		{name: "machine reserved in the previous zone", previous: "a", reservedMachine: "m-0", want: "a"},
		{name: "no reserved machine left in the previous zone", previous: "c", want: "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, m := range machines {
				m.wasReservedForGangs = m.name == c.reservedMachine
			}
			if got := r.chooseZone(&gangDemand{newestJob: j, reservedZone: c.previous}); got != c.want {
				t.Errorf("zone %q, want %q", got, c.want)
			}
		})
	}
}

// TestGangReservationShare checks that at most GangReservationShare of the CPUs of all machines are reserved,
// that further machines are only marked as needed by the plan, and that the CPUs still missing are returned.
func TestGangReservationShare(t *testing.T) {
	var machines []*machine
	for _, name := range []string{"m-0", "m-1", "m-2", "m-3"} {
		machines = append(machines, newTestMachine(name, "a", 8))
	}
	j := &job{demand: resource.Vector{CPUs: 8}}
	env := &environment{}
	r := newGangReservations(env, nil, &machineInventory{environment: env, sorted: machines}, nil)
	missing := r.reserve(&gangDemand{newestJob: j, largestCPUs: 24, peaks: []demandPeak{{cpus: 16}}})
	reserved, needed := 0, 0
	for _, m := range machines {
		if m.reservedForGangs {
			reserved++
		}
		if m.neededByPlan {
			needed++
		}
	}
	if want := int(limits.GangReservationShare * 4); reserved != want || needed != 4 || missing != 8 {
		t.Errorf("%d machines reserved, %d needed, %v CPUs missing; want %d, 4 and 8",
			reserved, needed, missing, want)
	}
}
