package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"quillshunt/internal/protocol"
)

// recorder records the history of a run. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	history  history
	specs    map[string]protocol.Spec     // of all jobs that users tried to submit
	ended    map[string]protocol.JobState // final state of each job of which a user was told one
	machines map[string]map[string]bool   // machines that a task is on, by task
}

func newRecorder() *recorder {
	return &recorder{
		history:  history{Submitted: map[string]bool{}},
		specs:    map[string]protocol.Spec{},
		ended:    map[string]protocol.JobState{},
		machines: map[string]map[string]bool{},
	}
}

// snapshot returns a copy of the history. The recorder goes on: machines that are left still execute commands.
func (r *recorder) snapshot() *history {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history
	h.Answers = slices.Clone(h.Answers)
	h.TaskChanges = slices.Clone(h.TaskChanges)
	h.Running = slices.Clone(h.Running)
	h.Executions = slices.Clone(h.Executions)
	h.EndedByItself = slices.Clone(h.EndedByItself)
	h.RepeatedStarts = slices.Clone(h.RepeatedStarts)
	h.Submitted = maps.Clone(h.Submitted)
	return &h
}

// addJob records that a user is about to submit a job.
func (r *recorder) addJob(spec protocol.Spec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.specs[spec.ID] = spec
	r.history.Submitted[spec.ID] = true
}

// spec returns the specification of a job, which its user has uploaded for the workers.
func (r *recorder) spec(job string) (protocol.Spec, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	spec, ok := r.specs[job]
	return spec, ok
}

// addRepeatedStart records that a copy of a direct command has started a forgotten attempt, or could do so. The
// stand-in workers call it.
func (r *recorder) addRepeatedStart(machine, task string, attempt uint64, problem string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.RepeatedStarts = append(r.history.RepeatedStarts,
		fmt.Sprintf("%s: %s attempt %x on %s", problem, task, attempt, machine))
}

func (r *recorder) addAnswer(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Answers = append(r.history.Answers, a)
	if a.isFinal() && r.ended[a.Job] == "" {
		r.ended[a.Job] = a.State
	}
}

// finalState returns the final state of a job, or "" if no user has been told one.
func (r *recorder) finalState(job string) protocol.JobState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended[job]
}

// isCancelled reports whether a user has been told that the job of a task is cancelled.
func (r *recorder) isCancelled(task string) bool {
	job, _, _ := strings.Cut(task, "/")
	return r.finalState(job) == protocol.JobCancelled
}

func (r *recorder) addRunning(running runningTask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Running = append(r.history.Running, running)
}

func (r *recorder) addEndedByItself(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.EndedByItself = append(r.history.EndedByItself, name)
}

// recordTaskChange records the start or end of a task. The stand-in workers call it.
func (d *deployment) recordTaskChange(machine, task string, runs bool) {
	r := d.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	if !runs {
		delete(r.machines[task], machine)
		r.history.TaskChanges = append(r.history.TaskChanges, taskChange{Task: task, Machine: machine, At: d.since()})
		return
	}
	var others []string
	for other := range r.machines[task] {
		if other != machine {
			others = append(others, other)
		}
	}
	if r.machines[task] == nil {
		r.machines[task] = map[string]bool{}
	}
	r.machines[task][machine] = true
	change := taskChange{Task: task, Machine: machine, At: d.since(), Runs: true, Alone: true}
	at := len(r.history.TaskChanges)
	r.history.TaskChanges = append(r.history.TaskChanges, change)
	if len(others) > 0 {
		// The leases are looked up by another goroutine, because the caller holds the lock of a worker.
		go d.checkOthers(at, task, others)
	}
}

// checkOthers records that a task has started while it is on another machine whose lease had not expired.
func (d *deployment) checkOthers(change int, task string, others []string) {
	for _, other := range others {
		if d.mayRun(task, other) {
			d.recorder.mu.Lock()
			d.recorder.history.TaskChanges[change].Alone = false
			d.recorder.mu.Unlock()
		}
	}
}

// mayRun reports whether a task is on a machine and the lease of the machine has not expired. A machine that
// hangs for longer than its lease does not run its tasks again.
func (d *deployment) mayRun(task, machine string) bool {
	if d.cloud.IsLeaseExpired(machine) {
		return false
	}
	d.recorder.mu.Lock()
	defer d.recorder.mu.Unlock()
	return d.recorder.machines[task][machine]
}

// recordExecution records that a machine executes commands. The stand-in workers call it.
func (d *deployment) recordExecution(machine string, incarnation, fencingToken uint64) {
	d.recorder.mu.Lock()
	defer d.recorder.mu.Unlock()
	d.recorder.history.Executions = append(d.recorder.history.Executions,
		execution{Machine: machine, Incarnation: incarnation, FencingToken: fencingToken})
}

// sampleRunning records which tasks of cancelled jobs are on machines that may run them.
func (d *deployment) sampleRunning() {
	at := d.since()
	var running []runningTask
	d.recorder.mu.Lock()
	for task, machines := range d.recorder.machines {
		for machine := range machines {
			running = append(running, runningTask{Task: task, Machine: machine, At: at})
		}
	}
	d.recorder.mu.Unlock()
	for _, r := range running {
		if d.recorder.isCancelled(r.Task) && d.mayRun(r.Task, r.Machine) {
			d.recorder.addRunning(r)
		}
	}
}

// TestSnapshotDoesNotChange guards against a verdict on a history that is still being written.
func TestSnapshotDoesNotChange(t *testing.T) {
	d := &deployment{recorder: newRecorder()}
	d.recordTaskChange("m-1", "job-1/0", true)
	d.recordExecution("m-1", 1, 3)
	h := d.recorder.snapshot()
	d.recordExecution("m-1", 1, 4)
	d.recorder.history.TaskChanges[0].Alone = false
	d.recorder.addJob(protocol.Spec{ID: "job-2"})
	if len(h.Executions) != 1 || !h.TaskChanges[0].Alone || len(h.Submitted) != 0 {
		t.Errorf("the snapshot has changed: %+v", h)
	}
}
