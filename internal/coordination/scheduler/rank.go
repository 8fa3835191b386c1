package scheduler

import (
	"slices"

	"quillshunt/internal/limits"
)

// candidate is a machine that passed the filters, with its scores.
type candidate struct {
	m      *machine
	scores [weighers]float64
}

const (
	weighOvercommit = iota
	weighCost
	weighImage
	weighPack
	weighPrice
	weighSpeed
	weighKept
	weighers
)

var multipliers = [weighers]float64{
	weighOvercommit: limits.WeighOvercommit,
	weighCost:       limits.WeighCost,
	weighImage:      limits.WeighImage,
	weighPack:       limits.WeighPack,
	weighPrice:      limits.WeighPrice,
	weighSpeed:      limits.WeighSpeed,
	weighKept:       limits.WeighKept,
}

// shelves are candidates put together by their scores, as only the first by name of those that are alike can be the best: on a large
// fleet most are alike, and ranking
// costs by the number of shelves, not of machines.
type shelves struct {
	cs []candidate  // the first of each shelf
	ms [][]*machine // all of each, by name
	at map[[weighers]float64]int
}

func (sh *shelves) clear() {
	sh.cs, sh.ms = sh.cs[:0], sh.ms[:0]
	if sh.at == nil {
		sh.at = map[[weighers]float64]int{}
	}
	clear(sh.at)
}

func (sh *shelves) add(c candidate) {
	i, ok := sh.at[c.scores]
	if !ok {
		i = len(sh.cs)
		sh.at[c.scores] = i
		sh.cs = append(sh.cs, c)
		if i < cap(sh.ms) {
			sh.ms = sh.ms[:i+1] // with the memory of an earlier job's
			sh.ms[i] = append(sh.ms[i][:0], c.m)
		} else {
			sh.ms = append(sh.ms, []*machine{c.m})
		}
		return
	}
	k, _ := slices.BinarySearchFunc(sh.ms[i], c.m, byName)
	sh.ms[i] = slices.Insert(sh.ms[i], k, c.m)
	sh.cs[i].m = sh.ms[i][0]
}

// takeFirst takes the first machine off a shelf.
func (sh *shelves) takeFirst(i int) {
	if sh.ms[i] = slices.Delete(sh.ms[i], 0, 1); len(sh.ms[i]) > 0 {
		sh.cs[i].m = sh.ms[i][0]
		return
	}
	last := len(sh.cs) - 1
	delete(sh.at, sh.cs[i].scores)
	if i != last {
		sh.cs[i], sh.ms[i], sh.ms[last] = sh.cs[last], sh.ms[last], sh.ms[i]
		sh.at[sh.cs[i].scores] = i
	}
	sh.cs, sh.ms = sh.cs[:last], sh.ms[:last]
}

// rank returns the candidate with the highest sum of multiplier times score, each score rescaled between the candidates'
// lowest and highest, or -1. Of equals the first by name wins.
func rank(cs []candidate) int {
	if len(cs) == 0 {
		return -1
	}
	lo, hi := cs[0].scores, cs[0].scores
	for i := range cs {
		for w := range weighers {
			lo[w] = min(lo[w], cs[i].scores[w])
			hi[w] = max(hi[w], cs[i].scores[w])
		}
	}
	best, top := -1, 0.0
	for i := range cs {
		sum := 0.0
		for w := range weighers {
			if hi[w] > lo[w] {
				sum += multipliers[w] * (cs[i].scores[w] - lo[w]) / (hi[w] - lo[w])
			}
		}
		if best < 0 || sum > top || (sum == top && cs[i].m.name < cs[best].m.name) {
			best, top = i, sum
		}
	}
	return best
}
