package scheduler

import (
	"fmt"
	"time"

	"quillshunt/internal/config"
)

// Snapshot is the state of the current term, as shown to operators.
type Snapshot struct {
	Term        uint64
	Recovered   bool // recovery has ended: the leader knows all tasks that may be running
	Machines    []MachineView
	Teams       []TeamView
	Explanation []string // state of the requested job and what it waits for, in sentences; nil if none was requested
}

// MachineView describes a machine in a Snapshot.
type MachineView struct {
	Name, Type, Zone string
	Spot             bool
	State            string // described in words
	CPUs, UsedCPUs   float64
	Tasks            int           // number of tasks assigned to it
	HeartbeatAge     time.Duration // since its last heartbeat in this term, or since the term began
}

// TeamView describes a team in a Snapshot.
type TeamView struct {
	Name                              string
	UsedCPUs, GuaranteedCPUs, MaxCPUs float64
	Jobs                              int // open and not cancelled
	AssignedTasks, WaitingTasks       int
}

// takeSnapshot emits the snapshot that an operator requested.
func (s *Scheduler) takeSnapshot(e SnapshotRequested) {
	snapshot := Snapshot{Term: s.cfg.Term, Recovered: s.recovery.hasEnded()}
	for _, m := range s.inventory.all() {
		snapshot.Machines = append(snapshot.Machines, s.machineView(m))
	}
	for i := range s.cfg.Teams {
		snapshot.Teams = append(snapshot.Teams, s.jobs.teamView(&s.cfg.Teams[i]))
	}
	if e.JobID != "" {
		snapshot.Explanation = s.explainJob(e.JobID)
	}
	s.emit(SnapshotTaken{ReplyTo: e.ReplyTo, Snapshot: snapshot})
}

func (s *Scheduler) machineView(m *machine) MachineView {
	return MachineView{
		Name:         m.name,
		Type:         m.typeName,
		Zone:         m.zone,
		Spot:         m.spot,
		State:        s.machineState(m),
		CPUs:         m.capacity().CPUs,
		UsedCPUs:     m.allocated.CPUs,
		Tasks:        len(m.assignments),
		HeartbeatAge: s.now - max(m.lastHeartbeatAt, s.termStartedAt),
	}
}

func (s *Scheduler) machineState(m *machine) string {
	switch {
	case m.deleting:
		return "returning: " + m.deleteReason
	case m.isUnreported():
		return "no heartbeat in this term"
	case !m.hasReported:
		return "booting"
	case m.spotNotice:
		return "spot notice"
	case m.isFaulty():
		return "fails its tasks"
	case s.isStale(m):
		return "sends no heartbeats"
	case m.relayed:
		return "up, heartbeats relayed"
	case m.draining:
		return "draining"
	}
	return "up"
}

func (t *jobTable) teamView(settings *config.Team) TeamView {
	team := t.team(settings.Name)
	view := TeamView{
		Name:           settings.Name,
		UsedCPUs:       team.allocated.CPUs,
		GuaranteedCPUs: settings.GuaranteedCPUs,
		MaxCPUs:        settings.MaxCPUs,
	}
	for _, j := range t.bySubmission {
		if j.team == team && !j.cancelled {
			view.Jobs++
			view.AssignedTasks += len(j.assignments)
			view.WaitingTasks += j.waitingTasks()
		}
	}
	return view
}

// explanation is a list of sentences about the state of a job.
type explanation []string

func (e *explanation) add(format string, args ...any) { *e = append(*e, fmt.Sprintf(format, args...)) }

// explainJob returns sentences about the progress of a job and about what its waiting tasks wait for.
func (s *Scheduler) explainJob(id string) []string {
	j := s.jobs.find(id)
	if j == nil {
		return []string{"not among the open jobs of this term"}
	}
	var e explanation
	e.add("%d of %d tasks done, %d on machines, %d waiting",
		j.doneCount, j.spec.Tasks, len(j.assignments), j.waitingTasks())
	if j.cancelled {
		e.add("cancelled; it is closed once its tasks are gone")
		return e
	}
	if j.gang != nil && j.gang.state != gangWaiting {
		e.add("a gang, %s", j.gang.state)
	}
	if j.waitingTasks() > 0 {
		s.explainWaiting(j, &e)
	}
	return e
}

// explainWaiting adds the reasons for which tasks of a job are waiting.
func (s *Scheduler) explainWaiting(j *job, e *explanation) {
	if !s.recovery.hasEnded() {
		e.add("the new leader does not know yet what runs where")
	}
	if s.now < j.retryAt {
		e.add("failed on %d machines with no success between; tried again in %v",
			len(j.failedMachines), (j.retryAt - s.now).Round(time.Second))
	}
	if !j.isWithinTeamLimit() {
		e.add("team %s uses %v of at most %v CPUs", j.spec.Team, j.team.allocated.CPUs, j.team.cfg.MaxCPUs)
	}
	if j.gang != nil {
		e.add("a gang, %s: its %d tasks start together or not at all", j.gang.state, j.spec.Tasks)
	}
	s.explainMachines(j, e)
	s.explainQueue(j, e)
}

// explainMachines adds how many machines the job may use and how many of these have room for a task.
func (s *Scheduler) explainMachines(j *job, e *explanation) {
	schedulable, allowed, withRoom := 0, 0, 0
	for _, m := range s.inventory.all() {
		if !s.isSchedulable(m) {
			continue
		}
		schedulable++
		if !j.mayUse(m) {
			continue
		}
		allowed++
		if m.freeResources().Covers(j.demand) {
			withRoom++
		}
	}
	e.add("%d machines in use, %d of them allowed for it, %d of these with room", schedulable, allowed, withRoom)
}

// explainQueue adds the job's position in the queue and how long it can wait without missing a
// deadline.
func (s *Scheduler) explainQueue(j *job, e *explanation) {
	for ahead, other := range s.queue.jobsInOrder() {
		if other == j {
			e.add("%d jobs are ahead in the queue", ahead)
		}
	}
	slack, late := s.queue.slack(j)
	switch {
	case late:
		e.add("past all its deadlines; jobs that can still be on time go first")
	case slack != never:
		e.add("can wait %v and still be on time", slack.Round(time.Second))
	}
}
