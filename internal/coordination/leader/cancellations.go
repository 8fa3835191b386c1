package leader

import (
	"sync"

	"quillshunt/internal/coordination/scheduler"
)

// processedCancellations records which cancellations the scheduler of a term has processed, so that a request to
// confirm one is answered also if an earlier request for it has timed out while its message waited. It is safe for
// concurrent use.
type processedCancellations struct {
	mu       sync.Mutex
	versions map[string]uint64 // latest processed version of the record of a cancelled job, by job ID
}

func newProcessedCancellations() *processedCancellations {
	return &processedCancellations{versions: map[string]uint64{}}
}

// handleEvent records that the scheduler has processed an event.
func (p *processedCancellations) handleEvent(event scheduler.Event) {
	switch e := event.(type) {
	case scheduler.JobChanged:
		if e.Record.Cancelled {
			p.add(e.JobID, e.Version)
		}
	case scheduler.JobRemoved:
		p.remove(e.JobID)
	}
}

func (p *processedCancellations) add(job string, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions[job] = max(p.versions[job], version)
}

func (p *processedCancellations) remove(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.versions, job)
}

// contains reports whether the scheduler has processed a version of the record of a cancelled job, or a later one.
func (p *processedCancellations) contains(job string, version uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	processed, ok := p.versions[job]
	return ok && processed >= version
}
