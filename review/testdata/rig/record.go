// Package rig has the small stand-ins that the cases of the review use: a state service, a cloud with
// workers, users, links between controllers that can be cut, and the controllers as processes. They
// follow the protocol page; each fault is switched on by a case.
package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, with seconds since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, begin: time.Now()}, nil
}

// Since returns the time since the start of the record.
func (r *Record) Since() time.Duration { return time.Since(r.begin) }

// Logf writes one line.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}
