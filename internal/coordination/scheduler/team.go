package scheduler

import (
	"quillshunt/internal/config"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
)

// team is a team of the settings: its guarantee, its limit, and what counts against them.
type team struct {
	cfg              config.Team
	allocated        resource.Vector // to tasks on machines
	unfinishedDemand resource.Vector // by its unfinished jobs; see jobTable.updateGuarantees
}

// fits reports whether the team's limit lets it use that much more.
func (t *team) withinLimit(demand resource.Vector) bool {
	const eps = limits.Epsilon
	return t.allocated.CPUs+demand.CPUs <= t.cfg.CPUsMax+eps &&
		t.allocated.Accelerators+demand.Accelerators <= t.cfg.GPUsMax+eps
}

// guarantees reports whether the team's guarantee covers that much.
func (t *team) guaranteeCovers(demand resource.Vector) bool {
	const eps = limits.Epsilon
	return demand.CPUs <= t.cfg.CPUs+eps && demand.Accelerators <= t.cfg.GPUs+eps
}

// usesBorrowed reports whether the team uses more than its guarantee.
func (t *team) isBorrowing() bool { return !t.guaranteeCovers(t.allocated) }
