package placement

import "slices"

// ScoreGroups holds candidates grouped by equal scores. Only the first member of a group, in the order of
// compare, can be the best candidate. In a large fleet many machines have equal scores, so that ranking
// groups instead of machines takes much less time.
type ScoreGroups[T any] struct {
	compare func(a, b T) int
	firsts  []Candidate[T] // the first member of each group
	members [][]T          // all members of each group, in the order of compare
	index   map[Scores]int // number of the group with these scores
}

// NewScoreGroups returns a ScoreGroups without candidates. The members of its groups are ordered by compare.
func NewScoreGroups[T any](compare func(a, b T) int) ScoreGroups[T] {
	return ScoreGroups[T]{compare: compare, index: map[Scores]int{}}
}

// Clear removes all candidates. The allocated memory is reused for the next ones.
func (g *ScoreGroups[T]) Clear() {
	g.firsts, g.members = g.firsts[:0], g.members[:0]
	clear(g.index)
}

// Add adds a candidate to the group with its scores.
func (g *ScoreGroups[T]) Add(c Candidate[T]) {
	group, ok := g.index[c.Scores]
	if !ok {
		g.addGroup(c)
		return
	}
	position, _ := slices.BinarySearchFunc(g.members[group], c.Target, g.compare)
	g.members[group] = slices.Insert(g.members[group], position, c.Target)
	g.firsts[group].Target = g.members[group][0]
}

func (g *ScoreGroups[T]) addGroup(c Candidate[T]) {
	group := len(g.firsts)
	g.index[c.Scores] = group
	g.firsts = append(g.firsts, c)
	if group < cap(g.members) {
		g.members = g.members[:group+1] // reuse the memory of a removed group
		g.members[group] = append(g.members[group][:0], c.Target)
		return
	}
	g.members = append(g.members, []T{c.Target})
}

// BestGroup returns the number of the group whose first member is the best candidate, or -1 if there are no
// candidates.
func (g *ScoreGroups[T]) BestGroup() int { return BestCandidate(g.firsts, g.compare) }

// FirstInGroup returns the first member of the group with the given number.
func (g *ScoreGroups[T]) FirstInGroup(group int) Candidate[T] { return g.firsts[group] }

// RemoveFirstInGroup removes the first member of the group with the given number, and the group if no members are
// left. Group numbers that were obtained before the call are no longer valid.
func (g *ScoreGroups[T]) RemoveFirstInGroup(group int) {
	if g.members[group] = slices.Delete(g.members[group], 0, 1); len(g.members[group]) > 0 {
		g.firsts[group].Target = g.members[group][0]
		return
	}
	last := len(g.firsts) - 1
	delete(g.index, g.firsts[group].Scores)
	if group != last {
		g.firsts[group] = g.firsts[last]
		g.members[group], g.members[last] = g.members[last], g.members[group]
		g.index[g.firsts[group].Scores] = group
	}
	g.firsts, g.members = g.firsts[:last], g.members[:last]
}
