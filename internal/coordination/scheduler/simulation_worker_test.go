package scheduler

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// Times of a simulated worker.
const (
	statusReportDelay     = 500 * time.Millisecond // from a change of its tasks until the next heartbeat, at most
	heartbeatReplyTimeout = 4 * time.Second        // from a heartbeat until it stops waiting for the reply
	heartbeatRetryDelay   = time.Second            // from a failed heartbeat until the next one
	longTaskRunTime       = 60 * time.Second       // additional run time of long tasks
)

// simulatedMachine is a rented machine and the worker on it.
type simulatedMachine struct {
	protocol.Machine
	bootedAt         time.Duration
	down             bool // runs nothing, but the cloud still lists it
	removed          bool // no longer exists in the cloud
	faulty           bool // all tasks fail on it
	hungUntil        time.Duration
	partitionedUntil time.Duration
	unreachableUntil time.Duration        // its heartbeats arrive, but no replies, direct commands or probes reach it
	ignoresStops     bool                 // stop commands have no effect
	connectedTo      *simulatedController // leader whose connection the next heartbeat reuses; nil: none
	incarnation      uint64
	sequence         uint64
	fencingToken     uint64
	leaseStartedAt   time.Duration
	heartbeatSentAt  time.Duration // when the heartbeat in flight was sent; -1: none in flight
	nextHeartbeatAt  time.Duration
	spotReclaimAt    time.Duration // when the cloud reclaims the machine after a spot notice; 0: no notice
	tasks            []*simulatedTask
	executedCalls    []SendDirectCommands // direct commands that were executed and answered
}

// remove removes the machine, which ends all its tasks.
func (m *simulatedMachine) remove() {
	m.removed, m.tasks = true, nil
}

// sendHeartbeatBy makes the next heartbeat due at a time, unless it is due earlier already.
func (m *simulatedMachine) sendHeartbeatBy(at time.Duration) {
	m.nextHeartbeatAt = min(m.nextHeartbeatAt, at)
}

// findTask returns the task attempt that a command names, or nil if the worker does not list it, and
// whether the worker lists another attempt of the task that has not ended.
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

// simulatedTask is an attempt of a task that a worker lists.
type simulatedTask struct {
	name        string
	attempt     uint64
	state       protocol.TaskState
	reason      protocol.EndReason
	fetchEndsAt time.Duration
	endsAt      time.Duration
	saveEndsAt  time.Duration

	gatherDeadline time.Duration // gang task: when it stops waiting for the other tasks
	stopRequested  bool          // gang task: it continues until it is saved with the other tasks
}

// isExecuting reports whether the task is gathering, running or saving. The rules are checked for these
// tasks, not for tasks that are still fetching their images.
func (t *simulatedTask) isExecuting() bool {
	return t.state == protocol.TaskRunning || t.state == protocol.TaskSaving || t.state == protocol.TaskGathering
}

// machineNames returns the names of all machines, also of removed ones, in ascending order.
func (s *simulation) machineNames() []string {
	var names []string
	for name := range s.machines {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// cpusOf returns the number of CPUs of a machine.
func (s *simulation) cpusOf(machine *simulatedMachine) float64 {
	for _, machineType := range s.types {
		if machineType.Name == machine.MachineType {
			return machineType.CPUs
		}
	}
	return 0
}

// newHeartbeat returns a heartbeat with the worker's current state and the next sequence number.
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

// restartIfLeaseExpired ends all tasks of a worker whose lease has expired, and starts a new incarnation
// of the worker.
func (s *simulation) restartIfLeaseExpired(machine *simulatedMachine) {
	if s.now > machine.leaseStartedAt+limits.Seconds(s.workerTimes.LeaseS) {
		machine.tasks = nil
		machine.incarnation++
		machine.leaseStartedAt = s.now
		machine.heartbeatSentAt = -1
	}
}

// advanceMachine advances a machine and its worker to the current time.
func (s *simulation) advanceMachine(machine *simulatedMachine) {
	if machine.removed || machine.down || s.now < machine.bootedAt {
		return
	}
	if machine.spotReclaimAt != 0 && s.now >= machine.spotReclaimAt {
		machine.remove()
		return
	}
	// After a hang, the tasks continue only if the lease is still valid (docs/questions.md).
	s.restartIfLeaseExpired(machine)
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

// advanceTask advances a task to the current time. Gang tasks that have their images are advanced by
// advanceGangs.
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

// startTask starts a task whose image has been fetched.
func (s *simulation) startTask(machine *simulatedMachine, task *simulatedTask) {
	task.state = protocol.TaskRunning
	if task.endsAt == 0 {
		task.endsAt = s.now + s.randomDuration(2*time.Second, 12*time.Second)
		if s.longTasks {
			task.endsAt += longTaskRunTime
		}
	}
	machine.sendHeartbeatBy(s.now + statusReportDelay)
	s.checkStartedTask(machine, task)
}

// completeTask ends a task, other than a gang task, after its run time. The task fails if its machine is
// faulty or its job always fails.
func (s *simulation) completeTask(machine *simulatedMachine, task *simulatedTask) {
	id, index, _ := protocol.ParseTaskName(task.name)
	if machine.faulty || s.alwaysFailingJobs[id] {
		s.endTask(machine, task, protocol.ReasonError)
		return
	}
	s.jobs[id].completedTasks[index] = true
	s.endTask(machine, task, protocol.ReasonDone)
}

// endTask ends a task. The next heartbeat contains the reason.
func (s *simulation) endTask(machine *simulatedMachine, task *simulatedTask, reason protocol.EndReason) {
	task.state, task.reason = protocol.TaskEnded, reason
	machine.sendHeartbeatBy(s.now + statusReportDelay)
}

// handleHeartbeatReply handles the reply to a heartbeat; a nil reply means that the controller rejected
// the heartbeat. It reports whether the worker's lease was renewed.
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

// executeCommands executes the commands of a leader on a worker.
func (s *simulation) executeCommands(machine *simulatedMachine, commands []protocol.Command) {
	for _, command := range commands {
		task, otherAttempt := machine.findTask(command)
		switch command.Verb {
		case protocol.CommandStart:
			if task == nil {
				s.addTask(machine, command, otherAttempt)
			}
		case protocol.CommandStop:
			if task != nil && task.state != protocol.TaskEnded && !machine.ignoresStops {
				s.stopTask(machine, task, command.GraceS)
			}
		case protocol.CommandForget:
			if task != nil && task.state == protocol.TaskEnded {
				i := slices.Index(machine.tasks, task)
				machine.tasks = append(machine.tasks[:i], machine.tasks[i+1:]...)
			}
		}
	}
	s.checkNoReplayableStart(machine)
}

// addTask executes a start command. If the worker has no room for the task or another attempt of it has
// not ended, the worker lists the new attempt as ended, with the reason.
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
		task.state, task.reason = protocol.TaskEnded, protocol.ReasonAttemptExists
	case usedCPUs+job.spec.CPUs > s.cpusOf(machine)+1e-9:
		task.state, task.reason = protocol.TaskEnded, protocol.ReasonNoRoom
	case job.completedTasks[index]:
		task.endsAt = task.fetchEndsAt // the result of an earlier attempt is reported; the task does not run again
	}
}

// stopTask executes a stop command. A running task saves its work first if it can save within the grace
// period. A task that is saving already ends at once only if the grace period is 0.
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

// describeTask returns the current time, the task, the attempt and the machine as text for messages.
func (s *simulation) describeTask(machine *simulatedMachine, task *simulatedTask) string {
	return fmt.Sprintf("at %v: task %s attempt %x on machine %s", s.now, task.name, task.attempt, machine.Name)
}
