package scheduler

import (
	"slices"
	"time"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/protocol"
)

// gangState is a gang's state in its life cycle; see gang for the transitions.
type gangState uint8

const (
	gangWaiting   gangState = iota // no task is assigned to a machine
	gangPlaced                     // all tasks are assigned; no start command may be sent yet
	gangGathering                  // start commands may be sent; no task has been reported running
	gangRunning                    // all tasks have started, which the reported status of one task shows
	gangStopping                   // all tasks are being stopped; once all are released, the gang waits again
)

func (g gangState) String() string {
	return [...]string{"waiting", "placed", "gathering", "running", "stopping"}[g]
}

// gang is the gang scheduling state of a job whose tasks run at the same time or not at all. Each
// change of one of the job's assignments marks the gang as changed (gangTable.markChanged). Before the
// next placement, reconcileGangs decides what to do with all tasks of the gang together.
//
// All tasks of a gang have the same attempt number, including one that replaces a lost task before
// the gang runs. An assignment is therefore identified by machine, incarnation and attempt, and the
// next attempt begins only when no task is assigned.
//
// Only these methods change the state:
//
//	waiting -> placed                     beginAttempt
//	placed -> gathering                   commit
//	waiting, placed -> gathering          applySummary: a start command has been sent
//	waiting, placed, gathering -> running applySummary, handleTaskEnded: all tasks have started
//	any -> stopping                       beginStop
//	any -> waiting                        reset: no task is assigned
type gang struct {
	job     *job
	state   gangState
	attempt uint64

	// completionDeadline is the earliest time at which a gathering task may stop waiting for the
	// others; 0 until a task of this attempt is reported gathering.
	completionDeadline time.Duration
	// machinesWithLostTasks are the machines that lost a task of this attempt. Their workers may
	// have received a start command of the attempt.
	machinesWithLostTasks map[string]bool
	stopReason            string // why this attempt must be stopped, set when a task ends; "" if it need not be
	stopStartedAt         time.Duration

	lacksCapacity bool // the last capacity plan excludes the gang, as it cannot get machines for all tasks

	changed      bool // is in gangTable.changed, for reconcileGangs
	awaitsCommit bool // is in gangTable.uncommitted, for commitGangs
}

// newGang returns the gang of a job, or nil if the job's tasks are independent.
func newGang(j *job) *gang {
	if !j.spec.IsGang() {
		return nil
	}
	return &gang{job: j, machinesWithLostTasks: map[string]bool{}}
}

// beginAttempt changes a waiting gang to the placed state with a new attempt number. A gathering gang
// keeps its number when lost tasks are replaced.
func (g *gang) beginAttempt(attempt uint64) { g.state, g.attempt = gangPlaced, attempt }

// commit allows the start commands of the tasks to be sent. The caller has confirmed that the resources for
// them are free.
func (g *gang) commit(tasks []*assignment) {
	for _, a := range tasks {
		a.committed = true
	}
	if len(tasks) > 0 && g.state == gangPlaced {
		g.state = gangGathering
	}
}

// applySummary updates the attempt and the state from the states of the assignments.
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

// handleTaskLost records the machine that lost a task, if the task's start command had been sent.
func (g *gang) handleTaskLost(a *assignment) {
	if a.state != stateUnsent {
		g.machinesWithLostTasks[a.machine.name] = true
	}
}

// handleTaskEnded updates the gang from the reason for which one of its tasks ended.
func (g *gang) handleTaskEnded(a *assignment, reason protocol.EndReason) {
	switch {
	case reason == protocol.ReasonGangIncomplete:
		g.stopReason = "a task stopped waiting for the rest of the gang"
	case reason == protocol.ReasonPeerLost && g.state < gangRunning:
		g.state = gangRunning // the gang had started, although no heartbeat reported a running task
	case reason == protocol.ReasonStopped && !a.stopping:
		g.stopReason = "a task was stopped by an earlier leader"
	}
}

// beginStop enters the stopping state and records the time, unless the gang is stopping already.
func (g *gang) beginStop(now time.Duration) {
	if g.state != gangStopping {
		g.state, g.stopStartedAt = gangStopping, now
	}
}

// reset returns the gang to the waiting state and discards all data of the last attempt. The gang
// stays in gangTable.uncommitted if it is there.
func (g *gang) reset() {
	*g = gang{job: g.job, machinesWithLostTasks: map[string]bool{}, awaitsCommit: g.awaitsCommit}
}

// gangAction is what reconcileGang does with a gang.
type gangAction uint8

const (
	gangContinue    gangAction = iota // change nothing
	gangStop                          // stop all tasks
	gangAbort                         // stop all tasks without saving
	gangRelease                       // release all tasks; no start command has been sent
	gangReplaceLost                   // find machines for lost tasks
)

// nextAction applies the summary to the gang and returns the action to take and its reason. During
// recovery after a failover it only continues a stop that has begun, because tasks that seem to be
// missing may still be reported by machines that have sent no heartbeat yet.
func (g *gang) nextAction(summary gangSummary, recoveryEnded bool) (action gangAction, reason string) {
	if g.state == gangStopping {
		return gangStop, "the gang is being stopped"
	}
	if summary.hasStopping {
		return gangStop, "another task of the gang is being stopped"
	}
	g.applySummary(summary)
	if !recoveryEnded {
		return gangContinue, ""
	}
	missing := g.job.spec.Tasks - len(g.job.assignments)
	switch {
	case summary.mixedAttempts:
		return gangStop, "the tasks of the gang have different attempt numbers"
	case g.stopReason != "":
		return gangStop, g.stopReason
	case missing == 0:
		return gangContinue, ""
	case g.state == gangRunning:
		return gangAbort, "another task of the gang was lost"
	case summary.sentStarts == 0:
		return gangRelease, "" // no worker has received this attempt, so all tasks can be placed again
	}
	return gangReplaceLost, ""
}

// missingTasks returns how many tasks have to be placed now: all tasks of a waiting gang, and tasks
// that were lost before the gang ran.
func (g *gang) missingTasks() int {
	if g.isFinished() || g.state == gangRunning || g.state == gangStopping {
		return 0
	}
	return g.job.spec.Tasks - len(g.job.assignments)
}

// isFinished reports whether the gang needs no more decisions: its job is closed or done, or is
// cancelled, so that its remaining tasks are being removed.
func (g *gang) isFinished() bool {
	j := g.job
	return j.closed || j.cancelled || j.doneCount == j.spec.Tasks
}

// gangSummary combines the states of a gang's assignments whose start commands have been sent.
type gangSummary struct {
	sentStarts    int    // number of these assignments
	attempt       uint64 // their highest attempt number
	mixedAttempts bool   // their attempt numbers differ
	seenRunning   bool   // at least one has been reported running or saving
	hasStopping   bool   // at least one is being stopped or is saving
}

// summarize returns the summary of the gang's assignments.
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

// uncommittedTasks returns the assigned tasks whose start commands may not be sent yet, by index.
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

// mayKnowAttempt reports whether the worker of a machine may have received a start command of the gang's
// current attempt. It would ignore another start command of the attempt as a duplicate.
func (g *gang) mayKnowAttempt(m *machine) bool {
	return g.machinesWithLostTasks[m.name] || g.hasEndedTaskOn(m)
}

// hasEndedTaskOn reports whether a machine lists a task of the gang's current attempt as ended.
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

// committedResources returns the total demand of the machine's tasks whose start commands have been sent
// or, if they belong to a gang, may be sent.
func (m *machine) committedResources() resource.Vector {
	var committed resource.Vector
	for _, a := range m.assignments {
		if a.state != stateUnsent || a.committed {
			committed = committed.Plus(a.job.demand)
		}
	}
	return committed
}

// hasUnsentGangStop reports whether a stop command for a gang's task has not been sent to the machine
// yet. These commands are urgent: if one task of a gang is stopped too late, the work of all its
// tasks is lost.
func (m *machine) hasUnsentGangStop() bool {
	for _, a := range m.assignments {
		if a.job.gang != nil && a.stopping && !a.stopSent {
			return true
		}
	}
	return false
}

// hasUnsentGangCommand reports whether a start or stop command for a gang's task may be sent to the
// machine and has not been sent yet.
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
