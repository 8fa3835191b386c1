package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestCatalogFetches checks that machine types are fetched at once in a new term, again after
// MachineTypesInterval, and after CloudRetryInterval if a fetch failed, which keeps the old types.
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
				t.Error("types are not fetched exactly once at the start of the term")
			}
			catalog.applyFetchedTypes(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{Name: "a"}}})
			if changed := catalog.applyFetchedTypes(c.outcome); changed != c.outcome.OK {
				t.Errorf("fetched = %v, want %v", changed, c.outcome.OK)
			}
			if len(catalog.all()) != c.types || catalog.isEmpty() {
				t.Errorf("catalog has %d types, want %d", len(catalog.all()), c.types)
			}
			if fetches(env.now+c.interval-1) || !fetches(env.now+1) {
				t.Errorf("next fetch is not exactly %v after the last outcome", c.interval)
			}
		})
	}
}
