package scheduler

import (
	"quillshunt/internal/config"
	"quillshunt/internal/coordination/resource"
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
	return resource.Fits(demand.CPUs, t.cfg.MaxCPUs-t.allocated.CPUs) &&
		resource.Fits(demand.Accelerators, t.cfg.MaxGPUs-t.allocated.Accelerators)
}

// guaranteeCovers reports whether the team's guarantee is at least as large as the given resources.
func (t *team) guaranteeCovers(demand resource.Vector) bool {
	return resource.Fits(demand.CPUs, t.cfg.GuaranteedCPUs) &&
		resource.Fits(demand.Accelerators, t.cfg.GuaranteedGPUs)
}

// isBorrowing reports whether the team uses more resources than it is guaranteed.
func (t *team) isBorrowing() bool { return !t.guaranteeCovers(t.allocated) }
