package scheduler

import (
	"slices"
	"time"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// gangTable holds the gangs that need a decision.
type gangTable struct {
	*environment
	changed             []*gang // to be reconciled by reconcileGangs
	uncommitted         []*gang // whose start commands commitGangs may allow once resources are free
	awaitingReplacement []*gang // that lost tasks before they ran, for replaceLostGangTasks
	commitNeeded        bool    // resources may have become free, or gangs were added, since the last commit
}

// newGangTable returns an empty table.
func newGangTable(env *environment) *gangTable { return &gangTable{environment: env} }

// markChanged requests that reconcileGangs checks a gang. A nil gang, which a job with independent
// tasks has, is ignored.
func (t *gangTable) markChanged(g *gang) {
	if g != nil && !g.changed {
		g.changed = true
		t.changed = append(t.changed, g)
	}
}

// nextChanged removes the first changed gang from the list and returns it, or nil if there is none.
func (t *gangTable) nextChanged() *gang {
	if len(t.changed) == 0 {
		return nil
	}
	g := t.changed[0]
	t.changed = t.changed[1:]
	g.changed = false
	return g
}

// handleTaskLost records in an assignment's gang, if it has one, that the task has left its machine, and marks
// the gang as changed.
func (t *gangTable) handleTaskLost(a *assignment) {
	if g := a.job.gang; g != nil {
		g.handleTaskLost(a)
		t.markChanged(g)
	}
}

// handleTaskEnded updates an assignment's gang, if it has one, from the reason for which the task ended.
func (t *gangTable) handleTaskEnded(a *assignment, status *protocol.TaskStatus) {
	if g := a.job.gang; g != nil {
		g.handleTaskEnded(a, status.Reason)
	}
}

// setCompletionDeadline sets the gang's completion deadline when its first task is reported gathering. The
// task may have been waiting since the previous heartbeat, so staleThreshold is subtracted.
func (t *gangTable) setCompletionDeadline(g *gang) {
	if g != nil && g.completionDeadline == 0 {
		g.completionDeadline = t.now + optionalSeconds(t.cfg.Workers.GangWaitTimeoutS) - t.staleThreshold()
	}
}

// requestReplacement requests machines for a gang's lost tasks in the next placement pass.
func (t *gangTable) requestReplacement(g *gang) {
	t.awaitingReplacement = append(t.awaitingReplacement, g)
}

// hasReplacementRequests reports whether a gang waits for machines for lost tasks.
func (t *gangTable) hasReplacementRequests() bool { return len(t.awaitingReplacement) > 0 }

// takeReplacementRequests removes and returns the gangs that wait for machines for lost tasks.
func (t *gangTable) takeReplacementRequests() []*gang {
	requests := t.awaitingReplacement
	t.awaitingReplacement = nil
	return requests
}

// canCompleteInTime reports whether a gang that has lost a task may place it again now, and the task
// can fetch its image before the first gathering task stops waiting.
func (t *gangTable) canCompleteInTime(g *gang) bool {
	fetch := limits.Seconds(g.job.class.fetchSeconds)
	late := g.completionDeadline != 0 && t.now+fetch > g.completionDeadline
	return !late && t.now >= g.job.retryAt
}

// requestCommit makes the next commit check the gangs that wait for free resources.
func (t *gangTable) requestCommit() { t.commitNeeded = true }

// queueForCommit adds a gang to those whose start commands wait for free resources.
func (t *gangTable) queueForCommit(g *gang) {
	if !g.awaitsCommit {
		g.awaitsCommit = true
		t.uncommitted = append(t.uncommitted, g)
	}
	t.requestCommit()
}

// commit allows the start commands of each gang for whose tasks all resources are confirmed free, and
// returns these tasks. A gang gets all its resources at once, so that two gangs cannot deadlock, each
// with resources that the other needs. The resources of a committed task are reserved for it even
// before its start command is sent.
func (t *gangTable) commit() []*assignment {
	if !t.commitNeeded {
		return nil
	}
	t.commitNeeded = false
	var committed []*assignment
	t.uncommitted = slices.DeleteFunc(t.uncommitted, func(g *gang) bool {
		tasks := g.uncommittedTasks()
		if !t.hasConfirmedResources(tasks) {
			return false
		}
		g.commit(tasks)
		g.awaitsCommit = false
		committed = append(committed, tasks...)
		return true
	})
	return committed
}

// hasConfirmedResources reports whether every machine of the tasks is registered, may get tasks, and has
// enough free resources for them. A stopping task counts as using its resources until it is released.
func (t *gangTable) hasConfirmedResources(tasks []*assignment) bool {
	demand := map[*machine]resource.Vector{}
	for _, a := range tasks {
		demand[a.machine] = demand[a.machine].Plus(a.job.demand)
	}
	for m, d := range demand {
		if m.registration != registered || !t.isSchedulable(m) {
			return false
		}
		if !m.capacity().Minus(m.committedResources()).Covers(d) {
			return false
		}
	}
	return true
}

// saveDeadline returns the time until which a stopping gang may need its machines to save its work.
// It includes the time in which the other tasks detect that one was stopped (gang_peer_s).
func (t *gangTable) saveDeadline(g *gang) time.Duration {
	peers := optionalSeconds(t.cfg.Workers.GangPeerDetectionS)
	return g.stopStartedAt + g.job.saveTime() + limits.SaveMargin + peers
}

// optionalSeconds converts an optional setting in seconds to a duration; a missing setting is 0.
func optionalSeconds(setting *float64) time.Duration {
	if setting == nil {
		return 0
	}
	return limits.Seconds(*setting)
}
