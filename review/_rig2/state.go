package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// stateService is a small state service that follows the protocol page: atomic transactions, leases, watches, rates,
// and sizes counted in the JSON form of the page, in which amounts are written as decimal numbers such as 4.0.
type stateService struct {
	mu       sync.Mutex
	keys     map[string]*entry
	ledger   uint64
	log      []change
	trimmed  uint64 // revisions up to this one are no longer in the log
	leases   map[uint64]*lease
	leaseID  uint64
	changed  chan struct{}
	limits   stateLimits
	requests bucket
	writes   bucket

	tooLarge map[string]int // writes answered 400 because a value is too large, by the first part of the key
	counts   map[int]int    // answers by status
}

type stateLimits struct {
	ValueKB  float64
	TxnOps   int
	RPS      float64
	WriteRPS float64
}

type entry struct {
	data  cbor.RawMessage
	stamp uint64
	lease uint64
}

type lease struct {
	life    time.Duration
	expires time.Time
}

type change struct {
	Write  string          `cbor:"Write,omitempty"`
	Data   cbor.RawMessage `cbor:"Data,omitempty"`
	Remove string          `cbor:"Remove,omitempty"`
	Stamp  uint64          `cbor:"Stamp"`
}

const (
	keptChanges = 10_000
	pageItems   = 1000
	pageBytes   = 512 << 10
	txnBytes    = 64 << 10
	guardsPerOp = 4
	lifeMsLeast = 100
	lifeMsMost  = 600_000
	maxHoldMs   = 60_000
	usualDelay  = 2 * time.Millisecond
)

// bucket is a rate limit with a burst of one second's worth.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(n, perSecond float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.tokens = perSecond
	} else {
		b.tokens = min(perSecond, b.tokens+now.Sub(b.at).Seconds()*perSecond)
	}
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStateService(l stateLimits) *stateService {
	return &stateService{
		keys: map[string]*entry{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), limits: l,
		tooLarge: map[string]int{}, counts: map[int]int{},
	}
}

// setLimits sets the limits for later requests. What is stored stays readable.
func (s *stateService) setLimits(l stateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

func (s *stateService) serve(ln net.Listener) {
	_ = (&http.Server{Handler: s}).Serve(ln)
}

// jsonSize returns the size of a value in the JSON form of the page: floats are decimal numbers such as 4.0, counts
// are integers, and nothing is escaped that JSON does not require to be.
func jsonSize(data cbor.RawMessage) int {
	var value any
	if cbor.Unmarshal(data, &value) != nil {
		return 0
	}
	return sizeOf(value)
}

func sizeOf(value any) int {
	switch v := value.(type) {
	case map[any]any:
		size := 2 + max(0, len(v)-1)
		for k, e := range v {
			size += sizeOf(k) + 1 + sizeOf(e)
		}
		return size
	case []any:
		size := 2 + max(0, len(v)-1)
		for _, e := range v {
			size += sizeOf(e)
		}
		return size
	case float64:
		text := strconv.FormatFloat(v, 'g', -1, 64)
		if !strings.ContainsAny(text, ".e") {
			text += ".0"
		}
		return len(text)
	}
	text, _ := json.Marshal(value)
	return len(text)
}

func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(usualDelay)
	body := readBody(r)
	if r.URL.Path == "/watch" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	status, reply := s.handle(r, body)
	s.counts[status]++
	s.mu.Unlock()
	answer(w, status, reply)
}

// handle answers all requests but watches. The caller holds mu.
func (s *stateService) handle(r *http.Request, body []byte) (int, any) {
	if !s.requests.take(1, s.limits.RPS) {
		return http.StatusTooManyRequests, nil
	}
	s.expire()
	path := r.URL.Path
	switch {
	case path == "/kv":
		return s.list(r.URL.Query())
	case strings.HasPrefix(path, "/kv/"):
		e := s.keys[strings.TrimPrefix(path, "/kv/")]
		if e == nil {
			return http.StatusNotFound, map[string]any{"Ledger": s.ledger}
		}
		return http.StatusOK, map[string]any{
			"Path": strings.TrimPrefix(path, "/kv/"), "Data": e.data, "Stamp": e.stamp, "Tenure": e.lease,
		}
	case path == "/txn":
		return s.txn(body)
	case path == "/holds":
		var request struct{ LifeMs int64 }
		if cbor.Unmarshal(body, &request) != nil || request.LifeMs < lifeMsLeast || request.LifeMs > lifeMsMost {
			return http.StatusBadRequest, nil
		}
		s.leaseID++
		life := time.Duration(request.LifeMs) * time.Millisecond
		s.leases[s.leaseID] = &lease{life, time.Now().Add(life)}
		return http.StatusOK, map[string]any{"Tenure": s.leaseID}
	case strings.HasPrefix(path, "/holds/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/holds/"), "/touch"), 10, 64)
		l := s.leases[id]
		if l == nil {
			return http.StatusNotFound, nil
		}
		if r.Method == http.MethodDelete {
			l.expires = time.Time{}
			s.expire()
		} else {
			l.expires = time.Now().Add(l.life)
		}
		return http.StatusOK, map[string]any{}
	}
	return http.StatusBadRequest, nil
}

func (s *stateService) expire() {
	for id, l := range s.leases {
		if time.Now().Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, e := range s.keys {
			if e.lease == id {
				s.ledger++
				delete(s.keys, key)
				s.record(change{Remove: key, Stamp: s.ledger})
			}
		}
	}
}

func (s *stateService) record(c change) {
	s.log = append(s.log, c)
	if len(s.log) > keptChanges {
		s.trimmed = s.log[len(s.log)-keptChanges-1].Stamp
		s.log = append([]change(nil), s.log[len(s.log)-keptChanges:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) list(q url.Values) (int, any) {
	limit, _ := strconv.Atoi(q.Get("Limit"))
	if limit <= 0 || limit > pageItems {
		limit = pageItems
	}
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, q.Get("Starts")) && key > q.Get("Since") {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	items, size, truncated := []any{}, 0, false
	for _, key := range names {
		e := s.keys[key]
		size += len(key) + jsonSize(e.data) + 40
		if len(items) == limit || size > pageBytes {
			truncated = true
			break
		}
		items = append(items, map[string]any{"Path": key, "Data": e.data, "Stamp": e.stamp})
	}
	return http.StatusOK, map[string]any{"Pairs": items, "Truncated": truncated, "Ledger": s.ledger}
}

func (s *stateService) txn(body []byte) (int, any) {
	var t struct {
		Guards []struct {
			Path  string
			Stamp uint64
		}
		Apply []struct {
			Write  string
			Data   cbor.RawMessage
			Tenure uint64
			Remove string
		}
	}
	if cbor.Unmarshal(body, &t) != nil {
		return http.StatusBadRequest, nil
	}
	if !s.writes.take(float64(len(t.Apply)), s.limits.WriteRPS) {
		return http.StatusTooManyRequests, nil
	}
	if len(t.Apply) > s.limits.TxnOps || len(t.Guards) > guardsPerOp*s.limits.TxnOps || len(body) > txnBytes {
		return http.StatusBadRequest, nil
	}
	for _, op := range t.Apply {
		if op.Write == "" {
			continue
		}
		if float64(jsonSize(op.Data)) > s.limits.ValueKB*1024 {
			s.tooLarge[strings.SplitN(op.Write, "/", 2)[0]]++
			return http.StatusBadRequest, map[string]any{"error": "value too large"}
		}
		if op.Tenure != 0 && s.leases[op.Tenure] == nil {
			return http.StatusBadRequest, map[string]any{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, g := range t.Guards {
		stamp := uint64(0)
		if e := s.keys[g.Path]; e != nil {
			stamp = e.stamp
		}
		if stamp != g.Stamp {
			failed = append(failed, g.Path)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, map[string]any{"failed": failed, "Ledger": s.ledger}
	}
	if len(t.Apply) > 0 {
		s.ledger++
	}
	for _, op := range t.Apply {
		if op.Write != "" {
			s.keys[op.Write] = &entry{op.Data, s.ledger, op.Tenure}
			s.record(change{Write: op.Write, Data: op.Data, Stamp: s.ledger})
			continue
		}
		delete(s.keys, op.Remove)
		s.record(change{Remove: op.Remove, Stamp: s.ledger})
	}
	return http.StatusOK, map[string]any{"Ledger": s.ledger}
}

// watch answers once a key with the prefix has changed, or when the time is over.
func (s *stateService) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("Since"), 10, 64)
	hold, _ := strconv.Atoi(q.Get("HoldMs"))
	over := time.After(time.Duration(min(hold, maxHoldMs)) * time.Millisecond)
	s.mu.Lock()
	if !s.requests.take(1, s.limits.RPS) {
		s.counts[http.StatusTooManyRequests]++
		s.mu.Unlock()
		answer(w, http.StatusTooManyRequests, nil)
		return
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.expire()
		if since < s.trimmed {
			s.counts[http.StatusGone]++
			s.mu.Unlock()
			answer(w, http.StatusGone, nil)
			return
		}
		changes := []change{}
		for _, c := range s.log {
			if c.Stamp > since && strings.HasPrefix(c.Write+c.Remove, q.Get("Starts")) {
				changes = append(changes, c)
			}
		}
		ledger, changed := s.ledger, s.changed
		s.mu.Unlock()
		if len(changes) > 0 {
			answer(w, http.StatusOK, map[string]any{"Ledger": ledger, "Log": changes})
			return
		}
		select {
		case <-changed:
		case <-over:
			answer(w, http.StatusOK, map[string]any{"Ledger": ledger, "Log": changes})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *stateService) stats() (answers map[int]int, tooLarge map[string]int, ledger uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answers, tooLarge = map[int]int{}, map[string]int{}
	for k, v := range s.counts {
		answers[k] = v
	}
	for k, v := range s.tooLarge {
		tooLarge[k] = v
	}
	return answers, tooLarge, s.ledger
}
