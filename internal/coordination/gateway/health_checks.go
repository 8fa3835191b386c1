package gateway

import (
	"net/http"
	"sync"
	"time"
)

// healthCheckCounts counts the health checks of the load balancer. It is safe for concurrent use, and its zero
// value is ready to use.
type healthCheckCounts struct {
	mu         sync.Mutex
	passed     int
	failed     int
	lastAt     time.Time     // when the last one was answered
	longestGap time.Duration // longest time between two answers
}

// record records a health check that is answered now.
func (h *healthCheckCounts) record(status int, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if status == http.StatusOK {
		h.passed++
	} else {
		h.failed++
	}
	if !h.lastAt.IsZero() {
		h.longestGap = max(h.longestGap, now.Sub(h.lastAt))
	}
	h.lastAt = now
}

// take returns the counts and the longest gap since the last call. A gap that has not ended counts as well.
func (h *healthCheckCounts) take(now time.Time) (passed, failed int, longestGap time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lastAt.IsZero() {
		h.longestGap = max(h.longestGap, now.Sub(h.lastAt))
	}
	passed, failed, longestGap = h.passed, h.failed, h.longestGap
	h.passed, h.failed, h.longestGap = 0, 0, 0
	return passed, failed, longestGap
}
