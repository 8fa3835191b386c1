package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestForgetAfterDurable: a result is forgotten by its worker only once it is written down.
func TestForgetAfterDurable(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.report(0)
	f.job("job-1", "red", "standard", 20, 1, 0)
	direct := f.direct()
	if len(direct) != 1 || verbs(direct[0].Commands, protocol.CommandStart) != 8 {
		t.Fatalf("starts: %+v", f.effects)
	}
	done := protocol.TaskStatus{Task: "job-1/0", Attempt: direct[0].Commands[0].Attempt, State: protocol.TaskEnded, Reason: protocol.ReasonDone}
	other := protocol.TaskStatus{Task: "job-1/1", Attempt: direct[0].Commands[1].Attempt, State: protocol.TaskRunning}
	if commands := f.report(0, done, other); verbs(commands, protocol.CommandForget) != 0 {
		t.Fatalf("forgotten at once: %+v", commands)
	}
	f.now += 5 * time.Second
	var w *WriteRecords
	for _, e := range f.step(Tick{Entitled: true}) {
		if x, ok := e.(WriteRecords); ok && x.Operations[0].Put == storage.FinishedTasksKey("job-1", 0) {
			w = &x
		}
	}
	if w == nil {
		t.Fatalf("result not written: %+v", f.effects)
	}
	if commands := f.report(0, done, other); verbs(commands, protocol.CommandForget) != 0 {
		t.Fatalf("forgotten while the write is under way: %+v", commands)
	}
	f.step(WriteCompleted{ID: w.ID, OK: true, Version: 500})
	if commands := f.report(0, done, other); verbs(commands, protocol.CommandForget) != 1 {
		t.Fatalf("not forgotten: %+v", commands)
	}
}

// TestFewRegistryWrites: a job that is nearly over is not written down task by task, as its final
// record says it all; one that drags on is.
func TestFewRegistryWrites(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.report(0)
	f.job("job-1", "red", "standard", 2, 1, 0)
	var tasks []protocol.TaskStatus
	for _, command := range f.direct()[0].Commands {
		tasks = append(tasks, protocol.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: protocol.TaskRunning})
	}
	tasks[0].State, tasks[0].Reason = protocol.TaskEnded, protocol.ReasonDone
	written := time.Duration(0)
	for began := f.now; f.now < began+2*limits.MaxChunkWriteDelay && written == 0; f.now += time.Second {
		f.report(0, tasks...)
		for _, e := range f.step(Tick{Entitled: true}) {
			if w, ok := e.(WriteRecords); ok && w.Bulk {
				written = f.now - began
			}
		}
	}
	if written < limits.MaxChunkWriteDelay {
		t.Errorf("written after %v", written)
	}
}

// TestDirectAnswerIsNoEvidence: a start that went out in the answer to a report may still be on its
// way when a direct command is answered; only the next report shows that it is lost.
func TestDirectAnswerIsNoEvidence(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.report(0)
	m := f.scheduler.inventory.find(f.machine(0))
	m.noDirectUntil = time.Hour // orders go with reports only
	f.job("job-1", "red", "standard", 1, 1, 0)
	if n := verbs(f.report(0), protocol.CommandStart); n != 1 {
		t.Fatalf("%d starts", n)
	}
	m.noDirectUntil, m.directID = 0, 77
	f.sequence++
	f.step(DirectCommandsDone{ID: 77, Machine: m.name, Heartbeat: &protocol.Heartbeat{Machine: m.name, Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: f.sequence, FencingToken: 3}})
	if len(m.assignments) != 1 {
		t.Fatal("freed by the answer to a direct command")
	}
	f.sequence++
	f.step(ProbeDone{Machine: m.name, Heartbeat: &protocol.Heartbeat{Machine: m.name, Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: f.sequence, FencingToken: 3}})
	if len(m.assignments) != 1 {
		t.Fatal("freed by the answer to a probe")
	}
	m.noDirectUntil = time.Hour
	if n := verbs(f.report(0), protocol.CommandStart); n != 0 || len(m.assignments) != 0 {
		t.Fatalf("after a report without it: %d starts, %d bound", n, len(m.assignments)) // its answer was lost, so the machine is in doubt
	}
	if n := verbs(f.report(0), protocol.CommandStart); n != 1 || len(m.assignments) != 1 {
		t.Fatalf("not placed again: %d starts", n)
	}
}

// TestDeafMachine: a machine whose reports arrive while answers and commands don't reach it loses
// one start at most, gets no other until a round trip is seen, and is deleted in time; what it
// finishes counts.
func TestDeafMachine(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	f.report(0)
	f.job("job-1", "red", "standard", 2, 8, 0)
	starts := 0
	count := func() {
		for _, direct := range f.direct() {
			starts += verbs(direct.Commands, protocol.CommandStart)
			f.step(DirectCommandsDone{ID: direct.ID, Machine: direct.Machine}) // no answer
		}
	}
	count()
	m := f.scheduler.inventory.find(f.machine(0))
	m.registration = registered
	var attempt uint64
	for _, x := range m.assignments {
		attempt = x.attempt
	}
	// It hears nothing: its next reports come on other connections. One task that it had got all
	// the same is done.
	deleted := false
	sequence := f.sequence
	for range 20 {
		f.now += time.Second
		sequence++
		f.sequence = sequence
		for _, e := range f.step(HeartbeatReceived{Entitled: true, Heartbeat: &protocol.Heartbeat{Machine: m.name, Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: sequence, FencingToken: 3,
			Tasks: []protocol.TaskStatus{{Task: "job-1/0", Attempt: max(attempt, 1), State: protocol.TaskEnded, Reason: protocol.ReasonDone}}}}) {
			if r, ok := e.(HeartbeatReply); ok {
				starts += verbs(r.Commands, protocol.CommandStart)
			}
		}
		count()
		for _, e := range f.step(Tick{Entitled: true}) {
			if d, ok := e.(DeleteMachines); ok {
				for _, name := range d.Machines {
					deleted = deleted || name == m.name
				}
			}
		}
		count()
	}
	if starts > 2 {
		t.Errorf("%d starts to a machine that hears nothing", starts)
	}
	if !deleted {
		t.Error("not deleted")
	}
	if j := f.scheduler.jobs.byID["job-1"]; j.doneCount != 1 {
		t.Errorf("%d results count", j.doneCount)
	}
}

// TestLateCopies: copies of reports, however late, prove nothing: no machine is taken for alive or
// fresh by them, no lease is extended, and a leader with no memory of a machine that is gone does
// not raise it.
func TestLateCopies(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	answer := func(r protocol.Heartbeat, relayed bool) HeartbeatReply {
		for _, e := range f.step(HeartbeatReceived{Entitled: true, Relayed: relayed, Heartbeat: &r}) {
			if r, ok := e.(HeartbeatReply); ok {
				return r
			}
		}
		t.Fatal("not answered")
		return HeartbeatReply{}
	}
	// Of an earlier term, of a machine that this leader has never heard of.
	old := protocol.Heartbeat{Machine: "m-gone", Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: 50, FencingToken: 2}
	for _, relayed := range []bool{false, true} {
		answer(old, relayed)
	}
	if f.scheduler.inventory.find("m-gone") != nil {
		t.Error("a copy raised a machine")
	}
	// Of an earlier term, of a machine that may hold tasks: not heard of, and no tasks taken from it.
	known := protocol.Heartbeat{Machine: f.machine(0), Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: 50, FencingToken: 2,
		Tasks: []protocol.TaskStatus{{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning}}}
	f.job("job-1", "red", "standard", 1, 1, 0)
	if r := answer(known, false); !r.Accepted {
		t.Error("a worker that waits for this answer gets none")
	}
	m := f.scheduler.inventory.find(f.machine(0))
	if m.hasReported || m.fenced || len(m.assignments) > 0 || f.scheduler.isSchedulable(m) {
		t.Errorf("believed: seen %v fenced %v binds %d", m.hasReported, m.fenced, len(m.assignments))
	}
	// A copy overtakes its original, and the start in its answer gets lost. The original's answer
	// brings it again, but not once the job is cancelled.
	m.noDirectUntil = time.Hour
	f.report(0)
	f.report(0)
	first := protocol.Heartbeat{Machine: f.machine(0), Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: f.sequence, FencingToken: 3}
	m.registration = registered
	if r := answer(first, false); verbs(r.Commands, protocol.CommandStart) != 1 {
		t.Errorf("the original brings %+v", r.Commands)
	}
	f.version++
	f.step(JobChanged{JobID: "job-1", Version: 100 + f.version, Record: storage.OpenJob{Cancelled: true, Spec: f.scheduler.jobs.byID["job-1"].spec}})
	if r := answer(first, false); !r.Accepted || verbs(r.Commands, protocol.CommandStart) != 0 {
		t.Errorf("after the cancellation: %+v", r)
	}
	// Of our term: the copy is answered like the original within the time that the worker waits,
	// and does not keep the machine alive.
	f.sequence = 60
	f.report(0)
	heard, base := m.lastHeartbeatAt, m.leaseRenewedAt
	now := protocol.Heartbeat{Machine: f.machine(0), Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: f.sequence, FencingToken: 3}
	if r := answer(now, false); !r.Accepted {
		t.Error("the original behind a copy is not answered")
	}
	if before := answer(protocol.Heartbeat{Machine: f.machine(0), Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: 40, FencingToken: 3}, true); before.Accepted {
		t.Error("an older one is answered")
	}
	f.now += 30 * time.Second
	if r := answer(now, true); r.Accepted {
		t.Error("a copy that comes after a lease is answered")
	}
	if r := answer(known, true); r.Accepted && len(r.Commands) > 0 {
		t.Errorf("a copy from an earlier term brings %+v", r.Commands)
	}
	if m.lastHeartbeatAt != heard || m.leaseRenewedAt != base {
		t.Error("a copy made a machine fresh")
	}
	// A report that we had not seen and that comes after a silence may be late as well: no tasks
	// until the machine answers.
	f.sequence++
	late := protocol.Heartbeat{Machine: f.machine(0), Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 2, Sequence: f.sequence, FencingToken: 3}
	f.step(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: &late})
	if f.scheduler.isSchedulable(m) {
		t.Error("usable by a late report")
	}
	f.sequence++
	probed := late
	probed.Sequence = f.sequence
	f.step(ProbeDone{Machine: m.name, Heartbeat: &probed})
	if !f.scheduler.isSchedulable(m) {
		t.Error("not usable after a round trip")
	}
}

// TestDeletionConfirmed: tasks of a machine that is being returned stay bound until the cloud
// confirms it.
func TestDeletionConfirmed(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.report(0)
	f.job("job-1", "red", "standard", 1, 1, 0)
	m := f.scheduler.inventory.find(f.machine(0))
	f.scheduler.returnMachine(m, "test")
	f.step(Tick{Entitled: true})
	f.step(DeletionDone{Machines: []string{m.name}})
	if len(m.assignments) != 1 || f.scheduler.inventory.find(m.name) == nil {
		t.Fatal("freed by a deletion that was not confirmed")
	}
	f.step(DeletionDone{Machines: []string{m.name}, OK: true})
	if len(m.assignments) != 0 || f.scheduler.inventory.find(m.name) != nil {
		t.Fatal("not freed")
	}
}

// TestNotEntitled: who may not act answers no report with 200, and takes nothing from it that would
// count as a renewed lease; so with a worker that has seen a later leader.
func TestNotEntitled(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	heartbeat := &protocol.Heartbeat{Machine: f.machine(0), Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: 50, FencingToken: 3}
	later := *heartbeat
	later.FencingToken = 4
	for _, e := range []HeartbeatReceived{{Heartbeat: heartbeat}, {Heartbeat: &later, Entitled: true}} {
		for _, eff := range f.step(e) {
			if x, ok := eff.(HeartbeatReply); ok && x.Accepted {
				t.Errorf("answered: %+v", e)
			}
		}
	}
	if m := f.scheduler.inventory.find(f.machine(0)); m.hasReported || m.leaseRenewedAt > 0 {
		t.Errorf("counted as heard: %+v", m)
	}
}

// TestFewUnreported: after a take-over a machine that does not answer probes holds up all
// placement. If it is one of a few it is given up soon, and the work goes on once its deletion is
// confirmed; a crowd may be behind a cut and is waited for.
func TestFewUnreported(t *testing.T) {
	for _, c := range []struct {
		silent int
		waits  bool
	}{{1, false}, {20, true}} {
		f := newSchedulerFixture(t, 40)
		for i := c.silent; i < 40; i++ {
			f.report(i)
		}
		f.job("job-1", "red", "standard", 1, 1, 0)
		deleted := map[string]bool{}
		for f.now < 5*time.Second {
			f.now += 500 * time.Millisecond
			for _, e := range f.step(Tick{Entitled: true}) {
				switch e := e.(type) {
				case ProbeMachine:
					f.step(ProbeDone{Machine: e.Machine})
				case DeleteMachines:
					for _, name := range e.Machines {
						deleted[name] = true
					}
					f.step(DeletionDone{Machines: e.Machines, OK: true})
				}
			}
		}
		if f.scheduler.recovery.hasEnded() == c.waits || (len(deleted) == 0) != c.waits {
			t.Errorf("%d silent: settled %v, deleted %v", c.silent, f.scheduler.recovery.hasEnded(), deleted)
		}
	}
}

// TestUnverifiedTogether: a machine whose answers may not arrive is asked at once, but not hundreds
// that come on new connections together: their next reports setVerified them, and who stays
// unverified is asked then. Probes of all kept a small controller from answering reports, for
// minutes.
func TestUnverifiedTogether(t *testing.T) {
	for _, n := range []int{1, 40} {
		f := newSchedulerFixture(t, 40)
		for range 2 {
			for i := range 40 {
				f.report(i)
			}
			f.now += 2 * time.Second // the probes of the take-over are long over
		}
		moved := func(i int) (probes int) { // a report on another connection
			f.sequence++
			for _, e := range f.step(HeartbeatReceived{Entitled: true, Heartbeat: &protocol.Heartbeat{Machine: f.machine(i), Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: f.sequence, FencingToken: 3}}) {
				if _, ok := e.(ProbeMachine); ok {
					probes++
				}
			}
			return probes
		}
		tick := func(after time.Duration) (probes int) {
			f.now += after
			for _, e := range f.step(Tick{Entitled: true}) {
				if _, ok := e.(ProbeMachine); ok {
					probes++
				}
			}
			return probes
		}
		early := 0
		for i := range n {
			early += moved(i)
			if i%10 == 9 {
				early += tick(100 * time.Millisecond)
			}
		}
		if n == 1 && early != 1 {
			t.Errorf("one doubted machine is asked %d times at once", early)
		}
		if n > 1 && early > n/4 {
			t.Errorf("%d of %d machines doubted together are asked at once", early, n)
		}
		// The others prove themselves; one stays unverified and is asked.
		for i := range n - 1 {
			f.report(i)
		}
		late := 0
		for range 4 {
			late += tick(time.Second)
		}
		if late == 0 {
			t.Errorf("%d machines: the one that stays doubted is not asked", n)
		}
	}
}

// TestAnsweredMachineKeepsItsLease: a machine that a new leader has greeted, but whose next report
// it has not taken yet, may go on with its tasks for a whole lease from then. The rebuild does not
// end before that, or a task of it would be started elsewhere: seen on controllers too busy to take
// reports in time.
func TestAnsweredMachineKeepsItsLease(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	f.report(0)
	f.job("job-1", "red", "standard", 4, 4, 0)
	lease := limits.LeaseExpiredAfter(14 * time.Second)
	starts := func() (n int) {
		for _, direct := range f.direct() {
			n += verbs(direct.Commands, protocol.CommandStart)
		}
		return n
	}
	f.now = 13 * time.Second
	greeted := false
	for _, e := range f.step(HeartbeatReceived{Entitled: true, Heartbeat: &protocol.Heartbeat{Machine: f.machine(1), Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: 9, FencingToken: 2,
		Tasks: []protocol.TaskStatus{{Task: "job-1/0", Attempt: 7, State: protocol.TaskRunning}}}}) {
		if r, ok := e.(HeartbeatReply); ok {
			greeted = r.Accepted
		}
	}
	if !greeted {
		t.Fatal("not greeted")
	}
	for end := f.now + lease; f.now < end; {
		f.now += time.Second
		if f.now < end {
			f.report(0)
			if f.scheduler.recovery.hasEnded() || starts() > 0 {
				t.Fatalf("placed at %v, the greeted machine's lease lasts until %v", f.now, end)
			}
		}
	}
	f.report(0)
	if !f.scheduler.recovery.hasEnded() {
		t.Errorf("not rebuilt although every lease is over")
	}
}
