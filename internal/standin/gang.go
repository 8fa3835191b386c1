package standin

import (
	"fmt"
	"sync"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// gangAttempt is one attempt to run a gang: a job whose tasks run at the same time or not at all. The tasks
// may be on different workers; those with the same job and attempt number belong together.
type gangAttempt struct {
	spec     protocol.Spec
	times    gangTimes
	registry *gangRegistry

	mu            sync.Mutex
	members       map[string]*gangMember // tasks that are on a worker and have not ended, by name
	savedProgress time.Duration          // run time that the checkpoint of earlier attempts covers
	startedAt     time.Time              // when all tasks had joined
	memberLostAt  time.Time              // when a task left or its machine hung while the gang was running
	firstStopAt   time.Time              // when the first task received a stop command with time to save
	completed     bool
}

// gangTimes are the timeouts of gang tasks.
type gangTimes struct {
	waitTimeout   time.Duration // how long a task waits for the others to join
	peerDetection time.Duration // how long the others take to detect that a task is lost or stopping
}

// gangMember is a task of a gang that is on a worker and has not ended.
type gangMember struct {
	joinedAt time.Time
	stopping bool        // received a stop command and is saving a checkpoint
	isHung   func() bool // reports whether its machine hangs
}

// gangRegistry holds the state of all gangs, which the workers of a cloud share.
type gangRegistry struct {
	mu            sync.Mutex
	attempts      map[string]*gangAttempt  // by job and attempt number
	savedProgress map[string]time.Duration // run time that the latest checkpoint covers, by job
	markDone      func(task string)        // records that a task has completed
}

func newGangRegistry(markDone func(task string)) *gangRegistry {
	return &gangRegistry{
		attempts:      map[string]*gangAttempt{},
		savedProgress: map[string]time.Duration{},
		markDone:      markDone,
	}
}

// getOrCreateAttempt returns an attempt of a gang. It creates the attempt on the first call for it.
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

// saveProgress records the run time that a checkpoint covers, from which later attempts continue.
func (r *gangRegistry) saveProgress(job string, progress time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.savedProgress[job] = max(r.savedProgress[job], progress)
}

// join adds a task that is ready to start. The function isHung reports whether its machine hangs.
func (g *gangAttempt) join(task string, isHung func() bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[task] = &gangMember{joinedAt: time.Now(), isHung: isHung}
}

// leave removes a task whose machine was killed or lost its lease.
func (g *gangAttempt) leave(task string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members, task)
	g.updateState()
}

// stop executes a stop command with a grace period in seconds. It reports whether the task keeps running to
// save a checkpoint. Otherwise the task ends at once: the gang has not started, the job has no checkpoints,
// or the grace period is too short to save one.
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

// poll updates the gang and returns the status of a task. It removes the task from the gang if it has ended.
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

// taskStatus returns the status of a member; m is nil if the task has left the gang. If all remaining tasks
// have had time to save a checkpoint after a stop, it also saves the progress. The caller holds mu.
func (g *gangAttempt) taskStatus(m *gangMember) protocol.TaskStatus {
	now := time.Now()
	save := limits.Seconds(g.spec.SaveS)
	switch {
	case m == nil:
		return protocol.TaskStatus{State: protocol.TaskEnded, Reason: protocol.ReasonPeerLost}
	case g.completed:
		return protocol.TaskStatus{State: protocol.TaskEnded, Reason: protocol.ReasonDone}
	case g.startedAt.IsZero() && now.After(m.joinedAt.Add(g.times.waitTimeout)):
		return protocol.TaskStatus{State: protocol.TaskEnded, Reason: protocol.ReasonGangIncomplete}
	case g.startedAt.IsZero():
		return protocol.TaskStatus{State: protocol.TaskGathering}
	case !g.memberLostAt.IsZero() && now.After(g.memberLostAt.Add(g.times.peerDetection)):
		return protocol.TaskStatus{State: protocol.TaskEnded, Reason: protocol.ReasonPeerLost}
	case !g.firstStopAt.IsZero() && g.areAllStopping() && now.After(g.firstStopAt.Add(save)):
		g.registry.saveProgress(g.spec.ID, g.progress(g.firstStopAt))
		return protocol.TaskStatus{State: protocol.TaskEnded, Reason: protocol.ReasonStopped, Saved: true}
	case !g.firstStopAt.IsZero() && now.After(g.firstStopAt.Add(g.times.peerDetection+save)):
		return protocol.TaskStatus{State: protocol.TaskEnded, Reason: protocol.ReasonPeerLost}
	}
	return protocol.TaskStatus{State: protocol.TaskRunning}
}

// areAllStopping reports whether all remaining tasks have received a stop command. The caller holds mu.
func (g *gangAttempt) areAllStopping() bool {
	for _, m := range g.members {
		if !m.stopping {
			return false
		}
	}
	return true
}

// progress returns the run time of the job up to a time, including what earlier attempts saved. The caller
// holds mu.
func (g *gangAttempt) progress(until time.Time) time.Duration {
	return g.savedProgress + until.Sub(g.startedAt)
}

// updateState starts the gang once all tasks have joined, and records the loss of a task or the completion
// of the job. After a loss, the progress up to the last periodic checkpoint is kept. The caller holds mu.
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

// hasHungMember reports whether the machine of any member hangs. The caller holds mu.
func (g *gangAttempt) hasHungMember() bool {
	for _, m := range g.members {
		if m.isHung() {
			return true
		}
	}
	return false
}
