package standin

import (
	"fmt"
	"sync"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// gang is one attempt of a job whose tasks run at the same time or not at all. Its tasks are on
// different workers and find each other by the attempt number.
type gang struct {
	spec  protocol.Spec
	times gangTimes
	board *gangBoard

	mu        sync.Mutex
	members   map[string]*gangMember // tasks that are on their machines, by name
	base      time.Duration          // progress of earlier attempts
	started   time.Time
	lost      time.Time // when a task was gone while it ran
	firstStop time.Time
	completed bool
}

type gangTimes struct{ wait, peer time.Duration }

type gangMember struct {
	since  time.Time
	told   bool        // to stop, with time to save
	frozen func() bool // its machine hangs
}

// gangBoard is what the workers of a cloud know of gangs.
type gangBoard struct {
	mu       sync.Mutex
	attempts map[string]*gang
	progress map[string]time.Duration // saved, by job
	complete func(task string)
}

func newGangBoard(complete func(task string)) *gangBoard {
	return &gangBoard{attempts: map[string]*gang{}, progress: map[string]time.Duration{}, complete: complete}
}

// attempt returns an attempt of a gang.
func (b *gangBoard) attempt(spec protocol.Spec, attempt uint64, times gangTimes) *gang {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := fmt.Sprintf("%s#%d", spec.ID, attempt)
	g := b.attempts[key]
	if g == nil {
		g = &gang{spec: spec, times: times, board: b, members: map[string]*gangMember{}, base: b.progress[spec.ID]}
		b.attempts[key] = g
	}
	return g
}

func (b *gangBoard) save(job string, progress time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.progress[job] = max(b.progress[job], progress)
}

// join adds a task that has its image.
func (g *gang) join(task string, frozen func() bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[task] = &gangMember{since: time.Now(), frozen: frozen}
}

// leave takes out a task that was killed or is gone with its machine.
func (g *gang) leave(task string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members, task)
	g.update()
}

// stop tells a task to stop. It returns false if the task ends at once.
func (g *gang) stop(task string, grace float64) (saves bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.update()
	m := g.members[task]
	if m == nil || g.started.IsZero() || g.spec.CheckpointS == 0 || grace < g.spec.SaveS {
		delete(g.members, task)
		g.update()
		return false
	}
	m.told = true
	if g.firstStop.IsZero() {
		g.firstStop = time.Now()
	}
	return true
}

// look returns what a task shows now; a task that has ended has left.
func (g *gang) look(task string) protocol.TaskStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.update()
	shown := g.show(g.members[task])
	if shown.State == protocol.Ended {
		delete(g.members, task)
	}
	return shown
}

func (g *gang) show(m *gangMember) protocol.TaskStatus {
	now := time.Now()
	save := limits.Seconds(g.spec.SaveS)
	switch {
	case m == nil:
		return protocol.TaskStatus{State: protocol.Ended, Reason: protocol.ReasonPeers}
	case g.completed:
		return protocol.TaskStatus{State: protocol.Ended, Reason: protocol.ReasonDone}
	case g.started.IsZero() && now.After(m.since.Add(g.times.wait)):
		return protocol.TaskStatus{State: protocol.Ended, Reason: protocol.ReasonIncomplete}
	case g.started.IsZero():
		return protocol.TaskStatus{State: protocol.Gathering}
	case !g.lost.IsZero() && now.After(g.lost.Add(g.times.peer)):
		return protocol.TaskStatus{State: protocol.Ended, Reason: protocol.ReasonPeers}
	case !g.firstStop.IsZero() && g.allTold() && now.After(g.firstStop.Add(save)):
		g.board.save(g.spec.ID, g.progress(g.firstStop))
		return protocol.TaskStatus{State: protocol.Ended, Reason: protocol.ReasonStopped, Saved: true}
	case !g.firstStop.IsZero() && now.After(g.firstStop.Add(g.times.peer+save)):
		return protocol.TaskStatus{State: protocol.Ended, Reason: protocol.ReasonPeers}
	}
	return protocol.TaskStatus{State: protocol.Running}
}

// allTold tells whether all tasks that are left were told to stop; the caller has the lock.
func (g *gang) allTold() bool {
	for _, m := range g.members {
		if !m.told {
			return false
		}
	}
	return true
}

func (g *gang) progress(until time.Time) time.Duration { return g.base + until.Sub(g.started) }

// update starts a gang that is complete, and notes its end or the loss of a task; the caller has
// the lock.
func (g *gang) update() {
	now := time.Now()
	switch {
	case g.started.IsZero():
		if len(g.members) == g.spec.Tasks {
			g.started = now
		}
	case g.completed || !g.lost.IsZero() || !g.firstStop.IsZero():
	case len(g.members) < g.spec.Tasks || g.hangs():
		g.lost = now
		if step := limits.Seconds(g.spec.CheckpointS); step > 0 {
			g.board.save(g.spec.ID, g.progress(now).Truncate(step))
		}
	case g.progress(now) >= limits.Seconds(g.spec.EstimateS):
		g.completed = true
		for i := range g.spec.Tasks {
			g.board.complete(protocol.TaskName(g.spec.ID, i))
		}
	}
}

func (g *gang) hangs() bool {
	for _, m := range g.members {
		if m.frozen() {
			return true
		}
	}
	return false
}
