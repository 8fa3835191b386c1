package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// largeFleet is a fleet of thousands of machines, with the records in the state service. Successive leaders use
// the same machines and records.
type largeFleet struct {
	t        *testing.T
	settings Config
	machines int
	store    *memoryStore
	now      time.Duration
}

func newLargeFleet(t *testing.T, machines int) *largeFleet {
	return &largeFleet{
		t: t,
		settings: Config{
			Teams:    []config.Team{{Name: "red", GuaranteedCPUs: 100, MaxCPUs: 1e6}},
			CloudRPS: 5,
			Workers: config.WorkerTimes{
				HeartbeatIntervalS: 2, LeaseS: 14, CancelWithinS: 34,
				GangWaitTimeoutS: seconds(20), GangPeerDetectionS: seconds(4),
			},
			State:   config.StateLimits{WriteRPS: 15, ValueKB: 2, TxnOps: 4},
			Options: config.DefaultOptions(),
		},
		machines: machines,
		store:    &memoryStore{records: map[string]storedRecord{}, version: 100},
		now:      10 * time.Millisecond,
	}
}

// startTerm returns the scheduler of a new term, which has fetched the machine types but loaded no records.
func (f *largeFleet) startTerm(term uint64, startedAt time.Duration) *Scheduler {
	settings := f.settings
	settings.Term = term
	s := New(settings, startedAt)
	f.step(s, MachineTypesFetched{OK: true, Types: []protocol.MachineType{{
		Name: "s", CPUs: 8, MemoryGB: 64, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"},
	}}})
	return s
}

// step processes an event and executes the writes among its effects.
func (f *largeFleet) step(s *Scheduler, event Event) {
	f.store.execute(s, s.Step(event, f.now), f.now)
}

// tick processes one Tick per second for the given number of seconds.
func (f *largeFleet) tick(s *Scheduler, seconds int) {
	for range seconds {
		f.now += time.Second
		f.step(s, Tick{Entitled: true})
	}
}

// storeRentals writes the rentals of all machines to the state service, as an earlier leader would.
func (f *largeFleet) storeRentals() {
	const perRental = 50
	for first := 0; first < f.machines; first += perRental {
		rental := storage.Rental{MachineType: "s", Zone: "a", Count: perRental, Answered: true}
		for i := first; i < first+perRental; i++ {
			rental.Machines = append(rental.Machines, paddedMachineName(i))
		}
		f.store.put(storage.RentalKey(fmt.Sprintf("h-2-%03d", first/perRental)), rental)
	}
}

// loadState loads the stored rentals and registry pages into the scheduler of a new term.
func (f *largeFleet) loadState(s *Scheduler) {
	f.t.Helper()
	keys := slices.Sorted(maps.Keys(f.store.records))
	for _, key := range keys {
		if name, ok := strings.CutPrefix(key, storage.PrefixRental); ok {
			event := RentalLoaded{Name: name, Version: f.store.records[key].version}
			f.decode(key, &event.Record)
			f.step(s, event)
		}
	}
	for _, key := range keys {
		if name, ok := strings.CutPrefix(key, storage.PrefixRegistryPage); ok {
			event := RegistryPageLoaded{Name: name, Version: f.store.records[key].version}
			f.decode(key, &event.Record)
			f.step(s, event)
		}
	}
	f.step(s, StateLoaded{})
}

// decode decodes the stored record of a key.
func (f *largeFleet) decode(key string, record any) {
	f.t.Helper()
	if err := protocol.Decode(f.store.records[key].value, record); err != nil {
		f.t.Fatalf("decoding the record of key %s: %v", key, err)
	}
}

// reportAll sends a heartbeat of every machine, one per millisecond.
func (f *largeFleet) reportAll(s *Scheduler) {
	for i := range f.machines {
		f.now += time.Millisecond
		heartbeat := benchmarkHeartbeat(i, uint64(f.now), nil)
		heartbeat.FencingToken = s.cfg.Term
		f.step(s, HeartbeatReceived{
			Heartbeat: heartbeat, ReplyTo: machineResponder(i), Entitled: true, SameConnection: true,
		})
		if i%500 == 0 {
			f.step(s, Tick{Entitled: true})
		}
	}
}

// countRegistered returns the number of machines on the stored registry pages, and checks that each page fits
// the value limit.
func (f *largeFleet) countRegistered() int {
	f.t.Helper()
	registered := 0
	for key := range f.store.records {
		if !strings.HasPrefix(key, storage.PrefixRegistryPage) {
			continue
		}
		var page storage.RegistryPage
		f.decode(key, &page)
		if !storage.FitsValueLimit(page, f.settings.State.ValueKB) {
			f.t.Fatalf("registry page %s of %d bytes exceeds the value limit", key, storage.EncodedSize(page))
		}
		registered += len(page.Machines)
	}
	return registered
}

// submit submits a job. Team, priority, memory, image and estimate are the same for all jobs.
func (f *largeFleet) submit(s *Scheduler, version uint64, spec protocol.Spec) {
	spec.Team, spec.Priority, spec.MemoryGB, spec.Image, spec.EstimateS = "red", "standard", 1, "i", 100
	f.step(s, JobChanged{JobID: spec.ID, Version: version, Record: storage.OpenJob{Spec: spec}})
}

// TestFailoverWithFourThousandMachines checks that thousands of machines that report within seconds are registered
// on pages that fit the value limit, with far fewer write operations than machines. The next leader loads the pages,
// receives a heartbeat of every machine, and must fill the fleet with gangs and the tasks of an array.
func TestFailoverWithFourThousandMachines(t *testing.T) {
	const machines, gangs, tasksPerGang = 4200, 200, 8
	f := newLargeFleet(t, machines)
	f.storeRentals()
	first := f.startTerm(3, 0)
	f.loadState(first)
	f.reportAll(first)
	f.tick(first, 3) // the remaining registry pages are written
	if limit := machines / 10; f.store.operations > limit {
		t.Errorf("%d write operations to register %d machines, want at most %d", f.store.operations, machines, limit)
	}
	if registered := f.countRegistered(); registered != machines {
		t.Fatalf("%d machines registered, want %d", registered, machines)
	}

	second := f.startTerm(4, f.now)
	for i := range gangs {
		f.submit(second, uint64(i+1), protocol.Spec{
			ID: fmt.Sprintf("job-%d", i), Class: "g", Shape: protocol.ShapeGang,
			Tasks: tasksPerGang, CPUs: 6, SameZone: true,
		})
	}
	f.submit(second, 9999, protocol.Spec{
		ID: "job-9999", Class: "c", Shape: protocol.ShapeArray, Tasks: 5000, CPUs: 8,
	})
	f.loadState(second)
	f.reportAll(second)
	if !second.recovery.hasEnded() {
		t.Fatal("recovery has not ended although all machines have reported")
	}
	assigned := len(second.jobs.find("job-9999").assignments)
	if expected := machines - gangs*tasksPerGang; assigned != expected {
		t.Errorf("%d tasks of the array placed, want %d, one on each machine without gang tasks", assigned, expected)
	}
	for i := range gangs {
		if placed := len(second.jobs.find(fmt.Sprintf("job-%d", i)).assignments); placed != tasksPerGang {
			t.Fatalf("%d tasks of gang %d placed, want %d", placed, i, tasksPerGang)
		}
	}
}
