package scheduler

import (
	"slices"
	"time"

	"quillshunt/internal/limits"
)

// machineProber asks machines for their tasks.
type machineProber struct {
	*environment
	budget         probeBudget
	manyUnverified bool // so many machines are unverified that there must be a common cause
}

// newMachineProber returns a prober whose rate fits the share of a core that this controller has.
func newMachineProber(env *environment) *machineProber {
	return &machineProber{environment: env, budget: newProbeBudget(env.cfg.CoreShare)}
}

// probeBudget bounds how many probes a second go out. A take-over may have to learn of thousands of
// machines at once; most of them report by themselves within seconds, and a controller that probes
// them all meanwhile has no processor left for these reports, for its lease and for its votes. How
// much it has shows in how long a probe takes: a worker answers in milliseconds.
type probeBudget struct {
	rate       float64 // probes a second, while they are answered at once
	tokens     float64
	refilledAt time.Duration // of the last refill
	slowUntil  time.Duration // until when probes are slowed down
}

func newProbeBudget(coreShare float64) probeBudget {
	rate := limits.ProbeRate(coreShare)
	return probeBudget{rate: rate, tokens: rate * limits.TickInterval.Seconds()}
}

// refill adds what the time since the last refill allows; what is not used in a second is lost.
func (b *probeBudget) refill(now time.Duration) {
	rate := b.rate
	if now < b.slowUntil {
		rate *= limits.ProbeSlowdown
	}
	b.tokens = min(b.tokens+rate*(now-b.refilledAt).Seconds(), rate)
	b.refilledAt = now
}

// observe notes how a probe went: busy tells that this controller took long for it, or had no time
// for it.
func (b *probeBudget) observe(now time.Duration, busy bool) {
	if busy {
		b.slowUntil = now + limits.ProbeInterval
	}
}

func (b *probeBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// probeMachines asks machines that may hold tasks of earlier terms, rather than wait for their
// reports, and those that may not hear our answers. Those come first that were not asked for
// longest.
func (s *Scheduler) probeMachines() {
	var due []*machine
	for _, m := range s.inventory.all() {
		if (!s.recovery.ended && m.mayHoldEarlierTasks()) || (m.hasReported && !m.verified) {
			due = append(due, m)
		}
	}
	slices.SortStableFunc(due, func(a, b *machine) int { return int(a.nextProbeAt - b.nextProbeAt) })
	for _, m := range due {
		s.probeMachine(m)
	}
}

// askDoubted seeks the proof that answers reach a machine by a direct command without orders. Where
// many machines are unverified at once, as after they all had to find their leader again, the next
// reports on their new connections prove most of them for nothing: there a machine is asked only
// once its next report is overdue as a proof.
func (s *Scheduler) probeMachine(m *machine) {
	if m.hasReported && m.fenced && s.prober.manyUnverified && s.now < m.unverifiedSince+time.Duration(limits.UnverifiedGraceIntervals*float64(s.heartbeatInterval)) {
		return
	}
	if m.address == "" || m.deleting || s.now < m.nextProbeAt || !s.prober.budget.take() {
		return
	}
	m.nextProbeAt = s.now + limits.ProbeInterval
	s.emit(ProbeMachine{Machine: m.name, Address: m.address})
}

// probeDone takes the task list of a machine that has not shown us that it saw our term. The list
// was made after the worker had seen it, so no order of an earlier leader can add to it. It renews
// no lease.
func (s *Scheduler) probeDone(e ProbeDone) {
	m := s.inventory.find(e.Machine)
	heartbeat := e.Heartbeat
	if heartbeat != nil || e.NotSent {
		s.prober.budget.observe(s.now, e.NotSent || e.Took > limits.SlowHeartbeatWait)
	}
	if m != nil && heartbeat == nil && !e.NotSent {
		m.missedProbes++
		if s.recovery.fewUnreported && !m.hasReported && m.missedProbes < limits.UnreportedProbeMisses {
			m.nextProbeAt = s.now // all placement waits for it
			s.probeMachine(m)
		}
	}
	if m == nil || heartbeat == nil || heartbeat.Machine != e.Machine || !heartbeat.Valid() || heartbeat.FencingToken != s.cfg.Term || m.isOutdated(heartbeat, m.sequence) {
		return
	}
	s.observeIncarnation(m, heartbeat)
	s.setVerified(m, true)
	// Like a direct command's answer it says nothing of starts that went out another way and may
	// still arrive.
	s.dispatcher.sendCorrections(m, s.reconcileTasks(m, heartbeat, s.dispatcher.takeID()))
}
