package gateway

import (
	"context"
	"sync"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/metrics"
	"quillshunt/internal/transport"
)

// requestSummary counts the user requests since the last summary entry in the log. It is safe for concurrent
// use, and its zero value is ready to use.
type requestSummary struct {
	mu      sync.Mutex
	counts  metrics.Counts
	longest time.Duration // time that the slowest request took
}

// add counts a request.
func (s *requestSummary) add(action metrics.Action, outcome metrics.Outcome, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = metrics.Counts{}
	}
	s.counts[metrics.CountKey{Kind: string(action), Outcome: string(outcome)}]++
	s.longest = max(s.longest, duration)
}

// take returns the counts and the longest time since the last call.
func (s *requestSummary) take() (counts metrics.Counts, longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, longest = s.counts, s.longest
	s.counts, s.longest = nil, 0
	return counts, longest
}

// countRequest counts a user request in the metrics and in the next summary entry of the log.
func (g *Gateway) countRequest(action metrics.Action, outcome metrics.Outcome, duration time.Duration) {
	g.metrics.CountRequest(action, outcome, duration)
	g.summary.add(action, outcome, duration)
}

// logSummaries logs the state of the client side, and the outcomes of the user requests unless there were none, at
// intervals of limits.SummaryInterval until the context ends. At the same intervals it removes old ages of questions.
func (g *Gateway) logSummaries(ctx context.Context) {
	ticker := time.NewTicker(limits.SummaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.questions.forgetOld(time.Now())
			g.logClientSide()
			counts, longest := g.summary.take()
			if len(counts) == 0 {
				continue
			}
			g.log.Info("user requests", "leader", g.leaderName(), "outcomes", counts.String(),
				"longest", longest.Round(time.Millisecond),
				"state_failing", g.store.FailingFor().Round(time.Millisecond))
		}
	}
}

// logClientSide logs what users, machines and the load balancer see of this controller, and records it in the
// metrics.
func (g *Gateway) logClientSide() {
	var activity transport.Activity
	if g.activity != nil {
		activity = g.activity()
	}
	g.metrics.RecordConnections(metrics.Connections{
		Machines: activity.Machines, Users: activity.Users, Silent: activity.Silent, Refused: activity.Refused,
		LoopDelay: activity.LoopDelay, TimerDelay: activity.TimerDelay,
	})
	for _, invariant := range g.service.record(activity) {
		g.metrics.CountViolation(invariant)
		g.log.Error("this controller cannot serve its clients", "invariant", invariant,
			"loop_delay", activity.LoopDelay, "connections_refused", activity.Refused)
	}
	passed, failed, gap := g.checks.take(time.Now())
	reads := g.reader.TakeStatistics(time.Now())
	g.metrics.SetOldestRead(reads.OldestWaiting)
	round := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	g.log.Info("client side", "leader", g.leaderName(),
		"health_checks", passed, "failed_checks", failed, "check_gap", round(gap),
		"users", activity.Users, "machines", activity.Machines, "silent", activity.Silent,
		"oldest_silent", round(activity.OldestSilent), "connections_refused", activity.Refused,
		"loop_delay", round(activity.LoopDelay), "timer_delay", round(activity.TimerDelay),
		"reads", reads.Keys, "pages", reads.Pages, "read_answers", reads.Answered, "read_bytes", reads.Bytes,
		"waiting_reads", reads.Waiting, "oldest_read", round(reads.OldestWaiting),
		"state_failing", round(g.store.FailingFor()), "state_failed_call", g.store.LastFailedShare())
}
