package scheduler

import (
	"testing"

	"quillshunt/internal/protocol"
)

// TestZoneRulesDoNotBlockPlacement guards against a leader that stops answering while it places a job whose tasks must
// be in one zone: the time must not grow with the machines times the square of the tasks, of which a job may have
// 100,000. All tasks are placed in one step, and no later than those of a job without a zone rule would be.
func TestZoneRulesDoNotBlockPlacement(t *testing.T) {
	const machines = 2500
	for name, spec := range map[string]protocol.Spec{
		"together": {SameZone: true, Tasks: machines},
		"scatter":  {SpreadZones: true, Tasks: 2 * machines}, // half of the tasks, as the fleet has one zone
	} {
		t.Run(name, func(t *testing.T) {
			f, s := newRegisteredFleet(t, machines)
			spec.ID, spec.Class, spec.Shape, spec.CPUs = "job-1", "c", protocol.ShapeArray, 8
			requireReturn(t, func() { f.submit(s, 9999, spec) })
			if placed := len(s.jobs.find("job-1").assignments); placed != machines {
				t.Errorf("%d tasks placed on %d machines", placed, machines)
			}
		})
	}
}
