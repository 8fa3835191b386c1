package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestFourThousandMachines: more than four thousand machines come up within seconds and are
// registered in small values and transactions, by far fewer changes than machines; a new leader
// reads them, hears of them all, and gangs and arrays are placed on them.
func TestFourThousandMachines(t *testing.T) {
	const machines, gangs, perGang, valueKB, txnOps, writeRPS = 4200, 200, 8, 2, 4, 15
	cfg := Config{Term: 3, Teams: []config.Team{{Name: "red", CPUs: 100, CPUsMax: 1e6}}, CloudRPS: 5,
		Workers: config.Workers{ReportS: 2, LeaseS: 14, CancelS: 34, GangWaitS: seconds(20), GangPeerS: seconds(4)},
		State:   config.State{WriteRPS: writeRPS, ValueKB: valueKB, TxnOps: txnOps}, Options: config.DefaultOptions()}
	types := MachineTypesFetched{OK: true, Types: []protocol.MachineType{{Name: "s", CPUs: 8, MemoryGB: 64, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"}}}}
	f := &memoryStore{records: map[string]storedRecord{}, version: 100}

	first := New(cfg, 0)
	now := 10 * time.Millisecond
	f.execute(first, first.Step(types, now), now)
	for i := 0; i < machines; i += 50 {
		rental := storage.Rental{MachineType: "s", Zone: "a", Count: 50, Answered: true}
		for k := i; k < i+50; k++ {
			rental.Machines = append(rental.Machines, longName(k))
		}
		name := fmt.Sprintf("h-2-%03d", i/50)
		f.version++
		f.records[storage.RentalKey(name)] = storedRecord{f.version, protocol.Encode(rental)}
		first.Step(RentalLoaded{Name: name, Version: f.version, Record: rental}, now)
	}
	f.execute(first, first.Step(StateLoaded{}, now), now)
	hear := func(s *Scheduler, token uint64) {
		for i := range machines {
			now += time.Millisecond
			r := report(i, uint64(now), nil)
			r.FencingToken = token
			f.execute(s, s.Step(HeartbeatReceived{Heartbeat: r, ReplyTo: machineResponder(i), Entitled: true, SameConnection: true}, now), now)
			if i%500 == 0 {
				f.execute(s, s.Step(Tick{Entitled: true}, now), now)
			}
		}
	}
	hear(first, 3)
	for range 3 { // what is left goes out
		now += time.Second
		f.execute(first, first.Step(Tick{Entitled: true}, now), now)
	}
	if limit := machines / 10; f.operations > limit {
		t.Errorf("%d changes for %d machines", f.operations, machines)
	}
	registered := 0
	for key, p := range f.records {
		if !strings.HasPrefix(key, storage.PrefixRegistryPage) {
			continue
		}
		var page storage.RegistryPage
		if err := protocol.Decode(p.value, &page); err != nil || !storage.FitsValueLimit(page, valueKB) {
			t.Fatalf("%s: %v, size %d", key, err, storage.EncodedSize(page))
		}
		registered += len(page.Machines)
	}
	if registered != machines {
		t.Fatalf("%d of %d machines registered", registered, machines)
	}

	cfg.Term = 4
	second := New(cfg, now)
	second.Step(types, now)
	for i := range gangs {
		id := fmt.Sprintf("job-%d", i)
		second.Step(JobChanged{JobID: id, Version: uint64(i + 1), Record: storage.OpenJob{Spec: protocol.Spec{ID: id, Class: "g", Team: "red", Shape: protocol.ShapeGang,
			Priority: "standard", Tasks: perGang, CPUs: 6, MemoryGB: 1, SameZone: true, Image: "i", EstimateS: 100}}}, now)
	}
	second.Step(JobChanged{JobID: "job-9999", Version: 9999, Record: storage.OpenJob{Spec: protocol.Spec{ID: "job-9999", Class: "c", Team: "red", Shape: protocol.ShapeArray,
		Priority: "standard", Tasks: 5000, CPUs: 8, MemoryGB: 1, Image: "i", EstimateS: 100}}}, now)
	for key, p := range f.records {
		if name, ok := strings.CutPrefix(key, storage.PrefixRental); ok {
			var rental storage.Rental
			if err := protocol.Decode(p.value, &rental); err != nil {
				t.Fatal(err)
			}
			second.Step(RentalLoaded{Name: name, Version: p.version, Record: rental}, now)
		}
	}
	for key, p := range f.records {
		if name, ok := strings.CutPrefix(key, storage.PrefixRegistryPage); ok {
			var page storage.RegistryPage
			if err := protocol.Decode(p.value, &page); err != nil {
				t.Fatal(err)
			}
			second.Step(RegistryPageLoaded{Name: name, Version: p.version, Record: page}, now)
		}
	}
	second.Step(StateLoaded{}, now)
	hear(second, 4)
	if !second.recovery.hasEnded() {
		t.Fatal("not recovered although all machines were heard of")
	}
	if bound := len(second.jobs.byID["job-9999"].assignments); bound != machines-gangs*perGang {
		t.Errorf("%d tasks of the array placed beside the gangs, want %d", bound, machines-gangs*perGang)
	}
	for i := range gangs {
		if n := len(second.jobs.byID[fmt.Sprintf("job-%d", i)].assignments); n != perGang {
			t.Fatalf("gang %d: %d of %d placed", i, n, perGang)
		}
	}
}
