package placement

// Candidate is a machine that passed the filters, together with its scores.
type Candidate[T any] struct {
	Target T
	Scores Scores
}

// BestCandidate returns the index of the candidate with the highest weighted sum of rescaled scores, or -1 if there
// are no candidates. Among candidates with equal sums it returns the first in the order of compare.
func BestCandidate[T any](candidates []Candidate[T], compare func(a, b T) int) int {
	if len(candidates) == 0 {
		return -1
	}
	lowest, highest := candidates[0].Scores, candidates[0].Scores
	for i := range candidates {
		scores := &candidates[i].Scores
		for w := range scores {
			lowest[w] = min(lowest[w], scores[w])
			highest[w] = max(highest[w], scores[w])
		}
	}
	best, bestSum := -1, 0.0
	for i := range candidates {
		sum := candidates[i].Scores.weightedSum(&lowest, &highest)
		if best < 0 || sum > bestSum ||
			(sum == bestSum && compare(candidates[i].Target, candidates[best].Target) < 0) {
			best, bestSum = i, sum
		}
	}
	return best
}
