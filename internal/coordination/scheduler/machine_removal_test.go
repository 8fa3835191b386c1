package scheduler

import (
	"testing"
	"time"
)

// TestSilentIsNotIdle: machines that all fell silent, as when the leader itself is cut off, are not
// returned as idle.
func TestSilentIsNotIdle(t *testing.T) {
	b := newSchedulerFixture(t, 8)
	for i := range 8 {
		b.report(i)
	}
	for range 100 {
		b.now += time.Second
		for _, e := range b.step(Tick{Entitled: true}) {
			if d, ok := e.(DeleteMachines); ok && b.now < 50*time.Second {
				t.Fatalf("at %v: returned %v", b.now, d.Machines)
			}
		}
	}
}
