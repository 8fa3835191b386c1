package scheduler

import (
	"strings"
	"testing"
)

// TestJobExplanation checks that the snapshot shows operators what a job waits for.
func TestJobExplanation(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	explain := func(id string) string {
		t.Helper()
		for _, effect := range f.step(SnapshotRequested{JobID: id}) {
			if taken, ok := effect.(SnapshotTaken); ok {
				return strings.Join(taken.Snapshot.Explanation, "; ")
			}
		}
		return ""
	}
	f.submitJob("job-1", "red", "standard", 200, 1, 0)
	if got := explain("job-1"); !strings.Contains(got, "does not know yet") {
		t.Errorf("explanation during recovery: %q, want one that mentions it", got)
	}
	f.sendHeartbeat(0)
	f.sendHeartbeat(1)
	if got := explain("job-1"); !strings.Contains(got, "16 on machines") ||
		!strings.Contains(got, "0 of these with room") {
		t.Errorf("explanation while all machines are full: %q, want 16 tasks assigned and no room", got)
	}
	f.submitJob("job-2", "blue", "standard", 1, 101, 0)
	if got := explain("job-2"); !strings.Contains(got, "team blue uses 0 of at most 100") ||
		!strings.Contains(got, "0 of them allowed") {
		t.Errorf("explanation for tasks that are too large: %q, want the team's limit and no allowed machine", got)
	}
	if got := explain("job-3"); !strings.Contains(got, "not among") {
		t.Errorf("explanation for an unknown job: %q, want one that says so", got)
	}
}

// TestSnapshotViews checks that a snapshot shows the state and usage of machines and teams.
func TestSnapshotViews(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 3, 4, 0)
	f.sendHeartbeat(1)
	f.scheduler.inventory.find(f.machine(1)).draining = true
	f.step(SnapshotRequested{})
	taken := f.effects[len(f.effects)-1].(SnapshotTaken).Snapshot
	if taken.Term != 3 || !taken.Recovered || taken.Explanation != nil {
		t.Errorf("snapshot %+v, want term 3, recovery ended and no explanation", taken)
	}
	var states []string
	tasks := 0
	for _, machine := range taken.Machines {
		states = append(states, machine.State)
		tasks += machine.Tasks
		if machine.Type != "s8" || machine.CPUs != 8 || machine.UsedCPUs != 4*float64(machine.Tasks) {
			t.Errorf("machine %+v, want type s8, 8 CPUs and 4 used CPUs per task", machine)
		}
	}
	if got := strings.Join(states, ", "); got != "up, draining" {
		t.Errorf("machine states %q, want up, draining", got)
	}
	red := TeamView{Name: "red", UsedCPUs: 12, GuaranteedCPUs: 8, MaxCPUs: 100, Jobs: 1, AssignedTasks: 3}
	if tasks != 3 || taken.Teams[0] != red {
		t.Errorf("%d tasks on machines, want 3; team %+v, want %+v", tasks, taken.Teams[0], red)
	}
}
