package leader

import (
	"context"
	"errors"
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

// writerFixture is a writer that is connected to an in-memory state service, which contains the leader
// key of its term.
type writerFixture struct {
	*writer
	t        *testing.T
	state    *standin.StateService
	termLost bool // the writer reported that the term is over
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
	actor.dispatcher.store = storage.New(server.Addr(),
		config.StateLimits{RPS: 1e5, WriteRPS: 1e5, ValueKB: 8, TxnOps: 4})
	f.writer = &writer{actor: actor}
	return f
}

// put stores a value and returns its version.
func (f *writerFixture) put(key string, value int) uint64 {
	f.t.Helper()
	return f.putRecord(key, value)
}

// putRecord stores a record and returns its version.
func (f *writerFixture) putRecord(key string, record any) uint64 {
	f.t.Helper()
	status, reply := f.state.CompareAndSwap(protocol.Transaction{
		Operations: []protocol.Operation{{Put: key, Value: protocol.Encode(record)}},
	})
	if status != http.StatusOK {
		f.t.Fatalf("put %s: status %d", key, status)
	}
	return reply.Revision
}

// drainOutcomes removes the outcomes from the mailbox and returns them by write ID.
func (f *writerFixture) drainOutcomes() map[uint64]scheduler.WriteCompleted {
	outcomes := map[uint64]scheduler.WriteCompleted{}
	for len(f.actor.mailbox) > 0 {
		outcome := (<-f.actor.mailbox).(eventMessage).event.(scheduler.WriteCompleted)
		outcomes[outcome.ID] = outcome
	}
	return outcomes
}

// createKey returns a write that creates a key and fails if the key exists.
func createKey(id uint64, key string) scheduler.WriteRecords {
	return scheduler.WriteRecords{
		ID:         id,
		Conditions: []protocol.Condition{{Key: key}},
		Operations: []protocol.Operation{{Put: key, Value: protocol.Encode(int(id))}},
	}
}

// TestCollectBatchWithinLimits checks that a batch contains the writes that wait, up to the numbers of
// operations and conditions that the state service accepts in one transaction.
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
		{"one write", []scheduler.WriteRecords{write(1, 1, 0)}, []uint64{1}, 0},
		{"all waiting writes", []scheduler.WriteRecords{write(1, 1, 1), write(2, 2, 1)}, []uint64{1, 2}, 0},
		{
			"maximum of operations reached: the next write is not received",
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
				t.Errorf("batch %v, overflow %v; want batch %v, overflow %d", ids, overflow, c.batch, c.overflow)
			}
			if overflow != nil && overflow.ID != c.overflow {
				t.Errorf("overflow is write %d, want %d", overflow.ID, c.overflow)
			}
		})
	}
}

// TestConflictInBatchFailsOneWrite checks that after a condition of a batch has failed, the writes are
// committed one by one, so that only the write with that condition fails.
func TestConflictInBatchFailsOneWrite(t *testing.T) {
	f := newWriterFixture(t)
	f.put("b", 100)
	batch := []scheduler.WriteRecords{createKey(1, "a"), createKey(2, "b"), createKey(3, "c")}
	if !f.commit(context.Background(), batch) {
		t.Fatal("writer stopped, want it to continue")
	}
	outcomes := f.drainOutcomes()
	for _, write := range batch {
		if outcome, ok := outcomes[write.ID]; !ok || outcome.Committed != (write.ID != 2) {
			t.Errorf("write %d: outcome %+v, want committed %v", write.ID, outcome, write.ID != 2)
		}
	}
	stored, _ := f.state.Get("c")
	if outcomes[3].Version != stored.Version {
		t.Errorf("reported version %d, stored version %d", outcomes[3].Version, stored.Version)
	}
}

// TestRetryOfAppliedWrite checks that a write that was executed although its reply was lost counts as
// completed when its retry fails with a conflict.
func TestRetryOfAppliedWrite(t *testing.T) {
	f := newWriterFixture(t)
	version := f.put("a", 1) // the value that the write puts
	if !f.commit(context.Background(), []scheduler.WriteRecords{createKey(1, "a")}) {
		t.Fatal("writer stopped, want it to continue")
	}
	if got := f.drainOutcomes()[1]; !got.Committed || got.Version != version {
		t.Errorf("outcome %+v, want committed and version %d", got, version)
	}
}

// TestWriterStopsAfterTermLost checks that once there is another leader, the writer writes nothing, reports
// that the term is over and stops.
func TestWriterStopsAfterTermLost(t *testing.T) {
	f := newWriterFixture(t)
	f.put(storage.KeyLeader, 2)
	for _, size := range []int{1, 2} {
		t.Run(fmt.Sprintf("batch of %d", size), func(t *testing.T) {
			f.termLost = false
			batch := []scheduler.WriteRecords{createKey(1, "a"), createKey(2, "b")}[:size]
			if f.commit(context.Background(), batch) || !f.termLost {
				t.Errorf("writer continued or did not report the end of the term (reported: %v)", f.termLost)
			}
			if outcomes := f.drainOutcomes(); len(outcomes) > 0 {
				t.Errorf("outcomes %v, want none", outcomes)
			}
			if _, found := f.state.Get("a"); found {
				t.Error("record written after the end of the term")
			}
		})
	}
}

// TestSuccessorsRecordIsNotOwnWrite checks that a leader that is replaced after a condition of its write
// has failed does not take an equal record of its successor for the result of its own write.
func TestSuccessorsRecordIsNotOwnWrite(t *testing.T) {
	f := newWriterFixture(t)
	f.put(storage.KeyLeader, 2)
	f.put("a", 1) // the value that the write puts
	if outcome, err := f.readOutcome(context.Background(), createKey(1, "a")); !errors.Is(err, errTermOver) {
		t.Errorf("outcome %+v with error %v, want error %v", outcome, err, errTermOver)
	}
}
