package protocol

import (
	"testing"

	"pgregory.net/rapid"

	"quillshunt/internal/limits"
)

func TestTaskNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.StringMatching(`job-[0-9]{1,12}`).Draw(t, "id")
		n := rapid.IntRange(0, limits.MaxTasksPerJob-1).Draw(t, "n")
		if j, i, ok := ParseTaskName(TaskName(id, n)); !ok || j != id || i != n {
			t.Fatalf("%s %d: %s %d %v", id, n, j, i, ok)
		}
	})
	for _, s := range []string{"", "job-1", "job-1/", "job-1/01", "job-1/-1", "job-1/1x", "job-x/1", "job-1/1234567", "/1"} {
		if _, _, ok := ParseTaskName(s); ok {
			t.Errorf("%q parsed", s)
		}
	}
}
