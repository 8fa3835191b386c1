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
type simulatedGang struct {
	spec        protocol.Spec
	started     bool
	completesAt time.Duration
	lostTaskAt  time.Duration // when it lost a task while it ran; 0: never
	firstStopAt time.Duration
	noticeDelay time.Duration   // how long its tasks take to notice a loss
	gathered    map[string]bool // names of its tasks that have waited for the others on some machine
}

// gangEvents counts what happened to gangs, to show that the generated days covered it.
type gangEvents struct{ started, lost, incomplete, replaced, saved, unsaved, completed int }

func (e *gangEvents) check(t *testing.T) {
	t.Logf("gangs: %+v", *e)
	const least = 5
	if min(e.started, e.lost, e.replaced, e.saved, e.unsaved, e.completed) < least {
		t.Errorf("some of these events hardly happened: %+v", *e)
	}
}

// gangOf returns the gang attempt that a task belongs to, or nil if its job is no gang.
func (s *simulation) gangOf(task *simulatedTask) *simulatedGang {
	id, _, _ := protocol.ParseTaskName(task.name)
	spec := s.jobs[id].spec
	if !spec.IsGang() {
		return nil
	}
	key := fmt.Sprintf("%s#%x", id, task.attempt)
	gang := s.gangs[key]
	if gang == nil {
		gang = &simulatedGang{spec: spec, noticeDelay: s.between(0, s.peerTimeout()), gathered: map[string]bool{}}
		s.gangs[key] = gang
	}
	return gang
}

// peerTimeout is the longest time in which a gang's tasks notice that one is gone.
func (s *simulation) peerTimeout() time.Duration {
	return limits.Seconds(*s.workers.GangPeerDetectionS)
}

// placedTasks returns the tasks of each attempt that are on their machines.
func (s *simulation) gangMembers() map[*simulatedGang][]placedTask {
	members := map[*simulatedGang][]placedTask{}
	for _, name := range s.machineNames() {
		machine := s.machines[name]
		if machine.removed {
			continue
		}
		for _, task := range machine.tasks {
			if gang := s.gangOf(task); gang != nil && task.onMachine() {
				members[gang] = append(members[gang], placedTask{machine, task})
			}
		}
	}
	return members
}

// gather makes a gang's task that has its image wait for the others.
func (s *simulation) gather(machine *simulatedMachine, task *simulatedTask) {
	s.beginTask(machine, task)
	if gang := s.gangOf(task); gang.gathered[task.name] {
		s.seen.replaced++
	} else {
		gang.gathered[task.name] = true
	}
	id, index, _ := protocol.ParseTaskName(task.name)
	task.state = protocol.TaskGathering
	task.gatherDeadline = s.now + limits.Seconds(*s.workers.GangWaitTimeoutS)
	if s.jobs[id].done[index] {
		s.endTask(machine, task, protocol.ReasonDone)
	}
}

// runGangs advances all gangs to the current time.
func (s *simulation) runGangs() {
	members := s.gangMembers()
	keys := make([]string, 0, len(s.gangs))
	for key := range s.gangs {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.runGang(s.gangs[key], members[s.gangs[key]])
	}
}

// runGang advances one attempt of a gang. Tasks on a machine that hangs count as gone.
func (s *simulation) runGang(gang *simulatedGang, members []placedTask) {
	responsive := members[:0:0]
	for _, m := range members {
		if s.now >= m.machine.hungUntil {
			responsive = append(responsive, m)
		}
	}
	switch {
	case gang.started && len(members) == 0: // over
	case !gang.started:
		s.gatherGang(gang, responsive)
	case gang.lostTaskAt != 0:
		if s.now >= gang.lostTaskAt+gang.noticeDelay {
			s.endTasks(responsive, protocol.ReasonPeerLost)
		}
	case len(responsive) < gang.spec.Tasks && gang.firstStopAt == 0:
		gang.lostTaskAt = s.now
		s.seen.lost++
	case gang.firstStopAt != 0:
		s.stopGang(gang, responsive)
	case s.now >= gang.completesAt:
		s.completeGang(responsive)
	}
}

// endTasks ends all of some tasks for the same reason.
func (s *simulation) endTasks(members []placedTask, reason protocol.EndReason) {
	for _, m := range members {
		s.endTask(m.machine, m.task, reason)
	}
}

// gatherGang starts a gang that is complete, and ends tasks that have waited too long.
func (s *simulation) gatherGang(gang *simulatedGang, members []placedTask) {
	if len(members) == gang.spec.Tasks {
		s.seen.started++
		gang.started, gang.completesAt = true, s.now+s.between(2*time.Second, 12*time.Second)
		for _, m := range members {
			m.task.state = protocol.TaskRunning
			m.machine.reportBy(s.now + statusChangeDelay)
			id, _, _ := protocol.ParseTaskName(m.task.name)
			if m.machine.faulty || s.alwaysFailing[id] {
				s.endTask(m.machine, m.task, protocol.ReasonError)
			}
		}
		return
	}
	for _, m := range members {
		if s.now >= m.task.gatherDeadline {
			s.endTask(m.machine, m.task, protocol.ReasonGangIncomplete)
			s.seen.incomplete++
		}
	}
}

// completeGang ends a gang whose work is done: all its tasks complete at the same time.
func (s *simulation) completeGang(members []placedTask) {
	s.seen.completed++
	for _, m := range members {
		id, index, _ := protocol.ParseTaskName(m.task.name)
		s.jobs[id].done[index] = true
	}
	s.endTasks(members, protocol.ReasonDone)
}

// stopGangTask tells a task of a gang to stop.
func (s *simulation) stopGangTask(machine *simulatedMachine, task *simulatedTask, grace float64) {
	gang := s.gangOf(task)
	if task.state != protocol.TaskRunning || gang.spec.CheckpointS == 0 || grace < gang.spec.SaveS {
		if !task.toldToStop || grace == 0 || task.state != protocol.TaskRunning {
			s.endTask(machine, task, protocol.ReasonStopped)
		}
		return
	}
	task.toldToStop = true
	if gang.firstStopAt == 0 {
		gang.firstStopAt = s.now
	}
}

// stopGang ends a gang that was told to stop. Its work is saved if all tasks were told in time;
// otherwise its tasks give up once they have noticed that some are missing.
func (s *simulation) stopGang(gang *simulatedGang, members []placedTask) {
	toldToStop := 0
	for _, m := range members {
		if m.task.toldToStop {
			toldToStop++
		}
	}
	save := limits.Seconds(gang.spec.SaveS)
	switch {
	case toldToStop == gang.spec.Tasks && s.now >= gang.firstStopAt+save:
		s.endTasks(members, protocol.ReasonStopped)
		s.seen.saved++
	case s.now >= gang.firstStopAt+s.peerTimeout()+save:
		s.endTasks(members, protocol.ReasonPeerLost)
		s.seen.unsaved++
	}
}
