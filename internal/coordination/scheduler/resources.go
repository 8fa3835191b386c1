package scheduler

import "quillshunt/internal/limits"

// resources is an amount of what machines have and tasks take.
type resources struct{ cpu, gpu, memory float64 }

func (a resources) plus(b resources) resources {
	return resources{a.cpu + b.cpu, a.gpu + b.gpu, a.memory + b.memory}
}
func (a resources) minus(b resources) resources {
	return resources{a.cpu - b.cpu, a.gpu - b.gpu, a.memory - b.memory}
}

// max is the larger of both in each resource.
func (a resources) max(b resources) resources {
	return resources{max(a.cpu, b.cpu), max(a.gpu, b.gpu), max(a.memory, b.memory)}
}

// min is the smaller of both in each resource.
func (a resources) min(b resources) resources {
	return resources{min(a.cpu, b.cpu), min(a.gpu, b.gpu), min(a.memory, b.memory)}
}

// fits tells whether b fits into a, but for rounding.
func (a resources) fits(b resources) bool {
	const eps = limits.Epsilon
	return b.cpu <= a.cpu+eps && b.gpu <= a.gpu+eps && b.memory <= a.memory+eps
}
