package gateway

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/metrics"
	"quillshunt/internal/transport"
)

// serviceWatch checks that this controller can be in service: that requests do not always wait unread for longer
// than a health check may take, and that connections are not refused all the time. Neither shows in the outcomes of
// requests. It is used by one goroutine.
type serviceWatch struct {
	slow, refusing int // intervals in a row
}

// record records the activity in one interval and returns the invariants that are violated since this interval.
func (w *serviceWatch) record(activity transport.Activity) []metrics.Invariant {
	var violated []metrics.Invariant
	if countInRow(&w.slow, activity.LeastDelay > limits.HealthCheckPatience) {
		violated = append(violated, metrics.InvariantReadInTime)
	}
	if countInRow(&w.refusing, activity.Refused > 0) {
		violated = append(violated, metrics.InvariantAcceptsConnections)
	}
	return violated
}

// countInRow counts an interval with a fault, or begins anew. It reports whether the faults have lasted for
// limits.MaxUnansweredAge since this interval.
func countInRow(count *int, fault bool) bool {
	if !fault {
		*count = 0
		return false
	}
	*count++
	return *count == int(limits.MaxUnansweredAge/limits.SummaryInterval)
}
