package resource

import (
	"testing"

	"quillshunt/internal/limits"
)

func TestArithmetic(t *testing.T) {
	machine := Vector{CPUs: 8, Accelerators: 1, MemoryGB: 32}
	demand := Vector{CPUs: 2, Accelerators: 2, MemoryGB: 4}
	for _, c := range []struct {
		name      string
		got, want Vector
	}{
		{"plus", machine.Plus(demand), Vector{CPUs: 10, Accelerators: 3, MemoryGB: 36}},
		{"minus", machine.Minus(demand), Vector{CPUs: 6, Accelerators: -1, MemoryGB: 28}},
		{"times", demand.Times(3), Vector{CPUs: 6, Accelerators: 6, MemoryGB: 12}},
		{"max", machine.Max(demand), Vector{CPUs: 8, Accelerators: 2, MemoryGB: 32}},
		{"min", machine.Min(demand), Vector{CPUs: 2, Accelerators: 1, MemoryGB: 4}},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, c.got, c.want)
		}
	}
}

func TestCovers(t *testing.T) {
	free := Vector{CPUs: 4, Accelerators: 1, MemoryGB: 8}
	for _, c := range []struct {
		name   string
		demand Vector
		want   bool
	}{
		{"all free resources", free, true},
		{"no demand", Vector{}, true},
		{"more within the rounding tolerance", Vector{CPUs: 4 + limits.Epsilon/2}, true},
		{"too many CPUs", Vector{CPUs: 4.5}, false},
		{"too many accelerators", Vector{Accelerators: 2}, false},
		{"too much memory", Vector{MemoryGB: 9}, false},
	} {
		if got := free.Covers(c.demand); got != c.want {
			t.Errorf("%s: %+v covers %+v: %v, want %v", c.name, free, c.demand, got, c.want)
		}
	}
}

func TestTasksThatFit(t *testing.T) {
	size := Vector{CPUs: 8, Accelerators: 2, MemoryGB: 32}
	for _, c := range []struct {
		name   string
		demand Vector
		want   int
	}{
		{"limited by CPUs", Vector{CPUs: 3, Accelerators: 0.5, MemoryGB: 4}, 2},
		{"limited by accelerators", Vector{CPUs: 1, Accelerators: 2, MemoryGB: 4}, 1},
		{"limited by memory", Vector{CPUs: 1, MemoryGB: 10}, 3},
		{"quotient just below 3 by rounding", Vector{CPUs: 8.0 / 3}, 3},
		{"demand exceeds the size", Vector{CPUs: 9}, 0},
		{"zero demand", Vector{}, limits.MaxTasksPerMachine},
	} {
		if got := size.TasksThatFit(c.demand); got != c.want {
			t.Errorf("%s: %d tasks fit, want %d", c.name, got, c.want)
		}
	}
}

// TestTasksThatFitWithoutRoom guards against rounding errors in what is free on a full machine: with the smallest
// demand that a submission may have, none fit, and not a huge negative number of tasks.
func TestTasksThatFitWithoutRoom(t *testing.T) {
	for _, freeCPUs := range []float64{0, -1e-16, -2} {
		if got := (Vector{CPUs: freeCPUs}).TasksThatFit(Vector{CPUs: 5e-324}); got != 0 {
			t.Errorf("%d tasks fit into %v CPUs, want 0", got, freeCPUs)
		}
	}
}

// TestFits guards against demands below the tolerance for rounding errors: they must not fit where nothing is
// available, while amounts that are equal but for rounding errors fit.
func TestFits(t *testing.T) {
	for _, c := range []struct {
		demand, available float64
		want              bool
	}{
		{0, 0, true},
		{0, -1e-9, true},
		{5e-324, 5e-324, true},
		{5e-324, 0, false},
		{1e-9, 0, false},
		{1e-7, 0, false},
		{1e-7, -1e-16, false},
		{1e-7, 1e-7, true},
		{1e-3, 1e-3 - limits.Epsilon/2, true},
		{0.1, 0.1 - limits.Epsilon/2, true},
		{4, 4 - limits.Epsilon/2, true},
		{4, 4 - limits.Epsilon*2, false},
	} {
		if got := Fits(c.demand, c.available); got != c.want {
			t.Errorf("%v fits into %v: %v, want %v", c.demand, c.available, got, c.want)
		}
	}
	demand, free := Vector{CPUs: 4, Accelerators: 1e-7, MemoryGB: 8}, Vector{CPUs: 1, MemoryGB: 8 - 1e-12}
	if got, want := free.Shortfall(demand), (Vector{CPUs: 3, Accelerators: 1e-7}); got != want {
		t.Errorf("shortfall %+v, want %+v", got, want)
	}
}
