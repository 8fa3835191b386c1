package scheduler

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBitmap checks random additions and removals, and compares firstInNeither with a linear search.
func TestBitmap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 300).Draw(t, "size")
		one, other := newBitmap(size), newBitmap(size)
		taken := map[int]bool{}
		for range rapid.IntRange(0, 2*size).Draw(t, "changes") {
			index := rapid.IntRange(0, size-1).Draw(t, "index")
			set := one
			if rapid.Bool().Draw(t, "other") {
				set = other
			}
			if rapid.Bool().Draw(t, "remove") {
				set.remove(index)
			} else {
				set.add(index)
			}
			taken[index] = one.has(index) || other.has(index)
		}
		want := 0
		for taken[want] {
			want++
		}
		start := rapid.IntRange(0, min(want, size-1)).Draw(t, "start")
		if got := firstInNeither(one, other, start); got != want {
			t.Fatalf("lowest index in neither set from %d on is %d, want %d", start, got, want)
		}
		index := rapid.IntRange(0, size-1).Draw(t, "last")
		one.add(index)
		if !one.has(index) {
			t.Fatalf("index %d is missing after add", index)
		}
		one.remove(index)
		if one.has(index) {
			t.Fatalf("index %d is present after remove", index)
		}
	})
}
