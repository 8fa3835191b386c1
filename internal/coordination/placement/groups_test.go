package placement

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestBestGroupIsBestCandidate checks that after any sequence of additions, removals and clears, the first
// member of the best group is the best of all candidates.
func TestBestGroupIsBestCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := NewScoreGroups(cmp.Compare[int])
		var all []Candidate[int]
		for target := range rapid.IntRange(0, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 19).Draw(t, "step") {
			case 0:
				groups.Clear()
				all = nil
			case 1, 2, 3, 4, 5, 6:
				removeBest(t, &groups, &all)
			default:
				c := Candidate[int]{Target: target * 7 % 41}
				for w := range 3 {
					c.Scores[w] = float64(rapid.IntRange(-1, 1).Draw(t, "score"))
				}
				groups.Add(c)
				all = append(all, c)
			}
		}
		for len(all) > 0 {
			removeBest(t, &groups, &all)
		}
		if group := groups.BestGroup(); group != -1 {
			t.Fatalf("best group is %d after all candidates were removed, want -1", group)
		}
	})
}

// removeBest checks that the groups and the list of all candidates have the same best candidate, and removes
// it from both.
func removeBest(t *rapid.T, groups *ScoreGroups[int], all *[]Candidate[int]) {
	t.Helper()
	best, group := BestCandidate(*all, cmp.Compare[int]), groups.BestGroup()
	if (best < 0) != (group < 0) {
		t.Fatalf("best group is %d, best candidate is %d: only one of them exists", group, best)
	}
	if best < 0 {
		return
	}
	if got := groups.FirstInGroup(group); got != (*all)[best] {
		t.Fatalf("best candidate of the groups is %+v, of all candidates %+v", got, (*all)[best])
	}
	groups.RemoveFirstInGroup(group)
	*all = slices.Delete(*all, best, best+1)
}
