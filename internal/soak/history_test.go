package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"quillshunt/internal/protocol"
)

// operation is what a user asks for.
type operation string

const (
	submission   operation = "submit"
	question     operation = "ask"
	cancellation operation = "cancel"
)

// answer is a response to a user. Times are measured from the start of the run.
type answer struct {
	Job          string
	Operation    operation
	Node         string
	SentAt       time.Duration
	ReceivedAt   time.Duration
	Status       int               // 0: no response
	State        protocol.JobState // "" if the response has none
	AllTasksDone bool              // all tasks of the job had completed when the response arrived
}

// isAnswer reports whether the response says something about the job.
func (a *answer) isAnswer() bool { return a.Status == http.StatusOK || a.Status == http.StatusCreated }

// isFinal reports whether the response says that the job has ended.
func (a *answer) isFinal() bool {
	return a.isAnswer() && (a.State == protocol.JobDone || a.State == protocol.JobCancelled)
}

// taskChange is the start or end of a task on a machine.
type taskChange struct {
	Task    string
	Machine string
	At      time.Duration
	Runs    bool
	Alone   bool // the lease of any other machine that has the task had expired
}

// execution is the execution of commands on a machine, with the fencing token that came with them.
type execution struct {
	Machine      string
	Incarnation  uint64
	FencingToken uint64
}

// runningTask is a task that is on a machine at a time.
type runningTask struct {
	Task, Machine string
	At            time.Duration
}

// history is all that can be observed from outside a run.
type history struct {
	Answers        []answer
	TaskChanges    []taskChange
	Running        []runningTask // samples
	Executions     []execution
	RepeatedStarts []string        // forgotten attempts that copies of commands have or could have started
	Submitted      map[string]bool // jobs that users tried to submit
	EndedByItself  []string        // processes that ended without being killed
	ErrorLines     []string        // of the controllers' logs
	HealedAt       time.Duration   // when all faults were over
	EndedAt        time.Duration
	Unfinished     []string // accepted jobs that were neither cancelled nor done at the end, beside free machines
	LeftMachines   []string // machines that were neither returned nor needed at the end
}

// Bounds of the rules, from the users.
const (
	maxUnanswered = 75 * time.Second
	maxWaiting    = 90 * time.Second
)

// violations returns a message for each violation of an invariant.
func (h *history) violations(cancelWithin time.Duration) []string {
	var found []string
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for job, answers := range h.answersByJob() {
		h.checkAnswers(job, answers, report)
		h.checkForgotten(job, answers, report)
		h.checkCancelled(job, answers, cancelWithin, report)
	}
	for _, change := range h.TaskChanges {
		if change.Runs && !change.Alone {
			report("ran_twice: %s starts on %s at %v while it is on another machine",
				change.Task, change.Machine, change.At)
		}
	}
	for _, start := range h.RepeatedStarts {
		report("ran_twice: %s", start)
	}
	h.checkTokens(report)
	for _, name := range h.EndedByItself {
		report("ended: %s ended by itself", name)
	}
	for _, line := range h.ErrorLines {
		report("error line: %s", line)
	}
	for _, job := range h.Unfinished {
		report("waits: %s is not done %v after the end of all faults", job, maxWaiting)
	}
	for _, machine := range h.LeftMachines {
		report("rental: %s is neither returned nor needed", machine)
	}
	slices.Sort(found)
	return found
}

// answersByJob returns the answers about each job in the order in which they arrived.
func (h *history) answersByJob() map[string][]answer {
	byJob := map[string][]answer{}
	for _, a := range h.Answers {
		byJob[a.Job] = append(byJob[a.Job], a)
	}
	for _, answers := range byJob {
		slices.SortStableFunc(answers, func(a, b answer) int { return cmp.Compare(a.ReceivedAt, b.ReceivedAt) })
	}
	return byJob
}

type reportFunc func(format string, args ...any)

// checkAnswers checks that no answer contradicts one that had arrived before its request was sent.
func (h *history) checkAnswers(job string, answers []answer, report reportFunc) {
	acceptedAt, finalAt, cancelSentAt := time.Duration(-1), time.Duration(-1), time.Duration(-1)
	var final protocol.JobState
	for _, a := range answers {
		if a.Operation == cancellation && (cancelSentAt < 0 || a.SentAt < cancelSentAt) {
			cancelSentAt = a.SentAt
		}
	}
	for _, a := range answers {
		wasAccepted := acceptedAt >= 0 && acceptedAt < a.SentAt
		wasFinal := finalAt >= 0 && finalAt < a.SentAt
		switch {
		case a.isAnswer() && !h.Submitted[job]:
			report("invented: %s, which nobody submitted, is answered with %d at %v", job, a.Status, a.ReceivedAt)
		case wasAccepted && (a.Status == http.StatusNotFound || a.Status == http.StatusBadRequest ||
			a.Status == http.StatusUnprocessableEntity):
			report("forgotten: %s was accepted at %v; %s at %v by %s is answered with %d",
				job, acceptedAt, a.Operation, a.SentAt, a.Node, a.Status)
		case wasFinal && a.isAnswer() && a.State != final:
			report("went_back: %s was %s at %v; %s at %v by %s is answered with %s",
				job, final, finalAt, a.Operation, a.SentAt, a.Node, a.State)
		case a.isAnswer() && a.State == protocol.JobDone && !a.AllTasksDone:
			report("not_done: %s is called done at %v before all its tasks are", job, a.ReceivedAt)
		case a.isAnswer() && a.State == protocol.JobCancelled && (cancelSentAt < 0 || cancelSentAt > a.ReceivedAt):
			report("went_back: %s is called cancelled at %v, which its user did not ask for", job, a.ReceivedAt)
		}
		if a.isAnswer() && acceptedAt < 0 {
			acceptedAt = a.ReceivedAt
		}
		if a.isFinal() && finalAt < 0 {
			finalAt, final = a.ReceivedAt, a.State
		}
	}
}

// checkForgotten checks that no accepted job stays without an answer for too long once all faults are over.
// Users stop asking when a job has ended.
func (h *history) checkForgotten(job string, answers []answer, report reportFunc) {
	accepted := false
	last, asked := h.HealedAt, false
	for _, a := range answers {
		if a.ReceivedAt >= h.HealedAt && accepted && a.Operation == question {
			asked = true
			if gap := a.ReceivedAt - last; gap > maxUnanswered {
				report("forgotten: no question about %s was answered from %v to %v", job, last, a.ReceivedAt)
				last = a.ReceivedAt
			}
		}
		accepted = accepted || a.isAnswer()
		if a.isAnswer() && a.ReceivedAt > last {
			last, asked = a.ReceivedAt, false
		}
		if a.isFinal() {
			return
		}
	}
	if accepted && asked && h.EndedAt-last > maxUnanswered {
		report("forgotten: no question about %s was answered from %v to the end at %v", job, last, h.EndedAt)
	}
}

// checkCancelled checks that the tasks of a job are gone in time after its cancellation was confirmed.
func (h *history) checkCancelled(job string, answers []answer, within time.Duration, report reportFunc) {
	confirmed := slices.IndexFunc(answers, func(a answer) bool {
		return a.isAnswer() && a.State == protocol.JobCancelled
	})
	if confirmed < 0 {
		return
	}
	end := answers[confirmed].ReceivedAt + within
	for _, change := range h.TaskChanges {
		if change.Runs && change.At > end && isTaskOf(change.Task, job) {
			report("ran_cancelled: %s starts on %s at %v, later than %v", change.Task, change.Machine, change.At, end)
		}
	}
	for _, running := range h.Running {
		if running.At > end && isTaskOf(running.Task, job) {
			report("ran_cancelled: %s is on %s at %v, later than %v", running.Task, running.Machine, running.At, end)
		}
	}
}

// isTaskOf reports whether a task is one of a job.
func isTaskOf(task, job string) bool { return strings.HasPrefix(task, job+"/") }

// checkTokens checks that the fencing tokens of the commands that a machine executes never decrease.
func (h *history) checkTokens(report reportFunc) {
	highest := map[string]uint64{}
	for _, e := range h.Executions {
		if e.FencingToken < highest[e.Machine] {
			report("token: %s executes commands with token %d after %d", e.Machine, e.FencingToken, highest[e.Machine])
		}
		highest[e.Machine] = max(highest[e.Machine], e.FencingToken)
	}
}
