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

// TestFourThousandMachines: more than four thousand machines come up within seconds and are registered in small values and transactions, by
// far fewer changes than machines; a new leader reads them, hears of them all, and gangs and arrays are placed on them.
func TestFourThousandMachines(t *testing.T) {
	const machines, gangs, perGang, valueKB, txnOps, writeRPS = 4200, 200, 8, 2, 4, 15
	cfg := Config{Term: 3, Teams: []config.Team{{Name: "red", CPUs: 100, CPUsMax: 1e6}}, CloudRPS: 5,
		Workers: config.Workers{ReportS: 2, LeaseS: 14, CancelS: 34, GangWaitS: seconds(20), GangPeerS: seconds(4)},
		State:   config.State{WriteRPS: writeRPS, ValueKB: valueKB, TxnOps: txnOps}, Options: config.DefaultOptions()}
	types := TypesDone{OK: true, Types: []protocol.MachineType{{Name: "s", CPUs: 8, MemoryGB: 64, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"}}}}
	f := &memoryStore{pairs: map[string]pairOf{}, stamp: 100}

	first := New(cfg, 0)
	now := 10 * time.Millisecond
	f.carryOut(first, first.Step(types, now), now)
	for i := 0; i < machines; i += 50 {
		rental := storage.Rental{MachineType: "s", Zone: "a", Count: 50, Answered: true}
		for k := i; k < i+50; k++ {
			rental.Machines = append(rental.Machines, longName(k))
		}
		name := fmt.Sprintf("h-2-%03d", i/50)
		f.stamp++
		f.pairs[storage.RentalKey(name)] = pairOf{f.stamp, protocol.Encode(rental)}
		first.Step(RentalLoaded{Name: name, Version: f.stamp, Rec: rental}, now)
	}
	f.carryOut(first, first.Step(Loaded{}, now), now)
	hear := func(s *Scheduler, token uint64) {
		for i := range machines {
			now += time.Millisecond
			r := report(i, uint64(now), nil)
			r.Token = token
			f.carryOut(s, s.Step(ReportIn{Report: r, Ref: i, Entitled: true, Stayed: true}, now), now)
			if i%500 == 0 {
				f.carryOut(s, s.Step(Tick{Entitled: true}, now), now)
			}
		}
	}
	hear(first, 3)
	for range 3 { // what is left goes out
		now += time.Second
		f.carryOut(first, first.Step(Tick{Entitled: true}, now), now)
	}
	if limit := machines / 10; f.changes > limit {
		t.Errorf("%d changes for %d machines", f.changes, machines)
	}
	registered := 0
	for key, p := range f.pairs {
		if !strings.HasPrefix(key, storage.PrefixUp) {
			continue
		}
		var page storage.Ups
		if err := protocol.Decode(p.data, &page); err != nil || !storage.Fits(page, valueKB) {
			t.Fatalf("%s: %v, size %d", key, err, storage.Size(page))
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
		second.Step(JobSeen{ID: id, Version: uint64(i + 1), Rec: storage.Open{Spec: protocol.Spec{ID: id, Class: "g", Team: "red", Shape: protocol.ShapeGang,
			Priority: "standard", Tasks: perGang, CPUs: 6, MemoryGB: 1, SameZone: true, Image: "i", EstimateS: 100}}}, now)
	}
	second.Step(JobSeen{ID: "job-9999", Version: 9999, Rec: storage.Open{Spec: protocol.Spec{ID: "job-9999", Class: "c", Team: "red", Shape: protocol.ShapeArray,
		Priority: "standard", Tasks: 5000, CPUs: 8, MemoryGB: 1, Image: "i", EstimateS: 100}}}, now)
	for key, p := range f.pairs {
		if name, ok := strings.CutPrefix(key, storage.PrefixRental); ok {
			var rental storage.Rental
			if err := protocol.Decode(p.data, &rental); err != nil {
				t.Fatal(err)
			}
			second.Step(RentalLoaded{Name: name, Version: p.stamp, Rec: rental}, now)
		}
	}
	for key, p := range f.pairs {
		if name, ok := strings.CutPrefix(key, storage.PrefixUp); ok {
			var page storage.Ups
			if err := protocol.Decode(p.data, &page); err != nil {
				t.Fatal(err)
			}
			second.Step(RegistrationLoaded{Name: name, Version: p.stamp, Rec: page}, now)
		}
	}
	second.Step(Loaded{}, now)
	hear(second, 4)
	if !second.recovered {
		t.Fatal("not recovered although all machines were heard of")
	}
	if bound := len(second.jobs["job-9999"].bound); bound != machines-gangs*perGang {
		t.Errorf("%d tasks of the array placed beside the gangs, want %d", bound, machines-gangs*perGang)
	}
	for i := range gangs {
		if n := len(second.jobs[fmt.Sprintf("job-%d", i)].bound); n != perGang {
			t.Fatalf("gang %d: %d of %d placed", i, n, perGang)
		}
	}
}
