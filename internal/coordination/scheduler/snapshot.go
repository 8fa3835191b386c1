package scheduler

import (
	"fmt"
	"time"
)

// Snapshot is how the term stands, for operators.
type Snapshot struct {
	Term        uint64
	Recovered   bool
	Machines    []MachineView
	Teams       []TeamView
	Explanation []string // of the job that was asked for
}

// MachineView is a machine in a Snapshot.
type MachineView struct {
	Name, Type, Zone string
	Spot             bool
	State            string
	CPUs, UsedCPUs   float64
	Tasks            int
	SilentFor        time.Duration
}

// TeamView is a team in a Snapshot.
type TeamView struct {
	Name                              string
	UsedCPUs, GuaranteedCPUs, MaxCPUs float64 // CPUs
	Jobs                              int
	AssignedTasks, WaitingTasks       int // tasks
}

func (s *Scheduler) takeSnapshot(e SnapshotRequested) {
	v := Snapshot{Term: s.cfg.Term, Recovered: s.recovery.hasEnded()}
	for _, m := range s.inventory.all() {
		v.Machines = append(v.Machines, MachineView{Name: m.name, Type: m.typeName, Zone: m.zone, Spot: m.spot, State: s.machineState(m),
			CPUs: m.size().CPUs, UsedCPUs: m.allocated.CPUs, Tasks: len(m.assignments), SilentFor: s.now - max(m.lastHeartbeatAt, s.termStartedAt)})
	}
	for _, t := range s.cfg.Teams {
		tv := TeamView{Name: t.Name, UsedCPUs: s.jobs.team(t.Name).allocated.CPUs, GuaranteedCPUs: t.CPUs, MaxCPUs: t.CPUsMax}
		for _, j := range s.jobs.oldestFirst() {
			if j.team == s.jobs.team(t.Name) && !j.cancelled {
				tv.Jobs++
				tv.AssignedTasks += len(j.assignments)
				tv.WaitingTasks += j.waitingTasks()
			}
		}
		v.Teams = append(v.Teams, tv)
	}
	if e.JobID != "" {
		v.Explanation = s.explainWaiting(e.JobID)
	}
	s.emit(SnapshotTaken{ReplyTo: e.ReplyTo, Snapshot: v})
}

func (s *Scheduler) machineState(m *machine) string {
	switch {
	case m.deleting:
		return "returning: " + m.deleteReason
	case m.isUnreported():
		return "not heard of in this term"
	case !m.hasReported:
		return "booting"
	case m.spotNotice:
		return "taken by the cloud soon"
	case m.isFaulty():
		return "fails its tasks"
	case s.isStale(m):
		return "silent"
	case m.relayed:
		return "up, reports relayed"
	case m.draining:
		return "emptying"
	}
	return "up"
}

// explainWaiting says what a job's tasks are doing and what the waiting ones wait for.
func (s *Scheduler) explainWaiting(id string) []string {
	j := s.jobs.find(id)
	if j == nil {
		return []string{"not among the open jobs of this term"}
	}
	out := []string{fmt.Sprintf("%d of %d tasks done, %d on machines, %d waiting", j.doneCount, j.spec.Tasks, len(j.assignments), j.waitingTasks())}
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	switch {
	case j.cancelled:
		add("cancelled; it is closed once its tasks are gone")
		return out
	case j.gang != nil && j.gang.state != gangWaiting:
		add("a gang, %s", j.gang.state)
	}
	if j.waitingTasks() == 0 {
		return out
	}
	if !s.recovery.hasEnded() {
		add("the new leader does not know yet what runs where")
	}
	if s.now < j.retryAt {
		add("failed on %d machines with no success between; tried again in %v", len(j.failedMachines), (j.retryAt - s.now).Round(time.Second))
	}
	if !j.withinTeamLimit() {
		add("team %s uses %v of at most %v CPUs", j.spec.Team, j.team.allocated.CPUs, j.team.cfg.CPUsMax)
	}
	usable, allowed, room := 0, 0, 0
	for _, m := range s.inventory.all() {
		if !s.isSchedulable(m) {
			continue
		}
		usable++
		if !j.mayUse(m) {
			continue
		}
		allowed++
		if m.freeResources().Fits(j.demand) {
			room++
		}
	}
	if j.gang != nil {
		add("a gang, %s: its %d tasks start together or not at all", j.gang.state, j.spec.Tasks)
	}
	add("%d machines in use, %d of them allowed for it, %d of these with room", usable, allowed, room)
	for i, other := range s.queue.order() {
		if other == j {
			add("%d jobs are ahead in the queue", i)
		}
	}
	if slack, late := s.queue.slack(j); late {
		add("past all times it should meet; jobs that can still be on time go first")
	} else if slack != never {
		add("can wait %v and still be on time", slack.Round(time.Second))
	}
	return out
}
