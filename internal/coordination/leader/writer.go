package leader

import (
	"context"
	"errors"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// writer sends the writes of a term to the state service. It joins waiting writes into one transaction,
// and makes each transaction conditional on the leader key, so that it fails once there is another
// leader. A transaction with an unknown outcome is retried unchanged until the outcome is known.
type writer struct{ actor *termActor }

// run sends writes until the context ends or a transaction fails because there is another leader.
func (w *writer) run(ctx context.Context) {
	var overflow *scheduler.WriteRecords // received, but did not fit into the last batch
	for {
		if overflow == nil {
			select {
			case <-ctx.Done():
				return
			case write := <-w.actor.toWriter:
				overflow = &write
			}
		}
		var batch []scheduler.WriteRecords
		batch, overflow = w.collectBatch(*overflow)
		if !w.commit(ctx, batch) {
			return
		}
	}
}

// collectBatch returns a batch of the first write and the writes that are already waiting, up to the
// numbers of operations and conditions that the state service accepts in one transaction. It also
// returns the write that was received but did not fit into the batch, or nil.
func (w *writer) collectBatch(
	first scheduler.WriteRecords,
) (batch []scheduler.WriteRecords, overflow *scheduler.WriteRecords) {
	maxOperations := w.actor.dispatcher.store.ServiceLimits().TxnOps
	maxConditions := maxOperations * limits.ConditionsPerOperation
	batch = append(batch, first)
	operations := len(first.Operations)
	conditions := 1 + len(first.Conditions) // the first is for the leader key
	for operations < maxOperations {
		select {
		case write := <-w.actor.toWriter:
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

// commit writes a batch in one transaction and sends the outcomes to the scheduler. If a condition
// fails or the transaction is rejected as malformed, it commits each write in a transaction of its own,
// so that only the writes that caused this fail. It returns false if the context ends or there is
// another leader.
func (w *writer) commit(ctx context.Context, batch []scheduler.WriteRecords) bool {
	var backoff storage.Backoff
	txn := w.buildTransaction(batch)
	for {
		revision, err := w.actor.dispatcher.store.CompareAndSwap(ctx, txn)
		var conflict *storage.ConflictError
		switch {
		case err == nil:
			for _, write := range batch {
				w.actor.sendEvent(ctx, scheduler.WriteCompleted{ID: write.ID, Committed: true, Version: revision})
			}
			return true
		case errors.As(err, &conflict):
			if conflict.HasFailedKey(storage.KeyLeader) {
				w.actor.reportTermLost()
				return false
			}
			if len(batch) > 1 {
				return w.commitEach(ctx, batch)
			}
			// The condition may have failed because an earlier attempt of this write was executed,
			// although its reply was lost.
			var completed scheduler.WriteCompleted
			completed, err = w.readOutcome(ctx, batch[0])
			switch {
			case err == nil:
				w.actor.sendEvent(ctx, completed)
				return true
			case errors.Is(err, errTermOver):
				w.actor.reportTermLost()
				return false
			}
		case errors.Is(err, storage.ErrBadRequest):
			w.actor.log.Error("transaction rejected by the state service",
				"err", err, "operations", len(txn.Operations), "first_key", firstKey(txn))
			if len(batch) > 1 {
				return w.commitEach(ctx, batch)
			}
			w.actor.sendEvent(ctx, scheduler.WriteCompleted{ID: batch[0].ID})
			return true
		}
		w.logRetry(err, txn)
		if !backoff.Wait(ctx) {
			return false
		}
	}
}

// buildTransaction joins the writes of a batch into one transaction, with the condition on the leader
// key.
func (w *writer) buildTransaction(batch []scheduler.WriteRecords) protocol.Transaction {
	txn := protocol.Transaction{Conditions: []protocol.Condition{w.actor.leadership.FencingCondition()}}
	for _, write := range batch {
		txn.Conditions = append(txn.Conditions, write.Conditions...)
		txn.Operations = append(txn.Operations, write.Operations...)
	}
	return txn
}

// commitEach commits each write of a batch in a transaction of its own, in order. It returns false like
// commit.
func (w *writer) commitEach(ctx context.Context, batch []scheduler.WriteRecords) bool {
	for _, write := range batch {
		if !w.commit(ctx, []scheduler.WriteRecords{write}) {
			return false
		}
	}
	return true
}

// logRetry logs that a transaction will be retried. An exceeded rate limit is logged at a higher level,
// as the writer is expected to keep within the limit.
func (w *writer) logRetry(err error, txn protocol.Transaction) {
	if errors.Is(err, storage.ErrRateLimited) {
		w.actor.log.Info("transaction exceeded the rate limit; retrying",
			"err", err, "operations", len(txn.Operations), "first_key", firstKey(txn))
		return
	}
	w.actor.log.Debug("transaction not confirmed; retrying", "err", err, "first_key", firstKey(txn))
}

// firstKey returns the key of a transaction's first operation, which identifies it in the log.
func firstKey(txn protocol.Transaction) string {
	if len(txn.Operations) == 0 {
		return ""
	}
	return operationKey(txn.Operations[0])
}

// operationKey returns the key that an operation puts or deletes.
func operationKey(op protocol.Operation) string {
	if op.Put != "" {
		return op.Put
	}
	return op.Delete
}

// readOutcome determines the outcome of a write whose conditions failed, by reading its records. The
// write counts as completed if all its operations are applied already and the leader key has been
// unchanged until then: otherwise a successor may have written equal records. The error is errTermOver
// if another controller has replaced the leader.
func (w *writer) readOutcome(ctx context.Context, write scheduler.WriteRecords) (scheduler.WriteCompleted, error) {
	var revision uint64
	for _, op := range write.Operations {
		stored, err := w.actor.dispatcher.store.Get(ctx, operationKey(op))
		if err != nil {
			return scheduler.WriteCompleted{}, err
		}
		if !isApplied(op, stored) {
			return scheduler.WriteCompleted{ID: write.ID}, nil
		}
		revision = max(revision, stored.Version)
	}
	leader, err := w.actor.dispatcher.store.Get(ctx, storage.KeyLeader)
	if err != nil {
		return scheduler.WriteCompleted{}, err
	}
	if leader.Version != w.actor.leadership.KeyVersion {
		return scheduler.WriteCompleted{}, errTermOver
	}
	return scheduler.WriteCompleted{ID: write.ID, Committed: true, Version: revision}, nil
}

// isApplied reports whether a stored record is the result of an operation.
func isApplied(op protocol.Operation, stored protocol.KeyValue) bool {
	if op.Delete != "" {
		return stored.Version == 0
	}
	return stored.Version != 0 && equalRecords(stored.Value, op.Value)
}
