package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// typeCatalog holds the machine types that the cloud offers, and refreshes them at regular intervals.
type typeCatalog struct {
	*environment
	byName      map[string]*protocol.MachineType
	sorted      []*protocol.MachineType // by name
	nextFetchAt time.Duration
}

// newTypeCatalog returns an empty catalog.
func newTypeCatalog(env *environment) *typeCatalog {
	return &typeCatalog{environment: env, byName: map[string]*protocol.MachineType{}}
}

// find returns the type with the given name, or nil if the cloud does not offer it.
func (c *typeCatalog) find(name string) *protocol.MachineType { return c.byName[name] }

// all returns the types, sorted by name. Callers must not change the slice.
func (c *typeCatalog) all() []*protocol.MachineType { return c.sorted }

// isEmpty reports whether no types have been fetched yet.
func (c *typeCatalog) isEmpty() bool { return len(c.byName) == 0 }

// minBootS returns the shortest estimated boot time, in seconds, of the machine types on which the job's
// tasks fit and may run. It is infinite if there are none.
func (c *typeCatalog) minBootS(j *job) float64 {
	least := math.Inf(1)
	for _, t := range c.sorted {
		if typeResources(t).Covers(j.demand) && isTypeAllowed(&j.spec, t.Name) {
			least = min(least, estimatedBootS(t))
		}
	}
	return least
}

// requestFetch makes the next call of fetchIfDue fetch the types.
func (c *typeCatalog) requestFetch() { c.nextFetchAt = 0 }

// fetchIfDue fetches the types if a fetch is due. Unless applyFetchedTypes reschedules it, the next one is due after
// CloudTimeout.
func (c *typeCatalog) fetchIfDue() {
	if c.now < c.nextFetchAt {
		return
	}
	c.nextFetchAt = c.now + limits.CloudTimeout
	c.emit(FetchMachineTypes{})
}

// applyFetchedTypes replaces the types with the fetched ones and reports true. After a failed fetch it keeps the old
// types, schedules a retry after CloudRetryInterval and reports false.
func (c *typeCatalog) applyFetchedTypes(e MachineTypesFetched) bool {
	if !e.OK {
		c.nextFetchAt = c.now + limits.CloudRetryInterval
		return false
	}
	c.nextFetchAt = c.now + limits.MachineTypesInterval
	clear(c.byName)
	for i := range e.Types {
		t := e.Types[i]
		c.byName[t.Name] = &t
	}
	c.sorted = c.sorted[:0]
	for _, name := range slices.Sorted(maps.Keys(c.byName)) {
		c.sorted = append(c.sorted, c.byName[name])
	}
	return true
}

// handleMachineTypesFetched handles the outcome of FetchMachineTypes.
func (s *Scheduler) handleMachineTypesFetched(e MachineTypesFetched) {
	if !s.catalog.applyFetchedTypes(e) {
		return
	}
	s.inventory.updateTypes()
	s.placement.requestPass()
}
