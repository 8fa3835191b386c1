package standin

import (
	"fmt"
	"sync"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// gangAttempt is one attempt of a job whose tasks run at the same time or not at all. Its tasks are on
// different workers and find each other by the attempt number.
type gangAttempt struct {
	spec     protocol.Spec
	times    gangTimes
	registry *gangRegistry

	mu            sync.Mutex
	members       map[string]*gangMember // tasks that are on their machines, by name
	savedProgress time.Duration          // progress of earlier attempts
	startedAt     time.Time
	memberLostAt  time.Time // when a task was gone while the gang ran
	firstStopAt   time.Time
	completed     bool
}

// gangTimes are the times that tasks of gangs keep.
type gangTimes struct {
	waitTimeout   time.Duration // how long a task waits for the others
	peerDetection time.Duration // how long the others take to notice that one is gone or was told to stop
}

// gangMember is a task that is on its machine.
type gangMember struct {
	joinedAt time.Time
	stopping bool        // was told to stop, with time to save
	isHung   func() bool // reports whether its machine hangs
}

// gangRegistry is what the workers of a cloud know of gangs.
type gangRegistry struct {
	mu            sync.Mutex
	attempts      map[string]*gangAttempt
	savedProgress map[string]time.Duration // saved, by job
	markDone      func(task string)
}

func newGangRegistry(markDone func(task string)) *gangRegistry {
	return &gangRegistry{
		attempts:      map[string]*gangAttempt{},
		savedProgress: map[string]time.Duration{},
		markDone:      markDone,
	}
}

// getOrCreateAttempt returns an attempt of a gang, a new one for the first of its tasks.
func (r *gangRegistry) getOrCreateAttempt(spec protocol.Spec, attempt uint64, times gangTimes) *gangAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := fmt.Sprintf("%s#%d", spec.ID, attempt)
	if g := r.attempts[key]; g != nil {
		return g
	}
	g := &gangAttempt{
		spec: spec, times: times, registry: r,
		members: map[string]*gangMember{}, savedProgress: r.savedProgress[spec.ID],
	}
	r.attempts[key] = g
	return g
}

// saveProgress keeps a job's progress for later attempts.
func (r *gangRegistry) saveProgress(job string, progress time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.savedProgress[job] = max(r.savedProgress[job], progress)
}

// join adds a task that has its image.
func (g *gangAttempt) join(task string, isHung func() bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[task] = &gangMember{joinedAt: time.Now(), isHung: isHung}
}

// leave takes out a task that was killed or is gone with its machine.
func (g *gangAttempt) leave(task string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members, task)
	g.updateState()
}

// stop tells a task to stop. It returns false if the task ends at once.
func (g *gangAttempt) stop(task string, graceS float64) (saving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateState()
	m := g.members[task]
	if m == nil || g.startedAt.IsZero() || g.spec.CheckpointS == 0 || graceS < g.spec.SaveS {
		delete(g.members, task)
		g.updateState()
		return false
	}
	m.stopping = true
	if g.firstStopAt.IsZero() {
		g.firstStopAt = time.Now()
	}
	return true
}

// poll returns the status of a task now. A task that has ended leaves the gang.
func (g *gangAttempt) poll(task string) protocol.TaskStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateState()
	status := g.taskStatus(g.members[task])
	if status.State == protocol.TaskEnded {
		delete(g.members, task)
	}
	return status
}

// taskStatus returns the status of a member, nil for one that has left. The caller holds mu.
func (g *gangAttempt) taskStatus(m *gangMember) protocol.TaskStatus {
	now := time.Now()
	save := limits.Seconds(g.spec.SaveS)
	switch {
	case m == nil:
		return protocol.TaskStatus{State: protocol.TaskEnded, Reason: protocol.ReasonPeers}
	case g.completed:
		return protocol.TaskStatus{State: protocol.TaskEnded, Reason: protocol.ReasonDone}
	case g.startedAt.IsZero() && now.After(m.joinedAt.Add(g.times.waitTimeout)):
		return protocol.TaskStatus{State: protocol.TaskEnded, Reason: protocol.ReasonIncomplete}
	case g.startedAt.IsZero():
		return protocol.TaskStatus{State: protocol.TaskGathering}
	case !g.memberLostAt.IsZero() && now.After(g.memberLostAt.Add(g.times.peerDetection)):
		return protocol.TaskStatus{State: protocol.TaskEnded, Reason: protocol.ReasonPeers}
	case !g.firstStopAt.IsZero() && g.allStopping() && now.After(g.firstStopAt.Add(save)):
		g.registry.saveProgress(g.spec.ID, g.progress(g.firstStopAt))
		return protocol.TaskStatus{State: protocol.TaskEnded, Reason: protocol.ReasonStopped, Saved: true}
	case !g.firstStopAt.IsZero() && now.After(g.firstStopAt.Add(g.times.peerDetection+save)):
		return protocol.TaskStatus{State: protocol.TaskEnded, Reason: protocol.ReasonPeers}
	}
	return protocol.TaskStatus{State: protocol.TaskRunning}
}

// allStopping reports whether all tasks that are left were told to stop. The caller holds mu.
func (g *gangAttempt) allStopping() bool {
	for _, m := range g.members {
		if !m.stopping {
			return false
		}
	}
	return true
}

// progress returns how far the gang had come at a time. The caller holds mu.
func (g *gangAttempt) progress(until time.Time) time.Duration {
	return g.savedProgress + until.Sub(g.startedAt)
}

// updateState starts a gang that is complete, and notes its end or the loss of a task. The caller holds mu.
func (g *gangAttempt) updateState() {
	now := time.Now()
	switch {
	case g.startedAt.IsZero():
		if len(g.members) == g.spec.Tasks {
			g.startedAt = now
		}
	case g.completed || !g.memberLostAt.IsZero() || !g.firstStopAt.IsZero():
	case len(g.members) < g.spec.Tasks || g.hasHungMember():
		g.memberLostAt = now
		if step := limits.Seconds(g.spec.CheckpointS); step > 0 {
			g.registry.saveProgress(g.spec.ID, g.progress(now).Truncate(step))
		}
	case g.progress(now) >= limits.Seconds(g.spec.EstimateS):
		g.completed = true
		for i := range g.spec.Tasks {
			g.registry.markDone(protocol.TaskName(g.spec.ID, i))
		}
	}
}

// hasHungMember reports whether a machine of the gang hangs. The caller holds mu.
func (g *gangAttempt) hasHungMember() bool {
	for _, m := range g.members {
		if m.isHung() {
			return true
		}
	}
	return false
}
