package scheduler

import (
	"slices"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// workerFencing is what the messages of this term have shown a worker of fencing tokens.
type workerFencing struct {
	fencingToken     uint64 // of all messages to the worker; 0: the lowest one of the term
	directStartToken uint64 // the highest one of the direct commands with a start to the worker; 0: there was none
	reportedToken    uint64 // the one in the worker's newest heartbeat
}

// fencingTokens manages the fencing tokens of the term. They run from the number of the term up to the last one that
// the term key reserves for it. Each worker first receives the lowest one. A higher one makes the worker reject all
// direct commands that were sent to it before, also the copies of those that it has executed.
type fencingTokens struct {
	*environment
	last       uint64 // the highest token that is reserved for the term
	keyVersion uint64 // version of the term key
	extending  bool   // a write that reserves more tokens is in flight

	nextWarningAt time.Duration // earliest time of the next warning about a worker's token
}

// newFencingTokens returns the tokens that the election has reserved for the term.
func newFencingTokens(env *environment) *fencingTokens {
	return &fencingTokens{
		environment: env,
		last:        max(env.cfg.Term, env.cfg.LastFencingToken),
		keyVersion:  env.cfg.TermKeyVersion,
	}
}

// fencingTokenOf returns the fencing token of the next message to a machine's worker.
func (e *environment) fencingTokenOf(m *machine) uint64 { return max(e.cfg.Term, m.fencingToken) }

// isOfTerm reports whether a fencing token is reserved for the term.
func (f *fencingTokens) isOfTerm(token uint64) bool {
	return token >= f.cfg.Term && !f.isOfLaterTerm(token)
}

// isOfLaterTerm reports whether a fencing token is higher than all tokens that are reserved for the term.
func (f *fencingTokens) isOfLaterTerm(token uint64) bool { return token > f.last }

// lastReserved returns the highest token that is reserved for the term.
func (f *fencingTokens) lastReserved() uint64 { return f.last }

// LastFencingToken returns the highest fencing token that is reserved for the term. Workers have received no higher one
// from this leader.
func (s *Scheduler) LastFencingToken() uint64 { return s.tokens.lastReserved() }

// observe records the fencing token of a message from a worker that is not outdated. A worker that reports a higher
// one than it was sent may have received it before this leader knew its machine, so direct commands with it count as
// sent.
func (f *fencingTokens) observe(m *machine, token uint64) {
	sent := f.fencingTokenOf(m)
	switch {
	case token < m.reportedToken:
		f.warn("worker reports a lower fencing token than before", m.name, token, m.reportedToken)
	case token > sent:
		f.warn("worker reports a fencing token that it was not sent", m.name, token, sent)
		m.fencingToken, m.directStartToken = token, token
	}
	m.reportedToken = token
}

// warnLaterTerm logs that a worker reports a fencing token of a later term. As this leader is entitled, no later leader
// is, and the worker gets no commands.
func (f *fencingTokens) warnLaterTerm(heartbeat *protocol.Heartbeat) {
	f.warn("worker reports a fencing token that is not reserved", heartbeat.Machine, heartbeat.FencingToken, f.last)
}

// warn logs that a worker reports an unexpected fencing token, at most once in FencingTokenWarningInterval.
func (f *fencingTokens) warn(message, machine string, token, expected uint64) {
	if f.now < f.nextWarningAt {
		return
	}
	f.nextWarningAt = f.now + limits.FencingTokenWarningInterval
	f.logWarn(message, keyMachine, machine, keyToken, token, "expected", expected)
}

// fenceForgets returns the commands for a heartbeat reply, without the commands to forget attempts if these must wait.
// A worker that has forgotten an attempt would run it again on a copy of the direct command that started it. So the
// reply must have a higher fencing token than all direct commands with starts that were sent to the worker.
//
// Only heartbeat replies carry commands to forget: a worker never executes them late.
func (f *fencingTokens) fenceForgets(m *machine, commands []protocol.Command) []protocol.Command {
	if !slices.ContainsFunc(commands, isForget) || f.fenceDirectStarts(m) {
		return commands
	}
	return withoutForgets(commands)
}

// fenceDirectStarts makes the fencing token of the next heartbeat reply higher than that of all direct commands with
// starts to the worker. It returns false if no higher token is reserved. It also returns false while a direct command
// is in flight, which the worker would reject, unless the worker lists MaxWithheldForgets ended attempts.
//
// The token may be raised in a reply to the newest heartbeat only: the worker would drop a reply in flight that has a
// lower token.
func (f *fencingTokens) fenceDirectStarts(m *machine) bool {
	switch {
	case f.fencingTokenOf(m) > m.directStartToken:
		return true
	case m.pendingDirectID != 0 && len(m.endedTasks) < limits.MaxWithheldForgets:
		f.withhold(WithheldForgetCommandInFlight, 1)
		return false
	}
	next := f.fencingTokenOf(m) + 1
	f.extendIfLow(next)
	if next > f.last {
		f.withhold(WithheldForgetNoToken, 1)
		return false
	}
	m.fencingToken = next
	return true
}

// extendIfLow reserves more tokens once a worker is to receive one of the upper half of those that were reserved last.
// The write fails if a write of the term key before it is applied late.
func (f *fencingTokens) extendIfLow(used uint64) {
	if f.extending || used+limits.FencingTokensPerReservation/2 <= f.last {
		return
	}
	f.extending = true
	last := f.last + limits.FencingTokensPerReservation
	f.write(
		tokenReservation{last: last},
		[]protocol.Condition{{Key: storage.KeyTerm, Version: f.keyVersion}},
		[]protocol.Operation{{Put: storage.KeyTerm, Value: protocol.Encode(storage.TermRecord{Term: last})}},
	)
}

// handleReservationWritten records the outcome of a write that reserves tokens.
func (f *fencingTokens) handleReservationWritten(write tokenReservation, e WriteCompleted) {
	if !e.Committed {
		// Only this leader writes the term key during its term, so a conflict is not expected. Without more tokens,
		// workers are no longer instructed to forget attempts.
		f.logWarn("reservation of fencing tokens rejected", "last", f.last)
		return
	}
	f.extending = false
	f.last, f.keyVersion = write.last, e.Version
}

func isForget(command protocol.Command) bool { return command.Verb == protocol.CommandForget }

// withoutForgets returns the commands that are not commands to forget an attempt. It reuses the slice.
func withoutForgets(commands []protocol.Command) []protocol.Command {
	return slices.DeleteFunc(commands, isForget)
}

func isStart(command protocol.Command) bool { return command.Verb == protocol.CommandStart }

// mayStartDirectly reports whether the start of an assigned task may be sent directly. It must not be sent while the
// worker lists the same attempt as ended, which all tasks of a gang share: the worker may be about to forget it under
// the fencing token that the direct command would have.
func (a *assignment) mayStartDirectly() bool {
	_, ended := a.machine.endedTasks[attemptKey{a.taskName, a.attempt}]
	return !ended
}
