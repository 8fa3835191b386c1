package scheduler

import (
	"slices"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// CanEverRun reports whether a job could ever run: a task fits on a machine of some allowed type,
// and its team's limit allows the task; of a gang, all tasks together.
func CanEverRun(spec *protocol.Spec, types []protocol.MachineType, cpusMax, gpusMax float64) bool {
	simultaneousTasks := 1.0
	if spec.Gang() {
		simultaneousTasks = float64(spec.Tasks)
	}
	return fitsSomeType(spec, types) &&
		simultaneousTasks*spec.CPUs <= cpusMax+limits.Epsilon && simultaneousTasks*spec.Accelerators <= gpusMax+limits.Epsilon
}

// fitsSomeType reports whether a machine of some allowed type can run a task of the job.
func fitsSomeType(spec *protocol.Spec, types []protocol.MachineType) bool {
	demand := taskDemand(spec)
	for i := range types {
		t := &types[i]
		inZone := spec.Zone == "" || slices.Contains(t.Zones, spec.Zone)
		if inZone && typeAllowed(spec, t.Name) && typeResources(t).Fits(demand) {
			return true
		}
	}
	return false
}

// typeAllowed reports whether a job may use machines of a type.
func typeAllowed(spec *protocol.Spec, typeName string) bool {
	return len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, typeName)
}

// taskDemand returns what a task of a job needs.
func taskDemand(spec *protocol.Spec) resource.Vector {
	return resource.Vector{CPUs: spec.CPUs, Accelerators: spec.Accelerators, MemoryGB: spec.MemoryGB}
}
