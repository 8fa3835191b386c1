package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// bed is one machine with a scheduler that leads, for single stories.
type bed struct {
	t     *testing.T
	s     *Scheduler
	now   time.Duration
	out   []Effect
	tally uint64
	stamp uint64
}

func newBed(t *testing.T, machines int) *bed {
	b := &bed{t: t, s: New(Config{Term: 3,
		Teams:   []config.Team{{Name: "red", CPUs: 8, CPUsMax: 100}, {Name: "blue", CPUs: 8, CPUsMax: 100}},
		Workers: config.Workers{ReportS: 2, LeaseS: 14, CancelS: 34, GangWaitS: seconds(20), GangPeerS: seconds(4)}, State: config.State{WriteRPS: 20, ValueKB: 4, TxnOps: 8}, Options: config.DefaultOptions()}, 0)}
	b.step(TypesDone{OK: true, Types: []protocol.MachineType{{Name: "s8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"}}}})
	loadUp(b.s, "h-1-1", upHire("s8", machines, b.rig), b.now)
	b.step(Loaded{})
	return b
}

// loadUp loads a rental whose machines are all up.
func loadUp(s *Scheduler, name string, h storage.Rental, now time.Duration) {
	s.Step(RentalLoaded{Name: name, Version: 1, Rec: h}, now)
	var u storage.Ups
	for _, rig := range h.Machines {
		u.Machines = append(u.Machines, storage.Up{Machine: rig, Address: "x:1"})
	}
	s.Step(RegistrationLoaded{Name: name, Version: 1, Rec: u}, now)
}

// upHire is the record of a rental with its machines.
func upHire(kind string, machines int, name func(int) string) storage.Rental {
	h := storage.Rental{MachineType: kind, Zone: "a", Count: machines, Answered: true}
	for i := range machines {
		h.Machines = append(h.Machines, name(i))
	}
	return h
}

func longName(i int) string { return fmt.Sprintf("m-%06d", i) }

func (b *bed) rig(i int) string { return fmt.Sprintf("m-%d", i) }

func (b *bed) step(e Event) []Effect {
	b.now += 10 * time.Millisecond
	b.out = b.s.Step(e, b.now)
	return b.out
}

// report sends a report and returns the orders.
func (b *bed) report(i int, tasks ...protocol.TaskReport) []protocol.Command {
	b.tally++
	for _, e := range b.step(ReportIn{Entitled: true, Stayed: true, Report: &protocol.Report{Machine: b.rig(i), Address: "x:1", MachineType: "s8", Zone: "a",
		Session: 1, Sequence: b.tally, Token: 3, Tasks: tasks}}) {
		if r, ok := e.(ReplyOut); ok && r.OK {
			return r.Commands
		}
	}
	b.t.Fatalf("report not answered: %+v", b.out)
	return nil
}

func (b *bed) job(id, team, urgency string, pieces int, cpus float64, due float64) {
	b.stamp++
	b.step(JobSeen{ID: id, Version: 100 + b.stamp, Rec: storage.Open{Spec: protocol.Spec{ID: id, Class: "c", Team: team, Shape: "sweep",
		Priority: urgency, Tasks: pieces, CPUs: cpus, MemoryGB: 1, Image: "i", EstimateS: 10, DeadlineS: due}}})
}

// starts collects the starts of direct commands among the effects, and answers nothing.
func (b *bed) direct() []DirectOut {
	var out []DirectOut
	for _, e := range b.out {
		if d, ok := e.(DirectOut); ok {
			out = append(out, d)
		}
	}
	return out
}

func verbs(orders []protocol.Command, verb string) int {
	n := 0
	for _, o := range orders {
		if o.Verb == verb {
			n++
		}
	}
	return n
}

// TestWhy: operators are told what a waiting job waits for.
func TestWhy(t *testing.T) {
	b := newBed(t, 2)
	ask := func(id string) string {
		for _, e := range b.step(InspectIn{Job: id}) {
			if o, ok := e.(InspectOut); ok {
				return strings.Join(o.Snapshot.Why, "; ")
			}
		}
		return ""
	}
	b.job("job-1", "red", "standard", 200, 1, 0)
	if got := ask("job-1"); !strings.Contains(got, "does not know yet") {
		t.Errorf("while rebuilding: %s", got)
	}
	b.report(0)
	b.report(1)
	if got := ask("job-1"); !strings.Contains(got, "16 on machines") || !strings.Contains(got, "0 of these with room") {
		t.Errorf("full: %s", got)
	}
	b.job("job-2", "blue", "standard", 1, 101, 0)
	if got := ask("job-2"); !strings.Contains(got, "team blue uses 0 of at most 100") || !strings.Contains(got, "0 of them allowed") {
		t.Errorf("too large: %s", got)
	}
	if got := ask("job-3"); !strings.Contains(got, "not among") {
		t.Errorf("unknown: %s", got)
	}
}

// TestHugeJob: a job of the largest size is placed, recorded in chunks below the value limit, and finished.
func TestHugeJob(t *testing.T) {
	b := newBed(t, 2)
	b.report(0)
	b.report(1)
	b.job("job-1", "red", "standard", limits.MaxPieces, 0.01, 0)
	j := b.s.jobs["job-1"]
	for _, m := range b.s.fleet {
		if len(m.bindings) > limits.MaxTasks {
			t.Fatalf("%d tasks on %s: its report would be too long", len(m.bindings), m.name)
		}
	}
	if len(j.bound) == 0 || len(j.chunks) < 2 {
		t.Fatalf("%d bound, %d chunks", len(j.bound), len(j.chunks))
	}
	for i := range limits.MaxPieces {
		if j.bound[i] == nil {
			b.s.taskDone(j, i)
		}
	}
	b.now += 4 * time.Second
	for _, e := range b.step(Tick{Entitled: true}) {
		if w, ok := e.(WriteOut); ok && len(w.Ops) > 8 {
			t.Fatalf("%d operations", len(w.Ops))
		}
	}
	if got := j.free(); got != 0 {
		t.Fatalf("%d free", got)
	}
}
