package gateway

import (
	"context"

	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
)

// refreshMachineTypes reads the machine types from the state service again and again, until the
// context ends.
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
		if !storage.Sleep(ctx, limits.MachineTypesInterval) {
			return
		}
	}
}
