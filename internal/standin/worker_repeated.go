package standin

import (
	"slices"
	"time"

	"quillshunt/internal/protocol"
)

// maxExecutedCalls is the number of executed direct commands that a worker remembers, so that copies of them can
// arrive.
const maxExecutedCalls = 4096

// The problems that are reported to CloudOptions.OnRepeatedStart.
const (
	startedByCopy   = "a copy of a direct command starts a forgotten attempt"
	startableByCopy = "a copy of a direct command could start a forgotten attempt"
)

// recordExecutedCall stores direct commands that the worker has executed, if they start tasks, and schedules the
// copies that the test has asked for. The caller holds mu.
func (w *worker) recordExecutedCall(request protocol.DirectCommands) {
	if !slices.ContainsFunc(request.Commands, isStart) {
		return
	}
	if len(w.executedCalls) == maxExecutedCalls {
		w.executedCalls = slices.Delete(w.executedCalls, 0, 1)
	}
	w.executedCalls = append(w.executedCalls, request)
	for _, delay := range w.cloud.directRepeatDelays(w.machine.Name) {
		time.AfterFunc(delay, func() { w.executeCopy(request) })
	}
}

func isStart(command protocol.Command) bool { return command.Verb == protocol.CommandStart }

// accepts reports whether the worker executes direct commands: they have at least the highest fencing token that it
// has received, and are for its incarnation. The caller holds mu.
func (w *worker) accepts(request protocol.DirectCommands) bool {
	return request.FencingToken >= w.fencingToken && request.Incarnation == w.incarnation
}

// executeCopy handles a copy of direct commands that the worker has executed before, like the original, except that
// nobody waits for the response. A machine that hangs executes it afterwards.
func (w *worker) executeCopy(request protocol.DirectCommands) {
	if hung := w.remainingHang(); hung > 0 {
		time.AfterFunc(hung, func() { w.executeCopy(request) })
		return
	}
	w.cloud.countCopy()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restartIfLeaseExpired()
	if w.incarnation == 0 || !w.accepts(request) {
		return
	}
	for _, command := range request.Commands {
		if isStart(command) && w.tasks[taskKey(command.Task, command.Attempt)] == nil {
			w.cloud.reportRepeatedStart(w.machine.Name, command, startedByCopy)
		}
	}
	w.executeAccepted(request)
}

// checkForgotten reports an attempt that the worker has just forgotten if a copy of an executed direct command would
// start it again. The caller holds mu.
func (w *worker) checkForgotten(attempt protocol.Command) {
	for _, request := range w.executedCalls {
		if !w.accepts(request) {
			continue
		}
		for _, command := range request.Commands {
			if isStart(command) && command.Task == attempt.Task && command.Attempt == attempt.Attempt {
				w.cloud.reportRepeatedStart(w.machine.Name, command, startableByCopy)
				return
			}
		}
	}
}

// SetRepeatedDirectCommands makes copies of direct commands arrive once more at the workers that have executed and
// answered them. For each direct command with a start, delays returns how much later the copies arrive. Nil sends no
// copies.
func (c *Cloud) SetRepeatedDirectCommands(delays func(machine string) []time.Duration) {
	c.resultsMu.Lock()
	defer c.resultsMu.Unlock()
	c.repeatDelays = delays
}

// directRepeatDelays returns after which times copies of a machine's newest direct command arrive.
func (c *Cloud) directRepeatDelays(machine string) []time.Duration {
	c.resultsMu.Lock()
	delays := c.repeatDelays
	c.resultsMu.Unlock()
	if delays == nil {
		return nil
	}
	return delays(machine)
}

// countCopy counts a copy of direct commands that has arrived.
func (c *Cloud) countCopy() {
	c.resultsMu.Lock()
	defer c.resultsMu.Unlock()
	c.copies++
}

// CopiesOfDirectCommands returns how many copies of executed direct commands have arrived at workers.
func (c *Cloud) CopiesOfDirectCommands() int {
	c.resultsMu.Lock()
	defer c.resultsMu.Unlock()
	return c.copies
}

// RepeatDirectCommands delivers copies of all direct commands with starts that a machine has executed in its present
// incarnation, oldest first. It returns how many copies there were.
func (c *Cloud) RepeatDirectCommands(machine string) (copies int) {
	w := c.worker(machine)
	if w == nil {
		return 0
	}
	w.mu.Lock()
	requests := slices.Clone(w.executedCalls)
	w.mu.Unlock()
	for _, request := range requests {
		w.executeCopy(request)
	}
	return len(requests)
}

// ExecutedDirectCommands returns how many direct commands with starts a machine has executed in its present
// incarnation.
func (c *Cloud) ExecutedDirectCommands(machine string) int {
	w := c.worker(machine)
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.executedCalls)
}

// reportRepeatedStart logs that a copy of a direct command starts a forgotten attempt, or could do so, and calls
// OnRepeatedStart, if it is set.
func (c *Cloud) reportRepeatedStart(machine string, start protocol.Command, problem string) {
	c.options.Log.Error(problem, "machine", machine, "task", start.Task, "attempt", start.Attempt)
	if c.options.OnRepeatedStart != nil {
		c.options.OnRepeatedStart(machine, start.Task, start.Attempt, problem)
	}
}

// FailTask makes a task fail that runs on a machine. It reports whether the task ran there.
func (c *Cloud) FailTask(machine, name string) bool {
	w := c.worker(machine)
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.Task == name && t.State == protocol.TaskRunning {
			w.endTask(t, protocol.ReasonError)
			return true
		}
	}
	return false
}
