package scheduler

import (
	"sort"

	"quillshunt/internal/limits"
)

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
