package scheduler

import "quillshunt/internal/limits"

// resources is an amount of what machines have and tasks take.
type resources struct{ CPUs, Accelerators, MemoryGB float64 }

func (a resources) Plus(b resources) resources {
	return resources{a.CPUs + b.CPUs, a.Accelerators + b.Accelerators, a.MemoryGB + b.MemoryGB}
}
func (a resources) Minus(b resources) resources {
	return resources{a.CPUs - b.CPUs, a.Accelerators - b.Accelerators, a.MemoryGB - b.MemoryGB}
}

// Max is the larger of both in each resource.
func (a resources) Max(b resources) resources {
	return resources{max(a.CPUs, b.CPUs), max(a.Accelerators, b.Accelerators), max(a.MemoryGB, b.MemoryGB)}
}

// Min is the smaller of both in each resource.
func (a resources) Min(b resources) resources {
	return resources{min(a.CPUs, b.CPUs), min(a.Accelerators, b.Accelerators), min(a.MemoryGB, b.MemoryGB)}
}

// Fits tells whether b fits into a, but for rounding.
func (a resources) Fits(b resources) bool {
	const eps = limits.Epsilon
	return b.CPUs <= a.CPUs+eps && b.Accelerators <= a.Accelerators+eps && b.MemoryGB <= a.MemoryGB+eps
}
