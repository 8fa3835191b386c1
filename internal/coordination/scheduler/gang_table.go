package scheduler

import (
	"slices"
	"time"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// gangTable holds the gangs about which something is to be decided.
type gangTable struct {
	*environment
	changed      []*gang // to be looked at by reconcileGangs
	uncommitted  []*gang // with tasks whose starts wait for commitGangs
	refills      []*gang // that lost a task before their start
	commitNeeded bool    // resources may have become free since the last commitGangs
}

// newGangTable returns a table without gangs.
func newGangTable(env *environment) *gangTable { return &gangTable{environment: env} }

// markChanged notes that a gang must be looked at again. Nil stands for independent tasks.
func (t *gangTable) markChanged(g *gang) {
	if g != nil && !g.changed {
		g.changed = true
		t.changed = append(t.changed, g)
	}
}

// nextChanged removes the first of the changed gangs from the list and returns it, or nil.
func (t *gangTable) nextChanged() *gang {
	if len(t.changed) == 0 {
		return nil
	}
	g := t.changed[0]
	t.changed = t.changed[1:]
	g.changed = false
	return g
}

// taskLost notes that a task is not on its machine any more.
func (t *gangTable) taskLost(a *assignment) {
	if g := a.job.gang; g != nil {
		g.taskLost(a)
		t.markChanged(g)
	}
}

// taskEnded notes for which reason a task has ended.
func (t *gangTable) taskEnded(a *assignment, status *protocol.TaskStatus) {
	if g := a.job.gang; g != nil {
		g.taskEnded(a, status.Reason)
	}
}

// taskGathering notes that a task waits for the others, at most since the heartbeat before.
func (t *gangTable) taskGathering(g *gang) {
	if g != nil && g.completeBy == 0 {
		g.completeBy = t.now + optionalSeconds(t.cfg.Workers.GangWaitS) - t.staleAfter()
	}
}

// requestRefill lets the next pass look for machines for the tasks that a gang has lost.
func (t *gangTable) requestRefill(g *gang) { t.refills = append(t.refills, g) }

// hasRefills reports whether gangs wait for a task in place of a lost one.
func (t *gangTable) hasRefills() bool { return len(t.refills) > 0 }

// takeRefills removes the gangs that wait for a task in place of a lost one, and returns them.
func (t *gangTable) takeRefills() []*gang {
	refills := t.refills
	t.refills = nil
	return refills
}

// canComplete reports whether a gang that has lost a task can be complete in time if the task is
// placed now.
func (t *gangTable) canComplete(g *gang) bool {
	fetch := limits.Seconds(g.job.class.fetchSeconds)
	late := g.completeBy != 0 && t.now+fetch > g.completeBy
	return !late && t.now >= g.job.retryAt
}

// requestCommit lets the next step look at gangs that wait for free resources.
func (t *gangTable) requestCommit() { t.commitNeeded = true }

// awaitCommit puts a gang on the list of those whose starts wait for free resources.
func (t *gangTable) awaitCommit(g *gang) {
	if !g.awaitsCommit {
		g.awaitsCommit = true
		t.uncommitted = append(t.uncommitted, g)
	}
	t.requestCommit()
}

// commit commits the tasks of gangs once the resources for all of them are confirmed, so that two
// gangs can't each hold what the other lacks, and returns these tasks. What a committed task needs is
// kept for it even before its start is sent.
func (t *gangTable) commit() []*assignment {
	if !t.commitNeeded {
		return nil
	}
	t.commitNeeded = false
	var committed []*assignment
	t.uncommitted = slices.DeleteFunc(t.uncommitted, func(g *gang) bool {
		tasks := g.uncommittedTasks()
		if !t.resourcesConfirmed(tasks) {
			return false
		}
		g.commit(tasks)
		g.awaitsCommit = false
		committed = append(committed, tasks...)
		return true
	})
	return committed
}

// resourcesConfirmed reports whether every machine of the tasks surely has the resources for them
// now.
func (t *gangTable) resourcesConfirmed(tasks []*assignment) bool {
	demand := map[*machine]resource.Vector{}
	for _, a := range tasks {
		demand[a.machine] = demand[a.machine].Plus(a.job.demand)
	}
	for m, d := range demand {
		if m.registration != registered || !t.isSchedulable(m) {
			return false
		}
		if !m.capacity().Fits(m.committedResources().Plus(d)) {
			return false
		}
	}
	return true
}

// saveDeadline is until when a stopped gang may need the machine of a task to save its work.
func (t *gangTable) saveDeadline(g *gang) time.Duration {
	peers := optionalSeconds(t.cfg.Workers.GangPeerS)
	return g.stopStartedAt + limits.Seconds(g.job.spec.SaveS) + limits.SaveMargin + peers
}

// optionalSeconds is a setting in seconds that may be left out.
func optionalSeconds(setting *float64) time.Duration {
	if setting == nil {
		return 0
	}
	return limits.Seconds(*setting)
}
