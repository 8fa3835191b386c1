package storage

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
)

// newTestStore returns a Store whose calls are served by a handler in place of the state service.
func newTestStore(t *testing.T, handler http.HandlerFunc) *Store {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return New(address, config.StateLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 4, TxnOps: 8})
}

// storeCalls holds the calls of a Store by the prefix of their error texts. RevokeLease is not among them,
// because it accepts statuses that the other calls reject as unexpected.
var storeCalls = map[string]func(context.Context, *Store) error{
	"get a/b: ": func(ctx context.Context, s *Store) error {
		_, err := s.Get(ctx, "a/b")
		return err
	},
	"list a/: ": func(ctx context.Context, s *Store) error {
		_, err := s.List(ctx, "a/", func(protocol.KeyValue) error { return nil })
		return err
	},
	"execute transaction: ": func(ctx context.Context, s *Store) error {
		_, err := s.CompareAndSwap(ctx, protocol.Transaction{})
		return err
	},
	"create lease: ": func(ctx context.Context, s *Store) error {
		_, err := s.CreateLease(ctx, time.Second)
		return err
	},
	"renew lease 7: ": func(ctx context.Context, s *Store) error { return s.RenewLease(ctx, 7) },
	"watch a/: ": func(ctx context.Context, s *Store) error {
		_, err := s.Watch(ctx, "a/", 1)
		return err
	},
}

// TestCallErrors checks that the error of every call begins with the operation that failed, and wraps the
// error that says whether the service executed the request.
func TestCallErrors(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		is, not error
	}{
		{"rate limited", status(http.StatusTooManyRequests), ErrNotExecuted, ErrOutcomeUnknown},
		{"rate limit error", status(http.StatusTooManyRequests), ErrRateLimited, ErrBadRequest},
		{"unavailable", status(http.StatusServiceUnavailable), ErrNotExecuted, ErrRateLimited},
		{"unexpected status", status(http.StatusTeapot), ErrBadRequest, ErrNotExecuted},
		{"no reply", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			ErrOutcomeUnknown, ErrNotExecuted},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestStore(t, c.handler)
			for prefix, call := range storeCalls {
				err := call(t.Context(), s)
				if !errors.Is(err, c.is) || errors.Is(err, c.not) || !strings.HasPrefix(err.Error(), prefix) {
					t.Errorf("error %q, want one that begins with %q, is %q and not %q",
						err, prefix, c.is, c.not)
				}
			}
		})
	}
}

// TestConnectionRefused checks that a request that could not be sent counts as not executed.
func TestConnectionRefused(t *testing.T) {
	s := New("127.0.0.1:1", config.StateLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 4, TxnOps: 8})
	for prefix, call := range storeCalls {
		if err := call(t.Context(), s); !errors.Is(err, ErrNotExecuted) {
			t.Errorf("call %q: error %v, want %q", prefix, err, ErrNotExecuted)
		}
	}
}

// TestTransactionErrors checks the error for each kind of reply that does not report a success.
func TestTransactionErrors(t *testing.T) {
	withLease := protocol.Transaction{Operations: []protocol.Operation{{Put: "a", Value: protocol.Raw{1}, Lease: 7}}}
	withoutLease := protocol.Transaction{Operations: []protocol.Operation{{Delete: "a"}}}
	for _, c := range []struct {
		name        string
		transaction protocol.Transaction
		status      int
		body        []byte
		want        error
	}{
		{"lease expired", withLease, http.StatusBadRequest, nil, ErrLeaseExpired},
		{"malformed", withoutLease, http.StatusBadRequest, nil, ErrBadRequest},
		{"truncated reply", withoutLease, http.StatusOK, []byte{0xa1}, ErrOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestStore(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write(c.body)
			})
			if _, err := s.CompareAndSwap(t.Context(), c.transaction); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
	s := newTestStore(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write(protocol.Encode(protocol.TransactionReply{FailedKeys: []string{"a"}}))
	})
	_, err := s.CompareAndSwap(t.Context(), withoutLease)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || !conflict.HasFailedKey("a") || conflict.HasFailedKey("b") {
		t.Errorf("error %v, want a conflict on key a only", err)
	}
}

// TestExpiredLeaseAndCompactedWatch checks that the renewal of an expired lease and a watch from a
// compacted revision fail with ErrLeaseExpired and ErrCompacted.
func TestExpiredLeaseAndCompactedWatch(t *testing.T) {
	s := newTestStore(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/watch" {
			w.WriteHeader(http.StatusGone)
			return
		}
		http.NotFound(w, r)
	})
	if err := s.RenewLease(t.Context(), 7); !errors.Is(err, ErrLeaseExpired) {
		t.Errorf("renewal: error %v, want %q", err, ErrLeaseExpired)
	}
	if _, err := s.Watch(t.Context(), "a/", 1); !errors.Is(err, ErrCompacted) {
		t.Errorf("watch: error %v, want %q", err, ErrCompacted)
	}
}

// TestListReadsAllPages checks that List reads all pages, each starting after the last key of the previous
// one, and returns the revision of the first page. It also checks that an error of the callback ends the
// list and is returned unchanged.
func TestListReadsAllPages(t *testing.T) {
	pages := map[string]protocol.KeyPage{
		"":    {Items: []protocol.KeyValue{{Key: "a/1"}, {Key: "a/2"}}, Truncated: true, Revision: 5},
		"a/2": {Items: []protocol.KeyValue{{Key: "a/3"}}, Revision: 9},
	}
	s := newTestStore(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(protocol.Encode(pages[r.URL.Query().Get("Since")]))
	})
	var keys []string
	revision, err := s.List(t.Context(), "a/", func(kv protocol.KeyValue) error {
		keys = append(keys, kv.Key)
		return nil
	})
	if err != nil || revision != 5 || !reflect.DeepEqual(keys, []string{"a/1", "a/2", "a/3"}) {
		t.Errorf("listed keys %v at revision %d, error %v; want a/1 to a/3 at revision 5", keys, revision, err)
	}
	errStop := errors.New("stop")
	if _, err := s.List(t.Context(), "a/", func(protocol.KeyValue) error { return errStop }); err != errStop {
		t.Errorf("error %v, want that of the callback unchanged", err)
	}
}
