package scheduler

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// Delays of a simulated worker.
const (
	statusReportDelay     = 500 * time.Millisecond // until a change of its tasks is reported
	heartbeatReplyTimeout = 4 * time.Second        // until it gives up waiting for the reply to a heartbeat
	heartbeatRetryDelay   = time.Second            // until the next heartbeat after one that failed
)

// simulatedMachine is a machine of the cloud and the worker on it.
type simulatedMachine struct {
	protocol.Machine
	bootedAt         time.Duration
	down             bool // runs nothing, but stays listed
	removed          bool // the cloud does not have it any more
	faulty           bool // every task fails on it
	hungUntil        time.Duration
	partitionedUntil time.Duration
	unreachableUntil time.Duration        // its heartbeats arrive, replies and commands don't reach it
	connectedTo      *simulatedController // accepted its last heartbeat; the next one uses the same connection
	incarnation      uint64
	sequence         uint64
	fencingToken     uint64
	leaseStartedAt   time.Duration
	heartbeatSentAt  time.Duration // of the heartbeat in flight; -1: none
	nextHeartbeatAt  time.Duration
	spotReclaimAt    time.Duration // when a spot notice takes effect; 0: there is none
	tasks            []*simulatedTask
}

// remove takes the machine and all that runs on it out of the cloud.
func (m *simulatedMachine) remove() {
	m.removed, m.tasks = true, nil
}

// reportBy makes the next heartbeat go out at a time, if it would not go out sooner.
func (m *simulatedMachine) sendHeartbeatBy(at time.Duration) {
	m.nextHeartbeatAt = min(m.nextHeartbeatAt, at)
}

// findTask returns the task that a command names, or nil, and whether another attempt of it has not
// ended.
func (m *simulatedMachine) findTask(command protocol.Command) (found *simulatedTask, otherAttempt bool) {
	for _, task := range m.tasks {
		if task.name == command.Task && task.attempt == command.Attempt {
			found = task
		} else if task.name == command.Task && task.state != protocol.TaskEnded {
			otherAttempt = true
		}
	}
	return found, otherAttempt
}

// simulatedTask is an attempt of a task that a worker knows.
type simulatedTask struct {
	name        string
	attempt     uint64
	state       protocol.TaskState
	reason      protocol.EndReason
	fetchEndsAt time.Duration
	endsAt      time.Duration
	saveEndsAt  time.Duration

	gatherDeadline time.Duration // of a gang's task: when it gives up waiting for the others
	stopRequested  bool          // of a gang's task: it will save with the others
}

// onMachine reports whether the task uses resources of its machine.
func (t *simulatedTask) isExecuting() bool {
	return t.state == protocol.TaskRunning || t.state == protocol.TaskSaving || t.state == protocol.TaskGathering
}

func (s *simulation) machineNames() []string {
	var names []string
	for name := range s.machines {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *simulation) cpusOf(machine *simulatedMachine) float64 {
	for _, machineType := range s.types {
		if machineType.Name == machine.MachineType {
			return machineType.CPUs
		}
	}
	return 0
}

// heartbeat returns the worker's next heartbeat.
func (s *simulation) newHeartbeat(machine *simulatedMachine) *protocol.Heartbeat {
	machine.sequence++
	heartbeat := &protocol.Heartbeat{
		Machine:      machine.Name,
		Address:      machine.Address,
		MachineType:  machine.MachineType,
		Zone:         machine.Zone,
		Spot:         machine.Spot,
		Incarnation:  machine.incarnation,
		Sequence:     machine.sequence,
		FencingToken: machine.fencingToken,
	}
	if machine.spotReclaimAt != 0 {
		remainingS := (machine.spotReclaimAt - s.now).Seconds()
		heartbeat.SpotNoticeS = &remainingS
	}
	for _, task := range machine.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{
			Task: task.name, Attempt: task.attempt, State: task.state, Reason: task.reason,
		})
	}
	return heartbeat
}

// expireLease starts a new incarnation of the worker if its lease has expired.
func (s *simulation) restartIfLeaseExpired(machine *simulatedMachine) {
	if s.now > machine.leaseStartedAt+limits.Seconds(s.workerTimes.LeaseS) {
		machine.tasks = nil
		machine.incarnation++
		machine.leaseStartedAt = s.now
		machine.heartbeatSentAt = -1
	}
}

// runMachine advances a worker to the current time.
func (s *simulation) advanceMachine(machine *simulatedMachine) {
	if machine.removed || machine.down || s.now < machine.bootedAt {
		return
	}
	if machine.spotReclaimAt != 0 && s.now >= machine.spotReclaimAt {
		machine.remove()
		return
	}
	s.restartIfLeaseExpired(machine) // a machine that hung goes on within its lease or not at all (docs/questions.md)
	if s.now < machine.hungUntil {
		return
	}
	for _, task := range machine.tasks {
		s.advanceTask(machine, task)
	}
	if machine.heartbeatSentAt >= 0 && s.now >= machine.heartbeatSentAt+heartbeatReplyTimeout {
		machine.heartbeatSentAt = -1
		machine.nextHeartbeatAt = s.now + heartbeatRetryDelay
	}
	if machine.heartbeatSentAt < 0 && s.now >= machine.nextHeartbeatAt {
		s.sendHeartbeat(machine)
	}
}

// runTask advances a task to the current time. Running gangs are advanced by runGangs.
func (s *simulation) advanceTask(machine *simulatedMachine, task *simulatedTask) {
	switch task.state {
	case protocol.TaskFetching:
		if s.now < task.fetchEndsAt {
			return
		}
		if s.gangAttemptOf(task) != nil {
			s.startGathering(machine, task)
			return
		}
		s.startTask(machine, task)
	case protocol.TaskRunning:
		if s.now >= task.endsAt && s.gangAttemptOf(task) == nil {
			s.completeTask(machine, task)
		}
	case protocol.TaskSaving:
		if s.now >= task.saveEndsAt {
			s.endTask(machine, task, protocol.ReasonStopped)
		}
	}
}

// beginTask starts a task on its machine.
func (s *simulation) startTask(machine *simulatedMachine, task *simulatedTask) {
	task.state = protocol.TaskRunning
	if task.endsAt == 0 {
		task.endsAt = s.now + s.randomDuration(2*time.Second, 12*time.Second)
	}
	machine.sendHeartbeatBy(s.now + statusReportDelay)
	s.checkStartedTask(machine, task)
}

// completeTask ends an independent task that has run for its time.
func (s *simulation) completeTask(machine *simulatedMachine, task *simulatedTask) {
	id, index, _ := protocol.ParseTaskName(task.name)
	if machine.faulty || s.alwaysFailingJobs[id] {
		s.endTask(machine, task, protocol.ReasonError)
		return
	}
	s.jobs[id].completedTasks[index] = true
	s.endTask(machine, task, protocol.ReasonDone)
}

func (s *simulation) endTask(machine *simulatedMachine, task *simulatedTask, reason protocol.EndReason) {
	task.state, task.reason = protocol.TaskEnded, reason
	machine.sendHeartbeatBy(s.now + statusReportDelay)
}

// acceptReply handles the reply to a heartbeat. It reports whether the worker's lease was renewed.
func (s *simulation) handleHeartbeatReply(
	machine *simulatedMachine, heartbeat *protocol.Heartbeat, sentAt time.Duration, reply *protocol.HeartbeatReply,
) bool {
	if machine.removed || s.now < machine.hungUntil || machine.heartbeatSentAt != sentAt {
		return false
	}
	if heartbeat.Incarnation != machine.incarnation {
		return false
	}
	s.restartIfLeaseExpired(machine)
	if heartbeat.Incarnation != machine.incarnation {
		return false
	}
	machine.heartbeatSentAt = -1
	if reply == nil || reply.FencingToken < machine.fencingToken {
		machine.sendHeartbeatBy(s.now + heartbeatRetryDelay)
		return false
	}
	if reply.FencingToken > machine.fencingToken {
		machine.fencingToken = reply.FencingToken
		machine.sendHeartbeatBy(s.now + statusReportDelay)
	}
	machine.leaseStartedAt = sentAt
	if len(reply.Commands) > 0 {
		s.executeCommands(machine, reply.Commands)
		machine.sendHeartbeatBy(s.now + statusReportDelay)
	}
	return true
}

// execute carries out a leader's commands.
func (s *simulation) executeCommands(machine *simulatedMachine, commands []protocol.Command) {
	for _, command := range commands {
		task, otherAttempt := machine.findTask(command)
		switch command.Verb {
		case protocol.CommandStart:
			if task == nil {
				s.addTask(machine, command, otherAttempt)
			}
		case protocol.CommandStop:
			if task != nil && task.state != protocol.TaskEnded {
				s.stopTask(machine, task, command.GraceS)
			}
		case protocol.CommandForget:
			if task != nil && task.state == protocol.TaskEnded {
				i := slices.Index(machine.tasks, task)
				machine.tasks = append(machine.tasks[:i], machine.tasks[i+1:]...)
			}
		}
	}
}

// acceptTask adds a task that was commanded to start, or lists it as refused.
func (s *simulation) addTask(machine *simulatedMachine, command protocol.Command, otherAttempt bool) {
	usedCPUs := 0.0
	for _, other := range machine.tasks {
		if other.state != protocol.TaskEnded {
			usedCPUs += s.jobOf(other).spec.CPUs
		}
	}
	task := &simulatedTask{
		name:        command.Task,
		attempt:     command.Attempt,
		state:       protocol.TaskFetching,
		fetchEndsAt: s.now + s.randomDuration(0, 3*time.Second),
	}
	machine.tasks = append(machine.tasks, task)
	id, index, _ := protocol.ParseTaskName(command.Task)
	job := s.jobs[id]
	switch {
	case otherAttempt:
		task.state, task.reason = protocol.TaskEnded, protocol.ReasonBusy
	case usedCPUs+job.spec.CPUs > s.cpusOf(machine)+1e-9:
		task.state, task.reason = protocol.TaskEnded, protocol.ReasonNoRoom
	case job.completedTasks[index]:
		task.endsAt = task.fetchEndsAt // the worker has kept the result
	}
}

// stopTask stops a task, which saves before if it can.
func (s *simulation) stopTask(machine *simulatedMachine, task *simulatedTask, graceS *float64) {
	if s.gangAttemptOf(task) != nil {
		s.stopGangTask(machine, task, *graceS)
		return
	}
	spec := s.jobOf(task).spec
	canSave := task.state == protocol.TaskRunning && spec.CheckpointS > 0 && graceS != nil && *graceS >= spec.SaveS
	switch {
	case canSave:
		task.state, task.saveEndsAt = protocol.TaskSaving, s.now+limits.Seconds(spec.SaveS)
	case task.state != protocol.TaskSaving || *graceS == 0:
		task.state, task.reason = protocol.TaskEnded, protocol.ReasonStopped
	}
}

// describe names a task, its machine and the time in messages.
func (s *simulation) describeTask(machine *simulatedMachine, task *simulatedTask) string {
	return fmt.Sprintf("at %v: %s attempt %x on %s", s.now, task.name, task.attempt, machine.Name)
}
