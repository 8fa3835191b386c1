package standin

import (
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// StateLimits are limits of the state service. Zero means none.
type StateLimits struct {
	ValueBytes int // of a value, in JSON
	TxnOps     int // changes of a transaction
}

// SetLimits sets the limits from now on; what is stored stays as it is.
func (s *StateService) SetLimits(limits StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// OversizedTransactions returns how many transactions were rejected for their size.
func (s *StateService) OversizedTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oversizedTransactions
}

// SetUnavailable begins or ends an outage. After one, all leases have their full time again.
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

// Unavailable reports whether there is an outage.
func (s *StateService) Unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable
}

// SetRejectedCaller rejects one caller alone, or serves it again.
func (s *StateService) SetRejectedCaller(caller string, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectedCallers[caller] = rejected
	s.notifyWatchers()
}

// serves reports whether a caller's requests are executed now.
func (s *StateService) serves(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unavailable && !s.rejectedCallers[caller]
}

// SetDelayedTransactions sets which transactions get no answer in time and are executed later: delay
// is asked for each. Nil delays none.
func (s *StateService) SetDelayedTransactions(delay func() (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayTransaction = delay
}

// transactionDelay returns how much later the next transaction is executed, if it is delayed.
func (s *StateService) transactionDelay() (time.Duration, bool) {
	s.mu.Lock()
	delay := s.delayTransaction
	s.mu.Unlock()
	if delay == nil {
		return 0, false
	}
	return delay()
}

// withinLimits reports whether a transaction keeps to the limits. The caller holds mu.
func (s *StateService) withinLimits(t *protocol.Transaction) bool {
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

// withStringKeys gives maps text keys, as they have in JSON, in which sizes are counted.
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
