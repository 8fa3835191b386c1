package leader

import (
	"context"
	"errors"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// executeRental sends a rental request and retries it until its outcome is known or the context ends.
func (t *termActor) executeRental(ctx context.Context, request protocol.RentalRequest) {
	var backoff storage.Backoff
	for {
		if done, ok := t.tryRental(ctx, request); ok {
			t.sendEvent(ctx, done)
			return
		}
		if !backoff.Wait(ctx) {
			return
		}
	}
}

// tryRental sends a rental request once. It returns false if the request must be repeated: its outcome
// is unknown, or it was not sent because this leader is not entitled at the moment.
func (t *termActor) tryRental(ctx context.Context, request protocol.RentalRequest) (scheduler.RentalDone, bool) {
	machines, err := t.dispatcher.cloud.RentMachines(ctx, request, t.leadership.IsEntitled)
	switch {
	case errors.Is(err, errNotEntitled):
		return scheduler.RentalDone{}, false
	case err == nil:
		return scheduler.RentalDone{Name: request.Name, Machines: machines, OK: true}, true
	case errors.Is(err, errNoCapacity):
		return scheduler.RentalDone{Name: request.Name, NoCapacity: true}, true
	case errors.Is(err, errRentalRejected):
		t.log.Error("rental request rejected by the cloud", "request", request.Name, "err", err)
		return scheduler.RentalDone{Name: request.Name, NoCapacity: true}, true
	}
	t.log.Info("rental request failed; retrying", "request", request.Name, "err", err)
	return scheduler.RentalDone{}, false
}

// executeDeletion asks the cloud once to delete machines. The scheduler retries a failed deletion.
func (t *termActor) executeDeletion(ctx context.Context, machines []string) {
	err := t.dispatcher.cloud.DeleteMachines(ctx, machines, t.leadership.IsEntitled)
	if err != nil && !errors.Is(err, errNotEntitled) {
		t.log.Info("deletion of machines not confirmed by the cloud", "machines", len(machines), "err", err)
	}
	t.sendEvent(ctx, scheduler.DeletionDone{Machines: machines, Confirmed: err == nil})
}

// executeListMachines reads the list of rented machines from the cloud and sends it to the scheduler.
func (t *termActor) executeListMachines(ctx context.Context) {
	machines, err := t.dispatcher.cloud.ListMachines(ctx)
	if err != nil {
		t.log.Debug("failed to list machines", "err", err)
		t.sendEvent(ctx, scheduler.MachinesListed{})
		return
	}
	t.sendEvent(ctx, scheduler.MachinesListed{Machines: machines, OK: true})
}
