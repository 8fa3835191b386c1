package placement

import (
	"strings"
	"testing"
)

func TestBest(t *testing.T) {
	var free, costly, cheap Scores
	free[Price] = -5 // a machine with free resources ranks first at any price
	costly[Overcommit], costly[PreemptionCost], costly[Price] = -1, -20, -1
	cheap[Overcommit], cheap[PreemptionCost], cheap[Price] = -1, -3, -4
	a, b, c := Candidate[string]{"a", free}, Candidate[string]{"b", costly}, Candidate[string]{"c", cheap}
	for _, test := range []struct {
		name       string
		candidates []Candidate[string]
		want       int
	}{
		{"machine with free resources", []Candidate[string]{b, c, a}, 2},
		{"lowest preemption cost", []Candidate[string]{b, c}, 1},
		{"same candidate twice", []Candidate[string]{c, c}, 0},
		{"equal scores, first by name", []Candidate[string]{{"d", cheap}, c}, 1},
		{"no candidates", nil, -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := BestCandidate(test.candidates, strings.Compare); got != test.want {
				t.Errorf("best candidate is %d, want %d", got, test.want)
			}
		})
	}
}
