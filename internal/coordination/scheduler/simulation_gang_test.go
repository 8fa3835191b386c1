package scheduler

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"quillshunt/internal/protocol"
)

// The world's workers run gangs as the protocol says: the tasks of one attempt find each other,
// start and complete together, notice when one is gone, and save together or not at all.

// simulatedGang is one attempt of a gang.
type simulatedGang struct {
	spec      protocol.Spec
	started   bool
	end       time.Duration // when it completes
	lost      time.Duration // when a task of it was lost while it ran; 0: none
	firstStop time.Duration
	notice    time.Duration   // how long its tasks take to notice
	had       map[string]bool // its tasks that waited for the others on some machine
}

// gangEvents counts what happened to gangs, so that the days can be seen to have met it.
type gangEvents struct{ started, lost, incomplete, replaced, saved, unsaved, completed int }

func (e *gangEvents) check(t *testing.T) {
	t.Logf("gangs: %+v", *e)
	const least = 5
	if min(e.started, e.lost, e.replaced, e.saved, e.unsaved, e.completed) < least {
		t.Errorf("some of it hardly happened: %+v", *e)
	}
}

// gangOf returns the truth about a task's attempt, or nil if its job is no gang.
func (w *simulation) gangOf(t *simulatedTask) *simulatedGang {
	id, _, _ := protocol.ParseTaskName(t.name)
	spec := w.jobs[id].spec
	if !spec.Gang() {
		return nil
	}
	key := fmt.Sprintf("%s#%x", id, t.attempt)
	g := w.gangs[key]
	if g == nil {
		g = &simulatedGang{spec: spec, notice: w.between(0, w.peer()), had: map[string]bool{}}
		w.gangs[key] = g
	}
	return g
}

func (w *simulation) peer() time.Duration {
	return time.Duration(*w.workers.GangPeerS * float64(time.Second))
}

// member is a task of a gang that is on its machine.
type member struct {
	g *simulatedMachine
	t *simulatedTask
}

// members are the tasks of each attempt that are on their machines.
func (w *simulation) members() map[*simulatedGang][]member {
	out := map[*simulatedGang][]member{}
	for _, n := range w.machineNames() {
		g := w.machines[n]
		if g.gone {
			continue
		}
		for _, t := range g.tasks {
			if gang := w.gangOf(t); gang != nil && t.onMachine() {
				out[gang] = append(out[gang], member{g, t})
			}
		}
	}
	return out
}

// onMachine tells whether a task counts as being on its machine.
func (t *simulatedTask) onMachine() bool {
	return t.state == protocol.Running || t.state == protocol.Saving || t.state == protocol.Gathering
}

// gather is what a gang's task does once it has its image.
func (w *simulation) gather(g *simulatedMachine, t *simulatedTask) {
	w.begin(g, t)
	if gang := w.gangOf(t); gang.had[t.name] {
		w.seen.replaced++
	} else {
		gang.had[t.name] = true
	}
	id, index, _ := protocol.ParseTaskName(t.name)
	t.state, t.gatherEnd = protocol.Gathering, w.now+time.Duration(*w.workers.GangWaitS*float64(time.Second))
	if w.jobs[id].done[index] {
		w.exit(member{g, t}, protocol.ReasonDone)
	}
}

func (w *simulation) exit(m member, reason string) {
	m.t.state, m.t.reason = protocol.Ended, reason
	m.g.nextReport = min(m.g.nextReport, w.now+500*time.Millisecond)
}

// runGangs lets gangs live until now.
func (w *simulation) runGangs() {
	all := w.members()
	keys := make([]string, 0, len(w.gangs))
	for k := range w.gangs {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		w.runGang(w.gangs[k], all[w.gangs[k]])
	}
}

func (w *simulation) runGang(gang *simulatedGang, members []member) {
	awake := members[:0:0]
	for _, m := range members {
		if w.now >= m.g.hungUntil {
			awake = append(awake, m)
		}
	}
	switch {
	case gang.started && len(members) == 0: // over
	case !gang.started:
		w.gatherGang(gang, awake)
	case gang.lost != 0:
		if w.now >= gang.lost+gang.notice {
			w.exitAll(awake, protocol.ReasonPeers)
		}
	case len(awake) < gang.spec.Tasks && gang.firstStop == 0:
		gang.lost = w.now
		w.seen.lost++
	case gang.firstStop != 0:
		w.stopGang(gang, awake)
	case w.now >= gang.end:
		w.completeGang(awake)
	}
}

func (w *simulation) exitAll(members []member, reason string) {
	for _, m := range members {
		w.exit(m, reason)
	}
}

// gatherGang starts a gang that is complete, and ends tasks that have waited for too long.
func (w *simulation) gatherGang(gang *simulatedGang, members []member) {
	if len(members) == gang.spec.Tasks {
		w.seen.started++
		gang.started, gang.end = true, w.now+w.between(2*time.Second, 12*time.Second)
		for _, m := range members {
			m.t.state = protocol.Running
			m.g.nextReport = min(m.g.nextReport, w.now+500*time.Millisecond)
			id, _, _ := protocol.ParseTaskName(m.t.name)
			if m.g.faulty || w.failEvery[id] {
				w.exit(m, protocol.ReasonError)
			}
		}
		return
	}
	for _, m := range members {
		if w.now >= m.t.gatherEnd {
			w.exit(m, protocol.ReasonIncomplete)
			w.seen.incomplete++
		}
	}
}

// completeGang ends a gang whose work is done: all its tasks complete together.
func (w *simulation) completeGang(members []member) {
	w.seen.completed++
	for _, m := range members {
		id, index, _ := protocol.ParseTaskName(m.t.name)
		w.jobs[id].done[index] = true
	}
	w.exitAll(members, protocol.ReasonDone)
}

// stopGangTask tells a task of a gang to stop.
func (w *simulation) stopGangTask(g *simulatedMachine, t *simulatedTask, grace float64) {
	gang := w.gangOf(t)
	if t.state != protocol.Running || gang.spec.CheckpointS == 0 || grace < gang.spec.SaveS {
		if !t.told || grace == 0 || t.state != protocol.Running {
			w.exit(member{g, t}, protocol.ReasonStopped)
		}
		return
	}
	t.told = true
	if gang.firstStop == 0 {
		gang.firstStop = w.now
	}
}

// stopGang ends a gang that was told to stop: saved if all tasks were told in time, else by the
// time that they take to notice.
func (w *simulation) stopGang(gang *simulatedGang, members []member) {
	told := 0
	for _, m := range members {
		if m.t.told {
			told++
		}
	}
	save := time.Duration(gang.spec.SaveS * float64(time.Second))
	switch {
	case told == gang.spec.Tasks && w.now >= gang.firstStop+save:
		w.exitAll(members, protocol.ReasonStopped)
		w.seen.saved++
	case w.now >= gang.firstStop+w.peer()+save:
		w.exitAll(members, protocol.ReasonPeers)
		w.seen.unsaved++
	}
}
