package scheduler

import (
	"fmt"
	"sort"
	"time"

	"quillshunt/internal/protocol"
)

type simulatedMachine struct {
	protocol.Machine
	bootedAt         time.Duration
	dead             bool // runs nothing, but stays listed
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
	reclaimedAt      time.Duration // when a spot notice takes effect; 0: there is none
	tasks            []*simulatedTask
}

type simulatedTask struct {
	name      string
	attempt   uint64
	state     string
	reason    string
	fetchedAt time.Duration
	endsAt    time.Duration
	savedAt   time.Duration

	gatherDeadline time.Duration // of a gang's task: when it gives up waiting for the others
	toldToStop     bool          // of a gang's task: it will save with the others
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
func (s *simulation) heartbeat(machine *simulatedMachine) *protocol.Heartbeat {
	machine.sequence++
	heartbeat := &protocol.Heartbeat{Machine: machine.Name, Address: machine.Address, MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot,
		Incarnation: machine.incarnation, Sequence: machine.sequence, FencingToken: machine.fencingToken}
	if machine.reclaimedAt != 0 {
		left := (machine.reclaimedAt - s.now).Seconds()
		heartbeat.SpotNoticeS = &left
	}
	for _, task := range machine.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: task.name, Attempt: task.attempt, State: task.state, Reason: task.reason})
	}
	return heartbeat
}

// expireLease starts a new incarnation of the worker if its lease has expired.
func (s *simulation) expireLease(machine *simulatedMachine) {
	if s.now > machine.leaseStartedAt+time.Duration(s.workers.LeaseS*float64(time.Second)) {
		machine.tasks = nil
		machine.incarnation++
		machine.leaseStartedAt = s.now
		machine.heartbeatSentAt = -1
	}
}

// runMachine advances a worker to the current time.
func (s *simulation) runMachine(machine *simulatedMachine) {
	if machine.removed || machine.dead || s.now < machine.bootedAt {
		return
	}
	if machine.reclaimedAt != 0 && s.now >= machine.reclaimedAt {
		machine.removed, machine.tasks = true, nil
		return
	}
	s.expireLease(machine) // a machine that hung goes on within its lease or not at all (docs/questions.md)
	if s.now < machine.hungUntil {
		return
	}
	for _, task := range machine.tasks {
		switch task.state {
		case protocol.Fetching:
			if s.now >= task.fetchedAt {
				if s.gangOf(task) != nil {
					s.gather(machine, task)
					continue
				}
				s.beginTask(machine, task)
			}
		case protocol.Running:
			if s.now >= task.endsAt && s.gangOf(task) == nil {
				task.state, task.reason = protocol.Ended, protocol.ReasonDone
				id, index, _ := protocol.ParseTaskName(task.name)
				if machine.faulty || s.alwaysFailing[id] {
					task.reason = protocol.ReasonError
				} else {
					s.jobs[id].done[index] = true
				}
				machine.nextHeartbeatAt = min(machine.nextHeartbeatAt, s.now+500*time.Millisecond)
			}
		case protocol.Saving:
			if s.now >= task.savedAt {
				task.state, task.reason = protocol.Ended, protocol.ReasonStopped
				machine.nextHeartbeatAt = min(machine.nextHeartbeatAt, s.now+500*time.Millisecond)
			}
		}
	}
	if machine.heartbeatSentAt >= 0 && s.now >= machine.heartbeatSentAt+4*time.Second {
		machine.heartbeatSentAt = -1
		machine.nextHeartbeatAt = s.now + time.Second
	}
	if machine.heartbeatSentAt < 0 && s.now >= machine.nextHeartbeatAt {
		s.sendHeartbeat(machine)
	}
}

// acceptReply handles the reply to a heartbeat. It reports whether the worker's lease was renewed.
func (s *simulation) acceptReply(machine *simulatedMachine, heartbeat *protocol.Heartbeat, sentAt time.Duration, reply *protocol.HeartbeatReply) bool {
	if machine.removed || s.now < machine.hungUntil || machine.heartbeatSentAt != sentAt || heartbeat.Incarnation != machine.incarnation {
		return false
	}
	s.expireLease(machine)
	if heartbeat.Incarnation != machine.incarnation {
		return false
	}
	machine.heartbeatSentAt = -1
	if reply == nil || reply.FencingToken < machine.fencingToken {
		machine.nextHeartbeatAt = min(machine.nextHeartbeatAt, s.now+time.Second)
		return false
	}
	if reply.FencingToken > machine.fencingToken {
		machine.fencingToken = reply.FencingToken
		machine.nextHeartbeatAt = min(machine.nextHeartbeatAt, s.now+500*time.Millisecond)
	}
	machine.leaseStartedAt = sentAt
	if s.execute(machine, reply.Commands) {
		machine.nextHeartbeatAt = min(machine.nextHeartbeatAt, s.now+500*time.Millisecond)
	}
	return true
}

func (s *simulation) execute(machine *simulatedMachine, commands []protocol.Command) bool {
	changed := false
	for _, command := range commands {
		changed = true
		var known *simulatedTask
		otherAttempt := false
		for _, task := range machine.tasks {
			if task.name == command.Task && task.attempt == command.Attempt {
				known = task
			} else if task.name == command.Task && task.state != protocol.Ended {
				otherAttempt = true
			}
		}
		switch command.Verb {
		case protocol.CommandStart:
			if known != nil {
				continue
			}
			task := &simulatedTask{name: command.Task, attempt: command.Attempt, state: protocol.Fetching, fetchedAt: s.now + s.between(0, 3*time.Second)}
			machine.tasks = append(machine.tasks, task)
			id, index, _ := protocol.ParseTaskName(command.Task)
			job := s.jobs[id]
			used := 0.0
			for _, other := range machine.tasks {
				if other != task && other.state != protocol.Ended {
					otherID, _, _ := protocol.ParseTaskName(other.name)
					used += s.jobs[otherID].spec.CPUs
				}
			}
			switch {
			case otherAttempt:
				task.state, task.reason = protocol.Ended, protocol.ReasonBusy
			case used+job.spec.CPUs > s.cpusOf(machine)+1e-9:
				task.state, task.reason = protocol.Ended, protocol.ReasonNoRoom
			case job.done[index]:
				task.endsAt = task.fetchedAt // the worker has kept the result
			}
		case protocol.CommandStop:
			if known == nil || known.state == protocol.Ended {
				continue
			}
			id, _, _ := protocol.ParseTaskName(command.Task)
			if s.gangOf(known) != nil {
				s.stopGangTask(machine, known, *command.GraceS)
				continue
			}
			if spec := s.jobs[id].spec; known.state == protocol.Running && spec.CheckpointS > 0 && command.GraceS != nil && *command.GraceS >= spec.SaveS {
				known.state, known.savedAt = protocol.Saving, s.now+time.Duration(spec.SaveS*float64(time.Second))
			} else if known.state != protocol.Saving || *command.GraceS == 0 {
				known.state, known.reason = protocol.Ended, protocol.ReasonStopped
			}
		case protocol.CommandForget:
			for i, task := range machine.tasks {
				if task == known && task.state == protocol.Ended {
					machine.tasks = append(machine.tasks[:i], machine.tasks[i+1:]...)
					break
				}
			}
		}
	}
	return changed
}

// beginTask starts a task on its machine and checks the rules that hold at this moment.
func (s *simulation) beginTask(machine *simulatedMachine, task *simulatedTask) {
	task.state = protocol.Running
	if task.endsAt == 0 {
		task.endsAt = s.now + s.between(2*time.Second, 12*time.Second)
	}
	machine.nextHeartbeatAt = min(machine.nextHeartbeatAt, s.now+500*time.Millisecond)
	id, _, _ := protocol.ParseTaskName(task.name)
	job := s.jobs[id]
	where := fmt.Sprintf("at %v: %s attempt %x on %s", s.now, task.name, task.attempt, machine.Name)
	if job.spec.Spot != true && machine.Spot {
		s.t.Fatalf("wrong_place: spot: %s", where)
	}
	if job.spec.Zone != "" && job.spec.Zone != machine.Zone {
		s.t.Fatalf("wrong_place: zone: %s", where)
	}
	if len(job.spec.MachineTypes) > 0 && job.spec.MachineTypes[0] != machine.MachineType {
		s.t.Fatalf("wrong_place: type: %s", where)
	}
	var busy []string
	used, zones := map[string]float64{}, map[string]int{}
	for _, name := range s.machineNames() {
		onMachine := s.machines[name]
		if onMachine.removed {
			continue
		}
		for _, other := range onMachine.tasks {
			if !other.onMachine() {
				continue
			}
			otherID, _, _ := protocol.ParseTaskName(other.name)
			used[s.jobs[otherID].spec.Team] += s.jobs[otherID].spec.CPUs
			busy = append(busy, fmt.Sprintf("%s:%s#%x*%v", name, other.name, other.attempt, s.jobs[otherID].spec.CPUs))
			if otherID == id {
				zones[onMachine.Zone]++
			}
			if other.name == task.name && other != task {
				s.t.Fatalf("ran_twice: %s, and on %s attempt %x", where, name, other.attempt)
			}
		}
	}
	for _, team := range s.teams {
		if used[team.Name] > team.CPUsMax+1e-9 {
			s.t.Fatalf("quota: %s uses %v: %s; running: %v", team.Name, used[team.Name], where, busy)
		}
	}
	if job.spec.SameZone && len(zones) > 1 {
		s.t.Fatalf("wrong_place: same zone: %s", where)
	}
	if job.spec.SpreadZones && zones[machine.Zone] > (job.spec.Tasks+1)/2 {
		s.t.Fatalf("wrong_place: spread over zones: %s", where)
	}
	s.checkCancelled(job, where)
}
