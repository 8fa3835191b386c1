package storage_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
	"quillshunt/internal/testvariable"
)

// Users of the protocol, and the rule about their questions.
const (
	pollInterval  = 5 * time.Second
	retryInterval = time.Second
	maxUnanswered = 75 * time.Second
)

// asker asks about one job again and again.
type asker struct {
	key        string
	random     *rand.Rand
	since      time.Time     // of the first question without an answer, or zero
	answeredAt time.Time     // or the start
	longest    time.Duration // without an answer
	failures   int
	// unanswerable means that a value is no answer to the user, as with a cancellation that is not confirmed.
	unanswerable bool
}

// ask asks until the context ends.
func (a *asker) ask(ctx context.Context, reader *storage.BatchReader) {
	a.answeredAt = time.Now()
	storage.SleepContext(ctx, time.Duration(a.random.Int64N(int64(pollInterval))))
	for ctx.Err() == nil {
		if a.since.IsZero() {
			a.since = time.Now()
		}
		asking, cancel := context.WithTimeout(ctx, limits.PollTimeout)
		_, err := reader.Get(asking, a.key, a.since)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			a.failures++
			storage.SleepContext(ctx, retryInterval)
			continue
		}
		if a.unanswerable {
			storage.SleepContext(ctx, retryInterval)
			continue
		}
		a.longest = max(a.longest, time.Since(a.answeredAt))
		a.since, a.answeredAt = time.Time{}, time.Now()
		storage.SleepContext(ctx, pollInterval*3/4+time.Duration(a.random.Int64N(int64(pollInterval/2))))
	}
}

// TestOldQuestionsDoNotTakeThePages guards against polls without an answer because a few questions that cannot be
// answered, and are therefore the oldest, decide which pages are read.
func TestOldQuestionsDoNotTakeThePages(t *testing.T) {
	const controllers, stateRPS, duration, unanswerable = 5, 180, 3 * time.Minute, 10
	jobs := testvariable.Positive(t, "QUILLSHUNT_JOBS", 3400)
	seed := uint64(testvariable.Positive(t, "QUILLSHUNT_SEED", 1))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		random := rand.New(rand.NewPCG(seed, 17))
		network, state := standin.NewNetwork(time.Millisecond), standin.NewStateService()
		log := slog.New(slog.DiscardHandler)
		go standin.ServeListener(network.Listen("state:1"), state.ServerFor("controller", "", log))
		rates := config.StateLimits{RPS: stateRPS, WriteRPS: stateRPS, ValueKB: 8, TxnOps: 8}
		reader := storage.New("state:1", rates).WithDialer(network.Dialer("controller")).NewBatchReader(controllers)
		var running sync.WaitGroup
		running.Go(func() { reader.Run(ctx) })
		askers := make([]*asker, 0, jobs)
		for i := range jobs {
			key := storage.OpenJobKey(fmt.Sprintf("job-%06d", random.IntN(1_000_000)))
			state.CompareAndSwap(protocol.Transaction{Operations: []protocol.Operation{{
				Put: key, Value: protocol.Encode(storage.OpenJob{Spec: protocol.Spec{ID: key, Team: "red", Tasks: 1}}),
			}}})
			if i%controllers != 0 {
				continue // asked elsewhere
			}
			a := &asker{key: key, random: rand.New(rand.NewPCG(seed, uint64(i)))}
			if a.unanswerable = i < unanswerable*controllers; !a.unanswerable {
				askers = append(askers, a)
			}
			running.Go(func() { a.ask(ctx, reader) })
		}
		time.Sleep(duration)
		endedAt := time.Now()
		cancel()
		network.RemoveHost("state")
		network.RemoveHost("controller")
		running.Wait()
		forgotten, failures, longest := 0, 0, time.Duration(0)
		for _, a := range askers {
			failures += a.failures
			a.longest = max(a.longest, endedAt.Sub(a.answeredAt))
			longest = max(longest, a.longest)
			if a.longest > maxUnanswered {
				forgotten++
			}
		}
		t.Logf("%d jobs: %d failures, longest time without an answer %v; %+v",
			len(askers), failures, longest, reader.TakeStatistics(time.Now()))
		if forgotten > 0 {
			t.Errorf("%d of %d jobs were without an answer for more than %v, the longest for %v",
				forgotten, len(askers), maxUnanswered, longest)
		}
		if failures > 0 {
			t.Errorf("%d polls about %d jobs were without an answer while nothing failed", failures, len(askers))
		}
		time.Sleep(time.Minute)
	})
}
