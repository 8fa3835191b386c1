package scheduler

import (
	"cmp"
	"slices"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/protocol"
)

// jobTable holds the open jobs, and all teams and job classes.
type jobTable struct {
	*environment
	byID         map[string]*job
	closed       map[string]bool // IDs of jobs closed in this term; a delayed open record must not reopen them
	bySubmission []*job
	teams        map[string]*team
	classes      map[string]*jobClass
}

// newJobTable returns a table without jobs. The teams are those of the settings.
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

// find returns the open job with the given ID, or nil.
func (t *jobTable) find(id string) *job { return t.byID[id] }

// oldestFirst returns the open jobs in order of submission. The caller must not modify the slice.
func (t *jobTable) oldestFirst() []*job { return t.bySubmission }

// count returns the number of open jobs.
func (t *jobTable) count() int { return len(t.byID) }

// team returns the team with the given name, or nil if the settings have none.
func (t *jobTable) team(name string) *team { return t.teams[name] }

// class returns the job class with the given name, which is created on first use.
func (t *jobTable) class(name string) *jobClass {
	class := t.classes[name]
	if class == nil {
		class = newJobClass()
		t.classes[name] = class
	}
	return class
}

// open adds a job that is not in the table yet and returns it. The argument chunks is the number of
// chunk records that hold the job's finished tasks. It returns nil if the job was closed in this term
// or its team is unknown.
func (t *jobTable) open(e JobChanged, chunks int) *job {
	spec := e.Record.Spec
	if t.closed[e.JobID] {
		return nil
	}
	team := t.teams[spec.Team]
	if team == nil {
		return nil // the settings no longer have this team; the records of its jobs are left unchanged
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
		assignedInZone: map[string]int{},
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

// compareSubmissions orders jobs by submission time, then by ID.
func compareSubmissions(a, b *job) int {
	return cmp.Or(cmp.Compare(a.submittedAt, b.submittedAt), cmp.Compare(a.id, b.id))
}

// close removes a job from the table and ensures that a delayed open record does not reopen it.
func (t *jobTable) close(j *job) {
	delete(t.byID, j.id)
	t.closed[j.id] = true
	if i := slices.Index(t.bySubmission, j); i >= 0 {
		t.bySubmission = slices.Delete(t.bySubmission, i, i+1)
	}
}

// updateGuarantees recomputes which jobs are covered by their team's guarantee. A job is covered if the
// guarantee is large enough for its unfinished tasks and those of all earlier jobs of the team.
// Cancelled jobs do not count.
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

// answerTaskCounts emits the numbers of done and of running tasks of a job as the reply to a request.
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
		running = 0 // a gang counts as running only while all its tasks run
	}
	t.emit(TaskCounts{ReplyTo: e.ReplyTo, Known: true, Done: j.doneCount, Running: running})
}
