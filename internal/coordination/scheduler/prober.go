package scheduler

import (
	"cmp"
	"slices"
	"time"

	"quillshunt/internal/limits"
)

// machineProber requests the task lists of machines instead of waiting for their heartbeats. A reply also
// shows that messages reach the machine and that its worker has seen this term's fencing token.
type machineProber struct {
	*environment
	inventory      *machineInventory
	recovery       *recoveryState
	limiter        probeLimiter
	manyUnverified bool // so many machines are unverified that a common cause is likely
}

// newMachineProber returns a prober whose rate limit depends on the controller's share of a CPU core.
func newMachineProber(env *environment, inventory *machineInventory, recovery *recoveryState) *machineProber {
	return &machineProber{
		environment: env,
		inventory:   inventory,
		recovery:    recovery,
		limiter:     newProbeLimiter(env.cfg.CoreShare),
	}
}

// probeLimiter is a token bucket that limits the rate of probes. After a failover, thousands of machines
// have to report. Most of them send heartbeats within seconds, and a controller that probed all of them at
// once would have no CPU time left for these heartbeats, its leader lease and its votes. A probe that takes
// long shows that the controller lacks CPU time, because workers answer within milliseconds.
type probeLimiter struct {
	rate       float64 // probes per second, while probes are not slowed down
	tokens     float64 // probes that may be sent now
	refilledAt time.Duration
	slowUntil  time.Duration // the rate is multiplied by ProbeSlowdownRatio until this time
}

func newProbeLimiter(coreShare float64) probeLimiter {
	rate := limits.ProbeRate(coreShare)
	return probeLimiter{rate: rate, tokens: rate * limits.TickInterval.Seconds()}
}

// refill adds the tokens for the time since the last refill, up to the tokens of one second.
func (l *probeLimiter) refill(now time.Duration) {
	rate := l.rate
	if now < l.slowUntil {
		rate *= limits.ProbeSlowdownRatio
	}
	l.tokens = min(l.tokens+rate*(now-l.refilledAt).Seconds(), rate)
	l.refilledAt = now
}

// allow reports whether a probe may be sent now, and takes a token if so.
func (l *probeLimiter) allow() bool {
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// updateUnverified determines from the counts of unverified machines and of all machines that have
// reported whether a common cause is likely.
func (p *machineProber) updateUnverified(unverified, reported int) {
	share := limits.CorrelatedUnverifiedShare * float64(reported)
	p.manyUnverified = unverified > limits.CorrelatedUnreachableMin && float64(unverified) > share
}

// probeDueMachines probes the machines that may hold tasks of earlier terms, until recovery has ended, and
// the unverified ones, as far as the rate limit allows. Machines whose probe was due first come first.
func (p *machineProber) probeDueMachines() {
	p.limiter.refill(p.now)
	var due []*machine
	for _, m := range p.inventory.all() {
		if (!p.recovery.hasEnded() && m.mayHoldEarlierTermTasks()) || (m.hasReported && !m.verified) {
			due = append(due, m)
		}
	}
	slices.SortStableFunc(due, func(a, b *machine) int { return cmp.Compare(a.nextProbeAt, b.nextProbeAt) })
	for _, m := range due {
		p.probeIfDue(m)
	}
}

// probeIfDue probes a machine if a probe is due and the rate limit allows it. It skips machines that have no
// address, are being deleted, or are in the verification grace period.
func (p *machineProber) probeIfDue(m *machine) {
	if !p.isInVerificationGracePeriod(m) && !m.deleting {
		p.probeUnlessTooSoon(m)
	}
}

// probeUnlessTooSoon probes a machine that has an address if the interval between probes and the rate limit
// allow it.
func (p *machineProber) probeUnlessTooSoon(m *machine) {
	if m.address == "" || p.now < m.nextProbeAt || !p.limiter.allow() {
		return
	}
	m.nextProbeAt = p.now + limits.ProbeInterval
	p.emit(ProbeMachine{Machine: m.name, Address: m.address, FencingToken: p.fencingTokenOf(m)})
}

// isInVerificationGracePeriod reports whether to delay the probe of an unverified machine. If many machines
// are unverified at once, for example because all of them have reconnected to the leader, the next heartbeats
// on the new connections verify most of them without a probe.
func (p *machineProber) isInVerificationGracePeriod(m *machine) bool {
	grace := limits.Scale(p.heartbeatInterval, limits.UnverifiedGraceIntervals)
	return m.hasReported && m.fenced && p.manyUnverified && p.now < m.unverifiedSince+grace
}

// recordOutcome slows down probes after one that could not be sent or was answered late, as this controller
// is then short of CPU time or sockets. A probe without a reply shows nothing about the controller.
func (p *machineProber) recordOutcome(e ProbeDone) {
	answeredLate := e.Heartbeat != nil && e.Elapsed > limits.SlowHeartbeatThreshold
	if e.NotSent || answeredLate {
		p.limiter.slowUntil = p.now + limits.ProbeInterval
	}
}

// recordMiss records that a machine did not answer a probe. If recovery waits for only a few machines, the
// next probe follows at once, until UnreportedProbeMisses is reached.
func (p *machineProber) recordMiss(m *machine) {
	m.missedProbes++
	if p.recovery.hasFewUnreported() && !m.hasReported && m.missedProbes < limits.UnreportedProbeMisses {
		m.nextProbeAt = p.now // all placement waits until the machine answers or is returned
		p.probeIfDue(m)
	}
}

// handleProbeDone handles the outcome of a probe. The worker made the task list after it had seen this term's
// fencing token, so no command of an earlier leader can add tasks to it. A probe renews no lease.
func (s *Scheduler) handleProbeDone(e ProbeDone) {
	s.prober.recordOutcome(e)
	m, heartbeat := s.inventory.find(e.Machine), e.Heartbeat
	if m == nil {
		return
	}
	if heartbeat == nil {
		if !e.NotSent {
			s.prober.recordMiss(m)
		}
		return
	}
	if heartbeat.Machine != e.Machine || !heartbeat.IsValid() || !s.tokens.isOfTerm(heartbeat.FencingToken) ||
		m.isOutdated(heartbeat, m.taskListSequence) {
		return
	}
	s.reachability.observeIncarnation(m, heartbeat)
	s.reachability.setVerified(m, true)
	// The task list is processed like the reply to a direct command, under a new ID that no assignment has.
	// It shows nothing about starts that were sent in other messages and may still arrive.
	s.dispatcher.sendCorrections(m, s.reconcileTasks(m, heartbeat, s.dispatcher.allocateID()))
}
