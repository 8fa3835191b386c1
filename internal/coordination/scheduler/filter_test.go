package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/placement"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/protocol"
)

// newTestMachine returns a machine with the given number of CPUs and without tasks.
func newTestMachine(name, zone string, cpus float64) *machine {
	return &machine{
		name: name, typeName: "s", zone: zone,
		machineType: &protocol.MachineType{Name: "s", CPUs: cpus, MemoryGB: 64, FetchGBPerS: 1, Price: 1, SpotPrice: 1},
		machineLoad: machineLoad{assignments: map[string]*assignment{}},
	}
}

// runTask adds a task of a job that has been running on the machine since the start of the term.
func (m *machine) runTask(j *job, index int) *assignment {
	a := &assignment{job: j, index: index, taskName: protocol.TaskName(j.id, index), machine: m, state: stateRunning}
	if j.assignments == nil {
		j.assignments = map[int]*assignment{}
	}
	j.assignments[index] = a
	m.assignments[a.taskName] = a
	m.allocated = m.allocated.Plus(j.demand)
	return a
}

// TestFilterAndScoreViews checks that a request that may preempt is filtered on the normal view of a machine
// (without preemptible tasks) and any other on the full view, and that scores use the full view.
func TestFilterAndScoreViews(t *testing.T) {
	env := &environment{now: 10 * time.Second, cfg: Config{Options: config.DefaultOptions()}}
	placer := newPlacer(env, nil, nil)
	owner := &team{cfg: config.Team{GuaranteedCPUs: 8, MaxCPUs: 8}}
	low := &job{id: "job-1", team: owner, priority: protocol.PriorityLow, demand: resource.Vector{CPUs: 6}}
	high := &job{id: "job-2", team: owner, priority: protocol.PriorityHigh, demand: resource.Vector{CPUs: 4}}
	full, empty := newTestMachine("m-1", "a", 8), newTestMachine("m-2", "a", 8)
	full.runTask(low, 0)
	for _, c := range []struct {
		name           string
		machine        *machine
		preempting     bool
		wantOK         bool
		wantOvercommit float64
	}{
		{"free resources", empty, false, true, 0},
		{"free resources, may preempt", empty, true, true, 0},
		{"no free resources", full, false, false, 0},
		{"no free resources, may preempt", full, true, true, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, ok := placer.filterAndScore(high, c.machine, c.preempting, nil)
			if ok != c.wantOK || got.Scores[placement.Overcommit] != c.wantOvercommit {
				t.Fatalf("passed the filters %v, overcommit score %v; want %v, %v",
					ok, got.Scores[placement.Overcommit], c.wantOK, c.wantOvercommit)
			}
			if costs := got.Scores[placement.PreemptionCost] < 0; costs != (c.wantOvercommit < 0) {
				t.Errorf("preemption cost score %v, want it negative exactly if tasks have to be preempted",
					got.Scores[placement.PreemptionCost])
			}
			if free := c.machine.freeResources().CPUs; ok && got.Scores[placement.Packing] != 4-free {
				t.Errorf("packing score %v with %v CPUs free on the full view, want %v",
					got.Scores[placement.Packing], free, 4-free)
			}
		})
	}
	if _, ok := placer.filterAndScore(low, full, true, nil); ok {
		t.Error("a job was allowed to preempt its own task")
	}
}

// TestMayUsePool checks which pools a job may use by its spec and by its zone rules, given the zones of its
// assigned tasks.
func TestMayUsePool(t *testing.T) {
	inZones := func(zones ...string) []string { return zones }
	pool := machinePool{typeName: "s", zone: "a"}
	for _, c := range []struct {
		name     string
		spec     protocol.Spec
		assigned []string // zones of the assigned tasks
		pool     machinePool
		want     bool
	}{
		{"no rules", protocol.Spec{}, nil, pool, true},
		{"spot not allowed", protocol.Spec{}, nil, machinePool{"s", "a", true}, false},
		{"spot allowed", protocol.Spec{Spot: true}, nil, machinePool{"s", "a", true}, true},
		{"other zone", protocol.Spec{Zone: "b"}, nil, pool, false},
		{"other type", protocol.Spec{MachineTypes: []string{"b"}}, nil, pool, false},
		{"allowed type", protocol.Spec{MachineTypes: []string{"b", "s"}}, nil, pool, true},
		{"same zone, first task", protocol.Spec{SameZone: true, Tasks: 3}, nil, pool, true},
		{"same zone, others in it", protocol.Spec{SameZone: true, Tasks: 3}, inZones("a", "a"), pool, true},
		{"same zone, others elsewhere", protocol.Spec{SameZone: true, Tasks: 3}, inZones("b"), pool, false},
		{"spread, zone below its limit", protocol.Spec{SpreadZones: true, Tasks: 3}, inZones("a", "b"), pool, true},
		{"spread, zone at its limit", protocol.Spec{SpreadZones: true, Tasks: 3}, inZones("a", "a"), pool, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := &job{
				spec: c.spec, team: &team{}, assigned: newBitmap(c.spec.Tasks),
				assignments: map[int]*assignment{}, assignedInZone: map[string]int{},
			}
			for index, zone := range c.assigned {
				j.addAssignment(&assignment{index: index, zone: zone})
			}
			if got := j.mayUsePool(c.pool); got != c.want {
				t.Errorf("may use pool %+v: %v, want %v", c.pool, got, c.want)
			}
		})
	}
}
