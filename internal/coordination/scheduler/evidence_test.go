package scheduler

import (
	"slices"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestResultIsForgottenOnceDurable: a worker is told to forget a result only once it is written down.
func TestResultIsForgottenOnceDurable(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 20, 1, 0)
	direct := f.directCommands()
	if len(direct) != 1 || countVerb(direct[0].Commands, protocol.CommandStart) != 8 {
		t.Fatalf("starts: %+v", f.effects)
	}
	done, other := completed(direct[0].Commands[0]), running(direct[0].Commands[1])
	if done.Task != "job-1/0" || other.Task != "job-1/1" {
		t.Fatalf("starts in another order: %+v", direct[0].Commands)
	}
	if commands := f.sendHeartbeat(0, done, other); countVerb(commands, protocol.CommandForget) != 0 {
		t.Fatalf("forgotten at once: %+v", commands)
	}
	f.now += 5 * time.Second
	var result *WriteRecords
	for _, write := range effectsOf[WriteRecords](f.tick()) {
		if write.Operations[0].Put == storage.FinishedTasksKey("job-1", 0) {
			result = &write
		}
	}
	if result == nil {
		t.Fatalf("result not written: %+v", f.effects)
	}
	if commands := f.sendHeartbeat(0, done, other); countVerb(commands, protocol.CommandForget) != 0 {
		t.Fatalf("forgotten while the write is in flight: %+v", commands)
	}
	f.step(WriteCompleted{ID: result.ID, OK: true, Version: 500})
	if commands := f.sendHeartbeat(0, done, other); countVerb(commands, protocol.CommandForget) != 1 {
		t.Fatalf("not forgotten: %+v", commands)
	}
}

// TestNearlyCompleteJobDefersChunkWrite: the results of a job that is nearly over are not written task by
// task, as its final record replaces them; those of one that drags on are.
func TestNearlyCompleteJobDefersChunkWrite(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 2, 1, 0)
	starts := f.directCommands()[0].Commands
	tasks := []protocol.TaskStatus{completed(starts[0])}
	for _, start := range starts[1:] {
		tasks = append(tasks, running(start))
	}
	written := time.Duration(0)
	for began := f.now; f.now < began+2*limits.MaxChunkWriteDelay && written == 0; f.now += time.Second {
		f.sendHeartbeat(0, tasks...)
		for _, write := range effectsOf[WriteRecords](f.tick()) {
			if write.Bulk {
				written = f.now - began
			}
		}
	}
	if written < limits.MaxChunkWriteDelay {
		t.Errorf("written after %v", written)
	}
}

// TestDirectReplyDoesNotReleaseTask: a start that went out in the answer to a heartbeat may still be on its
// way when a direct command is answered; only the next heartbeat shows that it is lost.
func TestDirectReplyDoesNotReleaseTask(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	m := f.scheduler.inventory.find(f.machine(0))
	m.noDirectUntil = time.Hour // commands go out in answers to heartbeats only
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	if n := countVerb(f.sendHeartbeat(0), protocol.CommandStart); n != 1 {
		t.Fatalf("%d starts", n)
	}
	m.noDirectUntil, m.directID = 0, 77
	f.step(DirectCommandsDone{ID: 77, Machine: m.name, Heartbeat: f.heartbeat(f.machine(0))})
	if len(m.assignments) != 1 {
		t.Fatal("released by the answer to a direct command")
	}
	f.step(ProbeDone{Machine: m.name, Heartbeat: f.heartbeat(f.machine(0))})
	if len(m.assignments) != 1 {
		t.Fatal("released by the answer to a probe")
	}
	m.noDirectUntil = time.Hour
	// Our answer was lost, so the machine is unverified and gets no start yet.
	if n := countVerb(f.sendHeartbeat(0), protocol.CommandStart); n != 0 || len(m.assignments) != 0 {
		t.Fatalf("after a heartbeat without it: %d starts, %d assigned", n, len(m.assignments))
	}
	if n := countVerb(f.sendHeartbeat(0), protocol.CommandStart); n != 1 || len(m.assignments) != 1 {
		t.Fatalf("not placed again: %d starts", n)
	}
}

// TestMachineThatReceivesNothing: a machine whose heartbeats arrive while answers and commands don't reach
// it loses one start at most, gets no other until a round trip is seen, and is deleted in time; what it
// completes counts.
func TestMachineThatReceivesNothing(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 2, 8, 0)
	starts := 0
	countDirectStarts := func() {
		for _, direct := range f.directCommands() {
			starts += countVerb(direct.Commands, protocol.CommandStart)
			f.step(DirectCommandsDone{ID: direct.ID, Machine: direct.Machine}) // no answer
		}
	}
	countDirectStarts()
	m := f.scheduler.inventory.find(f.machine(0))
	m.registration = registered
	var attempt uint64
	for _, a := range m.assignments {
		attempt = a.attempt
	}
	// Its next heartbeats come on other connections. One task that it had got all the same is done.
	done := completed(protocol.Command{Task: "job-1/0", Attempt: max(attempt, 1)})
	deleted := false
	for range 20 {
		f.now += time.Second
		received := HeartbeatReceived{Entitled: true, Heartbeat: f.heartbeat(f.machine(0), done)}
		for _, reply := range effectsOf[HeartbeatReply](f.step(received)) {
			starts += countVerb(reply.Commands, protocol.CommandStart)
		}
		countDirectStarts()
		for _, deletion := range effectsOf[DeleteMachines](f.tick()) {
			deleted = deleted || slices.Contains(deletion.Machines, m.name)
		}
		countDirectStarts()
	}
	if starts > 2 {
		t.Errorf("%d starts to a machine that hears nothing", starts)
	}
	if !deleted {
		t.Error("not deleted")
	}
	if j := f.scheduler.jobs.find("job-1"); j.doneCount != 1 {
		t.Errorf("%d results count", j.doneCount)
	}
}

// TestDuplicateHeartbeats: copies of heartbeats, however late, prove nothing: no machine counts as alive because
// of them, no lease is extended, and a leader that does not know a machine that is gone does not add it.
func TestDuplicateHeartbeats(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	earlierTerm := f.heartbeatWith(0, 50, running(protocol.Command{Task: "job-1/0", Attempt: 1}))
	earlierTerm.FencingToken = 2
	checkCopyFromEarlierTerm(t, f, earlierTerm)
	checkCopyBeforeOriginal(t, f)
	checkStaleCopies(t, f, earlierTerm)
	checkLateHeartbeat(t, f)
}

// replyToCopy returns the answer to a heartbeat on another connection.
func (f *schedulerFixture) replyToCopy(heartbeat *protocol.Heartbeat, relayed bool) HeartbeatReply {
	f.t.Helper()
	copied := *heartbeat
	return f.reply(HeartbeatReceived{Entitled: true, Relayed: relayed, Heartbeat: &copied})
}

// checkCopyFromEarlierTerm: a heartbeat of an earlier term adds no machine that is not known; of one that
// is, nothing is believed, and it is answered.
func checkCopyFromEarlierTerm(t *testing.T, f *schedulerFixture, earlierTerm *protocol.Heartbeat) {
	t.Helper()
	gone := *earlierTerm
	gone.Machine, gone.Tasks = "m-gone", nil
	for _, relayed := range []bool{false, true} {
		f.replyToCopy(&gone, relayed)
	}
	if f.scheduler.inventory.find("m-gone") != nil {
		t.Error("a copy added a machine")
	}
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	if reply := f.replyToCopy(earlierTerm, false); !reply.Accepted {
		t.Error("a worker that waits for this answer gets none")
	}
	m := f.scheduler.inventory.find(f.machine(0))
	if m.hasReported || m.fenced || len(m.assignments) > 0 || f.scheduler.isSchedulable(m) {
		t.Errorf("believed: reported %v fenced %v assignments %d", m.hasReported, m.fenced, len(m.assignments))
	}
}

// checkCopyBeforeOriginal: a copy overtakes its original, and the start in its answer gets lost. The answer
// to the original brings it again, but not once the job is cancelled.
func checkCopyBeforeOriginal(t *testing.T, f *schedulerFixture) {
	t.Helper()
	m := f.scheduler.inventory.find(f.machine(0))
	m.noDirectUntil = time.Hour
	f.sendHeartbeat(0)
	f.sendHeartbeat(0)
	original := f.heartbeatWith(0, f.sequence)
	m.registration = registered
	if reply := f.replyToCopy(original, false); countVerb(reply.Commands, protocol.CommandStart) != 1 {
		t.Errorf("the original brings %+v", reply.Commands)
	}
	f.version++
	cancelled := storage.OpenJob{Cancelled: true, Spec: f.scheduler.jobs.find("job-1").spec}
	f.step(JobChanged{JobID: "job-1", Version: 100 + f.version, Record: cancelled})
	if reply := f.replyToCopy(original, false); !reply.Accepted ||
		countVerb(reply.Commands, protocol.CommandStart) != 0 {
		t.Errorf("after the cancellation: %+v", reply)
	}
}

// checkStaleCopies: a copy of our term is answered like the original within the time that the worker
// waits, and does not keep the machine alive.
func checkStaleCopies(t *testing.T, f *schedulerFixture, earlierTerm *protocol.Heartbeat) {
	t.Helper()
	m := f.scheduler.inventory.find(f.machine(0))
	f.sequence = 60
	f.sendHeartbeat(0)
	lastHeartbeatAt, leaseRenewedAt := m.lastHeartbeatAt, m.leaseRenewedAt
	newest := f.heartbeatWith(0, f.sequence)
	if !f.replyToCopy(newest, false).Accepted {
		t.Error("the original behind a copy is not answered")
	}
	if f.replyToCopy(f.heartbeatWith(0, 40), true).Accepted {
		t.Error("an older one is answered")
	}
	f.now += 30 * time.Second
	if f.replyToCopy(newest, true).Accepted {
		t.Error("a copy that comes after a lease is answered")
	}
	if reply := f.replyToCopy(earlierTerm, true); reply.Accepted && len(reply.Commands) > 0 {
		t.Errorf("a copy from an earlier term brings %+v", reply.Commands)
	}
	if m.lastHeartbeatAt != lastHeartbeatAt || m.leaseRenewedAt != leaseRenewedAt {
		t.Error("a copy counts as a heartbeat")
	}
}

// checkLateHeartbeat: a heartbeat that is new to us and comes after a gap may be late as well, so the
// machine gets no tasks until it answers.
func checkLateHeartbeat(t *testing.T, f *schedulerFixture) {
	t.Helper()
	m := f.scheduler.inventory.find(f.machine(0))
	late := f.heartbeat(f.machine(0))
	late.Incarnation = 2
	f.step(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: late})
	if f.scheduler.isSchedulable(m) {
		t.Error("schedulable by a late heartbeat")
	}
	probed := f.heartbeat(f.machine(0))
	probed.Incarnation = 2
	f.step(ProbeDone{Machine: m.name, Heartbeat: probed})
	if !f.scheduler.isSchedulable(m) {
		t.Error("not schedulable after a round trip")
	}
}

// TestTasksReleasedOnConfirmedDeletion: tasks of a machine that is being returned stay assigned until the cloud
// confirms its deletion.
func TestTasksReleasedOnConfirmedDeletion(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	m := f.scheduler.inventory.find(f.machine(0))
	f.scheduler.returnMachine(m, "test")
	f.tick()
	f.step(DeletionDone{Machines: []string{m.name}})
	if len(m.assignments) != 1 || f.scheduler.inventory.find(m.name) == nil {
		t.Fatal("released by a deletion that was not confirmed")
	}
	f.step(DeletionDone{Machines: []string{m.name}, OK: true})
	if len(m.assignments) != 0 || f.scheduler.inventory.find(m.name) != nil {
		t.Fatal("not released")
	}
}

// TestHeartbeatWhileNotEntitled: who may not act accepts no heartbeat, and takes nothing from it that would count as a
// renewed lease; so with a worker that has seen a later leader.
func TestHeartbeatWhileNotEntitled(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	heartbeat, laterTerm := f.heartbeatWith(0, 50), f.heartbeatWith(0, 50)
	laterTerm.FencingToken = 4
	for _, e := range []HeartbeatReceived{{Heartbeat: heartbeat}, {Heartbeat: laterTerm, Entitled: true}} {
		for _, reply := range effectsOf[HeartbeatReply](f.step(e)) {
			if reply.Accepted {
				t.Errorf("accepted: %+v", e)
			}
		}
	}
	if m := f.scheduler.inventory.find(f.machine(0)); m.hasReported || m.leaseRenewedAt > 0 {
		t.Errorf("counted as a heartbeat: %+v", m)
	}
}
