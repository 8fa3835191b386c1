// Package standin holds small stand-ins of the services that quillshunt depends on, written from
// the published protocol. The tests use them, and the quick start of the README.
package standin

import (
	"log/slog"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// StateService is a stand-in of the state service.
type StateService struct {
	mu          sync.Mutex
	keys        map[string]protocol.KeyValue
	revision    uint64
	changes     []protocol.Change
	leases      map[uint64]lease
	lastLeaseID uint64
	unavailable bool
	watchers    map[chan struct{}]bool

	rejectedCallers  map[string]bool // callers that alone are refused
	delayTransaction func() (time.Duration, bool)
	limits           StateLimits
	oversized        int // transactions that were over the limits
}

// StateLimits are limits of the state service. Zero means none.
type StateLimits struct {
	ValueBytes int // of a value, in JSON
	TxnOps     int
}

type lease struct {
	duration  time.Duration
	expiresAt time.Time
}

// NewStateService returns an empty State.
func NewStateService() *StateService {
	return &StateService{keys: map[string]protocol.KeyValue{}, leases: map[uint64]lease{}, watchers: map[chan struct{}]bool{}, rejectedCallers: map[string]bool{}}
}

// SetLimits sets limits from now on; what is stored stays as it is.
func (s *StateService) SetLimits(l StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// OversizedTransactions is how many transactions were refused for their size.
func (s *StateService) OversizedTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oversized
}

// withinLimits tells whether a transaction keeps to the limits; the caller has the lock.
func (s *StateService) withinLimits(t *protocol.Transaction) bool {
	if s.limits.TxnOps > 0 && len(t.Operations) > s.limits.TxnOps {
		return false
	}
	for _, op := range t.Operations {
		var value any
		if s.limits.ValueBytes == 0 || op.Delete != "" || protocol.Decode(op.Value, &value) != nil {
			continue
		}
		if storage.EncodedSize(textKeys(value)) > s.limits.ValueBytes {
			return false
		}
	}
	return true
}

// textKeys gives maps text keys, as they have in JSON, in which sizes are counted.
func textKeys(v any) any {
	switch v := v.(type) {
	case map[any]any:
		out := make(map[string]any, len(v))
		for key, e := range v {
			if name, ok := key.(string); ok {
				out[name] = textKeys(e)
			}
		}
		return out
	case []any:
		out := make([]any, len(v))
		for i, e := range v {
			out[i] = textKeys(e)
		}
		return out
	}
	return v
}

// SetUnavailable starts or ends an outage. After one, all holds have their full time again.
func (s *StateService) SetUnavailable(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.unavailable = down
	for id, h := range s.leases {
		h.expiresAt = time.Now().Add(h.duration)
		s.leases[id] = h
	}
	s.notifyWatchers()
}

// SetRejectedCaller refuses one caller alone, or serves it again.
func (s *StateService) SetRejectedCaller(caller string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectedCallers[caller] = refused
	s.notifyWatchers()
}

// SetDelayedTransactions sets whether a transaction gets no answer in time and is carried out so much later; nil:
// none does.
func (s *StateService) SetDelayedTransactions(f func() (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayTransaction = f
}

func (s *StateService) transactionDelay() (time.Duration, bool) {
	s.mu.Lock()
	f := s.delayTransaction
	s.mu.Unlock()
	if f == nil {
		return 0, false
	}
	return f()
}

func (s *StateService) serves(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unavailable && !s.rejectedCallers[caller]
}

// expire ends holds that were not renewed. The caller has the lock.
func (s *StateService) expire() {
	if s.unavailable {
		return
	}
	for id, h := range s.leases {
		if !time.Now().Before(h.expiresAt) {
			s.removeLease(id)
		}
	}
}

func (s *StateService) removeLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for k, p := range s.keys {
		if p.Lease == id {
			gone = append(gone, k)
		}
	}
	if len(gone) == 0 {
		return
	}
	sort.Strings(gone)
	s.revision++
	for _, k := range gone {
		delete(s.keys, k)
		s.changes = append(s.changes, protocol.Change{Delete: k, Version: s.revision})
	}
	s.notifyWatchers()
}

func (s *StateService) notifyWatchers() {
	for c := range s.watchers {
		close(c)
	}
	clear(s.watchers)
}

// Get reads a key.
func (s *StateService) Get(key string) (protocol.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	p, ok := s.keys[key]
	return p, ok
}

// CompareAndSwap carries out a transaction: 200, 400 or 409.
func (s *StateService) CompareAndSwap(t protocol.Transaction) (int, protocol.TransactionReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if !s.withinLimits(&t) {
		s.oversized++
		return 400, protocol.TransactionReply{}
	}
	for _, op := range t.Operations {
		if op.Lease != 0 {
			if _, ok := s.leases[op.Lease]; !ok {
				return 400, protocol.TransactionReply{}
			}
		}
	}
	r := protocol.TransactionReply{Revision: s.revision, FailedKeys: []string{}}
	for _, g := range t.Conditions {
		if s.keys[g.Key].Version != g.Version {
			r.FailedKeys = append(r.FailedKeys, g.Key)
		}
	}
	if len(r.FailedKeys) > 0 {
		return 409, r
	}
	if len(t.Operations) > 0 {
		s.revision++
		for _, op := range t.Operations {
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
	r.Revision = s.revision
	return 200, r
}

// List returns the keys with a prefix after since, and whether there are more.
func (s *StateService) List(prefix, since string, limit int) protocol.KeyPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := protocol.KeyPage{Revision: s.revision, Items: []protocol.KeyValue{}}
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > since {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	for _, k := range names {
		if len(l.Items) == limit {
			l.Truncated = true
			break
		}
		l.Items = append(l.Items, s.keys[k])
	}
	return l
}

// CreateLease makes a hold.
func (s *StateService) CreateLease(life time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = lease{duration: life, expiresAt: time.Now().Add(life)}
	return s.lastLeaseID
}

// RenewLease renews a hold; it returns false if there is none.
func (s *StateService) RenewLease(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	h, ok := s.leases[id]
	if ok {
		h.expiresAt = time.Now().Add(h.duration)
		s.leases[id] = h
	}
	return ok
}

// RevokeLease ends a hold at once.
func (s *StateService) RevokeLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; ok {
		s.removeLease(id)
	}
}

// Changes returns what happened to keys with a prefix after a revision, and a channel that closes
// at the next change.
func (s *StateService) Changes(prefix string, since uint64) (protocol.WatchReply, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	r := protocol.WatchReply{Revision: s.revision, Changes: []protocol.Change{}}
	for _, c := range s.changes {
		if c.Version > since && strings.HasPrefix(c.Put+c.Delete, prefix) {
			r.Changes = append(r.Changes, c)
		}
	}
	next := make(chan struct{})
	s.watchers[next] = true
	return r, next
}

// Unavailable tells whether there is an outage.
func (s *StateService) Unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable
}

// Server serves the state service on an address.
func (s *StateService) Server(addr string, log *slog.Logger) *transport.Server {
	return s.ServerFor("", addr, log)
}

// ServerFor serves one caller, who can be refused alone.
func (s *StateService) ServerFor(caller, addr string, log *slog.Logger) *transport.Server {
	return transport.NewServer(transport.ServerOptions{Addr: addr, MaxConns: 1000, Log: log,
		Handle: func(req *transport.Message, rsp *transport.Responder) { s.handle(caller, req, rsp) }})
}

func (s *StateService) handle(caller string, req *transport.Message, rsp *transport.Responder) {
	if !s.serves(caller) && !strings.HasPrefix(req.Path, "/watch") {
		rsp.Respond(503, nil, 0)
		return
	}
	q, err := url.ParseQuery(req.Query)
	if err != nil {
		rsp.Respond(400, nil, 0)
		return
	}
	number := func(name string) uint64 {
		n, _ := strconv.ParseUint(q.Get(name), 10, 64)
		return n
	}
	switch path := req.Path; {
	case path == "/kv":
		limit := int(number("Limit"))
		if limit == 0 || limit > 1000 {
			limit = 1000
		}
		rsp.Respond(200, protocol.Encode(s.List(q.Get("Starts"), q.Get("Since"), limit)), 0)
	case strings.HasPrefix(path, "/kv/"):
		p, ok := s.Get(path[len("/kv/"):])
		if !ok {
			rsp.Respond(404, protocol.Encode(map[string]uint64{"Ledger": s.List("", "", 1).Revision}), 0)
			return
		}
		rsp.Respond(200, protocol.Encode(p), 0)
	case path == "/txn":
		var t protocol.Transaction
		if err := protocol.Decode(req.Body, &t); err != nil {
			rsp.Respond(400, nil, 0)
			return
		}
		if after, late := s.transactionDelay(); late {
			time.AfterFunc(after, func() {
				s.CompareAndSwap(t)
				rsp.Respond(503, nil, 0) // the caller has given up long ago
			})
			return
		}
		status, r := s.CompareAndSwap(t)
		rsp.Respond(status, protocol.Encode(r), 0)
	case path == "/holds":
		var h protocol.LeaseRequest
		if err := protocol.Decode(req.Body, &h); err != nil || h.LifeMs < 100 {
			rsp.Respond(400, nil, 0)
			return
		}
		rsp.Respond(200, protocol.Encode(protocol.LeaseReply{Lease: s.CreateLease(time.Duration(h.LifeMs) * time.Millisecond)}), 0)
	case strings.HasPrefix(path, "/holds/"):
		id, err := strconv.ParseUint(strings.TrimSuffix(path[len("/holds/"):], "/touch"), 10, 64)
		if err != nil {
			rsp.Respond(400, nil, 0)
			return
		}
		if req.Method == "DELETE" {
			s.RevokeLease(id)
		} else if !s.RenewLease(id) {
			rsp.Respond(404, nil, 0)
			return
		}
		rsp.Respond(200, nil, 0)
	case path == "/watch":
		go s.watch(caller, q.Get("Starts"), number("Since"), time.Duration(number("HoldMs"))*time.Millisecond, rsp)
	default:
		rsp.Respond(404, nil, 0)
	}
}

func (s *StateService) watch(caller, prefix string, since uint64, wait time.Duration, rsp *transport.Responder) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		r, next := s.Changes(prefix, since)
		if len(r.Changes) > 0 && s.serves(caller) {
			rsp.Respond(200, protocol.Encode(r), 0)
			return
		}
		select {
		case <-next:
		case <-end.C:
			if !s.serves(caller) { // it tells nothing meanwhile
				r = protocol.WatchReply{Revision: since, Changes: []protocol.Change{}}
			}
			rsp.Respond(200, protocol.Encode(r), 0)
			return
		}
	}
}
