package leader

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
)

// writerFixture is the writer of a term whose leader key is in a stand-in of the state service.
type writerFixture struct {
	*writer
	t        *testing.T
	state    *standin.StateService
	termLost bool // the term was reported as lost
}

func newWriterFixture(t *testing.T) *writerFixture {
	t.Helper()
	f := &writerFixture{t: t, state: standin.NewStateService()}
	server := f.state.Server(freeAddress(t), slog.New(slog.DiscardHandler))
	runServer(t, server)
	leadership := election.NewLeadership(1, f.put(storage.KeyLeader, 1), time.Now().Add(time.Hour))
	actor := newTestActor(leadership)
	actor.mailbox = make(chan message, 10)
	actor.toWriter = make(chan scheduler.WriteRecords, 10)
	actor.dispatcher.onTermLost = func(uint64) { f.termLost = true }
	actor.dispatcher.store = storage.New(server.Addr(), config.State{RPS: 1e5, WriteRPS: 1e5, ValueKB: 8, TxnOps: 4})
	f.writer = &writer{actor: actor}
	return f
}

// put stores a value and returns its version.
func (f *writerFixture) put(key string, value int) uint64 {
	f.t.Helper()
	status, reply := f.state.CompareAndSwap(protocol.Transaction{
		Operations: []protocol.Operation{{Put: key, Value: protocol.Encode(value)}},
	})
	if status != http.StatusOK {
		f.t.Fatalf("put %s: %d", key, status)
	}
	return reply.Revision
}

// drainOutcomes returns the outcomes that were reported, by the writes' ids.
func (f *writerFixture) drainOutcomes() map[uint64]scheduler.WriteCompleted {
	outcomes := map[uint64]scheduler.WriteCompleted{}
	for len(f.actor.mailbox) > 0 {
		outcome := (<-f.actor.mailbox).(eventMessage).event.(scheduler.WriteCompleted)
		outcomes[outcome.ID] = outcome
	}
	return outcomes
}

// createKey is a write that creates a key, and fails if there is one.
func createKey(id uint64, key string) scheduler.WriteRecords {
	return scheduler.WriteRecords{
		ID:         id,
		Conditions: []protocol.Condition{{Key: key}},
		Operations: []protocol.Operation{{Put: key, Value: protocol.Encode(int(id))}},
	}
}

// TestCollectBatchWithinLimits: a batch joins the writes that wait, up to the operations and conditions
// that the state service accepts in one transaction.
func TestCollectBatchWithinLimits(t *testing.T) {
	write := func(id uint64, operations, conditions int) scheduler.WriteRecords {
		return scheduler.WriteRecords{
			ID:         id,
			Operations: make([]protocol.Operation, operations),
			Conditions: make([]protocol.Condition, conditions),
		}
	}
	for _, c := range []struct {
		name     string
		writes   []scheduler.WriteRecords
		batch    []uint64
		overflow uint64
	}{
		{"one", []scheduler.WriteRecords{write(1, 1, 0)}, []uint64{1}, 0},
		{"all that wait", []scheduler.WriteRecords{write(1, 1, 1), write(2, 2, 1)}, []uint64{1, 2}, 0},
		{
			"full of operations: the next one is not received",
			[]scheduler.WriteRecords{write(1, 2, 0), write(2, 2, 0), write(3, 1, 0)}, []uint64{1, 2}, 0,
		},
		{"too many operations", []scheduler.WriteRecords{write(1, 3, 0), write(2, 2, 0)}, []uint64{1}, 2},
		{"too many conditions", []scheduler.WriteRecords{write(1, 1, 0), write(2, 1, 1000)}, []uint64{1}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newWriterFixture(t)
			for _, write := range c.writes[1:] {
				f.actor.toWriter <- write
			}
			batch, overflow := f.collectBatch(c.writes[0])
			var ids []uint64
			for _, write := range batch {
				ids = append(ids, write.ID)
			}
			if !slices.Equal(ids, c.batch) || (overflow != nil) != (c.overflow != 0) {
				t.Errorf("batch %v, left over %v", ids, overflow)
			}
			if overflow != nil && overflow.ID != c.overflow {
				t.Errorf("write %d left over, expected %d", overflow.ID, c.overflow)
			}
		})
	}
}

// TestConflictInBatchFailsOneWrite: a batch whose conditions fail is written one by one, so that only
// the write fails that the failed condition belongs to.
func TestConflictInBatchFailsOneWrite(t *testing.T) {
	f := newWriterFixture(t)
	f.put("b", 100)
	batch := []scheduler.WriteRecords{createKey(1, "a"), createKey(2, "b"), createKey(3, "c")}
	if !f.commit(context.Background(), batch) {
		t.Fatal("the term is over")
	}
	outcomes := f.drainOutcomes()
	for _, write := range batch {
		if outcome, ok := outcomes[write.ID]; !ok || outcome.OK != (write.ID != 2) {
			t.Errorf("write %d: %+v", write.ID, outcome)
		}
	}
	stored, _ := f.state.Get("c")
	if outcomes[3].Version != stored.Version {
		t.Errorf("version %d, stored with %d", outcomes[3].Version, stored.Version)
	}
}

// TestRetryOfAppliedWrite: a write whose answer was lost is completed when it is tried again.
func TestRetryOfAppliedWrite(t *testing.T) {
	f := newWriterFixture(t)
	version := f.put("a", 1) // as the write has it
	if !f.commit(context.Background(), []scheduler.WriteRecords{createKey(1, "a")}) {
		t.Fatal("the term is over")
	}
	if got := f.drainOutcomes()[1]; !got.OK || got.Version != version {
		t.Errorf("outcome %+v, expected version %d", got, version)
	}
}

// TestWriterStopsAfterTermLost: once there is another leader, nothing is written and the term is reported as
// lost.
func TestWriterStopsAfterTermLost(t *testing.T) {
	f := newWriterFixture(t)
	f.put(storage.KeyLeader, 2)
	for _, size := range []int{1, 2} {
		t.Run(fmt.Sprintf("batch of %d", size), func(t *testing.T) {
			f.termLost = false
			batch := []scheduler.WriteRecords{createKey(1, "a"), createKey(2, "b")}[:size]
			if f.commit(context.Background(), batch) || !f.termLost {
				t.Errorf("the writer goes on, lost %v", f.termLost)
			}
			if outcomes := f.drainOutcomes(); len(outcomes) > 0 {
				t.Errorf("outcomes %v", outcomes)
			}
			if _, found := f.state.Get("a"); found {
				t.Error("a record was written")
			}
		})
	}
}
