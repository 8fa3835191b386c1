// Package resource defines amounts of the resources that machines provide and tasks request.
package resource

import (
	"math"

	"quillshunt/internal/limits"
)

// Vector is an amount of each resource, such as the capacity of a machine, the free resources on it, or the
// demand of a task.
type Vector struct {
	CPUs         float64
	Accelerators float64
	MemoryGB     float64
}

// Plus returns the sum of two vectors.
func (v Vector) Plus(other Vector) Vector {
	return Vector{v.CPUs + other.CPUs, v.Accelerators + other.Accelerators, v.MemoryGB + other.MemoryGB}
}

// Minus returns the difference of two vectors. Its amounts may be negative.
func (v Vector) Minus(other Vector) Vector {
	return Vector{v.CPUs - other.CPUs, v.Accelerators - other.Accelerators, v.MemoryGB - other.MemoryGB}
}

// Times returns the vector multiplied by a factor.
func (v Vector) Times(factor float64) Vector {
	return Vector{factor * v.CPUs, factor * v.Accelerators, factor * v.MemoryGB}
}

// Max returns the larger amount of each resource.
func (v Vector) Max(other Vector) Vector {
	return Vector{
		max(v.CPUs, other.CPUs), max(v.Accelerators, other.Accelerators), max(v.MemoryGB, other.MemoryGB),
	}
}

// Min returns the smaller amount of each resource.
func (v Vector) Min(other Vector) Vector {
	return Vector{
		min(v.CPUs, other.CPUs), min(v.Accelerators, other.Accelerators), min(v.MemoryGB, other.MemoryGB),
	}
}

// Covers reports whether the vector has at least the demanded amount of every resource, within the rounding
// tolerance limits.Epsilon.
func (v Vector) Covers(demand Vector) bool {
	const eps = limits.Epsilon
	return demand.CPUs <= v.CPUs+eps &&
		demand.Accelerators <= v.Accelerators+eps &&
		demand.MemoryGB <= v.MemoryGB+eps
}

// TasksThatFit returns how many tasks with the given demand fit into the vector at the same time, at most
// limits.MaxTasksPerMachine.
func (v Vector) TasksThatFit(demand Vector) int {
	count := math.Inf(1)
	if demand.CPUs > 0 {
		count = min(count, v.CPUs/demand.CPUs)
	}
	if demand.Accelerators > 0 {
		count = min(count, v.Accelerators/demand.Accelerators)
	}
	if demand.MemoryGB > 0 {
		count = min(count, v.MemoryGB/demand.MemoryGB)
	}
	return limits.Whole(count+limits.Epsilon, limits.MaxTasksPerMachine)
}
