package standin

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// StateLimits are the size limits of the state service. Zero means no limit.
type StateLimits struct {
	ValueBytes int // maximum size of a value, encoded as JSON
	TxnOps     int // maximum number of operations of a transaction
}

// SetLimits sets the limits for later transactions. Stored values are kept even if they exceed a limit.
func (s *StateService) SetLimits(limits StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// OversizedTransactions returns how many transactions were rejected because they exceeded a limit.
func (s *StateService) OversizedTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oversizedTransactions
}

// SetRates sets the numbers of requests, and of operations in transactions, that all callers together may
// send per second. Both limits allow a burst of one second's worth. Zero means no limit.
func (s *StateService) SetRates(requests, operations float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestRate, s.operationRate = newRateLimiter(requests), newRateLimiter(operations)
}

// SetRejectEvery rejects one of that many requests, as if the request rate were exceeded. Zero rejects none.
func (s *StateService) SetRejectEvery(requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectEvery = requests
}

// newRateLimiter returns a limiter of events per second, or nil for 0.
func newRateLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, limits.Whole(perSecond, math.MaxInt32)))
}

// isWithinRequestRate counts a request. It returns false if the request exceeds the rate.
func (s *StateService) isWithinRequestRate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	isRejected := s.rejectEvery > 0 && s.requests%s.rejectEvery == 0
	if !isRejected && (s.requestRate == nil || s.requestRate.Allow()) {
		return true
	}
	s.rateLimitedRequests++
	return false
}

// isWithinOperationRate counts the operations of a transaction. It returns false if they exceed the rate.
func (s *StateService) isWithinOperationRate(operations int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.operationRate == nil || s.operationRate.AllowN(time.Now(), operations)
}

// RequestCounts returns how many requests have arrived, and how many of them exceeded the request rate.
func (s *StateService) RequestCounts() (all, rateLimited int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.rateLimitedRequests
}

// SetUnavailable starts or ends an outage, during which the servers reject the requests of all callers. No
// lease expires during an outage, and all leases get their full duration again when it ends.
func (s *StateService) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.unavailable = unavailable
	for id, l := range s.leases {
		l.expiresAt = time.Now().Add(l.duration)
		s.leases[id] = l
	}
	s.notifyWatchers()
}

// IsUnavailable reports whether an outage is in progress.
func (s *StateService) IsUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable
}

// SetRejectedCaller makes the service reject all requests of one caller, or execute them again. See
// ServerFor.
func (s *StateService) SetRejectedCaller(caller string, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectedCallers[caller] = rejected
	s.notifyWatchers()
}

// isServing reports whether requests of a caller are executed at present: there is no outage and the caller is
// not rejected.
func (s *StateService) isServing(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unavailable && !s.rejectedCallers[caller]
}

// SetDelayedTransactions delays transactions so that the caller times out before they are executed. For each
// transaction, delay returns how long to delay it, or false to execute it at once. A nil delay delays none.
func (s *StateService) SetDelayedTransactions(delay func() (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayTransaction = delay
}

// SetLostReplies loses replies to transactions that are executed. lose is called for each transaction and
// returns whether its reply is lost. A nil function loses none.
func (s *StateService) SetLostReplies(lose func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseReply = lose
}

// losesReply returns whether the reply to the next transaction is lost.
func (s *StateService) losesReply() bool {
	s.mu.Lock()
	lose := s.loseReply
	s.mu.Unlock()
	return lose != nil && lose()
}

// transactionDelay returns how long to delay the next transaction, or false to execute it at once.
func (s *StateService) transactionDelay() (time.Duration, bool) {
	s.mu.Lock()
	delay := s.delayTransaction
	s.mu.Unlock()
	if delay == nil {
		return 0, false
	}
	return delay()
}

// isWithinLimits reports whether a transaction is within the limits. A value that cannot be decoded is not
// measured. The caller holds mu.
func (s *StateService) isWithinLimits(t *protocol.Transaction) bool {
	if s.limits.TxnOps > 0 && len(t.Operations) > s.limits.TxnOps {
		return false
	}
	for _, op := range t.Operations {
		var value any
		if s.limits.ValueBytes == 0 || op.Delete != "" || protocol.Decode(op.Value, &value) != nil {
			continue
		}
		if storage.EncodedSize(withStringKeys(value)) > s.limits.ValueBytes {
			return false
		}
	}
	return true
}

// withStringKeys returns a decoded CBOR value with string keys in all maps, so that it can be encoded as JSON
// to measure its size. It drops entries with other keys.
func withStringKeys(value any) any {
	switch value := value.(type) {
	case map[any]any:
		out := make(map[string]any, len(value))
		for key, element := range value {
			if name, ok := key.(string); ok {
				out[name] = withStringKeys(element)
			}
		}
		return out
	case []any:
		out := make([]any, len(value))
		for i, element := range value {
			out[i] = withStringKeys(element)
		}
		return out
	}
	return value
}
