package leader

import (
	"context"
	"errors"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// writer executes the writes of a term, several in one transaction, each under the leader's guard. A
// write without a known outcome is repeated unchanged until the outcome is known.
type writer struct{ term *term }

// run executes writes until the context ends or the term is found to be over.
func (w *writer) run(ctx context.Context) {
	var leftOver *scheduler.WriteRecords // received, but too large for the batch before
	for {
		if leftOver == nil {
			select {
			case <-ctx.Done():
				return
			case write := <-w.term.writer:
				leftOver = &write
			}
		}
		var batch []scheduler.WriteRecords
		batch, leftOver = w.collectBatch(*leftOver)
		if !w.execute(ctx, batch) {
			return
		}
	}
}

// collectBatch adds writes that wait already to the first one, within what the state service accepts
// in one transaction. It also returns the write that was received but did not fit, or nil.
func (w *writer) collectBatch(
	first scheduler.WriteRecords,
) (batch []scheduler.WriteRecords, leftOver *scheduler.WriteRecords) {
	maxOperations := w.term.dispatcher.store.Settings().TxnOps
	maxConditions := maxOperations * limits.ConditionsPerOperation
	batch = append(batch, first)
	operations := len(first.Operations)
	conditions := 1 + len(first.Conditions) // with the leader's guard
	for operations < maxOperations {
		select {
		case write := <-w.term.writer:
			operations += len(write.Operations)
			conditions += len(write.Conditions)
			if operations > maxOperations || conditions > maxConditions {
				return batch, &write
			}
			batch = append(batch, write)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// execute writes a batch in one transaction, or one by one if that fails for a part of it. It
// returns false when the context or the term is over.
func (w *writer) execute(ctx context.Context, batch []scheduler.WriteRecords) bool {
	var backoff storage.Backoff
	txn := w.transaction(batch)
	for {
		revision, err := w.term.dispatcher.store.CompareAndSwap(ctx, txn)
		var conflict *storage.ConflictError
		switch {
		case err == nil:
			for _, write := range batch {
				w.term.sendEvent(ctx, scheduler.WriteCompleted{ID: write.ID, OK: true, Version: revision})
			}
			return true
		case errors.As(err, &conflict):
			if conflict.Has(storage.KeyLeader) {
				w.term.reportLost()
				return false
			}
			if len(batch) > 1 {
				return w.executeEach(ctx, batch)
			}
			// An earlier try of this same write may have been executed although its answer was lost.
			var completed scheduler.WriteCompleted
			if completed, err = w.outcomeOf(ctx, batch[0]); err == nil {
				w.term.sendEvent(ctx, completed)
				return true
			}
		case errors.Is(err, storage.ErrBadRequest):
			w.term.log.Error("write rejected", "err", err, "ops", len(txn.Operations), "key", firstKey(txn))
			if len(batch) > 1 {
				return w.executeEach(ctx, batch)
			}
			w.term.sendEvent(ctx, scheduler.WriteCompleted{ID: batch[0].ID})
			return true
		}
		w.logRetry(err, txn)
		if !backoff.Wait(ctx) {
			return false
		}
	}
}

// transaction joins the writes of a batch under the leader's guard.
func (w *writer) transaction(batch []scheduler.WriteRecords) protocol.Transaction {
	txn := protocol.Transaction{Conditions: []protocol.Condition{w.term.leadership.FencingCondition()}}
	for _, write := range batch {
		txn.Conditions = append(txn.Conditions, write.Conditions...)
		txn.Operations = append(txn.Operations, write.Operations...)
	}
	return txn
}

// executeEach writes the parts of a batch one by one.
func (w *writer) executeEach(ctx context.Context, batch []scheduler.WriteRecords) bool {
	for _, write := range batch {
		if !w.execute(ctx, []scheduler.WriteRecords{write}) {
			return false
		}
	}
	return true
}

// logRetry logs that a transaction is tried again. That the rate is exceeded gets a higher level, as
// the writer should keep within it.
func (w *writer) logRetry(err error, txn protocol.Transaction) {
	if errors.Is(err, storage.ErrRateLimited) {
		w.term.log.Info("write over the rate", "err", err, "ops", len(txn.Operations), "key", firstKey(txn))
		return
	}
	w.term.log.Debug("write failed", "err", err, "key", firstKey(txn))
}

// firstKey identifies a transaction in the log.
func firstKey(txn protocol.Transaction) string {
	if len(txn.Operations) == 0 {
		return ""
	}
	return operationKey(txn.Operations[0])
}

// operationKey is the key that an operation writes or deletes.
func operationKey(op protocol.Operation) string {
	if op.Put != "" {
		return op.Put
	}
	return op.Delete
}

// outcomeOf reads back the records of a write whose conditions failed: it is completed if the state
// service shows already what it was to bring about.
func (w *writer) outcomeOf(ctx context.Context, write scheduler.WriteRecords) (scheduler.WriteCompleted, error) {
	var revision uint64
	for _, op := range write.Operations {
		stored, err := w.term.dispatcher.store.Get(ctx, operationKey(op))
		if err != nil {
			return scheduler.WriteCompleted{}, err
		}
		if !alreadyApplied(op, stored) {
			return scheduler.WriteCompleted{ID: write.ID}, nil
		}
		revision = max(revision, stored.Version)
	}
	return scheduler.WriteCompleted{ID: write.ID, OK: true, Version: revision}, nil
}

// alreadyApplied reports whether a stored record is what an operation was to bring about.
func alreadyApplied(op protocol.Operation, stored protocol.KeyValue) bool {
	if op.Delete != "" {
		return stored.Version == 0
	}
	return stored.Version != 0 && sameRecord(stored.Value, op.Value)
}
