package gateway

import (
	"sync"

	"quillshunt/internal/limits"
)

// finalStateCache caches final states, which never change.
type finalStateCache struct {
	mu     sync.Mutex
	states map[string]string
	ring   []string
	next   int
}

func (f *finalStateCache) get(id string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[id]
	return s, ok
}

func (f *finalStateCache) put(id, standing string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.states[id]; ok {
		return
	}
	f.states[id] = standing
	if len(f.ring) < limits.FinalStateCacheSize {
		f.ring = append(f.ring, id)
		return
	}
	delete(f.states, f.ring[f.next])
	f.ring[f.next] = id
	f.next = (f.next + 1) % limits.FinalStateCacheSize
}
