package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// newOrderMachines returns machines of 16 CPUs of which a random number is used, sorted by name.
func newOrderMachines(random *rand.Rand, count int) []*machine {
	machines := make([]*machine, count)
	for i := range machines {
		machines[i] = newTestMachine(fmt.Sprintf("m-%04d", i), "a", 16)
		machines[i].allocated.CPUs = float64(random.IntN(17))
		machines[i].wasReserved = random.IntN(5) == 0
	}
	return machines
}

// TestReservationOrderMatchesSort guards against reservations of other machines than those a sort of all machines
// finds, while tasks are placed and machines are reserved between them.
func TestReservationOrderMatchesSort(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		machines := newOrderMachines(random, 1+random.IntN(30))
		outside := newTestMachine("m-outside", "a", 16) // may not get tasks in this pass
		j := &job{}
		var order reservationOrder
		order.reset()
		for range 20 {
			for range random.IntN(4) {
				m := machines[random.IntN(len(machines))]
				m.allocated.CPUs, m.reservedFor = float64(random.IntN(17)), nil
				order.markChanged(m)
				order.markChanged(outside)
			}
			least, count := float64(random.IntN(17)), 1+random.IntN(3)
			isCandidate := func(m *machine) bool { return m.allocated.CPUs >= least }
			var want []*machine
			for _, m := range machines {
				if m.reservedFor == nil && isCandidate(m) {
					want = append(want, m)
				}
			}
			slices.SortStableFunc(want, compareReservations)
			want = want[:min(count, len(want))]
			got := order.take(machines, count, isCandidate)
			if !slices.Equal(got, want) {
				t.Fatalf("seed %d: took %d machines, want %d: %v, want %v", seed, len(got), len(want), got, want)
			}
			for _, m := range got {
				m.reservedFor = j
			}
		}
	}
}

// TestReservationsExamineFewMachines guards against a leader that is behind its heartbeats because each of many
// starved jobs examines the whole fleet on every heartbeat.
func TestReservationsExamineFewMachines(t *testing.T) {
	const machines, starvedJobs = 4000, 400
	all := newOrderMachines(rand.New(rand.NewPCG(1, 3)), machines)
	var order reservationOrder
	order.reset()
	examined := 0
	for range starvedJobs {
		for _, m := range order.take(all, 1, func(*machine) bool { examined++; return true }) {
			m.reservedFor = &job{}
		}
	}
	if examined > 2*starvedJobs {
		t.Errorf("%d starved jobs have examined %d machines, want at most %d", starvedJobs, examined, 2*starvedJobs)
	}
}

// TestReservationOrderEndsWithItsPass guards against a leader that keeps every later change of a machine, because no
// job waits any more and no other pass begins.
func TestReservationOrderEndsWithItsPass(t *testing.T) {
	const machines = 20
	s := newSchedulerOnFullFleet(machines)
	s.Step(JobChanged{
		JobID: "starved", Version: 1000, SinceSubmission: 5 * time.Minute,
		Record: storage.OpenJob{Spec: protocol.Spec{
			ID: "starved", Class: "large", Team: "red", Shape: "sweep", Priority: "standard",
			Tasks: 4, CPUs: 8, MemoryGB: 1, Image: "i", EstimateS: 10,
		}},
	}, 2*time.Second)
	if !slices.ContainsFunc(s.inventory.all(), func(m *machine) bool { return m.reservedFor != nil }) {
		t.Fatal("no machine is reserved: nothing is tested")
	}
	for _, m := range s.inventory.all() {
		s.placement.handleResourcesChanged(m)
	}
	if kept := len(s.placement.pass.unreserved.changed); kept != 0 {
		t.Errorf("%d changes are kept after the pass, want none", kept)
	}
}
