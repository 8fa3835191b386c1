package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"quillshunt/internal/protocol"
)

// Request is a request to the state service, as a hook sees it.
type Request struct {
	Caller string
	Method string
	Path   string // without the query
	Txn    *protocol.Transaction
}

// Writes returns the first key that the transaction puts and that has the prefix, or "".
func (r *Request) Writes(prefix string) string {
	if r.Txn == nil {
		return ""
	}
	for _, op := range r.Txn.Operations {
		if strings.HasPrefix(op.Put, prefix) && op.Put != "" {
			return op.Put
		}
	}
	return ""
}

// State is the state service. Each caller has a listener of its own.
type State struct {
	Record *Record
	Gates  map[string]*Gate
	// Before is called before a request is executed and may delay it. After is called when it has been
	// executed, before the answer is sent; if it returns false the answer is lost.
	Before func(r *Request)
	After  func(r *Request, status int) (answer bool)
	// Late decides whether a transaction is carried out late, without an answer.
	Late func(r *Request) (delay time.Duration, late bool)
	// Refuse decides whether a request gets 503.
	Refuse func(r *Request) bool

	mu      sync.Mutex
	keys    map[string]protocol.KeyValue
	rev     uint64
	changes []protocol.Change
	leases  map[uint64]*holdLease
	last    uint64
	wake    chan struct{}
	outage  bool
}

type holdLease struct {
	life time.Duration
	end  time.Time
}

// NewState starts a state service with a listener for each caller.
func NewState(record *Record, callers []string) (*State, error) {
	s := &State{
		Record: record, Gates: map[string]*Gate{}, keys: map[string]protocol.KeyValue{},
		leases: map[uint64]*holdLease{}, wake: make(chan struct{}),
	}
	for _, caller := range callers {
		g, err := NewGate()
		if err != nil {
			return nil, err
		}
		s.Gates[caller] = g
		Serve(g, func(w http.ResponseWriter, r *http.Request) { s.handle(caller, w, r) })
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s, nil
}

// SetOutage begins or ends an outage of the leases: they don't end during it and have their full time
// after it. The requests are refused by Refuse.
func (s *State) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for _, l := range s.leases {
		l.end = time.Now().Add(l.life)
	}
}

// Get returns a key.
func (s *State) Get(key string) protocol.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key]
}

func (s *State) handle(caller string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	req := &Request{Caller: caller, Method: r.Method, Path: r.URL.Path}
	if r.URL.Path == "/txn" {
		req.Txn = &protocol.Transaction{}
		if err := protocol.Decode(body, req.Txn); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if s.Refuse != nil && r.URL.Path != "/watch" && s.Refuse(req) {
		send(w, http.StatusServiceUnavailable, nil)
		return
	}
	if req.Txn != nil && s.Late != nil {
		if delay, late := s.Late(req); late {
			time.AfterFunc(delay, func() {
				status, answer := s.execute(req, r, body)
				s.Record.Logf("state: %s LATE txn %s -> %d%s", caller, describe(req.Txn), status, failedKeys(answer))
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	if r.URL.Path == "/watch" {
		s.watch(w, r, req)
		return
	}
	if s.Before != nil {
		s.Before(req)
	}
	status, answer := s.execute(req, r, body)
	if req.Txn != nil {
		s.Record.Logf("state: %s txn %s -> %d%s", caller, describe(req.Txn), status, failedKeys(answer))
	}
	if s.After != nil && !s.After(req, status) {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	send(w, status, answer)
}

func failedKeys(answer any) string {
	if m, ok := answer.(protocol.TransactionReply); ok && len(m.FailedKeys) > 0 {
		return fmt.Sprintf(" failed=%v", m.FailedKeys)
	}
	return ""
}

func describe(t *protocol.Transaction) string {
	var parts []string
	for _, c := range t.Conditions {
		parts = append(parts, fmt.Sprintf("if %s=%d", c.Key, c.Version))
	}
	for _, op := range t.Operations {
		if op.Put == "" {
			parts = append(parts, "remove "+op.Delete)
			continue
		}
		var v any
		_ = protocol.Decode(op.Value, &v)
		text, _ := json.Marshal(jsonValue(v))
		parts = append(parts, fmt.Sprintf("write %s %.300s", op.Put, text))
	}
	return strings.Join(parts, "; ")
}

func jsonValue(v any) any {
	switch v := v.(type) {
	case map[any]any:
		m := map[string]any{}
		for k, e := range v {
			m[fmt.Sprint(k)] = jsonValue(e)
		}
		return m
	case []any:
		for i := range v {
			v[i] = jsonValue(v[i])
		}
	}
	return v
}

func send(w http.ResponseWriter, status int, v any) {
	if v == nil {
		w.WriteHeader(status)
		return
	}
	b := protocol.Encode(v)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *State) execute(req *Request, r *http.Request, body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	q := r.URL.Query()
	switch path := req.Path; {
	case path == "/txn":
		return s.commit(req.Txn)
	case path == "/kv":
		return s.list(q.Get("Starts"), q.Get("Since"), number(q.Get("Limit")))
	case strings.HasPrefix(path, "/kv/"):
		kv, ok := s.keys[strings.TrimPrefix(path, "/kv/")]
		if !ok {
			return http.StatusNotFound, map[string]uint64{"Ledger": s.rev}
		}
		return http.StatusOK, kv
	case path == "/holds":
		var l protocol.LeaseRequest
		if protocol.Decode(body, &l) != nil || l.DurationMs < 100 {
			return http.StatusBadRequest, nil
		}
		s.last++
		life := time.Duration(l.DurationMs) * time.Millisecond
		s.leases[s.last] = &holdLease{life, time.Now().Add(life)}
		return http.StatusOK, protocol.LeaseReply{Lease: s.last}
	case strings.HasPrefix(path, "/holds/"):
		return s.hold(req.Method, strings.TrimPrefix(path, "/holds/"))
	}
	return http.StatusNotFound, nil
}

func (s *State) hold(method, rest string) (int, any) {
	id := number(strings.TrimSuffix(rest, "/touch"))
	l := s.leases[id]
	switch {
	case l == nil:
		return http.StatusNotFound, nil
	case method == http.MethodDelete:
		s.drop(id)
	default:
		l.end = time.Now().Add(l.life)
	}
	return http.StatusOK, protocol.LeaseReply{Lease: id}
}

func (s *State) commit(t *protocol.Transaction) (int, any) {
	for _, op := range t.Operations {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			return http.StatusBadRequest, map[string]string{"error": "no such lease"}
		}
	}
	reply := protocol.TransactionReply{Revision: s.rev, FailedKeys: []string{}}
	for _, c := range t.Conditions {
		if s.keys[c.Key].Version != c.Version {
			reply.FailedKeys = append(reply.FailedKeys, c.Key)
		}
	}
	if len(reply.FailedKeys) > 0 {
		return http.StatusConflict, reply
	}
	if len(t.Operations) > 0 {
		s.rev++
		for _, op := range t.Operations {
			if op.Put == "" {
				s.remove(op.Delete)
				continue
			}
			s.keys[op.Put] = protocol.KeyValue{Key: op.Put, Value: op.Value, Version: s.rev, Lease: op.Lease}
			s.changes = append(s.changes, protocol.Change{Put: op.Put, Value: op.Value, Version: s.rev})
		}
		s.notify()
	}
	reply.Revision = s.rev
	return http.StatusOK, reply
}

func (s *State) remove(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.changes = append(s.changes, protocol.Change{Delete: key, Version: s.rev})
	}
}

func (s *State) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *State) expire() {
	if s.outage {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.drop(id)
		}
	}
}

func (s *State) drop(id uint64) {
	delete(s.leases, id)
	first := true
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if s.keys[key].Lease != id {
			continue
		}
		if first {
			s.rev++
			first = false
		}
		s.Record.Logf("state: lease %d over, key %s removed", id, key)
		s.remove(key)
	}
	if !first {
		s.notify()
	}
}

func (s *State) list(prefix, since string, limit uint64) (int, any) {
	page := protocol.KeyPage{Items: []protocol.KeyValue{}, Revision: s.rev}
	if limit == 0 || limit > 1000 {
		limit = 1000
	}
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if !strings.HasPrefix(key, prefix) || key <= since {
			continue
		}
		if uint64(len(page.Items)) == limit {
			page.Truncated = true
			break
		}
		page.Items = append(page.Items, s.keys[key])
	}
	return http.StatusOK, page
}

func (s *State) watch(w http.ResponseWriter, r *http.Request, req *Request) {
	q := r.URL.Query()
	prefix, since := q.Get("Starts"), number(q.Get("Since"))
	timeout := time.After(time.Duration(number(q.Get("HoldMs"))) * time.Millisecond)
	for {
		s.mu.Lock()
		reply := protocol.WatchReply{Revision: s.rev, Changes: []protocol.Change{}}
		for _, c := range s.changes {
			if c.Version > since && strings.HasPrefix(c.Put+c.Delete, prefix) {
				reply.Changes = append(reply.Changes, c)
			}
		}
		wake := s.wake
		s.mu.Unlock()
		refused := s.Refuse != nil && s.Refuse(req)
		if len(reply.Changes) > 0 && !refused {
			send(w, http.StatusOK, reply)
			return
		}
		var again <-chan time.Time
		if refused {
			again = time.After(100 * time.Millisecond)
		}
		select {
		case <-again:
		case <-wake:
		case <-r.Context().Done():
			return
		case <-timeout:
			send(w, http.StatusOK, reply)
			return
		}
	}
}

func number(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64)
	return n
}
