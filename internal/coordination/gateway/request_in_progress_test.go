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
