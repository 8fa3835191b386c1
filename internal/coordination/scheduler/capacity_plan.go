package scheduler

import (
	"math"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// pendingCapacity are the machines of rentals that are under way.
func (s *Scheduler) pendingCapacity() []*capacity {
	var out []*capacity
	for _, h := range s.rentals.all() {
		t := s.catalog.find(h.record.MachineType)
		if t == nil || !h.isPending() {
			continue
		}
		for range h.record.Count {
			out = append(out, &capacity{pool: machinePool{h.record.MachineType, h.record.Zone, h.record.Spot}, machineType: t, readyInS: t.BootS * limits.BootEstimateFactor})
		}
	}
	return out
}

// maxPlannedWait is how long a job's tasks are planned to wait for room: a share of what it can wait.
func (s *Scheduler) maxPlannedWait(j *job) float64 {
	wait := time.Duration(s.cfg.Options.Fleet.MaxPlannedWait).Seconds()
	if slack, late := s.queue.slack(j); !late && slack != never {
		wait = min(wait, max(slack.Seconds(), 0)*s.cfg.Options.Fleet.PlannedWaitSlackRatio)
	}
	return wait
}

func (s *Scheduler) capacityAllowed(j *job, o *capacity) bool {
	if o.machine != nil && (j.avoids(o.machine) || (o.machine.reservedForGangs && !j.mayUseGangReservation)) {
		return false
	}
	return typeResources(o.machineType).Fits(j.demand) && j.mayUsePool(o.pool)
}

// planJob promises a job's waiting tasks to offers that can start them in time, and adds machines
// to rent for what is left. It returns how many tasks found neither.
func (s *Scheduler) planJob(j *job, fresh map[machinePool]float64, may func(machinePool) int, all *[]*capacity) (left int) {
	est, n := j.occupancy(), j.waitingTasks()
	// What the team's limit keeps out needs no machine now.
	if j.demand.CPUs > 0 {
		n = min(n, int((j.team.cfg.CPUsMax-j.team.allocated.CPUs)/j.demand.CPUs+limits.Epsilon))
	}
	if n <= 0 || n < j.gangTasksToPlace() {
		return 0
	}
	zones := j.newZonePlan()
	open := func(p machinePool) bool { return fresh[p] < float64(may(p)) && zones.remaining(p.zone) > 0 }
	// What starts before a new machine can be up needs none. What has waited as long already can't
	// wait as long again, or a queue that is always as long would never be worked off.
	within := max(max(s.maxPlannedWait(j), s.catalog.quickestBoot(j))-(s.now-j.submittedAt).Seconds(), 0)
	if j.gang != nil && j.spec.SameZone && !s.chooseGangZone(j, zones, n, within, open, *all) {
		return n
	}
	var p machinePool
	var t *protocol.MachineType
	carry := 0.0
	for _, o := range *all {
		if n == 0 {
			return 0
		}
		if !s.capacityAllowed(j, o) || zones.remaining(o.pool.zone) == 0 {
			continue
		}
		got := zones.addTasks(o.pool.zone, o.takeTasks(j, min(n, zones.remaining(o.pool.zone)), est, within, &carry))
		if got > 0 && j.gang != nil {
			if o.machine != nil {
				o.machine.neededByGang = true
			} else {
				roundUpMachines(fresh, o.pool)
			}
		}
		n -= got
	}
	for n > 0 {
		if t == nil || !open(p) {
			if p, t = s.cheapestPool(j, open); t == nil {
				return n
			}
		}
		o := &capacity{pool: p, machineType: t, readyInS: t.BootS * limits.BootEstimateFactor}
		got := zones.addTasks(p.zone, o.takeTasks(j, min(n, zones.remaining(p.zone)), est, 0, new(float64)))
		if got == 0 {
			return n
		}
		s.planner.machinesInZone[p.zone]++
		whole := typeResources(t).TasksThatFit(j.demand)
		fresh[p] += float64(got) / float64(whole)
		if j.gang != nil || s.now > max(j.submittedAt, j.lastAssignedAt)+limits.FractionalRentalDelay {
			roundUpMachines(fresh, p)
		}
		if got < whole {
			// The rest of this machine stays open for the jobs behind.
			*all = append(*all, o)
		}
		n -= got
		if fresh[p] > float64(s.maxMachines()) {
			return n
		}
	}
	return 0
}

// roundUpMachines rounds up how many machines of a pool are to be rented: a gang needs all of its
// machines, and who has waited for long for a part of one would else wait as long as other machines
// run.
func roundUpMachines(fresh map[machinePool]float64, p machinePool) {
	fresh[p] = math.Ceil(fresh[p] - limits.Epsilon)
}
