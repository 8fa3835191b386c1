package scheduler

import (
	"cmp"
	"slices"
	"time"

	"quillshunt/internal/limits"
)

// machineProber asks machines for their tasks instead of waiting for their heartbeats. The answer also
// shows that messages reach the machine and that its worker has seen our term.
type machineProber struct {
	*environment
	inventory      *machineInventory
	recovery       *recoveryState
	budget         probeBudget
	manyUnverified bool // more machines are unverified than can be without a common cause
}

// newMachineProber returns a prober whose rate fits the share of a core that this controller has.
func newMachineProber(env *environment, inventory *machineInventory, recovery *recoveryState) *machineProber {
	return &machineProber{
		environment: env,
		inventory:   inventory,
		recovery:    recovery,
		budget:      newProbeBudget(env.cfg.CoreShare),
	}
}

// probeBudget bounds how many probes a second go out. A failover may have to learn of thousands of
// machines at once; most of them send heartbeats within seconds, and a controller that probes them
// all meanwhile has no processor left for these heartbeats, for its lease and for its votes. How much
// it has shows in how long a probe takes: a worker answers in milliseconds.
type probeBudget struct {
	rate       float64 // probes a second, while they are answered at once
	tokens     float64
	refilledAt time.Duration
	slowUntil  time.Duration // probes are slowed down until then
}

func newProbeBudget(coreShare float64) probeBudget {
	rate := limits.ProbeRate(coreShare)
	return probeBudget{rate: rate, tokens: rate * limits.TickInterval.Seconds()}
}

// refill adds what the time since the last refill allows; what is not used in a second is lost.
func (b *probeBudget) refill(now time.Duration) {
	rate := b.rate
	if now < b.slowUntil {
		rate *= limits.ProbeSlowdownRatio
	}
	b.tokens = min(b.tokens+rate*(now-b.refilledAt).Seconds(), rate)
	b.refilledAt = now
}

// spend reports whether a probe may go out now, and counts it if so.
func (b *probeBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// updateUnverified notes how many of the machines that have reported are unverified.
func (p *machineProber) updateUnverified(unverified, reported int) {
	share := limits.CorrelatedUnverifiedShare * float64(reported)
	p.manyUnverified = unverified > limits.CorrelatedUnreachableMin && float64(unverified) > share
}

// probeDue probes the machines that may hold tasks of earlier terms and those that may not hear our
// answers, as far as the budget goes. Those come first that were not probed for longest.
func (p *machineProber) probeDue() {
	p.budget.refill(p.now)
	var due []*machine
	for _, m := range p.inventory.all() {
		if (!p.recovery.hasEnded() && m.mayHoldEarlierTasks()) || (m.hasReported && !m.verified) {
			due = append(due, m)
		}
	}
	slices.SortStableFunc(due, func(a, b *machine) int { return cmp.Compare(a.nextProbeAt, b.nextProbeAt) })
	for _, m := range due {
		p.probe(m)
	}
}

// probe probes a machine if its time has come and the budget allows it.
func (p *machineProber) probe(m *machine) {
	if p.mayVerifyByItself(m) || m.address == "" || m.deleting || p.now < m.nextProbeAt || !p.budget.spend() {
		return
	}
	m.nextProbeAt = p.now + limits.ProbeInterval
	p.emit(ProbeMachine{Machine: m.name, Address: m.address})
}

// mayVerifyByItself reports whether a probe of an unverified machine can wait. Where many machines are
// unverified at once, as after they all had to find their leader again, the next heartbeats on their
// new connections verify most of them for nothing.
func (p *machineProber) mayVerifyByItself(m *machine) bool {
	grace := time.Duration(limits.UnverifiedGraceIntervals * float64(p.heartbeatInterval))
	return m.hasReported && m.fenced && p.manyUnverified && p.now < m.unverifiedSince+grace
}

// done notes how a probe went. Probes are slowed down after one that took this controller long, or
// that it could not send; one that was not answered says nothing about that.
func (p *machineProber) done(e ProbeDone) {
	answeredLate := e.Heartbeat != nil && e.Took > limits.SlowHeartbeatThreshold
	if e.NotSent || answeredLate {
		p.budget.slowUntil = p.now + limits.ProbeInterval
	}
}

// missed notes that a machine did not answer a probe.
func (p *machineProber) missed(m *machine) {
	m.missedProbes++
	if p.recovery.hasFewUnreported() && !m.hasReported && m.missedProbes < limits.UnreportedProbeMisses {
		m.nextProbeAt = p.now // all placement waits for it
		p.probe(m)
	}
}

// probeDone handles the answer to a probe. The task list was made after the worker had seen our term,
// so no command of an earlier leader can add to it. It renews no lease.
func (s *Scheduler) probeDone(e ProbeDone) {
	s.prober.done(e)
	m, heartbeat := s.inventory.find(e.Machine), e.Heartbeat
	if m == nil {
		return
	}
	if heartbeat == nil {
		if !e.NotSent {
			s.prober.missed(m)
		}
		return
	}
	if heartbeat.Machine != e.Machine || !heartbeat.Valid() || heartbeat.FencingToken != s.cfg.Term ||
		m.isOutdated(heartbeat, m.sequence) {
		return
	}
	s.reachability.observeIncarnation(m, heartbeat)
	s.reachability.setVerified(m, true)
	// Like the answer to a direct command it shows nothing of starts that went out another way and
	// may still arrive.
	s.dispatcher.sendCorrections(m, s.reconcileTasks(m, heartbeat, s.dispatcher.takeID()))
}
