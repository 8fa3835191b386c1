package leader

import (
	"context"
	"errors"
	"slices"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// refreshMachineTypes reads the machine types from the cloud and stores them in the state service,
// from where all controllers read them.
func (t *term) refreshMachineTypes(ctx context.Context) {
	types, err := t.dispatcher.cloud.MachineTypes(ctx)
	if err != nil {
		t.log.Info("no machine types", "err", err)
		t.sendEvent(ctx, scheduler.MachineTypesFetched{})
		return
	}
	t.sendEvent(ctx, scheduler.MachineTypesFetched{Types: types, OK: true})
	var backoff storage.Backoff
	for {
		err := t.writeMachineTypes(ctx, types)
		if err == nil {
			return
		}
		t.log.Debug("machine types not stored", "err", err)
		if !backoff.Wait(ctx) {
			return
		}
	}
}

// writeMachineTypes stores the machine types unless only their prices have changed. If the term is
// over it reports that and gives up without an error.
func (t *term) writeMachineTypes(ctx context.Context, types []protocol.MachineType) error {
	store := t.dispatcher.store
	stored, err := store.ReadMachineTypes(ctx)
	if err != nil && !errors.Is(err, storage.ErrNoMachineTypes) {
		return err
	}
	if err == nil && slices.EqualFunc(stored.Types, types, equalExceptPrices) {
		return nil
	}
	for _, txn := range store.MachineTypesTransactions(stored, types, t.leadership.FencingCondition()) {
		_, err := store.CompareAndSwap(ctx, txn)
		var conflict *storage.ConflictError
		if errors.As(err, &conflict) && conflict.Has(storage.KeyLeader) {
			t.reportLost()
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// equalExceptPrices reports whether two machine types differ at most in their prices, which change
// all the time.
func equalExceptPrices(a, b protocol.MachineType) bool {
	return a.Name == b.Name && a.CPUs == b.CPUs && a.Accelerators == b.Accelerators &&
		a.MemoryGB == b.MemoryGB && slices.Equal(a.Zones, b.Zones)
}
