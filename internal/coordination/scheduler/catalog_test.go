package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestCatalogFetches: types are fetched at once, again after MachineTypesInterval, and sooner after a
// failure, which leaves the old ones in place.
func TestCatalogFetches(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcome  MachineTypesFetched
		interval time.Duration // until the next fetch
		types    int
	}{
		{"new types", MachineTypesFetched{OK: true, Types: []protocol.MachineType{{Name: "b"}, {Name: "c"}}},
			limits.MachineTypesInterval, 2},
		{"failure", MachineTypesFetched{}, limits.CloudRetryInterval, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnvironment()
			catalog := newTypeCatalog(env)
			fetches := func(at time.Duration) bool {
				env.now, env.effects = at, nil
				catalog.fetchIfDue()
				return len(effectsOf[FetchMachineTypes](env.effects)) > 0
			}
			if !catalog.isEmpty() || !fetches(0) || fetches(time.Millisecond) {
				t.Error("not fetched once at the beginning")
			}
			catalog.fetched(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{Name: "a"}}})
			if changed := catalog.fetched(c.outcome); changed != c.outcome.OK {
				t.Errorf("new types: %v", changed)
			}
			if len(catalog.all()) != c.types || catalog.isEmpty() {
				t.Errorf("%d types", len(catalog.all()))
			}
			if fetches(env.now+c.interval-1) || !fetches(env.now+1) {
				t.Errorf("not fetched after %v", c.interval)
			}
		})
	}
}
