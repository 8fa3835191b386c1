package scheduler

import (
	"slices"

	"quillshunt/internal/limits"
)

// candidate is a machine that passed the filters, with its scores.
type candidate struct {
	machine *machine
	scores  [weightCount]float64
}

const (
	weightOvercommit = iota
	weightCost
	weightImage
	weightPacking
	weightPrice
	weightSpeed
	weightGangReservation
	weightCount
)

var multipliers = [weightCount]float64{
	weightOvercommit:      limits.WeightOvercommit,
	weightCost:            limits.WeightPreemptionCost,
	weightImage:           limits.WeightImage,
	weightPacking:         limits.WeightPacking,
	weightPrice:           limits.WeightPrice,
	weightSpeed:           limits.WeightSpeed,
	weightGangReservation: limits.WeightGangReservation,
}

// candidateGroups are candidates put together by their scores, as only the first by name of those
// that are alike can be the best: on a large fleet most are alike, and ranking costs by the number
// of shelves, not of machines.
type candidateGroups struct {
	representatives []candidate  // the first of each shelf
	members         [][]*machine // all of each, by name
	index           map[[weightCount]float64]int
}

func (sh *candidateGroups) clear() {
	sh.representatives, sh.members = sh.representatives[:0], sh.members[:0]
	if sh.index == nil {
		sh.index = map[[weightCount]float64]int{}
	}
	clear(sh.index)
}

func (sh *candidateGroups) add(c candidate) {
	i, ok := sh.index[c.scores]
	if !ok {
		i = len(sh.representatives)
		sh.index[c.scores] = i
		sh.representatives = append(sh.representatives, c)
		if i < cap(sh.members) {
			sh.members = sh.members[:i+1] // with the memory of an earlier job's
			sh.members[i] = append(sh.members[i][:0], c.machine)
		} else {
			sh.members = append(sh.members, []*machine{c.machine})
		}
		return
	}
	k, _ := slices.BinarySearchFunc(sh.members[i], c.machine, byName)
	sh.members[i] = slices.Insert(sh.members[i], k, c.machine)
	sh.representatives[i].machine = sh.members[i][0]
}

// takeFirst takes the first machine off a shelf.
func (sh *candidateGroups) takeFirst(i int) {
	if sh.members[i] = slices.Delete(sh.members[i], 0, 1); len(sh.members[i]) > 0 {
		sh.representatives[i].machine = sh.members[i][0]
		return
	}
	last := len(sh.representatives) - 1
	delete(sh.index, sh.representatives[i].scores)
	if i != last {
		sh.representatives[i], sh.members[i], sh.members[last] = sh.representatives[last], sh.members[last], sh.members[i]
		sh.index[sh.representatives[i].scores] = i
	}
	sh.representatives, sh.members = sh.representatives[:last], sh.members[:last]
}

// bestCandidate returns the candidate with the highest sum of multiplier times score, each score
// rescaled between the candidates' lowest and highest, or -1. Of equals the first by name wins.
func bestCandidate(cs []candidate) int {
	if len(cs) == 0 {
		return -1
	}
	lo, hi := cs[0].scores, cs[0].scores
	for i := range cs {
		for w := range weightCount {
			lo[w] = min(lo[w], cs[i].scores[w])
			hi[w] = max(hi[w], cs[i].scores[w])
		}
	}
	best, top := -1, 0.0
	for i := range cs {
		sum := 0.0
		for w := range weightCount {
			if hi[w] > lo[w] {
				sum += multipliers[w] * (cs[i].scores[w] - lo[w]) / (hi[w] - lo[w])
			}
		}
		if best < 0 || sum > top || (sum == top && cs[i].machine.name < cs[best].machine.name) {
			best, top = i, sum
		}
	}
	return best
}
