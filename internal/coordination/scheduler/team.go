package scheduler

import (
	"quillshunt/internal/config"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
)

// team is a team with its guarantee and limit from the settings, and the resources that count against
// them.
type team struct {
	cfg              config.Team
	allocated        resource.Vector // allocated to its tasks on machines
	unfinishedDemand resource.Vector // needed by all unfinished tasks of its jobs; see jobTable.updateGuarantees
}

// isWithinLimit reports whether the team stays within its limit if it uses the given resources in addition.
func (t *team) isWithinLimit(demand resource.Vector) bool {
	const eps = limits.Epsilon
	return t.allocated.CPUs+demand.CPUs <= t.cfg.MaxCPUs+eps &&
		t.allocated.Accelerators+demand.Accelerators <= t.cfg.MaxGPUs+eps
}

// guaranteeCovers reports whether the team's guarantee is at least as large as the given resources.
func (t *team) guaranteeCovers(demand resource.Vector) bool {
	const eps = limits.Epsilon
	return demand.CPUs <= t.cfg.GuaranteedCPUs+eps && demand.Accelerators <= t.cfg.GuaranteedGPUs+eps
}

// isBorrowing reports whether the team uses more resources than it is guaranteed.
func (t *team) isBorrowing() bool { return !t.guaranteeCovers(t.allocated) }
