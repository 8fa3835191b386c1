package scheduler

import (
	"quillshunt/internal/config"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
)

// team is a team of the settings: its guarantee, its limit, and what counts against them.
type team struct {
	cfg       config.Team
	allocated resource.Vector // to tasks on machines
	claimed   resource.Vector // by its unfinished jobs; see jobTable.updateGuarantees
}

// fits reports whether the team's limit lets it use that much more.
func (t *team) fits(demand resource.Vector) bool {
	const eps = limits.Epsilon
	return t.allocated.CPUs+demand.CPUs <= t.cfg.MaxCPUs+eps &&
		t.allocated.Accelerators+demand.Accelerators <= t.cfg.MaxGPUs+eps
}

// guarantees reports whether the team's guarantee covers that much.
func (t *team) guarantees(demand resource.Vector) bool {
	const eps = limits.Epsilon
	return demand.CPUs <= t.cfg.GuaranteedCPUs+eps && demand.Accelerators <= t.cfg.GuaranteedGPUs+eps
}

// usesBorrowed reports whether the team uses more than its guarantee.
func (t *team) usesBorrowed() bool { return !t.guarantees(t.allocated) }
