package scheduler

import (
	"sort"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// typeCatalog holds the machine types that the cloud offers.
type typeCatalog struct {
	*environment
	byName      map[string]*protocol.MachineType
	names       []string // sorted
	nextFetchAt time.Duration
}

// newTypeCatalog returns a catalog without types.
func newTypeCatalog(env *environment) *typeCatalog {
	return &typeCatalog{environment: env, byName: map[string]*protocol.MachineType{}}
}

func (s *Scheduler) machineTypesFetched(e MachineTypesFetched) {
	if !e.OK {
		s.catalog.nextFetchAt = s.now + limits.CloudRetryInterval
		return
	}
	s.catalog.nextFetchAt = s.now + limits.MachineTypesInterval
	clear(s.catalog.byName)
	s.catalog.names = s.catalog.names[:0]
	for i := range e.Types {
		t := e.Types[i]
		s.catalog.byName[t.Name] = &t
		s.catalog.names = append(s.catalog.names, t.Name)
	}
	sort.Strings(s.catalog.names)
	for _, m := range s.inventory.sorted {
		m.machineType = s.catalog.byName[m.typeName]
	}
	s.placement.needed = true
}
