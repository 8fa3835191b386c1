package protocol

import (
	"testing"

	"pgregory.net/rapid"

	"quillshunt/internal/limits"
)

// TestTaskNameRoundTrip checks that ParseTaskName returns what was passed to TaskName, and that it rejects
// strings that TaskName does not produce.
func TestTaskNameRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.StringMatching(`job-[0-9]{1,12}`).Draw(t, "id")
		index := rapid.IntRange(0, limits.MaxTasksPerJob-1).Draw(t, "index")
		if j, i, ok := ParseTaskName(TaskName(id, index)); !ok || j != id || i != index {
			t.Fatalf("name of task %d of job %s parsed as %s, %d, %v", index, id, j, i, ok)
		}
	})
	for _, s := range []string{
		"", "job-1", "job-1/", "job-1/01", "job-1/-1", "job-1/1x", "job-x/1", "job-1/1234567", "/1",
	} {
		if _, _, ok := ParseTaskName(s); ok {
			t.Errorf("ParseTaskName(%q) accepts a malformed name", s)
		}
	}
}
