package scheduler

import (
	"math"
	"slices"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// usable tells whether a machine may get tasks at all.
func (s *Scheduler) usable(m *machine) bool {
	return m.verified && m.machineType != nil && m.rental != "" && !m.notice && !m.deleting && !m.sick() &&
		m.session > m.endedSession && s.now <= m.heard+s.stale()
}

// allowed are the filters that no stopping of tasks can change.
func (s *Scheduler) allowed(j *job, m *machine) bool {
	return s.allows(j, m.kind, m.zone, m.spot) && m.size().holds(j.need) && !j.avoids(m)
}

// avoids tells whether a job goes elsewhere because the machine has failed it. Once it fails everywhere, any machine will do.
func (j *job) avoids(m *machine) bool {
	return j.failOn[m.name] && len(j.failOn) < limits.JobFaultMachines
}

func (s *Scheduler) allows(j *job, kind, yard string, spot bool) bool {
	if spot && !j.spec.Spot {
		return false
	}
	if j.spec.Zone != "" && j.spec.Zone != yard {
		return false
	}
	if !kindAllowed(&j.spec, kind) {
		return false
	}
	if j.spec.SameZone || j.spec.SpreadZones {
		here, total := 0, 0
		for _, b := range j.bound {
			total++
			if b.machine.zone == yard {
				here++
			}
		}
		if j.spec.SameZone && here < total {
			return false
		}
		if j.spec.SpreadZones && here >= (j.spec.Tasks+1)/2 {
			return false
		}
	}
	return true
}

// candidates are the machines to look at: a request that may stop nothing needs free room.
func (p *pass) candidates(pressing bool) []*machine {
	if pressing {
		return p.machines
	}
	return p.roomy
}

// candidates are the machines that pass the filters for a task of the job, with their scores.
func (s *Scheduler) candidates(j *job, pressing bool) *shelves {
	p := &s.pass
	p.shelves.clear()
	for _, m := range p.candidates(pressing) {
		if c, ok := s.candidate(j, m, pressing, nil); ok {
			p.shelves.add(c)
		}
	}
	return &p.shelves
}

// candidate filters and scores one machine, as it would stand with the seats that the gang at hand has there already; nil if there
// are none.
func (s *Scheduler) candidate(j *job, m *machine, pressing bool, planned *outlook) (c candidate, ok bool) {
	free, tasks := planned.freeRoom(m), len(m.bindings)+len(m.exits)
	if planned != nil {
		tasks += planned.tasks
	}
	over := !free.holds(j.need)
	if m.gangRoom && !j.usesGangRoom {
		return c, false
	}
	if over && !pressing || (m.heldFor != nil && m.heldFor != j) || !s.allowed(j, m) || tasks >= limits.MaxTasks {
		return c, false
	}
	c.m = m
	if over {
		// The normal view: the machine without what this request may stop.
		view := free
		for _, b := range m.bindings {
			if !planned.stops(b) && s.mayStop(j, b) {
				view = view.plus(b.job.need)
			}
		}
		if !view.holds(j.need) {
			return c, false
		}
		c.scores[weighOvercommit] = -1
		for _, v := range s.stoppable(j, m, planned) {
			c.scores[weighCost] -= v.loss
		}
	}
	if _, ok := m.images[j.spec.Image]; !ok {
		c.scores[weighImage] = -j.spec.ImageGB / max(m.machineType.FetchGBPerS, limits.SlowestPull)
	}
	left := free.minus(j.need)
	c.scores[weighPack] = -left.cpu
	c.scores[weighPrice] = -m.perCPU()
	if j.gang != nil && m.gangRoom {
		c.scores[weighKept] = 1
	}
	if m.speedCount >= 3 {
		c.scores[weighSpeed] = -math.Round(m.speedSum/float64(m.speedCount)/limits.SpeedStep) * limits.SpeedStep
	} else {
		c.scores[weighSpeed] = -1
	}
	return c, true
}

// kindAllowed tells whether a job may use machines of a type.
func kindAllowed(spec *protocol.Spec, kind string) bool {
	return len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, kind)
}

// kindFits tells whether some allowed type can hold a task of the job.
func kindFits(spec *protocol.Spec, types []protocol.MachineType) bool {
	need := room{spec.CPUs, spec.Accelerators, spec.MemoryGB}
	for i := range types {
		t := &types[i]
		ok := kindAllowed(spec, t.Name)
		if spec.Zone != "" {
			in := false
			for _, y := range t.Zones {
				in = in || y == spec.Zone
			}
			ok = ok && in
		}
		if ok && sizeOf(t).holds(need) {
			return true
		}
	}
	return false
}

// Runnable tells whether a job could ever run: a task fits some allowed type, and its team's limit; of a gang, all tasks together.
func Runnable(spec *protocol.Spec, types []protocol.MachineType, cpusMax, gpusMax float64) bool {
	atOnce := 1.0
	if spec.Gang() {
		atOnce = float64(spec.Tasks)
	}
	return kindFits(spec, types) && atOnce*spec.CPUs <= cpusMax+limits.Epsilon && atOnce*spec.Accelerators <= gpusMax+limits.Epsilon
}
