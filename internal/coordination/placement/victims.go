package placement

import (
	"cmp"
	"slices"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
)

// PreemptionOption is something that may be preempted on a machine: a task, or all tasks of one gang on it.
type PreemptionOption[T any] struct {
	Task      T
	Resources resource.Vector // resources that preempting it frees
	Cost      float64         // cost of preempting it
}

// CheapestVictims returns the indexes of the options to preempt: the cheapest set that covers the shortfall
// of every resource, or nil if no set does. For up to limits.MaxExhaustiveVictims options it tries every
// set, as in the paper. For more options it chooses a set greedily, which may not be the cheapest.
func CheapestVictims[T any](options []PreemptionOption[T], shortfall resource.Vector) []int {
	if len(options) <= limits.MaxExhaustiveVictims {
		return cheapestSet(options, shortfall)
	}
	return greedySet(options, shortfall)
}

// cheapestSet returns the cheapest set that covers the shortfall, or nil if no set does. It tries every set
// of options; a set is a bit mask of option indexes.
func cheapestSet[T any](options []PreemptionOption[T], shortfall resource.Vector) []int {
	leastCost, best := 0.0, 0
	for set := 1; set < 1<<len(options); set++ {
		var freed resource.Vector
		cost := 0.0
		for i := range options {
			if set>>i&1 != 0 {
				freed = freed.Plus(options[i].Resources)
				cost += options[i].Cost
			}
		}
		if freed.Covers(shortfall) && (best == 0 || cost < leastCost) {
			leastCost, best = cost, set
		}
	}
	var victims []int
	for i := range options {
		if best>>i&1 != 0 {
			victims = append(victims, i)
		}
	}
	return victims
}

// greedySet returns a set that covers the shortfall, or nil if no set does. It adds options in increasing
// order of their cost per covered share of the shortfall until the shortfall is covered. Then it drops
// options that are not needed.
func greedySet[T any](options []PreemptionOption[T], shortfall resource.Vector) []int {
	order := make([]int, len(options))
	for i := range order {
		order[i] = i
	}
	unitCost := func(i int) float64 { return options[i].Cost / coveredShare(options[i].Resources, shortfall) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(unitCost(a), unitCost(b)) })
	var freed resource.Vector
	var victims []int
	for _, i := range order {
		if freed.Covers(shortfall) {
			break
		}
		freed = freed.Plus(options[i].Resources)
		victims = append(victims, i)
	}
	if !freed.Covers(shortfall) {
		return nil
	}
	for k := len(victims) - 1; k >= 0; k-- { // those with the highest cost per share first
		if rest := freed.Minus(options[victims[k]].Resources); rest.Covers(shortfall) {
			freed = rest
			victims = slices.Delete(victims, k, k+1)
		}
	}
	return victims
}

// coveredShare returns how much of the shortfall the freed resources cover: the sum of the covered fractions
// of all resources that are short. It is never zero, because callers divide by it.
func coveredShare(freed, shortfall resource.Vector) float64 {
	share := 0.0
	if shortfall.CPUs > 0 {
		share += min(freed.CPUs, shortfall.CPUs) / shortfall.CPUs
	}
	if shortfall.Accelerators > 0 {
		share += min(freed.Accelerators, shortfall.Accelerators) / shortfall.Accelerators
	}
	if shortfall.MemoryGB > 0 {
		share += min(freed.MemoryGB, shortfall.MemoryGB) / shortfall.MemoryGB
	}
	return max(share, limits.Epsilon)
}
