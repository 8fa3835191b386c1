package scheduler

import (
	"fmt"
	"time"
)

// InspectIn asks how the term stands, and why a job waits if one is named. Answered with an InspectOut.
type InspectIn struct {
	Job string
	Ref any
}

// InspectOut answers an InspectIn.
type InspectOut struct {
	Ref      any
	Snapshot Snapshot
}

func (InspectIn) event()   {}
func (InspectOut) effect() {}

// Snapshot is how the term stands, for operators.
type Snapshot struct {
	Term     uint64
	Rebuilt  bool
	Machines []MachineView
	Teams    []TeamView
	Why      []string // of the job that was asked for
}

// MachineView is a machine in a Snapshot.
type MachineView struct {
	Name, Type, Zone string
	Spot             bool
	State            string
	Cpus, Used       float64
	Tasks            int
	Silent           time.Duration
}

// TeamView is a team in a Snapshot.
type TeamView struct {
	Name             string
	Used, Guar, Most float64 // CPUs
	Jobs             int
	Bound, Waiting   int // tasks
}

func (s *Scheduler) inspect(e InspectIn) {
	v := Snapshot{Term: s.cfg.Term, Rebuilt: s.recovered}
	for _, m := range s.fleet {
		v.Machines = append(v.Machines, MachineView{Name: m.name, Type: m.kind, Zone: m.zone, Spot: m.spot, State: s.machineState(m),
			Cpus: m.size().cpu, Used: m.used.cpu, Tasks: len(m.bindings), Silent: s.now - max(m.heard, s.tookOver)})
	}
	for _, t := range s.cfg.Teams {
		tv := TeamView{Name: t.Name, Used: s.teams[t.Name].used.cpu, Guar: t.CPUs, Most: t.CPUsMax}
		for _, j := range s.queue {
			if j.team == s.teams[t.Name] && !j.cancelled {
				tv.Jobs++
				tv.Bound += len(j.bound)
				tv.Waiting += j.free()
			}
		}
		v.Teams = append(v.Teams, tv)
	}
	if e.Job != "" {
		v.Why = s.why(e.Job)
	}
	s.emit(InspectOut{Ref: e.Ref, Snapshot: v})
}

func (s *Scheduler) machineState(m *machine) string {
	switch {
	case m.deleting:
		return "returning: " + m.deleteWhy
	case !m.seen && m.registration != unregistered:
		return "not heard of in this term"
	case !m.seen:
		return "booting"
	case m.notice:
		return "taken by the cloud soon"
	case m.sick():
		return "fails its tasks"
	case s.now > m.heard+s.stale():
		return "silent"
	case m.relayed:
		return "up, reports relayed"
	case m.drain:
		return "emptying"
	}
	return "up"
}

// why says what a job's tasks are doing and what the waiting ones wait for.
func (s *Scheduler) why(id string) []string {
	j := s.jobs[id]
	if j == nil {
		return []string{"not among the open jobs of this term"}
	}
	out := []string{fmt.Sprintf("%d of %d tasks done, %d on machines, %d waiting", j.doneCount, j.spec.Tasks, len(j.bound), j.free())}
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	switch {
	case j.cancelled:
		add("cancelled; it is closed once its tasks are gone")
		return out
	case j.gang != nil && j.gang.state != gangWaiting:
		add("a gang, %s", j.gang.state)
	}
	if j.free() == 0 {
		return out
	}
	if !s.recovered {
		add("the new leader does not know yet what runs where")
	}
	if s.now < j.resume {
		add("failed on %d machines with no success between; tried again in %v", len(j.failOn), (j.resume - s.now).Round(time.Second))
	}
	if !j.teamAllows() {
		add("team %s uses %v of at most %v CPUs", j.spec.Team, j.team.used.cpu, j.team.cfg.CPUsMax)
	}
	usable, allowed, room := 0, 0, 0
	for _, m := range s.fleet {
		if !s.usable(m) {
			continue
		}
		usable++
		if !s.allowed(j, m) {
			continue
		}
		allowed++
		if m.freeRoom().holds(j.need) {
			room++
		}
	}
	if j.gang != nil {
		add("a gang, %s: its %d tasks start together or not at all", j.gang.state, j.spec.Tasks)
	}
	add("%d machines in use, %d of them allowed for it, %d of these with room", usable, allowed, room)
	for i, other := range s.claims() {
		if other == j {
			add("%d jobs are ahead in the queue", i)
		}
	}
	if slack, late := s.slack(j); late {
		add("past all times it should meet; jobs that can still be on time go first")
	} else if slack != never {
		add("can wait %v and still be on time", slack.Round(time.Second))
	}
	return out
}
