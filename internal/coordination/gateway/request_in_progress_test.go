package gateway

import (
	"net/http"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/metrics"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// TestUndeliveredAnswerIsNoAnswer guards against counting a poll as answered although its user got nothing in time.
func TestUndeliveredAnswerIsNoAnswer(t *testing.T) {
	for _, c := range []struct {
		name     string
		delivery transport.Delivery
		want     metrics.Outcome
		answered bool
	}{
		{"in time", transport.Delivery{Written: true, Elapsed: time.Second}, metrics.OutcomeState, true},
		{"late", transport.Delivery{Written: true, Elapsed: limits.UserPollPatience + 1}, metrics.OutcomeLate, false},
		{"connection ended", transport.Delivery{Elapsed: time.Second}, metrics.OutcomeAbandoned, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGatewayFixture(t).gateway
			const id = "job-000001"
			firstAt := time.Now().Add(-time.Second)
			g.questions.recordFailure(id, firstAt, time.Time{})
			request := &requestInProgress{
				route: userRoute{action: actionStatus, jobID: id}, arrivedAt: time.Now(),
				response: statusResponse(http.StatusOK, protocol.JobStatus{ID: id, State: protocol.JobPending}),
			}
			if got := request.outcome(c.delivery); got != c.want {
				t.Errorf("outcome %s, want %s", got, c.want)
			}
			g.recordDelivery(request, c.delivery)
			if answered := g.questions.since(id, time.Now()).After(firstAt); answered != c.answered {
				t.Errorf("counts as answered: %v, want %v", answered, c.answered)
			}
		})
	}
}

// TestUnservableControllerIsReported guards against a controller that reads no request in time, or refuses
// connections, for a minute without a word.
func TestUnservableControllerIsReported(t *testing.T) {
	slow := transport.Activity{LeastDelay: limits.HealthCheckPatience + 1, LoopDelay: 2 * limits.HealthCheckPatience}
	for _, c := range []struct {
		name     string
		activity transport.Activity
		want     metrics.Invariant
	}{
		{"requests wait unread", slow, metrics.InvariantReadInTime},
		{"connections are refused", transport.Activity{Refused: 1}, metrics.InvariantAcceptsConnections},
		{"some requests wait", transport.Activity{LoopDelay: 2 * limits.HealthCheckPatience}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var watch serviceWatch
			var reported []metrics.Invariant
			for range 2 * limits.MaxUnansweredAge / limits.SummaryInterval {
				reported = append(reported, watch.record(c.activity)...)
			}
			if c.want == "" && len(reported) > 0 {
				t.Errorf("reported %v, want nothing", reported)
			}
			if c.want != "" && (len(reported) != 1 || reported[0] != c.want) {
				t.Errorf("reported %v, want %s once", reported, c.want)
			}
		})
	}
}

// TestHealthCheckGapIsReported guards against a controller that stops answering health checks unnoticed.
func TestHealthCheckGapIsReported(t *testing.T) {
	var checks healthCheckCounts
	start := time.Now()
	checks.record(http.StatusOK, start)
	checks.record(http.StatusServiceUnavailable, start.Add(2*time.Second))
	passed, failed, gap := checks.take(start.Add(7 * time.Second))
	if passed != 1 || failed != 1 || gap != 5*time.Second {
		t.Errorf("%d passed, %d failed, gap %v, want 1, 1 and 5s", passed, failed, gap)
	}
}
