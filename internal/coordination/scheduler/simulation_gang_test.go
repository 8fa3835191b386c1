package scheduler

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// The simulated workers run gangs as the protocol says: the tasks of one attempt find each other,
// start and complete together, notice the loss of one, and save together or not at all.

// simulatedGang is one attempt of a gang.
type simulatedGangAttempt struct {
	spec               protocol.Spec
	started            bool
	completesAt        time.Duration
	taskLostAt         time.Duration // when it lost a task while it ran; 0: never
	firstStopAt        time.Duration
	peerDetectionDelay time.Duration   // how long its tasks take to notice a loss
	gatheredTasks      map[string]bool // names of its tasks that have waited for the others on some machine
}

// gangEvents counts what happened to gangs, to show that the generated days covered it.
type gangEventCounts struct{ started, taskLost, gatherTimedOut, taskReplaced, saved, stoppedUnsaved, completed int }

func (e *gangEventCounts) checkCoverage(t *testing.T) {
	t.Logf("gangs: %+v", *e)
	const minCount = 5
	if min(e.started, e.taskLost, e.taskReplaced, e.saved, e.stoppedUnsaved, e.completed) < minCount {
		t.Errorf("some of these events hardly happened: %+v", *e)
	}
}

// gangOf returns the gang attempt that a task belongs to, or nil if its job is no gang.
func (s *simulation) gangAttemptOf(task *simulatedTask) *simulatedGangAttempt {
	id, _, _ := protocol.ParseTaskName(task.name)
	spec := s.jobs[id].spec
	if !spec.Gang() {
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

// peerTimeout is the longest time in which a gang's tasks notice that one is gone.
func (s *simulation) gangPeerDetection() time.Duration {
	return limits.Seconds(*s.workerTimes.GangPeerS)
}

// placedTasks returns the tasks of each attempt that are on their machines.
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

// gather makes a gang's task that has its image wait for the others.
func (s *simulation) startGathering(machine *simulatedMachine, task *simulatedTask) {
	s.startTask(machine, task)
	if gang := s.gangAttemptOf(task); gang.gatheredTasks[task.name] {
		s.gangEvents.taskReplaced++
	} else {
		gang.gatheredTasks[task.name] = true
	}
	id, index, _ := protocol.ParseTaskName(task.name)
	task.state = protocol.TaskGathering
	task.gatherDeadline = s.now + limits.Seconds(*s.workerTimes.GangWaitS)
	if s.jobs[id].completedTasks[index] {
		s.endTask(machine, task, protocol.ReasonDone)
	}
}

// runGangs advances all gangs to the current time.
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

// runGang advances one attempt of a gang. Tasks on a machine that hangs count as gone.
func (s *simulation) advanceGang(gang *simulatedGangAttempt, members []executingTask) {
	responsive := members[:0:0]
	for _, m := range members {
		if s.now >= m.machine.hungUntil {
			responsive = append(responsive, m)
		}
	}
	switch {
	case gang.started && len(members) == 0: // over
	case !gang.started:
		s.advanceGatheringGang(gang, responsive)
	case gang.taskLostAt != 0:
		if s.now >= gang.taskLostAt+gang.peerDetectionDelay {
			s.endTasks(responsive, protocol.ReasonPeers)
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

// endTasks ends all of some tasks for the same reason.
func (s *simulation) endTasks(members []executingTask, reason protocol.EndReason) {
	for _, m := range members {
		s.endTask(m.machine, m.task, reason)
	}
}

// gatherGang starts a gang that is complete, and ends tasks that have waited too long.
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
			s.endTask(m.machine, m.task, protocol.ReasonIncomplete)
			s.gangEvents.gatherTimedOut++
		}
	}
}

// completeGang ends a gang whose work is done: all its tasks complete at the same time.
func (s *simulation) completeGang(members []executingTask) {
	s.gangEvents.completed++
	for _, m := range members {
		id, index, _ := protocol.ParseTaskName(m.task.name)
		s.jobs[id].completedTasks[index] = true
	}
	s.endTasks(members, protocol.ReasonDone)
}

// stopGangTask tells a task of a gang to stop.
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

// stopGang ends a gang that was told to stop. Its work is saved if all tasks were told in time;
// otherwise its tasks give up once they have noticed that some are missing.
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
		s.endTasks(members, protocol.ReasonPeers)
		s.gangEvents.stoppedUnsaved++
	}
}
