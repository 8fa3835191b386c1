package election

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
)

// unreliableStore is the connection of one node to the state service. It delays and rejects
// requests. It also loses requests and replies, so that a request without a reply may have been
// applied, or may be applied later.
type unreliableStore struct {
	service *standin.StateService

	mu               sync.Mutex
	random           *rand.Rand
	rejectedUntil    time.Time
	unansweredUntil  time.Time
	rateLimitedUntil time.Time
	lossRate         float64                // share of requests and replies that are lost
	captureCampaigns bool                   // campaign transactions are captured and not applied
	captured         []protocol.Transaction // captured campaigns, for the test to apply
	slow             bool                   // all requests take up to slowRequestMax
	losesReplies     bool                   // transactions are applied, but get no reply
	beforeRequest    func()                 // if not nil, called before each read and transaction is executed
}

// slowRequestMax is the longest delay of a request, in milliseconds. It is below limits.StateTimeout.
const slowRequestMax = 1400

// deliver simulates the transmission of a request to the state service: it waits for a random delay, and
// returns an error if the request is rejected or times out.
func (u *unreliableStore) deliver(ctx context.Context) error {
	u.mu.Lock()
	delay := time.Duration(1+u.random.IntN(20)) * time.Millisecond
	if u.random.Float64() < 0.03 || u.slow {
		delay = time.Duration(u.random.IntN(slowRequestMax)) * time.Millisecond
	}
	rejected, unanswered := time.Now().Before(u.rejectedUntil), time.Now().Before(u.unansweredUntil)
	rateLimited := time.Now().Before(u.rateLimitedUntil)
	u.mu.Unlock()
	if unanswered {
		time.Sleep(limits.StateTimeout)
		return fmt.Errorf("%w: %w", storage.ErrOutcomeUnknown, os.ErrDeadlineExceeded)
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", storage.ErrOutcomeUnknown, ctx.Err())
	}
	if rateLimited {
		return fmt.Errorf("%w: %w", storage.ErrNotExecuted, storage.ErrRateLimited)
	}
	if rejected || u.service.IsUnavailable() {
		return storage.ErrNotExecuted
	}
	return nil
}

// randomDelay returns a random whole number of units below n as a duration.
func (u *unreliableStore) randomDelay(n int, unit time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(u.random.IntN(n)) * unit
}

// withProbability returns true with the given probability.
func (u *unreliableStore) withProbability(probability float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64() < probability
}

// losesMessage reports whether the next request or reply is lost.
func (u *unreliableStore) losesMessage() bool {
	u.mu.Lock()
	lossRate := u.lossRate
	u.mu.Unlock()
	return u.withProbability(lossRate)
}

// setRejected makes the state service reject this node's requests until the given time.
func (u *unreliableStore) setRejected(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rejectedUntil = until
}

// setRateLimited makes the state service reject this node's requests because of its rate limit until the given
// time.
func (u *unreliableStore) setRateLimited(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rateLimitedUntil = until
}

// setUnanswered makes this node's requests time out until the given time.
func (u *unreliableStore) setUnanswered(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unansweredUntil = until
}

// setSlow sets whether all requests of this node are slow.
func (u *unreliableStore) setSlow(slow bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slow = slow
}

// setLosesReplies sets whether the replies to all transactions of this node are lost.
func (u *unreliableStore) setLosesReplies(lost bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.losesReplies = lost
}

// losesReply reports whether the reply to a transaction is lost.
func (u *unreliableStore) losesReply() bool {
	u.mu.Lock()
	lost := u.losesReplies
	u.mu.Unlock()
	return lost || u.losesMessage()
}

// onRequest sets a function that is called before each read and each transaction of this node is executed.
func (u *unreliableStore) onRequest(call func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.beforeRequest = call
}

// callBeforeRequest calls the function that onRequest has set.
func (u *unreliableStore) callBeforeRequest() {
	u.mu.Lock()
	call := u.beforeRequest
	u.mu.Unlock()
	if call != nil {
		call()
	}
}

// setReliable ends the rejection and the loss of messages.
func (u *unreliableStore) setReliable() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rejectedUntil, u.lossRate = time.Time{}, 0
}

// setCaptureCampaigns sets whether campaign transactions are captured for the test. The node gets
// no reply to them.
func (u *unreliableStore) setCaptureCampaigns(capture bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.captureCampaigns = capture
}

// capturedCampaigns returns the captured campaign transactions.
func (u *unreliableStore) capturedCampaigns() []protocol.Transaction {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.captured
}

// captureCampaign captures a transaction if it is a campaign and campaigns are to be captured, and
// reports whether it did.
func (u *unreliableStore) captureCampaign(t protocol.Transaction) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.captureCampaigns || t.Operations[0].Put != storage.KeyLeader {
		return false
	}
	u.captured = append(u.captured, t)
	return true
}

func (u *unreliableStore) Get(ctx context.Context, key string) (protocol.KeyValue, error) {
	if err := u.deliver(ctx); err != nil {
		return protocol.KeyValue{}, err
	}
	u.callBeforeRequest()
	value, _ := u.service.Get(key)
	return value, nil
}

func (u *unreliableStore) CompareAndSwap(ctx context.Context, t protocol.Transaction) (uint64, error) {
	if err := u.deliver(ctx); err != nil {
		return 0, err
	}
	if u.captureCampaign(t) {
		return 0, storage.ErrOutcomeUnknown
	}
	u.callBeforeRequest()
	if u.losesMessage() {
		// The node gets no reply. The transaction is applied later or not at all.
		if u.withProbability(0.7) {
			time.AfterFunc(u.randomDelay(40, time.Second), func() { u.service.CompareAndSwap(t) })
		}
		return 0, storage.ErrOutcomeUnknown
	}
	status, reply := u.service.CompareAndSwap(t)
	switch status {
	case http.StatusBadRequest:
		return 0, storage.ErrLeaseExpired
	case http.StatusConflict:
		return 0, &storage.ConflictError{FailedKeys: reply.FailedKeys}
	}
	if u.losesReply() {
		return 0, storage.ErrOutcomeUnknown
	}
	return reply.Revision, nil
}

func (u *unreliableStore) List(
	ctx context.Context, prefix string, each func(protocol.KeyValue) error,
) (uint64, error) {
	if err := u.deliver(ctx); err != nil {
		return 0, err
	}
	page := u.service.List(prefix, "", limits.StatePageSize)
	for _, item := range page.Items {
		if err := each(item); err != nil {
			return 0, err
		}
	}
	return page.Revision, nil
}

func (u *unreliableStore) CreateLease(ctx context.Context, duration time.Duration) (uint64, error) {
	if err := u.deliver(ctx); err != nil {
		return 0, err
	}
	return u.service.CreateLease(duration), nil
}

func (u *unreliableStore) RenewLease(ctx context.Context, leaseID uint64) error {
	if err := u.deliver(ctx); err != nil {
		return err
	}
	if !u.service.RenewLease(leaseID) {
		return storage.ErrLeaseExpired
	}
	return nil
}

func (u *unreliableStore) Watch(ctx context.Context, prefix string, since uint64) (protocol.WatchReply, error) {
	end := time.After(limits.WatchDuration)
	for {
		reply, _ := u.service.Changes(prefix, since)
		if len(reply.Changes) > 0 && !u.service.IsUnavailable() {
			return reply, nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-end:
			return reply, nil
		case <-ctx.Done():
			return reply, ctx.Err()
		}
	}
}
