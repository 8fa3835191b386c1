package scheduler

import (
	"fmt"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// heartbeatReply sends a heartbeat of machine 0 with the given fencing token, which must be accepted, and returns the
// reply.
func (f *schedulerFixture) heartbeatReply(token uint64, tasks ...protocol.TaskStatus) HeartbeatReply {
	f.t.Helper()
	heartbeat := f.heartbeat(f.machine(0), tasks...)
	heartbeat.FencingToken = token
	reply := f.replyTo(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: heartbeat})
	if !reply.Accepted {
		f.t.Fatalf("heartbeat with token %d not accepted: %s", token, reply.Reason)
	}
	return reply
}

// startDirectly submits a job and returns the direct command with its starts to machine 0, which has no outcome yet.
func (f *schedulerFixture) startDirectly(job string, tasks int) SendDirectCommands {
	f.t.Helper()
	f.submitJob(job, "red", "standard", tasks, 1, 0)
	sent := f.directCommands()
	if len(sent) != 1 || countVerb(sent[0].Commands, protocol.CommandStart) != tasks {
		f.t.Fatalf("direct commands %+v, want one with %d starts", sent, tasks)
	}
	return sent[0]
}

// answer processes the worker's answer to a direct command, with the given tasks.
func (f *schedulerFixture) answer(sent SendDirectCommands, tasks ...protocol.TaskStatus) {
	heartbeat := f.heartbeat(sent.Machine, tasks...)
	heartbeat.FencingToken = sent.FencingToken
	f.step(DirectCommandsDone{ID: sent.ID, Machine: sent.Machine, Heartbeat: heartbeat})
}

// endedStatus returns the status of an ended task that was started by the given command.
func endedStatus(start protocol.Command, reason protocol.EndReason) protocol.TaskStatus {
	status := completedStatus(start)
	status.Reason = reason
	return status
}

// TestForgetFencesDirectStart guards against an ended attempt that a copy of its direct start runs again.
func TestForgetFencesDirectStart(t *testing.T) {
	for _, reason := range []protocol.EndReason{
		protocol.ReasonError, protocol.ReasonStopped, protocol.ReasonNoRoom, protocol.ReasonAttemptExists,
		protocol.ReasonUnknownTask,
	} {
		t.Run(string(reason), func(t *testing.T) {
			f := newSchedulerFixture(t, 1)
			f.sendHeartbeat(0)
			sent := f.startDirectly("job-1", 1)
			ended := endedStatus(sent.Commands[0], reason)
			listed := []protocol.TaskStatus{ended}
			f.answer(sent, ended)
			for _, direct := range f.directCommands() { // of the next attempt
				if countVerb(direct.Commands, protocol.CommandForget) > 0 {
					t.Errorf("command to forget sent directly: %+v", direct)
				}
				listed = append(listed, runningStatus(direct.Commands[0]))
				f.answer(direct, listed...)
			}
			first := f.heartbeatReply(sent.FencingToken, listed...)
			if countVerb(first.Commands, protocol.CommandForget) != 1 || first.FencingToken <= sent.FencingToken {
				t.Fatalf("reply %+v after a direct start with token %d, want a forget and a higher token",
					first, sent.FencingToken)
			}
			repeated := f.heartbeatReply(sent.FencingToken, listed...) // the first reply was lost
			if countVerb(repeated.Commands, protocol.CommandForget) != 1 || repeated.FencingToken < first.FencingToken {
				t.Errorf("repeated reply %+v, want a forget and at least token %d", repeated, first.FencingToken)
			}
		})
	}
}

// TestForgetWaitsForDirectCommand guards against rejected direct commands and an unbounded list of ended attempts.
func TestForgetWaitsForDirectCommand(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	first := f.startDirectly("job-1", 1)
	ended := endedStatus(first.Commands[0], protocol.ReasonStopped)
	f.answer(first, ended)
	pending := f.directCommands() // the task is started again
	if len(pending) != 1 {
		t.Fatalf("direct commands %+v, want one", pending)
	}
	reply := f.heartbeatReply(first.FencingToken, ended)
	if len(reply.Commands) != 0 || reply.FencingToken != first.FencingToken {
		t.Fatalf("reply %+v while a direct command is in flight, want no forget and token %d",
			reply, first.FencingToken)
	}
	list := []protocol.TaskStatus{ended}
	for i := range limits.MaxWithheldForgets {
		list = append(list, protocol.TaskStatus{
			Task: fmt.Sprintf("job-9/%d", i), Attempt: 1, State: protocol.TaskEnded, Reason: protocol.ReasonStopped,
		})
	}
	reply = f.heartbeatReply(first.FencingToken, list...)
	forgets := countVerb(reply.Commands, protocol.CommandForget)
	if forgets != len(list) || reply.FencingToken <= first.FencingToken {
		t.Errorf("%d forgets with token %d in the reply to a full list, want %d with a token above %d",
			forgets, reply.FencingToken, len(list), first.FencingToken)
	}
}

// TestUnansweredStartIsReleasedOnceRejected guards against a task that stays assigned for the rest of the term.
func TestUnansweredStartIsReleasedOnceRejected(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	sent := f.startDirectly("job-1", 1)
	f.step(DirectCommandsDone{ID: sent.ID, Machine: sent.Machine}) // no answer
	m := f.scheduler.inventory.find(f.machine(0))
	if len(m.assignments) != 1 {
		t.Fatal("task released although its start may arrive")
	}
	unknown := protocol.TaskStatus{Task: "job-9/0", Attempt: 1, State: protocol.TaskEnded}
	raised := f.heartbeatReply(sent.FencingToken, unknown)
	if raised.FencingToken <= sent.FencingToken {
		t.Fatalf("token %d of a reply with a forget, want more than %d", raised.FencingToken, sent.FencingToken)
	}
	f.heartbeatReply(sent.FencingToken) // sent before the reply arrived
	if len(m.assignments) != 1 || m.assignments["job-1/0"].attempt != sent.Commands[0].Attempt {
		t.Fatal("task released although the worker may not have the higher token yet")
	}
	f.heartbeatReply(raised.FencingToken)
	if a := m.assignments["job-1/0"]; a != nil && a.attempt == sent.Commands[0].Attempt {
		t.Error("task still assigned although its start is rejected")
	}
}

// TestEndedGangAttemptIsNotStartedDirectly guards against a gang task that a copy of its direct start runs again.
func TestEndedGangAttemptIsNotStartedDirectly(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	s := f.scheduler
	m := s.inventory.find(f.machine(0))
	m.directBackoffUntil = time.Hour
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	a := m.assignments["job-1/0"]
	if a == nil || a.state != stateUnsent {
		t.Fatalf("assignment %+v, want one whose start is not sent", a)
	}
	key := attemptKey{a.taskName, a.attempt}
	m.endedTasks[key] = endedTask{}
	if commands := s.assignments.buildDirectCommands(m); len(commands) != 0 {
		t.Fatalf("direct commands %+v for an attempt that the worker lists as ended", commands)
	}
	delete(m.endedTasks, key)
	if commands := s.assignments.buildDirectCommands(m); countVerb(commands, protocol.CommandStart) != 1 {
		t.Errorf("direct commands %+v once the attempt is forgotten, want the start", commands)
	}
}

// TestTokensAreReservedAheadOfUse guards against a successor whose term is not above all tokens that workers have.
func TestTokensAreReservedAheadOfUse(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	m := f.scheduler.inventory.find(f.machine(0))
	first := f.scheduler.LastFencingToken()
	reservations := map[uint64]WriteRecords{} // by ID
	raise := func() {
		m.directStartToken = f.scheduler.fencingTokenOf(m) // as after a direct command with a start
		unknown := protocol.TaskStatus{Task: "job-9/0", Attempt: 1, State: protocol.TaskEnded}
		reply := f.heartbeatReply(f.scheduler.fencingTokenOf(m), unknown)
		for _, write := range effectsOf[WriteRecords](f.effects) {
			if write.Operations[0].Put == storage.KeyTerm {
				reservations[write.ID] = write
			}
		}
		forgets := countVerb(reply.Commands, protocol.CommandForget)
		if fenced := reply.FencingToken > m.directStartToken; forgets > 0 != fenced {
			t.Fatalf("reply %+v after a direct start with token %d: a forget without a fence, or the reverse",
				reply, m.directStartToken)
		}
		if reply.FencingToken > f.scheduler.LastFencingToken() {
			t.Fatalf("token %d sent, but only %d is reserved", reply.FencingToken, f.scheduler.LastFencingToken())
		}
	}
	for range 3 * first {
		raise()
	}
	if got := f.scheduler.fencingTokenOf(m); got != first || len(reservations) != 1 {
		t.Fatalf("token %d and %d reservations before one is confirmed, want %d and 1", got, len(reservations), first)
	}
	for id, write := range reservations {
		if len(write.Conditions) != 1 || write.Conditions[0].Key != storage.KeyTerm {
			t.Errorf("conditions of the reservation are %+v, want the version of the term key", write.Conditions)
		}
		f.step(WriteCompleted{ID: id, Committed: true, Version: 70})
	}
	raise()
	if got := f.scheduler.fencingTokenOf(m); got != first+1 {
		t.Errorf("token %d after the reservation, want %d", got, first+1)
	}
}

// TestInvalidTokensOfWorkers guards against workers whose impossible tokens stop the leader or flood its log.
func TestInvalidTokensOfWorkers(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	warnings := 0
	countWarnings := func() {
		for _, entry := range effectsOf[LogEntry](f.effects) {
			if entry.Message[:14] == "worker reports" {
				warnings++
			}
		}
	}
	unsent := f.scheduler.cfg.Term + 4
	f.heartbeatReply(unsent)
	countWarnings()
	m := f.scheduler.inventory.find(f.machine(0))
	ended := protocol.TaskStatus{Task: "job-9/0", Attempt: 1, State: protocol.TaskEnded}
	if reply := f.heartbeatReply(unsent, ended); reply.FencingToken <= unsent || len(reply.Commands) != 1 {
		t.Errorf("reply %+v to a worker with the unsent token %d, want a forget with a higher token", reply, unsent)
	}
	countWarnings()
	for i := range 20 {
		heartbeat := f.heartbeat(f.machine(0))
		heartbeat.FencingToken = f.scheduler.LastFencingToken() + 1 + uint64(i%2)
		if reply := f.replyTo(HeartbeatReceived{Entitled: true, Heartbeat: heartbeat}); reply.Accepted {
			t.Errorf("heartbeat with token %d accepted", heartbeat.FencingToken)
		}
		countWarnings()
		f.heartbeatReply(f.scheduler.cfg.Term + uint64(i%2))
		countWarnings()
	}
	if warnings != 1 || !m.hasReported {
		t.Errorf("%d warnings within a second, want 1", warnings)
	}
	f.now += limits.FencingTokenWarningInterval
	f.heartbeatReply(f.scheduler.cfg.Term)
	countWarnings()
	if warnings != 2 {
		t.Errorf("%d warnings after %v, want 2", warnings, limits.FencingTokenWarningInterval)
	}
	f.sendHeartbeat(1) // the other workers are served
}

// TestRestartedAttemptIsReportedAndStopped guards against an attempt that runs again unnoticed after its end.
func TestRestartedAttemptIsReportedAndStopped(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	sent := f.startDirectly("job-1", 1)
	start := sent.Commands[0]
	f.answer(sent, endedStatus(start, protocol.ReasonError))
	f.heartbeatReply(sent.FencingToken, endedStatus(start, protocol.ReasonError))
	f.heartbeatReply(sent.FencingToken) // forgotten
	reports := 0
	for range 3 {
		reply := f.heartbeatReply(sent.FencingToken, runningStatus(start))
		reports += len(effectsOf[AttemptRestarted](f.effects))
		if countVerb(reply.Commands, protocol.CommandStop) != 1 {
			t.Errorf("reply %+v to a worker that runs a forgotten attempt, want a stop", reply)
		}
	}
	if reports != 1 {
		t.Errorf("the attempt is reported %d times, want once", reports)
	}
}
