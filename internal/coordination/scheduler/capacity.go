package scheduler

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// capacity is room in time that the plan may use: of a machine that is up, is booting, or would be
// rented.
type capacity struct {
	machine        *machine
	pool           machinePool
	machineType    *protocol.MachineType
	readyInS       float64 // seconds until it can start a task
	usedCPUs       float64 // CPUs in use or promised, also by tasks that start one after the other
	busyCPUSeconds float64 // CPU seconds that these still take
}

// cpusPerTask is what a task is counted with where a machine holds so many of them.
func (o *capacity) cpusPerTask(j *job, per int) float64 {
	if j.demand.CPUs > 0 {
		return j.demand.CPUs
	}
	return typeResources(o.machineType).CPUs / float64(per)
}

// startableTasks is how many tasks of a job the offer can start within a time, of the number that
// it holds; a fraction where tasks in use will be over by then.
func (o *capacity) startableTasks(j *job, per int, within float64) float64 {
	free := typeResources(o.machineType).CPUs - o.usedCPUs
	if w := within - o.readyInS; w > 0 && o.busyCPUSeconds > 0 {
		free += o.usedCPUs * min(1, w*o.usedCPUs/(2*o.busyCPUSeconds))
	}
	return min(max(free/o.cpusPerTask(j, per), 0), float64(per))
}

// takeTasks promises up to n tasks to the offer and returns how many it takes: those that can start
// within a time, or as soon as it is ready. Of what is in use, a part will be free by then, as
// tasks end one after the other. The fraction of a task that is left over is carried to the next
// offer.
func (o *capacity) takeTasks(j *job, n int, est, within float64, carry *float64) int {
	per := typeResources(o.machineType).TasksThatFit(j.demand)
	if per == 0 {
		return 0
	}
	cpu := o.cpusPerTask(j, per)
	want := o.startableTasks(j, per, within) + *carry
	k := min(n, int(want+limits.Epsilon), per)
	*carry = min(want-float64(k), 1)
	if k <= 0 {
		return 0
	}
	o.usedCPUs += float64(k) * cpu
	o.busyCPUSeconds += float64(k) * cpu * est
	if o.machine != nil {
		o.machine.neededByPlan = true
	}
	return k
}

// capacityState is what planning a job changes of an offer.
type capacityState struct {
	usedCPUs, busyCPUSeconds   float64
	neededByPlan, neededByGang bool
}

func (o *capacity) state() capacityState {
	v := capacityState{usedCPUs: o.usedCPUs, busyCPUSeconds: o.busyCPUSeconds}
	if o.machine != nil {
		v.neededByPlan, v.neededByGang = o.machine.neededByPlan, o.machine.neededByGang
	}
	return v
}

func (o *capacity) restore(v capacityState) {
	o.usedCPUs, o.busyCPUSeconds = v.usedCPUs, v.busyCPUSeconds
	if o.machine != nil {
		o.machine.neededByPlan, o.machine.neededByGang = v.neededByPlan, v.neededByGang
	}
}
