package scheduler

import (
	"testing"
	"time"
)

// TestUnreachableIsNotIdle: machines that all become unreachable, as when the leader itself is
// isolated, are not returned as idle.
func TestUnreachableIsNotIdle(t *testing.T) {
	f := newSchedulerFixture(t, 8)
	for i := range 8 {
		f.report(i)
	}
	for range 100 {
		f.now += time.Second
		for _, effect := range f.step(Tick{Entitled: true}) {
			if deletion, ok := effect.(DeleteMachines); ok && f.now < 50*time.Second {
				t.Fatalf("at %v: returned %v", f.now, deletion.Machines)
			}
		}
	}
}
