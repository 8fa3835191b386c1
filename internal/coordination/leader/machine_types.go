package leader

import (
	"context"
	"errors"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// refreshMachineTypes reads the machine types, and keeps them in the state service for all nodes.
func (t *term) refreshMachineTypes(ctx context.Context) {
	list, err := t.dispatcher.cloud.MachineTypes(ctx)
	if err != nil {
		t.log.Info("no machine types", "err", err)
		t.send(ctx, scheduler.MachineTypesFetched{})
		return
	}
	t.send(ctx, scheduler.MachineTypesFetched{Types: list, OK: true})
	var back storage.Backoff
	for {
		err := t.writeMachineTypes(ctx, list)
		if err == nil {
			return
		}
		t.log.Debug("keep machine types", "err", err)
		if !back.Wait(ctx) {
			return
		}
	}
}

func (t *term) writeMachineTypes(ctx context.Context, list []protocol.MachineType) error {
	stored, err := t.dispatcher.store.ReadMachineTypes(ctx)
	if err != nil && !errors.Is(err, storage.ErrNoMachineTypes) {
		return err
	}
	if err == nil && equalExceptPrices(stored.Types, list) {
		return nil
	}
	for _, txn := range t.dispatcher.store.MachineTypesTransactions(stored, list, t.leadership.Guard()) {
		_, err = t.dispatcher.store.CompareAndSwap(ctx, txn)
		var conflict *storage.ConflictError
		if errors.As(err, &conflict) && conflict.Has(storage.KeyLeader) {
			t.dispatcher.termLost(t.leadership.Term)
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// equalExceptPrices compares types but for their prices, which move all the time.
func equalExceptPrices(a, b []protocol.MachineType) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		if x.Name != y.Name || x.CPUs != y.CPUs || x.Accelerators != y.Accelerators || x.MemoryGB != y.MemoryGB || len(x.Zones) != len(y.Zones) {
			return false
		}
		for k := range x.Zones {
			if x.Zones[k] != y.Zones[k] {
				return false
			}
		}
	}
	return true
}
