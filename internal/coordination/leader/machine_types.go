package leader

import (
	"context"
	"errors"
	"slices"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// refreshMachineTypes reads the machine types from the cloud, sends them to the scheduler and stores
// them in the state service, where all controllers read them. It retries only the write to the state
// service.
func (t *termActor) refreshMachineTypes(ctx context.Context) {
	types, err := t.dispatcher.cloud.ListMachineTypes(ctx)
	if err != nil {
		t.log.Info("failed to list machine types", "err", err)
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
		t.log.Debug("failed to store machine types; retrying", "err", err)
		if !backoff.Wait(ctx) {
			return
		}
	}
}

// writeMachineTypes stores the machine types if they differ from the stored ones in more than prices.
// If another controller has become the leader, it reports the term as lost, writes nothing more and
// returns nil.
func (t *termActor) writeMachineTypes(ctx context.Context, types []protocol.MachineType) error {
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
		if errors.As(err, &conflict) && conflict.HasFailedKey(storage.KeyLeader) {
			t.reportTermLost()
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// equalExceptPrices reports whether two machine types are equal apart from prices. Prices change too
// often to store each change.
func equalExceptPrices(a, b protocol.MachineType) bool {
	return a.Name == b.Name && a.CPUs == b.CPUs && a.Accelerators == b.Accelerators &&
		a.MemoryGB == b.MemoryGB && slices.Equal(a.Zones, b.Zones)
}
