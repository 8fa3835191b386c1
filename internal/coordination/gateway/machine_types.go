package gateway

import (
	"context"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
)

// followMachineTypes keeps the machine types up to date.
func (g *Gateway) followMachineTypes(ctx context.Context) {
	var back storage.Backoff
	for {
		stored, err := g.Store.ReadMachineTypes(ctx)
		if err == nil {
			g.machineTypes.Store(&stored.Types)
			back.Reset()
			select {
			case <-ctx.Done():
				return
			case <-time.After(limits.MachineTypesInterval):
			}
			continue
		}
		if !back.Wait(ctx) {
			return
		}
	}
}
