package gateway

import (
	"fmt"
	"testing"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestFinalStateCacheForgetsTheOldest: a full cache forgets jobs in the order in which they were
// added, and a job's first state stays.
func TestFinalStateCacheForgetsTheOldest(t *testing.T) {
	cache := newFinalStateCache()
	job := func(i int) string { return fmt.Sprintf("job-%d", i) }
	for i := range limits.FinalStateCacheSize {
		cache.put(job(i), protocol.JobDone)
	}
	cache.put(job(0), protocol.JobCancelled) // known already
	if state, ok := cache.get(job(0)); !ok || state != protocol.JobDone {
		t.Errorf("first job: %q, cached %v", state, ok)
	}
	const added = 3
	for i := range added {
		cache.put(job(limits.FinalStateCacheSize+i), protocol.JobCancelled)
	}
	for i := range limits.FinalStateCacheSize + added {
		if _, ok := cache.get(job(i)); ok != (i >= added) {
			t.Fatalf("job %d: cached %v", i, ok)
		}
	}
	if state, _ := cache.get(job(limits.FinalStateCacheSize)); state != protocol.JobCancelled {
		t.Errorf("added last: %q", state)
	}
}
