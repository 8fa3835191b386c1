package gateway

import (
	"context"
	"sync"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/metrics"
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

// logSummaries logs the outcomes of the user requests at intervals of limits.SummaryInterval, unless there
// were none, until the context ends. At the same intervals it removes old ages of questions.
func (g *Gateway) logSummaries(ctx context.Context) {
	ticker := time.NewTicker(limits.SummaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.questions.forgetOld(time.Now())
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
