package scheduler

import (
	"slices"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/protocol"
)

// CanEverRun reports whether a job could run if no other job used machines: a task fits on some machine type
// that is allowed and offered in its zone, and the team's limit allows one task, or all tasks of a gang at the
// same time.
func CanEverRun(spec *protocol.Spec, types []protocol.MachineType, cpusMax, gpusMax float64) bool {
	simultaneousTasks := 1.0
	if spec.IsGang() {
		simultaneousTasks = float64(spec.Tasks)
	}
	return fitsSomeType(spec, types) &&
		resource.Fits(simultaneousTasks*spec.CPUs, cpusMax) &&
		resource.Fits(simultaneousTasks*spec.Accelerators, gpusMax)
}

// fitsSomeType reports whether a task of the job fits on a machine type that is allowed and offered in its zone.
func fitsSomeType(spec *protocol.Spec, types []protocol.MachineType) bool {
	demand := taskDemand(spec)
	for i := range types {
		t := &types[i]
		inZone := spec.Zone == "" || slices.Contains(t.Zones, spec.Zone)
		if inZone && isTypeAllowed(spec, t.Name) && typeResources(t).Covers(demand) {
			return true
		}
	}
	return false
}

// isTypeAllowed reports whether a job may use machines of a type. A job that names no types may use all.
func isTypeAllowed(spec *protocol.Spec, typeName string) bool {
	return len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, typeName)
}

// taskDemand returns the resources that each task of a job requests.
func taskDemand(spec *protocol.Spec) resource.Vector {
	return resource.Vector{CPUs: spec.CPUs, Accelerators: spec.Accelerators, MemoryGB: spec.MemoryGB}
}
