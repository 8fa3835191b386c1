package metrics

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// CountKey is what events that are counted together have in common.
type CountKey struct{ Kind, Outcome string }

// Counts counts events by kind and outcome, for a line of the log.
type Counts map[CountKey]int

// String returns the counts as text such as "poll/cache=3 poll/state=40", in alphabetical order.
func (c Counts) String() string {
	keys := slices.SortedFunc(maps.Keys(c), func(a, b CountKey) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Outcome, b.Outcome))
	})
	texts := make([]string, len(keys))
	for i, key := range keys {
		texts[i] = key.Kind + "/" + key.Outcome + "=" + strconv.Itoa(c[key])
	}
	return strings.Join(texts, " ")
}
