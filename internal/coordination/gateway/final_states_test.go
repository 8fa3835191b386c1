package gateway

import (
	"fmt"
	"testing"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestFinalStateCacheEvictsOldest: a full cache evicts jobs in the order in which they were added, and the
// state of a cached job is not replaced.
func TestFinalStateCacheEvictsOldest(t *testing.T) {
	cache := newFinalStateCache()
	job := func(i int) string { return fmt.Sprintf("job-%d", i) }
	for i := range limits.FinalStateCacheSize {
		cache.put(job(i), protocol.JobDone)
	}
	cache.put(job(0), protocol.JobAborted) // cached already
	if state, ok := cache.get(job(0)); !ok || state != protocol.JobDone {
		t.Errorf("first job: got state %q, cached %v; want %q, cached", state, ok, protocol.JobDone)
	}
	const added = 3
	for i := range added {
		cache.put(job(limits.FinalStateCacheSize+i), protocol.JobAborted)
	}
	for i := range limits.FinalStateCacheSize + added {
		if _, ok := cache.get(job(i)); ok != (i >= added) {
			t.Fatalf("job %d: cached %v, want %v", i, ok, i >= added)
		}
	}
	if state, _ := cache.get(job(limits.FinalStateCacheSize)); state != protocol.JobAborted {
		t.Errorf("job added after the cache was full: got state %q, want %q", state, protocol.JobAborted)
	}
}
