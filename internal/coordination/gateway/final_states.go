package gateway

import (
	"sync"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// finalStateCache caches the final states of jobs, which never change, in a fixed number of entries. It is
// safe for concurrent use.
type finalStateCache struct {
	mu     sync.Mutex
	states map[string]protocol.JobState // by job ID
	ring   []string                     // job IDs in the order in which they were added
	oldest int                          // index in ring of the job to evict next, once the ring is full
}

func newFinalStateCache() *finalStateCache {
	return &finalStateCache{states: map[string]protocol.JobState{}}
}

// get returns a job's final state. It returns false if the state is not cached.
func (c *finalStateCache) get(id string) (protocol.JobState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.states[id]
	return state, ok
}

// put adds a job's final state, unless the job is cached already. A full cache evicts the job that was
// added first.
func (c *finalStateCache) put(id string, state protocol.JobState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.states[id]; ok {
		return
	}
	c.states[id] = state
	if len(c.ring) < limits.FinalStateCacheSize {
		c.ring = append(c.ring, id)
		return
	}
	delete(c.states, c.ring[c.oldest])
	c.ring[c.oldest] = id
	c.oldest = (c.oldest + 1) % limits.FinalStateCacheSize
}
