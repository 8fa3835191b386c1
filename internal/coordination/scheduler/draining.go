package scheduler

import (
	"sort"

	"quillshunt/internal/limits"
)

// updateDraining picks machines that are not needed to empty and be returned, the dearest and
// emptiest first: spread thin, the work would keep all of them. It is decided anew with every plan,
// so a burst brings them back at once.
func (s *Scheduler) updateDraining() {
	var total, used, waiting float64
	var ms []*machine
	for _, m := range s.inventory.all() {
		m.draining = false
		if !s.isSchedulable(m) || m.neededByGang || m.reservedForGangs { // what a gang waits for can't be made up for by room elsewhere
			continue
		}
		total += m.size().CPUs
		used += m.allocated.CPUs
		ms = append(ms, m)
	}
	for _, j := range s.jobs.oldestFirst() {
		if !j.cancelled {
			waiting += float64(j.waitingTasks()) * j.demand.CPUs
		}
	}
	surplus := total - (used+waiting)*(1+s.cfg.Options.Fleet.Headroom)
	sort.SliceStable(ms, func(a, b int) bool {
		x, y := ms[a], ms[b]
		if px, py := x.pricePerCPU(), y.pricePerCPU(); px != py {
			return px > py
		}
		return x.allocated.CPUs/max(x.size().CPUs, 1) < y.allocated.CPUs/max(y.size().CPUs, 1)
	})
	for _, m := range ms {
		if free := m.freeResources().CPUs; free > 0 && m.size().CPUs <= surplus && s.now > m.createdAt+limits.DrainAge {
			m.draining = true
			surplus -= m.size().CPUs
		}
	}
}
