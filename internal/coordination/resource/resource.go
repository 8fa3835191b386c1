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

// Fits reports whether a demanded amount is available, apart from rounding errors: within limits.Epsilon, but within
// limits.EpsilonShare of a demand that is not much larger, so that no demand fits where nothing is available.
func Fits(demand, available float64) bool {
	tolerance := limits.Epsilon
	if demand > 0 {
		tolerance = min(tolerance, demand*limits.EpsilonShare)
	}
	return demand <= available+tolerance
}

// Covers reports whether the demanded amount of every resource is available in the vector; see Fits.
func (v Vector) Covers(demand Vector) bool {
	return Fits(demand.CPUs, v.CPUs) && Fits(demand.Accelerators, v.Accelerators) && Fits(demand.MemoryGB, v.MemoryGB)
}

// Shortfall returns how much of the demand is not available in the vector. The amount of a resource that fits is 0.
func (v Vector) Shortfall(demand Vector) Vector {
	return Vector{
		shortfall(demand.CPUs, v.CPUs),
		shortfall(demand.Accelerators, v.Accelerators),
		shortfall(demand.MemoryGB, v.MemoryGB),
	}
}

func shortfall(demand, available float64) float64 {
	if Fits(demand, available) {
		return 0
	}
	return demand - available
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
