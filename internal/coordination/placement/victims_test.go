package placement

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
)

// TestCheapestVictims compares the chosen set with all sets. For up to MaxExhaustiveVictims options it must
// be the cheapest. For more it must cover the shortfall and contain no option that is not needed.
func TestCheapestVictims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, limits.MaxExhaustiveVictims+4).Draw(t, "n")
		options := make([]PreemptionOption[int], n)
		for i := range options {
			options[i].Resources = resource.Vector{
				CPUs:     float64(rapid.IntRange(0, 4).Draw(t, "cpus")),
				MemoryGB: float64(rapid.IntRange(0, 4).Draw(t, "memory")),
			}
			options[i].Cost = float64(rapid.IntRange(0, 50).Draw(t, "cost"))
		}
		shortfall := resource.Vector{
			CPUs:     float64(rapid.IntRange(-1, 8).Draw(t, "short CPUs")),
			MemoryGB: float64(rapid.IntRange(1, 8).Draw(t, "short memory")),
		}
		leastCost := leastCostOfAllSets(options, shortfall)
		victims := CheapestVictims(options, shortfall)
		if (victims == nil) != (leastCost < 0) {
			t.Fatalf("got victims %v, least cost of all sets %v", victims, leastCost)
		}
		if victims == nil {
			return
		}
		freed, cost := sumOf(options, victims)
		if !freed.Covers(shortfall) || (n <= limits.MaxExhaustiveVictims && cost > leastCost) {
			t.Fatalf("victims %v free %+v at cost %v; shortfall %+v, least cost %v",
				victims, freed, cost, shortfall, leastCost)
		}
		for k := range victims {
			rest := slices.Delete(slices.Clone(victims), k, k+1)
			if freed, _ := sumOf(options, rest); n > limits.MaxExhaustiveVictims && freed.Covers(shortfall) {
				t.Fatalf("victim %d of %v is not needed", victims[k], victims)
			}
		}
	})
}

// leastCostOfAllSets returns the cost of the cheapest set that covers the shortfall, or -1 if no set does.
func leastCostOfAllSets(options []PreemptionOption[int], shortfall resource.Vector) float64 {
	least := -1.0
	for mask := range 1 << len(options) {
		var set []int
		for i := range options {
			if mask>>i&1 != 0 {
				set = append(set, i)
			}
		}
		if freed, cost := sumOf(options, set); freed.Covers(shortfall) && (least < 0 || cost < least) {
			least = cost
		}
	}
	return least
}

// sumOf returns the resources that preempting a set of options frees, and the total cost.
func sumOf(options []PreemptionOption[int], set []int) (freed resource.Vector, cost float64) {
	for _, i := range set {
		freed, cost = freed.Plus(options[i].Resources), cost+options[i].Cost
	}
	return freed, cost
}
