package gateway

import (
	"context"

	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
)

// refreshMachineTypes reads the machine types from the state service periodically, until the context
// ends. After an error it retries with exponential backoff.
func (g *Gateway) refreshMachineTypes(ctx context.Context) {
	var backoff storage.Backoff
	for {
		stored, err := g.store.ReadMachineTypes(ctx)
		if err != nil {
			if !backoff.Wait(ctx) {
				return
			}
			continue
		}
		g.machineTypes.Store(&stored.Types)
		backoff.Reset()
		if !storage.SleepContext(ctx, limits.MachineTypesInterval) {
			return
		}
	}
}
