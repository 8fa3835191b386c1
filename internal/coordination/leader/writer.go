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

// writer carries out the term's writes, several in one transaction, each under the leader's guard. A write without
// a clear outcome is repeated as it was until there is one.
type writer struct{ t *term }

func (w *writer) run(ctx context.Context) {
	var held *scheduler.WriteOut
	for {
		var batch []scheduler.WriteOut
		ops, guards := 0, 1
		if held != nil {
			batch, ops, guards, held = append(batch, *held), len(held.Ops), 1+len(held.Conditions), nil
		} else {
			select {
			case <-ctx.Done():
				return
			case o := <-w.t.writes:
				batch, ops, guards = append(batch, o), len(o.Ops), 1+len(o.Conditions)
			}
		}
		most := w.t.runner.store.Settings().TxnOps
	fill:
		for ops < most {
			select {
			case o := <-w.t.writes:
				if ops+len(o.Ops) > most || guards+len(o.Conditions) > most*limits.GuardsPerOp {
					held = &o
					break fill
				}
				batch, ops, guards = append(batch, o), ops+len(o.Ops), guards+len(o.Conditions)
			default:
				break fill
			}
		}
		if !w.carryOut(ctx, batch) {
			return
		}
	}
}

// carryOut writes a batch; it returns false when the term is over.
func (w *writer) carryOut(ctx context.Context, batch []scheduler.WriteOut) bool {
	var back storage.Backoff
	txn := protocol.Txn{Conditions: []protocol.Condition{w.t.leadership.Guard()}}
	for _, o := range batch {
		txn.Conditions = append(txn.Conditions, o.Conditions...)
		txn.Ops = append(txn.Ops, o.Ops...)
	}
	for {
		rev, err := w.t.runner.store.Txn(ctx, txn)
		var conflict *storage.Conflict
		switch {
		case err == nil:
			for _, o := range batch {
				w.t.post(ctx, scheduler.WriteDone{ID: o.ID, OK: true, Version: rev})
			}
			return true
		case errors.As(err, &conflict):
			if conflict.Has(storage.KeyLeader) {
				w.t.runner.lost(w.t.leadership.Term)
				return false
			}
			if len(batch) > 1 {
				for _, o := range batch {
					if !w.carryOut(ctx, []scheduler.WriteOut{o}) {
						return false
					}
				}
				return true
			}
			// Perhaps an earlier try of this same write, whose answer was lost, was carried out.
			ok, rev, verr := w.holds(ctx, batch[0])
			if verr == nil {
				w.t.post(ctx, scheduler.WriteDone{ID: batch[0].ID, OK: ok, Version: rev})
				return true
			}
			err = verr
		case errors.Is(err, storage.ErrBadRequest):
			w.t.log.Error("write rejected", "err", err, "ops", len(txn.Ops), "key", firstKey(txn))
			if len(batch) == 1 {
				w.t.post(ctx, scheduler.WriteDone{ID: batch[0].ID})
				return true
			}
			for _, o := range batch {
				if !w.carryOut(ctx, []scheduler.WriteOut{o}) {
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

// logRetry notes that a transaction is tried again. That the rate is used up is worth knowing, as ours should keep to it.
func (w *writer) logRetry(err error, txn protocol.Txn) {
	if errors.Is(err, storage.ErrRate) {
		w.t.log.Info("write over the rate", "err", err, "ops", len(txn.Ops), "key", firstKey(txn))
		return
	}
	w.t.log.Debug("write", "err", err, "key", firstKey(txn))
}

// firstKey names a transaction in the log.
func firstKey(txn protocol.Txn) string {
	if len(txn.Ops) == 0 {
		return ""
	}
	return txn.Ops[0].Put + txn.Ops[0].Delete
}

// holds tells whether the state service already shows what a write was to bring about.
func (w *writer) holds(ctx context.Context, o scheduler.WriteOut) (bool, uint64, error) {
	var rev uint64
	for _, op := range o.Ops {
		key := op.Put
		if key == "" {
			key = op.Delete
		}
		p, err := w.t.runner.store.Get(ctx, key)
		if err != nil {
			return false, 0, err
		}
		if op.Delete != "" {
			if p.Version != 0 {
				return false, 0, nil
			}
			continue
		}
		if p.Version == 0 || !same(p.Value, op.Value) {
			return false, 0, nil
		}
		rev = max(rev, p.Version)
	}
	return true, rev, nil
}

// same compares two values by meaning, as the service may write numbers in another form.
func same(a, b protocol.Raw) bool {
	var x, y any
	if protocol.Decode(a, &x) != nil || protocol.Decode(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(plain(x), plain(y))
}

func plain(v any) any {
	switch v := v.(type) {
	case uint64:
		return float64(v)
	case int64:
		return float64(v)
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = plain(v[i])
		}
		return out
	case map[any]any:
		out := make(map[any]any, len(v))
		for k, e := range v {
			out[k] = plain(e)
		}
		return out
	}
	return v
}
