// Package resource has the amounts of which machines have some and tasks need some.
package resource

import (
	"math"

	"quillshunt/internal/limits"
)

// Vector is an amount of each resource: what a machine has, what is free on it, or what a task needs.
type Vector struct {
	CPUs         float64
	Accelerators float64
	MemoryGB     float64
}

// Plus returns the sum in each resource.
func (v Vector) Plus(other Vector) Vector {
	return Vector{v.CPUs + other.CPUs, v.Accelerators + other.Accelerators, v.MemoryGB + other.MemoryGB}
}

// Minus returns the difference in each resource, which may be negative.
func (v Vector) Minus(other Vector) Vector {
	return Vector{v.CPUs - other.CPUs, v.Accelerators - other.Accelerators, v.MemoryGB - other.MemoryGB}
}

// Times returns the amount that many times.
func (v Vector) Times(factor float64) Vector {
	return Vector{factor * v.CPUs, factor * v.Accelerators, factor * v.MemoryGB}
}

// Max returns the larger amount in each resource.
func (v Vector) Max(other Vector) Vector {
	return Vector{
		max(v.CPUs, other.CPUs), max(v.Accelerators, other.Accelerators), max(v.MemoryGB, other.MemoryGB),
	}
}

// Min returns the smaller amount in each resource.
func (v Vector) Min(other Vector) Vector {
	return Vector{
		min(v.CPUs, other.CPUs), min(v.Accelerators, other.Accelerators), min(v.MemoryGB, other.MemoryGB),
	}
}

// Covers reports whether a demand fits into the amount in every resource, but for rounding.
func (v Vector) Covers(demand Vector) bool {
	const eps = limits.Epsilon
	return demand.CPUs <= v.CPUs+eps &&
		demand.Accelerators <= v.Accelerators+eps &&
		demand.MemoryGB <= v.MemoryGB+eps
}

// TasksThatFit returns how many tasks of a demand the amount has capacity for at once, at most as
// many as a machine may run.
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
	return int(min(count+limits.Epsilon, limits.MaxTasksPerMachine))
}
