package storage

import (
	"time"

	"quillshunt/internal/protocol"
)

// ReadStatistics describe the reads of a BatchReader.
type ReadStatistics struct {
	Keys          int           // reads of one key
	Pages         int           // reads of a page
	Answered      int           // questions that these reads have answered
	Bytes         int           // size of the values that they have returned
	Waiting       int           // keys that wait
	OldestWaiting time.Duration // age of the oldest question about one of these
}

// TakeStatistics returns the statistics of the reads since the last call, and of those that wait now.
func (r *BatchReader) TakeStatistics(now time.Time) ReadStatistics {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.statistics
	r.statistics = ReadStatistics{}
	taken.Waiting = len(r.waiting)
	if oldest := r.oldestWaiting(); oldest != nil {
		taken.OldestWaiting = now.Sub(oldest.since)
	}
	return taken
}

// countRead counts a read that has answered a number of questions.
func (r *BatchReader) countRead(isPage bool, answered, bytes int) {
	r.store.metrics.CountUserRead(isPage, answered, bytes)
	r.mu.Lock()
	defer r.mu.Unlock()
	if isPage {
		r.statistics.Pages++
	} else {
		r.statistics.Keys++
	}
	r.statistics.Answered += answered
	r.statistics.Bytes += bytes
}

// pageBytes returns the size of the values of a page.
func pageBytes(page protocol.KeyPage) int {
	size := 0
	for _, item := range page.Items {
		size += len(item.Value)
	}
	return size
}
