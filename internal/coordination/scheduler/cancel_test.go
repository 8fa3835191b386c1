package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestCancelledTaskOnMachineWithSpotNotice checks that a machine on which a cancelled task does not stop
// is deleted in time, even if the machine has a spot notice.
func TestCancelledTaskOnMachineWithSpotNotice(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	start := f.directCommands()[0].Commands[0]
	task := protocol.TaskStatus{Task: "job-1/0", Attempt: start.Attempt, State: protocol.TaskRunning}
	f.sendHeartbeat(0, task)
	f.cancel("job-1", 0)
	m := f.scheduler.inventory.find(f.machine(0))
	m.spotNotice, m.spotReclaimAt = true, time.Hour
	for end := f.now + 20*time.Second; f.now < end; f.now += time.Second {
		f.sendHeartbeat(0, task)
		f.step(Tick{Entitled: true})
	}
	if !m.deleting {
		t.Error("the machine of the cancelled task is not deleted")
	}
}

// TestCancelledTaskEndsInTime checks a machine that keeps reporting a cancelled task despite stop
// commands and whose deletion is never confirmed. Its heartbeats must be rejected early enough that its
// lease expires within cancel_s of the cancellation, even if a failover happens in between: the new leader
// counts from the cancellation too. The heartbeats of a machine without such a task are always accepted.
func TestCancelledTaskEndsInTime(t *testing.T) {
	for _, age := range []time.Duration{0, 10 * time.Second, 25 * time.Second, time.Hour} {
		t.Run(fmt.Sprintf("age=%v", age), func(t *testing.T) { checkCancelledTaskEndsInTime(t, age) })
	}
}

// checkCancelledTaskEndsInTime runs the check with a scheduler that observes the cancellation when it is
// that old.
func checkCancelledTaskEndsInTime(t *testing.T, age time.Duration) {
	const cancelTime, lease = 34 * time.Second, 14 * time.Second // as in the fixture's settings
	f := newSchedulerFixture(t, 2)
	f.sendHeartbeat(0)
	f.sendHeartbeat(1)
	f.submitJob("job-1", "red", "standard", 1, 8, 0)
	task := f.confirmDirectStarts()
	holder := f.scheduler.jobs.find("job-1").assignments[0].machine.name
	f.cancel("job-1", age)
	observedAt := f.now
	confirmedAt := f.now - age
	if age >= cancelTime {
		// A leader that had observed the cancellation would have let the worker's lease expire by now. So
		// no leader has, and the cancellation was not confirmed to the user before.
		confirmedAt = f.now
	}
	var deletedAt, lastAcceptedAt time.Duration
	for f.now < confirmedAt+cancelTime {
		f.now += time.Second
		for i := range 2 {
			heartbeat := f.heartbeat(f.machine(i))
			if heartbeat.Machine == holder {
				heartbeat.Tasks = []protocol.TaskStatus{task}
			}
			accepted := f.sendAndCheckAccepted(heartbeat)
			if accepted && heartbeat.Machine == holder {
				lastAcceptedAt = f.now
			} else if !accepted && heartbeat.Machine != holder {
				t.Fatal("heartbeat of the other machine not accepted")
			}
		}
		for _, effect := range f.step(Tick{Entitled: true}) {
			if deletion, ok := effect.(DeleteMachines); ok && deletedAt == 0 {
				if deletion.Machines[0] != holder || len(deletion.Machines) != 1 {
					t.Fatalf("deletion of %v, want only %s", deletion.Machines, holder)
				}
				deletedAt = f.now
			}
		}
	}
	if lastAcceptedAt != 0 && lastAcceptedAt+lease > confirmedAt+cancelTime {
		t.Errorf("heartbeats accepted until %v after the cancellation was confirmed", lastAcceptedAt-confirmedAt)
	}
	if deletedAt == 0 || deletedAt > confirmedAt+30*time.Second {
		t.Errorf("deletion requested %v after the cancellation was confirmed", deletedAt-confirmedAt)
	}
	if deletedAt < observedAt+limits.CancelStopGrace {
		t.Errorf("deletion requested %v after the scheduler observed the cancellation, want at least %v",
			deletedAt-observedAt, limits.CancelStopGrace)
	}
}

// cancelSetting is a worker lease and the time within which the tasks of a cancelled job must have ended.
type cancelSetting struct{ lease, cancelWithin time.Duration }

// cancelSettings are the settings with which cancellations are tested.
var cancelSettings = []cancelSetting{
	{14 * time.Second, 34 * time.Second},
	{22 * time.Second, 42 * time.Second},
	{27 * time.Second, 47 * time.Second},
	{27 * time.Second, 30 * time.Second},
	{30 * time.Second, 30 * time.Second},
}

// TestNewLeaderLetsLeaseOfCancelledTaskExpire checks a machine that runs a task of a cancelled job and
// reaches a new leader some time after the cancellation, with the fencing token of the earlier leader. The
// reply must not renew its lease beyond cancel_s, however the heartbeat arrives, and while it may renew it,
// it must stop the task.
func TestNewLeaderLetsLeaseOfCancelledTaskExpire(t *testing.T) {
	routes := map[string]func(*schedulerFixture, *protocol.Heartbeat) HeartbeatReply{
		"direct":          (*schedulerFixture).sendUnfenced,
		"machine unknown": (*schedulerFixture).sendUnfencedFromUnknownMachine,
		"relayed":         (*schedulerFixture).sendUnfencedRelayed,
		"returned":        (*schedulerFixture).sendUnfencedFromReturnedMachine,
		"already fenced":  (*schedulerFixture).sendUnfencedAfterProbe,
	}
	for name, send := range routes {
		for _, settings := range cancelSettings {
			t.Run(fmt.Sprintf("%s, lease %v of %v", name, settings.lease, settings.cancelWithin), func(t *testing.T) {
				for age := time.Duration(0); age < settings.cancelWithin; age += time.Second {
					f := newSchedulerFixtureWithTimes(t, 2, settings.lease, settings.cancelWithin)
					f.submitJob("job-1", "red", "standard", 1, 8, 0)
					f.cancel("job-1", age)
					cancelledAt := f.now - age
					reply := send(f, f.heartbeat(f.machine(0), runningTask("job-1/0")))
					elapsed := f.now - cancelledAt
					switch endsInTime := elapsed+settings.lease <= settings.cancelWithin; {
					case reply.Accepted && !endsInTime:
						t.Errorf("lease renewed %v after the cancellation", elapsed)
					case reply.Accepted && countVerb(reply.Commands, protocol.CommandStop) != 1:
						t.Errorf("reply %v after the cancellation has the commands %v, want a stop",
							elapsed, reply.Commands)
					case !reply.Accepted && elapsed+limits.LeaseExpiredAfter(settings.lease) < settings.cancelWithin:
						t.Errorf("heartbeat rejected %v after the cancellation, when the lease may be renewed", elapsed)
					}
				}
			})
		}
	}
}

// TestOverdueStopIsSentDirectly checks that a machine whose heartbeats are rejected because of a cancelled
// task still gets stops: after a heartbeat with an earlier token it is probed, and after each heartbeat with
// this term's token the stop is sent directly. That holds even if the machine is to be deleted, its
// heartbeats are relayed, and earlier stops got no reply.
func TestOverdueStopIsSentDirectly(t *testing.T) {
	const lease, cancelWithin = 27 * time.Second, 47 * time.Second
	f := newSchedulerFixtureWithTimes(t, 2, lease, cancelWithin)
	f.submitJob("job-1", "red", "standard", 1, 8, 0)
	f.cancel("job-1", cancelWithin-lease)
	m := f.scheduler.inventory.find(f.machine(0))
	f.scheduler.returnMachine(m, "test")
	f.now += limits.ProbeInterval
	task := runningTask("job-1/0")
	if reply := f.sendUnfenced(f.heartbeat(m.name, task)); reply.Accepted {
		t.Fatal("lease renewed for an overdue task")
	}
	probed := slices.ContainsFunc(f.effects, func(e Effect) bool { _, ok := e.(ProbeMachine); return ok })
	if !probed {
		t.Errorf("effects %+v, want a probe", f.effects)
	}
	f.step(ProbeDone{Machine: m.name, Heartbeat: f.heartbeat(m.name, task)})
	f.answerDirectCommands(nil)
	for range 3 {
		f.now += time.Second
		m.missedProbes = 1 // so that a relayed heartbeat is processed
		f.step(HeartbeatReceived{Entitled: true, Relayed: true, Heartbeat: f.heartbeat(m.name, task)})
		sent := f.directCommands()
		if len(sent) != 1 || countVerb(sent[0].Commands, protocol.CommandStop) != 1 {
			t.Fatalf("direct commands %+v after a rejected heartbeat, want one stop", sent)
		}
		f.answerDirectCommands(nil)
	}
}

// TestHeldUpStartDoesNotOutliveCancellation checks a machine to which a start was sent directly without a
// reply before its job was cancelled. The start may arrive at any time while the lease lasts, so the lease
// must end within cancel_s although the heartbeats do not list the task.
func TestHeldUpStartDoesNotOutliveCancellation(t *testing.T) {
	for _, settings := range cancelSettings {
		t.Run(fmt.Sprintf("lease %v of %v", settings.lease, settings.cancelWithin), func(t *testing.T) {
			f := newSchedulerFixtureWithTimes(t, 1, settings.lease, settings.cancelWithin)
			f.sendHeartbeat(0)
			f.submitJob("job-1", "red", "standard", 1, 8, 0)
			if len(f.directCommands()) != 1 {
				t.Fatalf("effects %+v, want a direct start", f.effects)
			}
			f.answerDirectCommands(nil)
			f.cancel("job-1", 0)
			cancelledAt, renewedAt := f.now, time.Duration(0)
			for f.now < cancelledAt+settings.cancelWithin {
				f.now += time.Second
				if f.sendAndCheckAccepted(f.heartbeat(f.machine(0))) {
					renewedAt = f.now
				}
			}
			if renewedAt != 0 && renewedAt+settings.lease > cancelledAt+settings.cancelWithin {
				t.Errorf("lease renewed %v after the cancellation", renewedAt-cancelledAt)
			}
		})
	}
}

// TestCancellationPeriodRestartsOnlyIfOver checks a leader that reads the record of a cancelled job about
// cancel_s after the cancellation, as well as the clocks allow to tell. While the period may not be over, an
// earlier leader may have confirmed the cancellation, and the lease of a machine with a task must not be renewed.
func TestCancellationPeriodRestartsOnlyIfOver(t *testing.T) {
	const lease, cancelWithin, clockError = 14 * time.Second, 34 * time.Second, time.Second
	for _, age := range []time.Duration{cancelWithin - clockError, cancelWithin, cancelWithin + clockError} {
		f := newSchedulerFixtureWithTimes(t, 1, lease, cancelWithin)
		f.submitJob("job-1", "red", "standard", 1, 8, 0)
		f.version++
		f.step(JobChanged{
			JobID: "job-1", Version: 100 + f.version,
			Record:            storage.OpenJob{Cancelled: true, Spec: f.scheduler.jobs.find("job-1").spec},
			SinceCancellation: age + clockError, MinSinceCancellation: age - clockError,
		})
		reply := f.sendUnfenced(f.heartbeat(f.machine(0), runningTask("job-1/0")))
		if isOver := age-clockError >= cancelWithin; reply.Accepted != isOver {
			t.Errorf("cancelled about %v ago: heartbeat accepted %v, want %v", age, reply.Accepted, isOver)
		}
	}
}

// TestStartOfEarlierLeaderDoesNotOutliveCancellation checks a machine that reaches a new leader with the fencing
// token of the earlier leader, whose direct start of a task that was cancelled long ago may still be on its way.
// The heartbeat does not list the task. The lease must not be renewed before the worker has seen the new token,
// with which it refuses the start, and a probe must convey the token.
func TestStartOfEarlierLeaderDoesNotOutliveCancellation(t *testing.T) {
	const lease, cancelWithin = 27 * time.Second, 47 * time.Second
	for _, overdue := range []bool{false, true} {
		t.Run(fmt.Sprintf("overdue %v", overdue), func(t *testing.T) {
			f := newSchedulerFixtureWithTimes(t, 1, lease, cancelWithin)
			f.submitJob("job-1", "red", "standard", 1, 8, 0)
			age := limits.CancelHeartbeatWindow(cancelWithin, lease) - limits.ProbeInterval - time.Second
			if overdue {
				age += 2 * time.Second
			}
			f.cancel("job-1", age)
			f.now += limits.ProbeInterval
			reply := f.sendUnfenced(f.heartbeat(f.machine(0)))
			probed := slices.ContainsFunc(f.effects, func(e Effect) bool { _, ok := e.(ProbeMachine); return ok })
			if reply.Accepted == overdue || probed != overdue {
				t.Errorf("accepted %v, probed %v; want %v, %v", reply.Accepted, probed, !overdue, overdue)
			}
			f.step(ProbeDone{Machine: f.machine(0), Heartbeat: f.heartbeat(f.machine(0))})
			if !f.sendAndCheckAccepted(f.heartbeat(f.machine(0))) {
				t.Error("heartbeat with the new token rejected")
			}
		})
	}
}

// runningTask returns the status of a running task that an earlier term has started.
func runningTask(task string) protocol.TaskStatus {
	return protocol.TaskStatus{Task: task, Attempt: 1, State: protocol.TaskRunning}
}

// answerDirectCommands answers the direct commands of the last event with a heartbeat, or with none if the
// workers did not reply.
func (f *schedulerFixture) answerDirectCommands(heartbeat *protocol.Heartbeat) {
	for _, sent := range f.directCommands() {
		f.step(DirectCommandsDone{ID: sent.ID, Machine: sent.Machine, Heartbeat: heartbeat})
	}
}

// sendUnfenced sends a heartbeat with the fencing token of the term before, and returns the reply.
func (f *schedulerFixture) sendUnfenced(heartbeat *protocol.Heartbeat) HeartbeatReply {
	return f.sendUnfencedEvent(HeartbeatReceived{Entitled: true, Heartbeat: heartbeat})
}

func (f *schedulerFixture) sendUnfencedEvent(event HeartbeatReceived) HeartbeatReply {
	f.t.Helper()
	event.Heartbeat.FencingToken = 2
	for _, effect := range f.step(event) {
		if reply, ok := effect.(HeartbeatReply); ok {
			return reply
		}
	}
	f.t.Fatalf("no reply to a heartbeat: %+v", f.effects)
	return HeartbeatReply{}
}

func (f *schedulerFixture) sendUnfencedFromUnknownMachine(heartbeat *protocol.Heartbeat) HeartbeatReply {
	heartbeat.Machine = "m-unknown"
	return f.sendUnfenced(heartbeat)
}

// sendUnfencedRelayed sends a heartbeat through another controller, from a machine that did not answer a
// probe.
func (f *schedulerFixture) sendUnfencedRelayed(heartbeat *protocol.Heartbeat) HeartbeatReply {
	f.scheduler.inventory.find(heartbeat.Machine).missedProbes = 1
	return f.sendUnfencedEvent(HeartbeatReceived{Entitled: true, Relayed: true, Heartbeat: heartbeat})
}

func (f *schedulerFixture) sendUnfencedFromReturnedMachine(heartbeat *protocol.Heartbeat) HeartbeatReply {
	f.scheduler.returnMachine(f.scheduler.inventory.find(heartbeat.Machine), "test")
	return f.sendUnfenced(heartbeat)
}

// sendUnfencedAfterProbe sends a heartbeat that was sent before the worker answered a probe.
func (f *schedulerFixture) sendUnfencedAfterProbe(heartbeat *protocol.Heartbeat) HeartbeatReply {
	f.step(ProbeDone{Machine: heartbeat.Machine, Heartbeat: f.heartbeat(heartbeat.Machine, heartbeat.Tasks...)})
	return f.sendUnfenced(heartbeat)
}

// confirmDirectStarts answers the direct commands of the last event as workers that have started the
// tasks, one task per command. It returns the last of these tasks.
func (f *schedulerFixture) confirmDirectStarts() protocol.TaskStatus {
	var task protocol.TaskStatus
	for _, sent := range f.directCommands() {
		start := sent.Commands[0]
		task = protocol.TaskStatus{Task: start.Task, Attempt: start.Attempt, State: protocol.TaskRunning}
		f.step(DirectCommandsDone{ID: sent.ID, Machine: sent.Machine, Heartbeat: f.heartbeat(sent.Machine, task)})
	}
	return task
}

// sendAndCheckAccepted sends a heartbeat and reports whether it is accepted. Direct commands that result
// from it get no reply from their workers.
func (f *schedulerFixture) sendAndCheckAccepted(heartbeat *protocol.Heartbeat) bool {
	accepted := false
	for _, effect := range f.step(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: heartbeat}) {
		switch effect := effect.(type) {
		case SendDirectCommands:
			f.step(DirectCommandsDone{ID: effect.ID, Machine: effect.Machine})
		case HeartbeatReply:
			accepted = effect.Accepted
		}
	}
	return accepted
}
