package scheduler

import (
	"slices"
	"time"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/protocol"
)

// gangState is where a gang stands.
type gangState uint8

const (
	gangWaiting   gangState = iota // none of its tasks is assigned to a machine
	gangPlaced                     // all its tasks are assigned, and no start has gone out
	gangGathering                  // starts have gone out, and none of its tasks was seen running
	gangRunning                    // it was seen running, so all its tasks had started
	gangStopping                   // all its tasks are stopped; it starts again once the last is gone
)

func (g gangState) String() string {
	return [...]string{"waiting", "placed", "gathering", "running", "stopping"}[g]
}

// gang is a job whose tasks run at the same time or not at all. It decides what becomes of its tasks
// together: every change of one of its assignments puts it on a list (gangTable.markChanged), and
// reconcileGangs looks at the gang as a whole before the next placement.
//
// Its tasks share one attempt number, also a task that takes the place of a lost one before the
// start. An assignment is therefore known by machine, incarnation and attempt, and the next attempt
// begins only when no task is assigned any more.
//
// Its state changes only by these methods:
//
//	waiting -> placed                     place
//	placed -> gathering                   commit
//	any but stopping -> gathering         observe: a start has gone out
//	any but stopping -> running           observe, taskEnded: it was seen running
//	any -> stopping                       beginStop
//	any -> waiting                        reset: no task is assigned any more
type gang struct {
	job     *job
	state   gangState
	attempt uint64

	completionDeadline    time.Duration   // when the first task may give up waiting for the others; 0 while none waits
	machinesWithLostTasks map[string]bool // machines that lost a task of this attempt: their workers may know the attempt
	abortReason           string          // why this attempt must end, learned from the end of one task; "" if unknown
	stopStartedAt         time.Duration

	lacksCapacity bool // the last plan found no machines for all its tasks

	changed      bool // is on the list for reconcileGangs
	awaitsCommit bool // is on the list for commitGangs
}

// newGang returns the gang of a job, or nil if its tasks are independent.
func newGang(j *job) *gang {
	if !j.spec.Gang() {
		return nil
	}
	return &gang{job: j, machinesWithLostTasks: map[string]bool{}}
}

// place begins an attempt for a gang that waits. A gang that gathers keeps its attempt.
func (g *gang) beginAttempt(attempt uint64) { g.state, g.attempt = gangPlaced, attempt }

// commit lets the starts of tasks go out, as the resources for them are confirmed.
func (g *gang) commit(tasks []*assignment) {
	for _, a := range tasks {
		a.committed = true
	}
	if len(tasks) > 0 && g.state == gangPlaced {
		g.state = gangGathering
	}
}

// observe takes over what the assignments show.
func (g *gang) applySummary(summary gangSummary) {
	if summary.sentStarts == 0 {
		return
	}
	g.attempt = summary.attempt
	if summary.seenRunning {
		g.state = gangRunning
		return
	}
	g.state = max(g.state, gangGathering)
}

// taskLost notes that a task is not on its machine any more.
func (g *gang) taskLost(a *assignment) {
	if a.state != stateUnsent {
		g.machinesWithLostTasks[a.machine.name] = true
	}
}

// taskEnded notes what the reason for which a task ended tells of the gang.
func (g *gang) taskEnded(a *assignment, reason protocol.EndReason) {
	switch {
	case reason == protocol.ReasonIncomplete:
		g.abortReason = "the gang was not complete in time"
	case reason == protocol.ReasonPeers && g.state < gangRunning:
		g.state = gangRunning // it had started, although no heartbeat showed that
	case reason == protocol.ReasonStopped && !a.stopping:
		g.abortReason = "stopped by an earlier leader"
	}
}

// beginStop notes when the gang was first stopped.
func (g *gang) beginStop(now time.Duration) {
	if g.state != gangStopping {
		g.state, g.stopStartedAt = gangStopping, now
	}
}

// reset makes a gang wait for its next attempt.
func (g *gang) reset() {
	*g = gang{job: g.job, machinesWithLostTasks: map[string]bool{}, awaitsCommit: g.awaitsCommit}
}

// gangAction is what is to be done with a gang.
type gangAction uint8

const (
	gangContinue    gangAction = iota
	gangStop                   // stop all tasks
	gangAbort                  // end all tasks without saving
	gangRelease                // release all tasks, of which no start has gone out
	gangReplaceLost            // replace lost tasks
)

// next takes over what the assignments show and returns what is to be done, and why. Until the
// recovery has ended, other tasks of the gang may not have been heard of yet.
func (g *gang) nextAction(summary gangSummary, recoveryEnded bool) (action gangAction, reason string) {
	if g.state == gangStopping {
		return gangStop, "the gang is stopped"
	}
	if summary.hasStopping {
		return gangStop, "another task of the gang is stopped"
	}
	g.applySummary(summary)
	if !recoveryEnded {
		return gangContinue, ""
	}
	missing := g.job.spec.Tasks - len(g.job.assignments)
	switch {
	case summary.mixedAttempts:
		return gangStop, "tasks of several attempts"
	case g.abortReason != "":
		return gangStop, g.abortReason
	case missing == 0:
		return gangContinue, ""
	case g.state == gangRunning:
		return gangAbort, "another task of the gang is gone"
	case summary.sentStarts == 0:
		return gangRelease, "" // no worker knows of it yet, so it is placed anew as a whole
	}
	return gangReplaceLost, ""
}

// missing is how many tasks are to be placed now: all of a gang that waits, and those that were lost
// before the start.
func (g *gang) missingTasks() int {
	if g.isFinished() || g.state == gangRunning || g.state == gangStopping {
		return 0
	}
	return g.job.spec.Tasks - len(g.job.assignments)
}

// isOver reports whether nothing is left to decide: the job is over, or its tasks are being removed
// for good.
func (g *gang) isFinished() bool {
	j := g.job
	return j.closed || j.cancelled || j.doneCount == j.spec.Tasks
}

// gangSummary is what the assignments of a gang show together.
type gangSummary struct {
	sentStarts    int    // tasks whose start has gone out
	attempt       uint64 // of those
	mixedAttempts bool   // they are not of one attempt
	seenRunning   bool   // one was seen running
	hasStopping   bool   // one is stopped
}

func (g *gang) summarize() gangSummary {
	var summary gangSummary
	for _, a := range g.job.assignments {
		if a.state == stateUnsent {
			continue
		}
		summary.mixedAttempts = summary.mixedAttempts || (summary.sentStarts > 0 && a.attempt != summary.attempt)
		summary.sentStarts++
		summary.attempt = max(summary.attempt, a.attempt)
		summary.seenRunning = summary.seenRunning || a.state == stateRunning || a.state == stateSaving
		summary.hasStopping = summary.hasStopping || a.state == stateSaving || a.stopping
	}
	return summary
}

// uncommittedTasks returns the tasks of a gang that are assigned and may not start yet.
func (g *gang) uncommittedTasks() []*assignment {
	var tasks []*assignment
	for _, a := range g.job.assignments {
		if a.state == stateUnsent && !a.committed {
			tasks = append(tasks, a)
		}
	}
	slices.SortFunc(tasks, func(a, b *assignment) int { return a.index - b.index })
	return tasks
}

// mayKnowAttempt reports whether the worker of a machine may know the gang's present attempt, so that it
// would take a start for a repetition.
func (g *gang) mayKnowAttempt(m *machine) bool {
	return g.machinesWithLostTasks[m.name] || g.hasEndedTaskOn(m)
}

// hasEndedOn reports whether a machine lists a task of the gang's present attempt as ended.
func (g *gang) hasEndedTaskOn(m *machine) bool {
	if g.state == gangWaiting {
		return false
	}
	for key := range m.endedTasks {
		if id, _, _ := protocol.ParseTaskName(key.task); key.attempt == g.attempt && id == g.job.id {
			return true
		}
	}
	return false
}

// committedResources is what is used by tasks that are on the machine or on their way, and by those
// that were committed to it.
func (m *machine) committedResources() resource.Vector {
	var committed resource.Vector
	for _, a := range m.assignments {
		if a.state != stateUnsent || a.committed {
			committed = committed.Plus(a.job.demand)
		}
	}
	return committed
}

// hasUnsentGangStop reports whether the stop of a gang's task has not gone out to the machine. It
// can't wait: a gang of which some tasks are stopped too late loses the work of all.
func (m *machine) hasUnsentGangStop() bool {
	for _, a := range m.assignments {
		if a.job.gang != nil && a.stopping && !a.stopSent {
			return true
		}
	}
	return false
}

// hasUnsentGangCommand reports whether a start or stop of a gang's task has not gone out to the
// machine.
func (m *machine) hasUnsentGangCommand() bool {
	for _, a := range m.assignments {
		if a.job.gang == nil {
			continue
		}
		if (a.stopping && !a.stopSent) || (a.state == stateUnsent && a.committed) {
			return true
		}
	}
	return false
}
