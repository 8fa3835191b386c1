package leader

import (
	"context"
	"errors"
	"reflect"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// writer carries out the term's writes, several in one transaction, each under the leader's guard.
// A write without a clear outcome is repeated as it was until there is one.
type writer struct{ term *term }

func (w *writer) run(ctx context.Context) {
	var held *scheduler.WriteRecords
	for {
		var batch []scheduler.WriteRecords
		ops, guards := 0, 1
		if held != nil {
			batch, ops, guards, held = append(batch, *held), len(held.Operations), 1+len(held.Conditions), nil
		} else {
			select {
			case <-ctx.Done():
				return
			case o := <-w.term.writes:
				batch, ops, guards = append(batch, o), len(o.Operations), 1+len(o.Conditions)
			}
		}
		most := w.term.dispatcher.store.Settings().TxnOps
	fill:
		for ops < most {
			select {
			case o := <-w.term.writes:
				if ops+len(o.Operations) > most || guards+len(o.Conditions) > most*limits.ConditionsPerOperation {
					held = &o
					break fill
				}
				batch, ops, guards = append(batch, o), ops+len(o.Operations), guards+len(o.Conditions)
			default:
				break fill
			}
		}
		if !w.execute(ctx, batch) {
			return
		}
	}
}

// execute writes a batch; it returns false when the term is over.
func (w *writer) execute(ctx context.Context, batch []scheduler.WriteRecords) bool {
	var back storage.Backoff
	txn := protocol.Transaction{Conditions: []protocol.Condition{w.term.leadership.Guard()}}
	for _, o := range batch {
		txn.Conditions = append(txn.Conditions, o.Conditions...)
		txn.Operations = append(txn.Operations, o.Operations...)
	}
	for {
		rev, err := w.term.dispatcher.store.CompareAndSwap(ctx, txn)
		var conflict *storage.ConflictError
		switch {
		case err == nil:
			for _, o := range batch {
				w.term.send(ctx, scheduler.WriteCompleted{ID: o.ID, OK: true, Version: rev})
			}
			return true
		case errors.As(err, &conflict):
			if conflict.Has(storage.KeyLeader) {
				w.term.dispatcher.termLost(w.term.leadership.Term)
				return false
			}
			if len(batch) > 1 {
				for _, o := range batch {
					if !w.execute(ctx, []scheduler.WriteRecords{o}) {
						return false
					}
				}
				return true
			}
			// Perhaps an earlier try of this same write, whose answer was lost, was carried out.
			ok, rev, verr := w.alreadyApplied(ctx, batch[0])
			if verr == nil {
				w.term.send(ctx, scheduler.WriteCompleted{ID: batch[0].ID, OK: ok, Version: rev})
				return true
			}
			err = verr
		case errors.Is(err, storage.ErrBadRequest):
			w.term.log.Error("write rejected", "err", err, "ops", len(txn.Operations), "key", firstKey(txn))
			if len(batch) == 1 {
				w.term.send(ctx, scheduler.WriteCompleted{ID: batch[0].ID})
				return true
			}
			for _, o := range batch {
				if !w.execute(ctx, []scheduler.WriteRecords{o}) {
					return false
				}
			}
			return true
		}
		w.logRetry(err, txn)
		if !back.Wait(ctx) {
			return false
		}
	}
}

// logRetry notes that a transaction is tried again. That the rate is used up is worth knowing, as
// ours should keep to it.
func (w *writer) logRetry(err error, txn protocol.Transaction) {
	if errors.Is(err, storage.ErrRateLimited) {
		w.term.log.Info("write over the rate", "err", err, "ops", len(txn.Operations), "key", firstKey(txn))
		return
	}
	w.term.log.Debug("write", "err", err, "key", firstKey(txn))
}

// firstKey names a transaction in the log.
func firstKey(txn protocol.Transaction) string {
	if len(txn.Operations) == 0 {
		return ""
	}
	return txn.Operations[0].Put + txn.Operations[0].Delete
}

// alreadyApplied tells whether the state service already shows what a write was to bring about.
func (w *writer) alreadyApplied(ctx context.Context, o scheduler.WriteRecords) (bool, uint64, error) {
	var rev uint64
	for _, op := range o.Operations {
		key := op.Put
		if key == "" {
			key = op.Delete
		}
		p, err := w.term.dispatcher.store.Get(ctx, key)
		if err != nil {
			return false, 0, err
		}
		if op.Delete != "" {
			if p.Version != 0 {
				return false, 0, nil
			}
			continue
		}
		if p.Version == 0 || !sameRecord(p.Value, op.Value) {
			return false, 0, nil
		}
		rev = max(rev, p.Version)
	}
	return true, rev, nil
}

// sameRecord compares two values by meaning, as the service may write numbers in another form.
func sameRecord(a, b protocol.Raw) bool {
	var x, y any
	if protocol.Decode(a, &x) != nil || protocol.Decode(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(normalizeNumbers(x), normalizeNumbers(y))
}

func normalizeNumbers(v any) any {
	switch v := v.(type) {
	case uint64:
		return float64(v)
	case int64:
		return float64(v)
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = normalizeNumbers(v[i])
		}
		return out
	case map[any]any:
		out := make(map[any]any, len(v))
		for k, e := range v {
			out[k] = normalizeNumbers(e)
		}
		return out
	}
	return v
}
