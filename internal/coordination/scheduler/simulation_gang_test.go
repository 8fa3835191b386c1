package scheduler

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// The simulated workers run gangs as the protocol specifies. The tasks of one attempt wait for each
// other, run and complete together, and detect the loss of a task. When they are stopped, either all of
// them save their work or none does.

// simulatedGangAttempt is one attempt of a gang, on all its machines.
type simulatedGangAttempt struct {
	spec               protocol.Spec
	started            bool
	completesAt        time.Duration
	taskLostAt         time.Duration // when a task was lost while the gang ran; 0: never
	firstStopAt        time.Duration
	peerDetectionDelay time.Duration   // from the loss of a task until the others detect it
	gatheredTasks      map[string]bool // names of the tasks that have gathered at least once
}

// gangEventCounts counts the events of gangs in all scenarios of a test. TestRules checks that its
// scenarios cover them.
type gangEventCounts struct{ started, taskLost, gatherTimedOut, taskReplaced, saved, stoppedUnsaved, completed int }

// checkCoverage fails the test if one of the events, other than a gather timeout, occurred fewer than
// minCount times.
func (e *gangEventCounts) checkCoverage(t *testing.T) {
	t.Logf("gang events: %+v", *e)
	const minCount = 5
	if min(e.started, e.taskLost, e.taskReplaced, e.saved, e.stoppedUnsaved, e.completed) < minCount {
		t.Errorf("too few gang events of some kind: %+v; want at least %d", *e, minCount)
	}
}

// gangAttemptOf returns the gang attempt that a task belongs to, or nil if its job is not a gang.
func (s *simulation) gangAttemptOf(task *simulatedTask) *simulatedGangAttempt {
	id, _, _ := protocol.ParseTaskName(task.name)
	spec := s.jobs[id].spec
	if !spec.IsGang() {
		return nil
	}
	key := fmt.Sprintf("%s#%x", id, task.attempt)
	gang := s.gangAttempts[key]
	if gang == nil {
		gang = &simulatedGangAttempt{
			spec:               spec,
			peerDetectionDelay: s.randomDuration(0, s.gangPeerDetection()),
			gatheredTasks:      map[string]bool{},
		}
		s.gangAttempts[key] = gang
	}
	return gang
}

// gangPeerDetection returns the longest time until the tasks of a gang detect the loss of one of them.
func (s *simulation) gangPeerDetection() time.Duration {
	return limits.Seconds(*s.workerTimes.GangPeerDetectionS)
}

// executingTasksByGang returns the executing tasks of each gang attempt.
func (s *simulation) executingTasksByGang() map[*simulatedGangAttempt][]executingTask {
	members := map[*simulatedGangAttempt][]executingTask{}
	for _, name := range s.machineNames() {
		machine := s.machines[name]
		if machine.removed {
			continue
		}
		for _, task := range machine.tasks {
			if gang := s.gangAttemptOf(task); gang != nil && task.isExecuting() {
				members[gang] = append(members[gang], executingTask{machine, task})
			}
		}
	}
	return members
}

// startGathering makes a gang task whose image is fetched wait for the other tasks. A task that completed
// in an earlier attempt ends at once as completed.
func (s *simulation) startGathering(machine *simulatedMachine, task *simulatedTask) {
	s.startTask(machine, task)
	if gang := s.gangAttemptOf(task); gang.gatheredTasks[task.name] {
		s.gangEvents.taskReplaced++
	} else {
		gang.gatheredTasks[task.name] = true
	}
	id, index, _ := protocol.ParseTaskName(task.name)
	task.state = protocol.TaskGathering
	task.gatherDeadline = s.now + limits.Seconds(*s.workerTimes.GangWaitTimeoutS)
	if s.jobs[id].completedTasks[index] {
		s.endTask(machine, task, protocol.ReasonDone)
	}
}

// advanceGangs advances all gang attempts to the current time.
func (s *simulation) advanceGangs() {
	members := s.executingTasksByGang()
	keys := make([]string, 0, len(s.gangAttempts))
	for key := range s.gangAttempts {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.advanceGang(s.gangAttempts[key], members[s.gangAttempts[key]])
	}
}

// advanceGang advances one gang attempt to the current time. Tasks on a hung machine count as lost.
func (s *simulation) advanceGang(gang *simulatedGangAttempt, members []executingTask) {
	responsive := members[:0:0]
	for _, m := range members {
		if s.now >= m.machine.hungUntil {
			responsive = append(responsive, m)
		}
	}
	switch {
	case gang.started && len(members) == 0: // all tasks have ended
	case !gang.started:
		s.advanceGatheringGang(gang, responsive)
	case gang.taskLostAt != 0:
		if s.now >= gang.taskLostAt+gang.peerDetectionDelay {
			s.endTasks(responsive, protocol.ReasonPeerLost)
		}
	case len(responsive) < gang.spec.Tasks && gang.firstStopAt == 0:
		gang.taskLostAt = s.now
		s.gangEvents.taskLost++
	case gang.firstStopAt != 0:
		s.advanceStoppingGang(gang, responsive)
	case s.now >= gang.completesAt:
		s.completeGang(responsive)
	}
}

// endTasks ends several tasks for the same reason.
func (s *simulation) endTasks(members []executingTask, reason protocol.EndReason) {
	for _, m := range members {
		s.endTask(m.machine, m.task, reason)
	}
}

// advanceGatheringGang starts the gang if all its tasks are gathering. Otherwise it ends the tasks whose
// gather timeout has expired.
func (s *simulation) advanceGatheringGang(gang *simulatedGangAttempt, members []executingTask) {
	if len(members) == gang.spec.Tasks {
		s.gangEvents.started++
		gang.started, gang.completesAt = true, s.now+s.randomDuration(2*time.Second, 12*time.Second)
		for _, m := range members {
			m.task.state = protocol.TaskRunning
			m.machine.sendHeartbeatBy(s.now + statusReportDelay)
			id, _, _ := protocol.ParseTaskName(m.task.name)
			if m.machine.faulty || s.alwaysFailingJobs[id] {
				s.endTask(m.machine, m.task, protocol.ReasonError)
			}
		}
		return
	}
	for _, m := range members {
		if s.now >= m.task.gatherDeadline {
			s.endTask(m.machine, m.task, protocol.ReasonGangIncomplete)
			s.gangEvents.gatherTimedOut++
		}
	}
}

// completeGang completes all tasks of a gang at the same time.
func (s *simulation) completeGang(members []executingTask) {
	s.gangEvents.completed++
	for _, m := range members {
		id, index, _ := protocol.ParseTaskName(m.task.name)
		s.jobs[id].completedTasks[index] = true
	}
	s.endTasks(members, protocol.ReasonDone)
}

// stopGangTask executes a stop command for a gang task. A running task that can save within the
// grace period continues, and advanceStoppingGang ends it with the other tasks. Any other task ends at
// once. A repeated stop command whose grace period is too short to save has no effect, unless the grace
// period is 0.
func (s *simulation) stopGangTask(machine *simulatedMachine, task *simulatedTask, grace float64) {
	gang := s.gangAttemptOf(task)
	if task.state != protocol.TaskRunning || gang.spec.CheckpointS == 0 || grace < gang.spec.SaveS {
		if !task.stopRequested || grace == 0 || task.state != protocol.TaskRunning {
			s.endTask(machine, task, protocol.ReasonStopped)
		}
		return
	}
	task.stopRequested = true
	if gang.firstStopAt == 0 {
		gang.firstStopAt = s.now
	}
}

// advanceStoppingGang ends a gang of which a task has received a stop command. The work is saved if all
// tasks receive one in time. Otherwise all tasks end unsaved when they detect that some do not save.
func (s *simulation) advanceStoppingGang(gang *simulatedGangAttempt, members []executingTask) {
	stopRequests := 0
	for _, m := range members {
		if m.task.stopRequested {
			stopRequests++
		}
	}
	saveTime := limits.Seconds(gang.spec.SaveS)
	switch {
	case stopRequests == gang.spec.Tasks && s.now >= gang.firstStopAt+saveTime:
		s.endTasks(members, protocol.ReasonStopped)
		s.gangEvents.saved++
	case s.now >= gang.firstStopAt+s.gangPeerDetection()+saveTime:
		s.endTasks(members, protocol.ReasonPeerLost)
		s.gangEvents.stoppedUnsaved++
	}
}
