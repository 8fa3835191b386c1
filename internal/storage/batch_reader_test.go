package storage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// keyServer serves keys as the state service does, and counts the requests. Each request is executed at a
// random time between its arrival and the reply.
type keyServer struct {
	mu       sync.Mutex
	versions map[string]uint64
	sorted   []string // all keys; nil if they have changed
	pages    int
	requests int
	reject   func(request int) int // status with which a request is rejected, or 0
}

func (s *keyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	pause()
	status, body := s.execute(r)
	pause()
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func pause() { time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond) }

func (s *keyServer) execute(r *http.Request) (status int, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if s.reject != nil {
		if status := s.reject(s.requests); status != 0 {
			return status, nil
		}
	}
	if key, ok := strings.CutPrefix(r.URL.Path, "/kv/"); ok {
		version := s.versions[key]
		if version == 0 {
			return http.StatusNotFound, protocol.Encode(protocol.KeyValue{Revision: 1})
		}
		return http.StatusOK, protocol.Encode(keyValue(key, version))
	}
	s.pages++
	query := r.URL.Query()
	size, _ := strconv.Atoi(query.Get("Limit"))
	if s.sorted == nil {
		s.sorted = slices.Sorted(maps.Keys(s.versions))
	}
	var page protocol.KeyPage
	after, _ := slices.BinarySearch(s.sorted, query.Get("Since")+"\x00")
	for _, key := range s.sorted[after:] {
		if !strings.HasPrefix(key, query.Get("Starts")) {
			continue
		}
		if len(page.Items) == size {
			page.Truncated = true
			break
		}
		page.Items = append(page.Items, keyValue(key, s.versions[key]))
	}
	return http.StatusOK, protocol.Encode(page)
}

func keyValue(key string, version uint64) protocol.KeyValue {
	return protocol.KeyValue{Key: key, Version: version, Value: protocol.Encode(version)}
}

// write increases the version of a key and returns it.
func (s *keyServer) write(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[key]++
	s.sorted = nil
	return s.versions[key]
}

func (s *keyServer) version(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[key]
}

// counts returns how many requests have arrived, and how many of them were for pages.
func (s *keyServer) counts() (requests, pages int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.pages
}

// startBatchReader returns a running reader of a server, which may send a number of requests per second.
func startBatchReader(t *testing.T, server *keyServer, perSecond float64) *BatchReader {
	t.Helper()
	store := newTestStore(t, server.ServeHTTP)
	store.serviceLimits.RPS = perSecond / limits.BatchReadShare
	reader := store.NewBatchReader(1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go reader.Run(ctx)
	return reader
}

func jobKey(number int) string { return fmt.Sprintf("open/job-%06d", number) }

// TestReadsSharePages guards against a request per question: a thousand questions about more jobs than fit into
// a page, half of which do not exist, are answered right by a few requests.
func TestReadsSharePages(t *testing.T) {
	const questions, perSecond = 1000, 20
	server := &keyServer{versions: map[string]uint64{"final/job-000001": 7}}
	for i := range 2 * limits.BatchPageSize {
		server.write(jobKey(2 * i))
	}
	reader := startBatchReader(t, server, perSecond)
	var callers sync.WaitGroup
	for i := range questions {
		callers.Go(func() {
			got, err := reader.Get(t.Context(), jobKey(i), time.Now())
			want := server.version(jobKey(i))
			if err != nil || got.Version != want || (want != 0 && got.Key != jobKey(i)) {
				t.Errorf("job %d: got %+v, error %v; want version %d", i, got, err, want)
			}
		})
	}
	callers.Wait()
	if requests, pages := server.counts(); requests > perSecond+10 || pages == 0 {
		t.Errorf("%d requests, %d of them for pages; want at most the burst of %d single reads and some pages",
			requests, pages, perSecond)
	}
}

// TestReadIsNotOlderThanItsQuestion guards against an answer from a read that was sent before the question.
func TestReadIsNotOlderThanItsQuestion(t *testing.T) {
	const keys, questions = 12, 60
	server := &keyServer{versions: map[string]uint64{}}
	reader := startBatchReader(t, server, 100)
	var callers sync.WaitGroup
	for i := range keys {
		for range 3 {
			callers.Go(func() {
				for range questions {
					written := server.version(jobKey(i))
					if rand.IntN(2) == 0 {
						written = server.write(jobKey(i))
					}
					got, err := reader.Get(t.Context(), jobKey(i), time.Now())
					if err != nil || got.Version < written {
						t.Errorf("got version %d, error %v; want at least version %d", got.Version, err, written)
					}
				}
			})
		}
	}
	callers.Wait()
}

// TestFloodDoesNotTakeTheTurnOfOldQuestions guards against starvation: while many ask about ever new jobs that
// do not exist, a job about which its user has asked for long is read.
func TestFloodDoesNotTakeTheTurnOfOldQuestions(t *testing.T) {
	// It takes 6 s to read all keys, longer than a user waits.
	const perSecond, keys = 10, 60 * limits.BatchPageSize
	finalKey := func(number int) string { return fmt.Sprintf("final/job-%06d", number) }
	server := &keyServer{versions: map[string]uint64{}}
	for i := range keys {
		server.versions[finalKey(i)] = 3
	}
	reader := startBatchReader(t, server, perSecond)
	ctx, stop := context.WithCancel(t.Context())
	var flood sync.WaitGroup
	for i := range 300 {
		flood.Go(func() {
			random := rand.New(rand.NewPCG(uint64(i), 1))
			for ctx.Err() == nil {
				attempt, cancel := context.WithTimeout(ctx, limits.PollTimeout)
				_, _ = reader.Get(attempt, finalKey(random.IntN(keys))+"9", time.Now())
				cancel()
			}
		})
	}
	defer flood.Wait()
	defer stop()
	time.Sleep(500 * time.Millisecond)
	for i := range 6 {
		attempt, cancel := context.WithTimeout(ctx, limits.PollTimeout)
		got, err := reader.Get(attempt, finalKey((5-i)*keys/6), time.Now().Add(-5*time.Second))
		cancel()
		if err != nil || got.Version != 3 {
			t.Errorf("got version %d, error %v; want version 3 within %v", got.Version, err, limits.PollTimeout)
		}
	}
}

// TestFailedReads checks that a read that exceeded the rate of the service is repeated, that any other failure
// is passed on at once, and that a caller that has left leaves nothing behind.
func TestFailedReads(t *testing.T) {
	t.Run("rate limited", func(t *testing.T) {
		server := &keyServer{versions: map[string]uint64{jobKey(1): 4}}
		server.reject = func(request int) int {
			if request <= 3 {
				return http.StatusTooManyRequests
			}
			return 0
		}
		reader := startBatchReader(t, server, 100)
		if got, err := reader.Get(t.Context(), jobKey(1), time.Now()); err != nil || got.Version != 4 {
			t.Errorf("got version %d, error %v; want version 4", got.Version, err)
		}
	})
	t.Run("unavailable", func(t *testing.T) {
		server := &keyServer{reject: func(int) int { return http.StatusServiceUnavailable }}
		reader := startBatchReader(t, server, 100)
		for i := range 3 {
			startedAt := time.Now()
			_, err := reader.Get(t.Context(), jobKey(i), time.Now())
			if !errors.Is(err, ErrNotExecuted) || time.Since(startedAt) > time.Second {
				t.Errorf("error %v after %v, want %q at once", err, time.Since(startedAt), ErrNotExecuted)
			}
		}
	})
	t.Run("caller leaves", func(t *testing.T) {
		server := &keyServer{reject: func(int) int { return http.StatusTooManyRequests }}
		reader := startBatchReader(t, server, 100)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if _, err := reader.Get(ctx, jobKey(1), time.Now()); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v, want that of the context", err)
		}
		for deadline := time.Now().Add(5 * time.Second); reader.hasWaiting() || len(reader.slots) > 0; {
			if time.Now().After(deadline) {
				t.Fatal("the key still waits after its only caller has left")
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// TestKeyBefore checks that a page that begins after keyBefore includes the key.
func TestKeyBefore(t *testing.T) {
	for _, key := range []string{jobKey(0), jobKey(9), "final/job-10", "a/!", "open/"} {
		if before := keyBefore(key); before >= key {
			t.Errorf("%q does not sort before %q", before, key)
		}
	}
}
