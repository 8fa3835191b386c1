package scheduler

import (
	"slices"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestResultIsForgottenOnceDurable checks that a worker is instructed to forget a result only after the
// state service has confirmed the write of the chunk that contains it.
func TestResultIsForgottenOnceDurable(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 20, 1, 0)
	direct := f.directCommands()
	if len(direct) != 1 || countVerb(direct[0].Commands, protocol.CommandStart) != 8 {
		t.Fatalf("want one direct command with 8 starts: %+v", f.effects)
	}
	f.step(DirectCommandsDone{ID: direct[0].ID, Machine: direct[0].Machine}) // no reply
	done, other := completedStatus(direct[0].Commands[0]), runningStatus(direct[0].Commands[1])
	if done.Task != "job-1/0" || other.Task != "job-1/1" {
		t.Fatalf("starts not in the order of the tasks: %+v", direct[0].Commands)
	}
	if commands := f.sendHeartbeat(0, done, other); countVerb(commands, protocol.CommandForget) != 0 {
		t.Fatalf("instructed to forget the result before it is written: %+v", commands)
	}
	f.now += 5 * time.Second
	var result *WriteRecords
	for _, write := range effectsOf[WriteRecords](f.tick()) {
		if write.Operations[0].Put == storage.FinishedTasksKey("job-1", 0) {
			result = &write
		}
	}
	if result == nil {
		t.Fatalf("no write of the result: %+v", f.effects)
	}
	if commands := f.sendHeartbeat(0, done, other); countVerb(commands, protocol.CommandForget) != 0 {
		t.Fatalf("instructed to forget the result while its write is in flight: %+v", commands)
	}
	f.step(WriteCompleted{ID: result.ID, Committed: true, Version: 500})
	if commands := f.sendHeartbeat(0, done, other); countVerb(commands, protocol.CommandForget) != 1 {
		t.Fatalf("not instructed to forget the durable result: %+v", commands)
	}
}

// TestNearlyCompleteJobDefersChunkWrite checks that the chunk write of a nearly complete job is deferred,
// because the job's final record usually replaces it. If the job takes longer than expected, the chunk is
// written after limits.MaxChunkWriteDelay.
func TestNearlyCompleteJobDefersChunkWrite(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 2, 1, 0)
	starts := f.directCommands()[0].Commands
	tasks := []protocol.TaskStatus{completedStatus(starts[0])}
	for _, start := range starts[1:] {
		tasks = append(tasks, runningStatus(start))
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
		t.Errorf("chunk written after %v (0: never), want at least %v", written, limits.MaxChunkWriteDelay)
	}
}

// TestDirectReplyDoesNotReleaseTask checks that a task whose start was sent in a heartbeat reply is not
// released when the reply to a direct command or a probe does not list it: the heartbeat reply may still be
// in flight. Only the next heartbeat shows that the start is lost.
func TestDirectReplyDoesNotReleaseTask(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	m := f.scheduler.inventory.find(f.machine(0))
	m.directBackoffUntil = time.Hour // send commands only in heartbeat replies
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	if n := countVerb(f.sendHeartbeat(0), protocol.CommandStart); n != 1 {
		t.Fatalf("%d starts in the heartbeat reply, want 1", n)
	}
	m.directBackoffUntil, m.pendingDirectID = 0, 77
	f.step(DirectCommandsDone{ID: 77, Machine: m.name, Heartbeat: f.heartbeat(f.machine(0))})
	if len(m.assignments) != 1 {
		t.Fatal("task released by the reply to a direct command")
	}
	f.step(ProbeDone{Machine: m.name, Heartbeat: f.heartbeat(f.machine(0))})
	if len(m.assignments) != 1 {
		t.Fatal("task released by the reply to a probe")
	}
	m.directBackoffUntil = time.Hour
	// The heartbeat shows that the reply with the start was lost. The task is released, but the machine
	// is now unverified and gets no new start yet.
	if n := countVerb(f.sendHeartbeat(0), protocol.CommandStart); n != 0 || len(m.assignments) != 0 {
		t.Fatalf("after a heartbeat without the task: %d starts, %d assignments; want none", n, len(m.assignments))
	}
	if n := countVerb(f.sendHeartbeat(0), protocol.CommandStart); n != 1 || len(m.assignments) != 1 {
		t.Fatalf("task not placed again: %d starts, %d assignments; want 1 of each", n, len(m.assignments))
	}
}

// TestStartSurvivesReplyOfAnotherMachine guards against a task that is never started: the direct command with
// its start is answered by another machine, which has the address now.
func TestStartSurvivesReplyOfAnotherMachine(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	f.sendHeartbeat(0)
	f.sendHeartbeat(1)
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	sent := f.directCommands()
	if len(sent) != 1 || countVerb(sent[0].Commands, protocol.CommandStart) != 1 {
		t.Fatalf("direct commands %+v, want one start", sent)
	}
	other := map[string]string{f.machine(0): f.machine(1), f.machine(1): f.machine(0)}[sent[0].Machine]
	f.step(DirectCommandsDone{ID: sent[0].ID, Machine: sent[0].Machine, Heartbeat: f.heartbeat(other)})
	starts := 0
	for range 90 {
		f.now += time.Second
		for i := range 2 {
			starts += countVerb(f.sendHeartbeat(i), protocol.CommandStart)
			for _, direct := range f.directCommands() {
				starts += countVerb(direct.Commands, protocol.CommandStart)
			}
		}
	}
	if starts == 0 {
		t.Errorf("no further start in 90 s, although the machine sends heartbeats")
	}
}

// TestMachineThatReceivesNothing checks a machine whose heartbeats arrive but which receives neither
// replies nor commands. At most one start to it is lost, because it gets no further start until a round
// trip succeeds. It is deleted in time, and results that it reports still count.
func TestMachineThatReceivesNothing(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 2, 8, 0)
	starts := 0
	countDirectStarts := func() {
		for _, direct := range f.directCommands() {
			starts += countVerb(direct.Commands, protocol.CommandStart)
			f.step(DirectCommandsDone{ID: direct.ID, Machine: direct.Machine}) // no reply
		}
	}
	countDirectStarts()
	m := f.scheduler.inventory.find(f.machine(0))
	m.registration = registered
	var attempt uint64
	for _, a := range m.assignments {
		attempt = a.attempt
	}
	// The following heartbeats come on new connections. They report that one task did arrive and is done.
	done := completedStatus(protocol.Command{Task: "job-1/0", Attempt: max(attempt, 1)})
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
		t.Errorf("%d starts sent to a machine that receives nothing, want at most 2", starts)
	}
	if !deleted {
		t.Error("machine not deleted")
	}
	if j := f.scheduler.jobs.find("job-1"); j.doneCount != 1 {
		t.Errorf("%d tasks done, want 1", j.doneCount)
	}
}

// TestDuplicateHeartbeats checks that duplicates of heartbeats are no evidence, however late they arrive:
// they do not make a machine count as reachable, do not renew its lease, and do not add a deleted machine
// to the inventory.
func TestDuplicateHeartbeats(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	earlierTerm := f.heartbeatWithSequence(0, 50, runningStatus(protocol.Command{Task: "job-1/0", Attempt: 1}))
	earlierTerm.FencingToken = 2
	checkDuplicateFromEarlierTerm(t, f, earlierTerm)
	checkDuplicateBeforeOriginal(t, f)
	checkStaleDuplicates(t, f, earlierTerm)
	checkLateHeartbeat(t, f)
}

// replyToDuplicate sends a duplicate of a heartbeat on another connection and returns the reply.
func (f *schedulerFixture) replyToDuplicate(heartbeat *protocol.Heartbeat, relayed bool) HeartbeatReply {
	f.t.Helper()
	copied := *heartbeat
	return f.replyTo(HeartbeatReceived{Entitled: true, Relayed: relayed, Heartbeat: &copied})
}

// checkDuplicateFromEarlierTerm checks that a heartbeat of an earlier term does not add an unknown machine. For
// a known machine it is accepted, but its contents are ignored.
func checkDuplicateFromEarlierTerm(t *testing.T, f *schedulerFixture, earlierTerm *protocol.Heartbeat) {
	t.Helper()
	unknown := *earlierTerm
	unknown.Machine, unknown.Tasks = "m-gone", nil
	for _, relayed := range []bool{false, true} {
		f.replyToDuplicate(&unknown, relayed)
	}
	if f.scheduler.inventory.find("m-gone") != nil {
		t.Error("a heartbeat of an earlier term added an unknown machine")
	}
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	if reply := f.replyToDuplicate(earlierTerm, false); !reply.Accepted {
		t.Error("heartbeat of an earlier term from a known machine not accepted")
	}
	m := f.scheduler.inventory.find(f.machine(0))
	if m.hasReported || m.fenced || len(m.assignments) > 0 || f.scheduler.isSchedulable(m) {
		t.Errorf("contents of the heartbeat used: reported %v, fenced %v, %d assignments",
			m.hasReported, m.fenced, len(m.assignments))
	}
}

// checkDuplicateBeforeOriginal lets a duplicate of a heartbeat arrive before its original, so that the worker
// never receives the reply to the duplicate, which contains a start. The reply to the original must repeat
// the start, but not after the job was cancelled.
func checkDuplicateBeforeOriginal(t *testing.T, f *schedulerFixture) {
	t.Helper()
	m := f.scheduler.inventory.find(f.machine(0))
	m.directBackoffUntil = time.Hour
	f.sendHeartbeat(0)
	f.sendHeartbeat(0)
	original := f.heartbeatWithSequence(0, f.sequence)
	m.registration = registered
	if reply := f.replyToDuplicate(original, false); countVerb(reply.Commands, protocol.CommandStart) != 1 {
		t.Errorf("reply to the original: %+v, want one start", reply.Commands)
	}
	f.version++
	cancelled := storage.OpenJob{Cancelled: true, Spec: f.scheduler.jobs.find("job-1").spec}
	f.step(JobChanged{JobID: "job-1", Version: 100 + f.version, Record: cancelled})
	if reply := f.replyToDuplicate(original, false); !reply.Accepted ||
		countVerb(reply.Commands, protocol.CommandStart) != 0 {
		t.Errorf("reply to the original after the cancellation: %+v, want it accepted without a start", reply)
	}
}

// checkStaleDuplicates checks duplicates of heartbeats of the current term. A duplicate of the newest one is
// accepted while the worker may still wait for the reply, and all others are rejected. None of them updates
// the time of the last heartbeat or renews the lease.
func checkStaleDuplicates(t *testing.T, f *schedulerFixture, earlierTerm *protocol.Heartbeat) {
	t.Helper()
	m := f.scheduler.inventory.find(f.machine(0))
	f.sequence = 60
	f.sendHeartbeat(0)
	lastHeartbeatAt, leaseRenewedAt := m.lastHeartbeatAt, m.leaseRenewedAt
	newest := f.heartbeatWithSequence(0, f.sequence)
	if !f.replyToDuplicate(newest, false).Accepted {
		t.Error("immediate duplicate of the newest heartbeat not accepted")
	}
	if f.replyToDuplicate(f.heartbeatWithSequence(0, 40), true).Accepted {
		t.Error("heartbeat with an older sequence number accepted")
	}
	f.now += 30 * time.Second
	if f.replyToDuplicate(newest, true).Accepted {
		t.Error("duplicate of the newest heartbeat accepted after the worker's lease has expired")
	}
	if reply := f.replyToDuplicate(earlierTerm, true); reply.Accepted && len(reply.Commands) > 0 {
		t.Errorf("commands in the reply to a heartbeat of an earlier term: %+v", reply.Commands)
	}
	if m.lastHeartbeatAt != lastHeartbeatAt || m.leaseRenewedAt != leaseRenewedAt {
		t.Error("a duplicate updated the time of the last heartbeat or renewed the lease")
	}
}

// checkLateHeartbeat checks a heartbeat that was not seen before but comes after a gap. It may have been
// delayed, so the machine gets no tasks until a round trip to it succeeds.
func checkLateHeartbeat(t *testing.T, f *schedulerFixture) {
	t.Helper()
	m := f.scheduler.inventory.find(f.machine(0))
	late := f.heartbeat(f.machine(0))
	late.Incarnation = 2
	f.step(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: late})
	if f.scheduler.isSchedulable(m) {
		t.Error("machine schedulable after a possibly delayed heartbeat")
	}
	probed := f.heartbeat(f.machine(0))
	probed.Incarnation = 2
	f.step(ProbeDone{Machine: m.name, Heartbeat: probed})
	if !f.scheduler.isSchedulable(m) {
		t.Error("machine not schedulable after a successful probe")
	}
}

// TestTasksReleasedOnConfirmedDeletion checks that the tasks of a machine that is being returned stay
// assigned until the cloud confirms the deletion of the machine.
func TestTasksReleasedOnConfirmedDeletion(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	m := f.scheduler.inventory.find(f.machine(0))
	f.scheduler.returnMachine(m, "test")
	f.tick()
	f.step(DeletionDone{Machines: []string{m.name}})
	if len(m.assignments) != 1 || f.scheduler.inventory.find(m.name) == nil {
		t.Fatal("task released or machine removed by a deletion that was not confirmed")
	}
	f.step(DeletionDone{Machines: []string{m.name}, Confirmed: true})
	if len(m.assignments) != 0 || f.scheduler.inventory.find(m.name) != nil {
		t.Fatal("task not released or machine not removed after its deletion was confirmed")
	}
}

// TestHeartbeatWhileNotEntitled checks that a leader whose own lease is not valid accepts no heartbeat and
// does not count it as a renewed worker lease. The same holds for the heartbeat of a worker that has seen
// the fencing token of a later leader.
func TestHeartbeatWhileNotEntitled(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	heartbeat, laterTerm := f.heartbeatWithSequence(0, 50), f.heartbeatWithSequence(0, 50)
	laterTerm.FencingToken = f.scheduler.LastFencingToken() + 1
	for _, e := range []HeartbeatReceived{{Heartbeat: heartbeat}, {Heartbeat: laterTerm, Entitled: true}} {
		for _, reply := range effectsOf[HeartbeatReply](f.step(e)) {
			if reply.Accepted {
				t.Errorf("heartbeat accepted, want it rejected: %+v", e)
			}
		}
	}
	if m := f.scheduler.inventory.find(f.machine(0)); m.hasReported || m.leaseRenewedAt > 0 {
		t.Errorf("rejected heartbeat counted as a report or renewed the lease: %+v", m)
	}
}
