package placement

import "quillshunt/internal/limits"

// Weigher is a criterion by which machines are scored. Higher scores are better.
type Weigher int

// Weighers. Overcommit and PreemptionCost are those of the paper.
const (
	Overcommit      Weigher = iota // -1 if tasks have to be preempted, otherwise 0
	PreemptionCost                 // negative cost of preempting all preemptible tasks; 0 if none has to be
	Image                          // negative time to fetch the image; 0 if it is cached
	Packing                        // negative number of CPUs that stay free
	Price                          // negative price per CPU
	Speed                          // negative run time of tasks on the machine, relative to that on other machines
	GangReservation                // 1 if the machine is reserved for gangs and the task belongs to one, otherwise 0
	weigherCount
)

// Scores holds the scores of one machine, indexed by Weigher.
type Scores [weigherCount]float64

// multipliers holds the weight of each weigher in the weighted sum.
var multipliers = Scores{
	Overcommit:      limits.WeightOvercommit,
	PreemptionCost:  limits.WeightPreemptionCost,
	Image:           limits.WeightImage,
	Packing:         limits.WeightPacking,
	Price:           limits.WeightPrice,
	Speed:           limits.WeightSpeed,
	GangReservation: limits.WeightGangReservation,
}

// weightedSum returns the weighted sum of the scores. Each score is first rescaled to the range from 0 to 1
// by the lowest and the highest score of the same weigher among all candidates. A weigher for which all
// candidates have the same score is ignored.
func (s *Scores) weightedSum(lowest, highest *Scores) float64 {
	sum := 0.0
	for w := range weigherCount {
		if highest[w] > lowest[w] {
			sum += multipliers[w] * (s[w] - lowest[w]) / (highest[w] - lowest[w])
		}
	}
	return sum
}
