package placement

import "quillshunt/internal/limits"

// A Weigher scores machines by one criterion; more is better.
type Weigher int

// The weighers. Overcommit and PreemptionCost are those of the paper.
const (
	Overcommit      Weigher = iota // -1 if tasks have to be preempted, else 0
	PreemptionCost                 // minus the cost of preempting what may be preempted
	Image                          // minus the time to fetch the image
	Packing                        // minus the CPUs that stay free
	Price                          // minus the price of a CPU
	Speed                          // minus the run time of tasks there, relative to other machines
	GangReservation                // 1 if the machine is reserved for gangs and the task is one of a gang
	weigherCount
)

// Scores are what the weighers say of one machine.
type Scores [weigherCount]float64

// multipliers say how much each weigher counts in the sum.
var multipliers = Scores{
	Overcommit:      limits.WeightOvercommit,
	PreemptionCost:  limits.WeightPreemptionCost,
	Image:           limits.WeightImage,
	Packing:         limits.WeightPacking,
	Price:           limits.WeightPrice,
	Speed:           limits.WeightSpeed,
	GangReservation: limits.WeightGangReservation,
}

// weightedSum returns the sum of multiplier times score over all weighers, each score rescaled between
// the lowest and the highest among the candidates. A weigher that scores all of them equally counts
// nothing.
func (s *Scores) weightedSum(lowest, highest *Scores) float64 {
	sum := 0.0
	for w := range weigherCount {
		if highest[w] > lowest[w] {
			sum += multipliers[w] * (s[w] - lowest[w]) / (highest[w] - lowest[w])
		}
	}
	return sum
}
