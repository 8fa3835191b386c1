package scheduler

import (
	"cmp"
	"slices"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/protocol"
)

// jobTable holds the jobs that are not over, with their teams and classes.
type jobTable struct {
	*environment
	byID         map[string]*job
	closed       map[string]bool // jobs over in this term; a late record of one must not open it again
	bySubmission []*job
	teams        map[string]*team
	classes      map[string]*jobClass
}

// newJobTable returns a table without jobs, with the teams of the settings.
func newJobTable(env *environment) *jobTable {
	t := &jobTable{
		environment: env,
		byID:        map[string]*job{},
		closed:      map[string]bool{},
		teams:       map[string]*team{},
		classes:     map[string]*jobClass{},
	}
	for _, settings := range env.cfg.Teams {
		t.teams[settings.Name] = &team{cfg: settings}
	}
	return t
}

// find returns the open job with that ID, or nil.
func (t *jobTable) find(id string) *job { return t.byID[id] }

// oldestFirst returns the open jobs in order of submission. The slice is the table's own.
func (t *jobTable) oldestFirst() []*job { return t.bySubmission }

// count is the number of open jobs.
func (t *jobTable) count() int { return len(t.byID) }

// team returns a team of the settings, or nil.
func (t *jobTable) team(name string) *team { return t.teams[name] }

// class returns what is known of a class of jobs.
func (t *jobTable) class(name string) *jobClass {
	class := t.classes[name]
	if class == nil {
		class = newJobClass()
		t.classes[name] = class
	}
	return class
}

// open adds a job that is not known yet and returns it. Chunks is the number of chunks that its
// finished tasks are kept in. It returns nil if the job is over, or its team is unknown.
func (t *jobTable) open(e JobChanged, chunks int) *job {
	spec := e.Record.Spec
	if t.closed[e.JobID] {
		return nil
	}
	team := t.teams[spec.Team]
	if team == nil {
		return nil // a team that the settings no longer know; its jobs stay as they are
	}
	priority, _ := protocol.ParsePriority(spec.Priority)
	j := &job{
		id:             e.JobID,
		spec:           spec,
		priority:       priority,
		team:           team,
		class:          t.class(spec.Class),
		demand:         taskDemand(&spec),
		submittedAt:    t.now - e.SinceSubmission,
		done:           newBitmap(spec.Tasks),
		assigned:       newBitmap(spec.Tasks),
		assignments:    map[int]*assignment{},
		stopCounts:     map[int]int{},
		failedMachines: map[string]bool{},
		chunks:         make([]finishedChunk, chunks),
	}
	j.gang = newGang(j)
	j.deadlines = deadlinesOf(j, t.cfg.Objectives)
	t.byID[j.id] = j
	at, _ := slices.BinarySearchFunc(t.bySubmission, j, compareSubmissions)
	t.bySubmission = slices.Insert(t.bySubmission, at, j)
	return j
}

// compareSubmissions orders jobs by their submission, and those of the same time by ID.
func compareSubmissions(a, b *job) int {
	return cmp.Or(cmp.Compare(a.submittedAt, b.submittedAt), cmp.Compare(a.id, b.id))
}

// close forgets a job. A late record of it does not open it again.
func (t *jobTable) close(j *job) {
	delete(t.byID, j.id)
	t.closed[j.id] = true
	if i := slices.Index(t.bySubmission, j); i >= 0 {
		t.bySubmission = slices.Delete(t.bySubmission, i, i+1)
	}
}

// updateGuarantees works out which jobs their teams' guarantees cover: a job is covered if it fits
// in together with the team's earlier unfinished jobs.
func (t *jobTable) updateGuarantees() {
	for _, team := range t.teams {
		team.unfinishedDemand = resource.Vector{}
	}
	for _, j := range t.bySubmission {
		unfinished := float64(j.spec.Tasks - j.doneCount)
		if j.cancelled {
			unfinished = 0
		}
		unfinishedDemand := j.team.unfinishedDemand.Plus(resource.Vector{
			CPUs:         unfinished * j.demand.CPUs,
			Accelerators: unfinished * j.demand.Accelerators,
		})
		j.guaranteed = j.team.guaranteeCovers(unfinishedDemand)
		j.team.unfinishedDemand = unfinishedDemand
	}
}

// answerTaskCounts answers how many tasks of a job are done and running.
func (t *jobTable) answerTaskCounts(e TaskCountsRequested) {
	j := t.byID[e.JobID]
	if j == nil {
		t.emit(TaskCounts{ReplyTo: e.ReplyTo})
		return
	}
	running := 0
	for _, a := range j.assignments {
		if a.state == stateRunning || a.state == stateSaving {
			running++
		}
	}
	if j.gang != nil && running < j.spec.Tasks {
		running = 0 // it runs as a whole or not at all
	}
	t.emit(TaskCounts{ReplyTo: e.ReplyTo, Known: true, Done: j.doneCount, Running: running})
}
