package standin

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"quillshunt/internal/protocol"
)

// StateService is an in-memory fake of the state service: a key-value store with versions, transactions, leases
// and watches. It is safe for concurrent use.
type StateService struct {
	mu          sync.Mutex
	keys        map[string]protocol.KeyValue
	revision    uint64            // incremented by each transaction with operations and each lease removal with keys
	changes     []protocol.Change // all changes, in the order of their revisions
	leases      map[uint64]lease
	lastLeaseID uint64
	watchers    map[chan struct{}]bool // each closed and removed at the next change

	// Faults injected by tests; see state_faults.go.
	unavailable           bool
	rejectedCallers       map[string]bool
	delayTransaction      func() (time.Duration, bool)
	loseReply             func() bool
	limits                StateLimits
	requestRate           *rate.Limiter // nil: unlimited
	operationRate         *rate.Limiter // of operations in transactions; nil: unlimited
	rejectEvery           int           // every request with a multiple of this number is rejected; 0: none
	requests              int           // number of requests that have arrived
	rateLimitedRequests   int           // number of requests that exceeded requestRate
	oversizedTransactions int           // number of transactions that exceeded the limits
}

// lease is the state of one lease. The keys attached to it are deleted when it expires or is revoked.
type lease struct {
	duration  time.Duration
	expiresAt time.Time
}

// NewStateService returns a state service that stores no keys.
func NewStateService() *StateService {
	return &StateService{
		keys:            map[string]protocol.KeyValue{},
		leases:          map[uint64]lease{},
		watchers:        map[chan struct{}]bool{},
		rejectedCallers: map[string]bool{},
	}
}

// Get returns a key with its value, or false if the key does not exist.
func (s *StateService) Get(key string) (protocol.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	pair, ok := s.keys[key]
	return pair, ok
}

// CompareAndSwap executes a transaction. It returns the HTTP status that the protocol specifies: 200 if the
// transaction was executed, 409 if a condition failed, or 400 if it exceeds the limits or a lease does not
// exist.
func (s *StateService) CompareAndSwap(t protocol.Transaction) (status int, reply protocol.TransactionReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if !s.isWithinLimits(&t) {
		s.oversizedTransactions++
		return http.StatusBadRequest, protocol.TransactionReply{}
	}
	for _, op := range t.Operations {
		if _, ok := s.leases[op.Lease]; op.Lease != 0 && !ok {
			return http.StatusBadRequest, protocol.TransactionReply{}
		}
	}
	reply = protocol.TransactionReply{Revision: s.revision, FailedKeys: []string{}}
	for _, condition := range t.Conditions {
		if s.keys[condition.Key].Version != condition.Version {
			reply.FailedKeys = append(reply.FailedKeys, condition.Key)
		}
	}
	if len(reply.FailedKeys) > 0 {
		return http.StatusConflict, reply
	}
	if len(t.Operations) > 0 {
		s.apply(t.Operations)
	}
	reply.Revision = s.revision
	return http.StatusOK, reply
}

// apply executes the operations of a transaction. All changes get the same revision. The caller holds mu.
func (s *StateService) apply(operations []protocol.Operation) {
	s.revision++
	for _, op := range operations {
		if op.Delete != "" {
			delete(s.keys, op.Delete)
			s.changes = append(s.changes, protocol.Change{Delete: op.Delete, Version: s.revision})
			continue
		}
		s.keys[op.Put] = protocol.KeyValue{Key: op.Put, Value: op.Value, Version: s.revision, Lease: op.Lease}
		s.changes = append(s.changes, protocol.Change{Put: op.Put, Value: op.Value, Version: s.revision})
	}
	s.notifyWatchers()
}

// List returns the first keys, at most limit, that have the prefix and sort after since, in that order.
func (s *StateService) List(prefix, since string, limit int) protocol.KeyPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	page := protocol.KeyPage{Revision: s.revision, Items: []protocol.KeyValue{}}
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if !strings.HasPrefix(key, prefix) || key <= since {
			continue
		}
		if len(page.Items) == limit {
			page.Truncated = true
			break
		}
		page.Items = append(page.Items, s.keys[key])
	}
	return page
}

// Changes returns the changes to keys with the prefix after the revision since. The channel is closed at the
// next change of any key, and when the service starts or stops rejecting requests.
func (s *StateService) Changes(prefix string, since uint64) (protocol.WatchReply, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	reply := protocol.WatchReply{Revision: s.revision, Changes: []protocol.Change{}}
	for _, change := range s.changes {
		if change.Version > since && strings.HasPrefix(change.Put+change.Delete, prefix) {
			reply.Changes = append(reply.Changes, change)
		}
	}
	changed := make(chan struct{})
	s.watchers[changed] = true
	return reply, changed
}

// notifyWatchers closes the channels of all watchers. The caller holds mu.
func (s *StateService) notifyWatchers() {
	for watcher := range s.watchers {
		close(watcher)
	}
	clear(s.watchers)
}

// CreateLease creates a lease and returns its ID.
func (s *StateService) CreateLease(duration time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = lease{duration: duration, expiresAt: time.Now().Add(duration)}
	return s.lastLeaseID
}

// RenewLease restarts the duration of a lease. It returns false if the lease does not exist.
func (s *StateService) RenewLease(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l, ok := s.leases[id]
	if ok {
		l.expiresAt = time.Now().Add(l.duration)
		s.leases[id] = l
	}
	return ok
}

// RevokeLease removes a lease and the keys attached to it.
func (s *StateService) RevokeLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; ok {
		s.removeLease(id)
	}
}

// expireLeases removes the leases that were not renewed in time, except during an outage. There is no timer, so
// each method whose result depends on expired leases calls it first. The caller holds mu.
func (s *StateService) expireLeases() {
	if s.unavailable {
		return
	}
	for id, l := range s.leases {
		if !time.Now().Before(l.expiresAt) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and the keys attached to it. All these deletions get the same revision. The caller
// holds mu.
func (s *StateService) removeLease(id uint64) {
	delete(s.leases, id)
	var attached []string
	for key, pair := range s.keys {
		if pair.Lease == id {
			attached = append(attached, key)
		}
	}
	if len(attached) == 0 {
		return
	}
	slices.Sort(attached)
	s.revision++
	for _, key := range attached {
		delete(s.keys, key)
		s.changes = append(s.changes, protocol.Change{Delete: key, Version: s.revision})
	}
	s.notifyWatchers()
}
