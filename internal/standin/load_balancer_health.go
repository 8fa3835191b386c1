package standin

import "time"

// Health checks of the load balancer, from the protocol. MaxReturnPause is the longest time for which a node is kept
// out of service after a removal.
const (
	healthCheckInterval   = time.Second
	healthCheckTimeout    = time.Second
	failuresInRow         = 2 // after which a node is removed
	failuresAmongLast     = 3 // after which a node is removed, of healthCheckWindow checks
	healthCheckWindow     = 6
	successesToReturn     = 2
	firstReturnPause      = 3 * time.Second
	MaxReturnPause        = 60 * time.Second
	removalMemory         = 2 * time.Minute // a removal within this time of the one before doubles the pause
	rampUpTime            = 10 * time.Second
	resetAfterRemovalTime = 5 * time.Second
)

// nodeHealth is what the health checks of a node have shown. Times may be of any clock.
type nodeHealth struct {
	healthy     bool
	everHealthy bool
	results     []bool // of the last checks, the latest last
	successes   int    // in a row
	healthyAt   time.Time
	removedAt   time.Time
	pause       time.Duration // before the node may return
}

// record records the result of a health check that has ended now.
func (h *nodeHealth) record(passed bool, now time.Time) {
	h.results = append(h.results, passed)
	h.results = h.results[max(0, len(h.results)-healthCheckWindow):]
	if passed {
		h.successes++
	} else {
		h.successes = 0
	}
	switch {
	case h.healthy && h.hasFailed():
		h.remove(now)
	case !h.healthy && h.mayReturn(now):
		h.healthy, h.everHealthy, h.healthyAt = true, true, now
		h.results = nil
	}
}

// hasFailed reports whether enough of the last checks have failed for a removal.
func (h *nodeHealth) hasFailed() bool {
	failures, inRow := 0, 0
	for _, passed := range h.results {
		if passed {
			inRow = 0
			continue
		}
		failures++
		inRow++
	}
	return inRow >= failuresInRow || failures >= failuresAmongLast
}

// remove takes the node out of service. The pause doubles with each further removal within removalMemory.
func (h *nodeHealth) remove(now time.Time) {
	if h.removedAt.IsZero() || now.Sub(h.removedAt) > removalMemory {
		h.pause = firstReturnPause
	} else {
		h.pause = min(2*h.pause, MaxReturnPause)
	}
	h.healthy, h.removedAt = false, now
}

// mayReturn reports whether the last checks have shown that the node is in order again.
func (h *nodeHealth) mayReturn(now time.Time) bool {
	if !h.everHealthy {
		return h.successes > 0
	}
	return h.successes >= successesToReturn && now.Sub(h.removedAt) >= h.pause
}

// share returns the share of its connections that the node gets, which grows to 1 after its return.
func (h *nodeHealth) share(now time.Time) float64 {
	return min(1, now.Sub(h.healthyAt).Seconds()/rampUpTime.Seconds())
}

// mustReset reports whether the open connections of the node are to be reset.
func (h *nodeHealth) mustReset(now time.Time) bool {
	return h.everHealthy && !h.healthy && now.Sub(h.removedAt) >= resetAfterRemovalTime
}
