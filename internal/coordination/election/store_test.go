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

// unreliableStore is a node's view of the state service. It delays and rejects requests, and loses
// answers of requests that were applied, or are applied later.
type unreliableStore struct {
	service *standin.StateService

	mu               sync.Mutex
	random           *rand.Rand
	rejectedUntil    time.Time
	unansweredUntil  time.Time
	lossRate         float64                // share of requests and answers that are lost
	captureCampaigns bool                   // campaigns get no answer, and are kept for the test
	captured         []protocol.Transaction // those, for the test to apply
}

// deliver lets a request take its time, and returns an error if it does not reach the service.
func (u *unreliableStore) deliver(ctx context.Context) error {
	u.mu.Lock()
	delay := time.Duration(1+u.random.IntN(20)) * time.Millisecond
	if u.random.Float64() < 0.03 {
		delay = time.Duration(u.random.IntN(1400)) * time.Millisecond
	}
	rejected, unanswered := time.Now().Before(u.rejectedUntil), time.Now().Before(u.unansweredUntil)
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
	if rejected || u.service.Unavailable() {
		return storage.ErrNotExecuted
	}
	return nil
}

// randomDelay returns a random number of units below n.
func (u *unreliableStore) randomDelay(n int, unit time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(u.random.IntN(n)) * unit
}

// withProbability reports true with a probability.
func (u *unreliableStore) withProbability(probability float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64() < probability
}

// losesMessage reports whether a message is lost.
func (u *unreliableStore) losesMessage() bool {
	u.mu.Lock()
	lossRate := u.lossRate
	u.mu.Unlock()
	return u.withProbability(lossRate)
}

// setRejected makes the service reject this node's requests until then.
func (u *unreliableStore) setRejected(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rejectedUntil = until
}

// setUnanswered makes the service leave this node's requests without an answer until then.
func (u *unreliableStore) setUnanswered(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unansweredUntil = until
}

// setReliable ends rejections and losses.
func (u *unreliableStore) setReliable() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rejectedUntil, u.lossRate = time.Time{}, 0
}

// setCaptureCampaigns makes campaigns get no answer; they are kept for the test.
func (u *unreliableStore) setCaptureCampaigns(capture bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.captureCampaigns = capture
}

// capturedCampaigns returns the campaigns that were kept.
func (u *unreliableStore) capturedCampaigns() []protocol.Transaction {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.captured
}

// captureCampaign keeps a transaction if it is a campaign that the test has asked for, and reports
// whether it is.
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
	if u.losesMessage() {
		// It gets no answer, and is applied some time later or not at all.
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
	if u.losesMessage() {
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
		if len(reply.Changes) > 0 && !u.service.Unavailable() {
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
