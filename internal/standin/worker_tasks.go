package standin

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// task is one attempt to run a task on a worker. After it has ended, it is kept until a forget command.
type task struct {
	protocol.TaskStatus
	completesAt time.Time    // set when a task that is not of a gang starts
	gang        *gangAttempt // nil if the job is not a gang
}

// taskKey returns the key of an attempt in worker.tasks.
func taskKey(name string, attempt uint64) string { return fmt.Sprintf("%s#%d", name, attempt) }

// heartbeat updates the tasks to the current time and returns the next heartbeat. The caller holds mu.
func (w *worker) heartbeat() protocol.Heartbeat {
	w.sequence++
	heartbeat := protocol.Heartbeat{
		Machine: w.machine.Name, Address: w.machine.Address, MachineType: w.machine.MachineType,
		Zone: w.machine.Zone, Spot: w.machine.Spot,
		Incarnation: w.incarnation, Sequence: w.sequence, FencingToken: w.fencingToken,
		Tasks: []protocol.TaskStatus{},
	}
	for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
		t := w.tasks[key]
		switch {
		case t.gang != nil && t.State != protocol.TaskEnded:
			w.updateFromGang(t)
		case t.State == protocol.TaskRunning && time.Now().After(t.completesAt):
			w.endTask(t, protocol.ReasonDone)
		}
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	return heartbeat
}

// executeCommands executes commands in order. It ignores commands that do not apply to the state of their task.
// The caller holds mu.
func (w *worker) executeCommands(commands []protocol.Command) {
	for _, command := range commands {
		key := taskKey(command.Task, command.Attempt)
		t := w.tasks[key]
		switch {
		case command.Verb == protocol.CommandStart && t == nil:
			w.tasks[key] = w.startTask(command)
		case command.Verb == protocol.CommandStop && t != nil && t.State != protocol.TaskEnded:
			if t.gang != nil && command.GraceS != nil && t.gang.stop(t.Task, *command.GraceS) {
				continue // it ends after saving a checkpoint
			}
			w.endTask(t, protocol.ReasonStopped)
		case command.Verb == protocol.CommandForget && t != nil && t.State == protocol.TaskEnded:
			delete(w.tasks, key)
			w.checkForgotten(command)
		}
	}
}

// startTask starts a task. If it cannot, it returns a task that has ended, with the reason. The caller holds mu.
func (w *worker) startTask(command protocol.Command) *task {
	t := &task{TaskStatus: protocol.TaskStatus{
		Task: command.Task, Attempt: command.Attempt,
		State: protocol.TaskEnded, Reason: protocol.ReasonUnknownTask,
	}}
	job, _, ok := protocol.ParseTaskName(command.Task)
	if !ok {
		return t
	}
	for _, other := range w.tasks {
		if other.Task == command.Task && other.State != protocol.TaskEnded {
			t.Reason = protocol.ReasonAttemptExists
			return t
		}
	}
	spec, ok := w.cloud.jobSpec(job)
	if !ok {
		return t
	}
	if w.cloud.IsTaskDone(command.Task) {
		t.Reason = protocol.ReasonDone
		return t
	}
	t.Reason = ""
	if spec.IsGang() {
		t.State = protocol.TaskGathering
		t.gang = w.cloud.gangs.getOrCreateAttempt(spec, command.Attempt, w.cloud.gangTimes())
		t.gang.join(command.Task, func() bool { return w.remainingHang() > 0 })
	} else {
		t.State = protocol.TaskRunning
		t.completesAt = time.Now().Add(limits.Seconds(spec.EstimateS))
	}
	w.notifyTaskChange(command.Task, true)
	return t
}

// updateFromGang updates the status of a task from its gang. The caller holds mu.
func (w *worker) updateFromGang(t *task) {
	status := t.gang.poll(t.Task)
	t.State, t.Reason, t.Saved = status.State, status.Reason, status.Saved
	if t.State == protocol.TaskEnded {
		w.notifyTaskChange(t.Task, false)
	}
}

// endTask ends a task that has not ended yet, for the given reason. The caller holds mu.
func (w *worker) endTask(t *task, reason protocol.EndReason) {
	t.State, t.Reason = protocol.TaskEnded, reason
	if reason == protocol.ReasonDone {
		w.cloud.markDone(t.Task)
	}
	w.notifyTaskChange(t.Task, false)
}

// killAll kills all tasks and removes them. The caller holds mu.
func (w *worker) killAll() {
	for _, t := range w.tasks {
		if t.State == protocol.TaskRunning || t.State == protocol.TaskGathering {
			w.notifyTaskChange(t.Task, false)
		}
		if t.gang != nil && t.State != protocol.TaskEnded {
			t.gang.leave(t.Task)
		}
	}
	w.tasks = map[string]*task{}
}

// notifyTaskChange calls OnTaskChange, if it is set.
func (w *worker) notifyTaskChange(task string, runs bool) {
	if w.cloud.options.OnTaskChange != nil {
		w.cloud.options.OnTaskChange(w.machine.Name, task, runs)
	}
}
