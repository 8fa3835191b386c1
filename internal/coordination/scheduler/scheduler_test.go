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

// schedulerFixture is one machine with a scheduler that leads, for single stories.
type schedulerFixture struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
	effects   []Effect
	sequence  uint64
	version   uint64
}

func newSchedulerFixture(t *testing.T, machines int) *schedulerFixture {
	b := &schedulerFixture{t: t, scheduler: New(Config{Term: 3,
		Teams:   []config.Team{{Name: "red", CPUs: 8, CPUsMax: 100}, {Name: "blue", CPUs: 8, CPUsMax: 100}},
		Workers: config.Workers{ReportS: 2, LeaseS: 14, CancelS: 34, GangWaitS: seconds(20), GangPeerS: seconds(4)}, State: config.State{WriteRPS: 20, ValueKB: 4, TxnOps: 8}, Options: config.DefaultOptions()}, 0)}
	b.step(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{Name: "s8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"}}}})
	loadRegistryPage(b.scheduler, "h-1-1", answeredRental("s8", machines, b.machine), b.now)
	b.step(StateLoaded{})
	return b
}

// loadRegistryPage loads a rental whose machines are all up.
func loadRegistryPage(s *Scheduler, name string, h storage.Rental, now time.Duration) {
	s.Step(RentalLoaded{Name: name, Version: 1, Record: h}, now)
	var u storage.RegistryPage
	for _, rig := range h.Machines {
		u.Machines = append(u.Machines, storage.RegisteredMachine{Machine: rig, Address: "x:1"})
	}
	s.Step(RegistryPageLoaded{Name: name, Version: 1, Record: u}, now)
}

// answeredRental is the record of a rental with its machines.
func answeredRental(kind string, machines int, name func(int) string) storage.Rental {
	h := storage.Rental{MachineType: kind, Zone: "a", Count: machines, Answered: true}
	for i := range machines {
		h.Machines = append(h.Machines, name(i))
	}
	return h
}

func longName(i int) string { return fmt.Sprintf("m-%06d", i) }

func (b *schedulerFixture) machine(i int) string { return fmt.Sprintf("m-%d", i) }

func (b *schedulerFixture) step(e Event) []Effect {
	b.now += 10 * time.Millisecond
	b.effects = b.scheduler.Step(e, b.now)
	return b.effects
}

// report sends a report and returns the orders.
func (b *schedulerFixture) report(i int, tasks ...protocol.TaskStatus) []protocol.Command {
	b.sequence++
	for _, e := range b.step(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: &protocol.Heartbeat{Machine: b.machine(i), Address: "x:1", MachineType: "s8", Zone: "a",
		Incarnation: 1, Sequence: b.sequence, FencingToken: 3, Tasks: tasks}}) {
		if r, ok := e.(HeartbeatReply); ok && r.Accepted {
			return r.Commands
		}
	}
	b.t.Fatalf("report not answered: %+v", b.effects)
	return nil
}

func (b *schedulerFixture) job(id, team, urgency string, pieces int, cpus float64, due float64) {
	b.version++
	b.step(JobChanged{JobID: id, Version: 100 + b.version, Record: storage.OpenJob{Spec: protocol.Spec{ID: id, Class: "c", Team: team, Shape: "sweep",
		Priority: urgency, Tasks: pieces, CPUs: cpus, MemoryGB: 1, Image: "i", EstimateS: 10, DeadlineS: due}}})
}

// starts collects the starts of direct commands among the effects, and answers nothing.
func (b *schedulerFixture) direct() []SendDirectCommands {
	var out []SendDirectCommands
	for _, e := range b.effects {
		if d, ok := e.(SendDirectCommands); ok {
			out = append(out, d)
		}
	}
	return out
}

func verbs(orders []protocol.Command, verb protocol.CommandVerb) int {
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
	b := newSchedulerFixture(t, 2)
	ask := func(id string) string {
		for _, e := range b.step(SnapshotRequested{JobID: id}) {
			if o, ok := e.(SnapshotTaken); ok {
				return strings.Join(o.Snapshot.Explanation, "; ")
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

// TestHugeJob: a job of the largest size is placed, recorded in chunks below the value limit, and
// finished.
func TestHugeJob(t *testing.T) {
	b := newSchedulerFixture(t, 2)
	b.report(0)
	b.report(1)
	b.job("job-1", "red", "standard", limits.MaxTasksPerJob, 0.01, 0)
	j := b.scheduler.jobs.byID["job-1"]
	for _, m := range b.scheduler.inventory.all() {
		if len(m.assignments) > limits.MaxTasksPerMachine {
			t.Fatalf("%d tasks on %s: its report would be too long", len(m.assignments), m.name)
		}
	}
	if len(j.assignments) == 0 || len(j.chunks) < 2 {
		t.Fatalf("%d bound, %d chunks", len(j.assignments), len(j.chunks))
	}
	for i := range limits.MaxTasksPerJob {
		if j.assignments[i] == nil {
			b.scheduler.finished.recordDone(j, i)
		}
	}
	b.now += 4 * time.Second
	for _, e := range b.step(Tick{Entitled: true}) {
		if w, ok := e.(WriteRecords); ok && len(w.Operations) > 8 {
			t.Fatalf("%d operations", len(w.Operations))
		}
	}
	if got := j.waitingTasks(); got != 0 {
		t.Fatalf("%d free", got)
	}
}
