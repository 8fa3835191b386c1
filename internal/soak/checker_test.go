package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"quillshunt/internal/protocol"
)

// at returns an answer about job-1 that arrives half a second after its request was sent.
func at(sent time.Duration, operation operation, status int, state protocol.JobState) answer {
	return answer{
		Job: "job-1", Operation: operation, Node: "controller-0", SentAt: sent, ReceivedAt: sent + time.Second/2,
		Status: status, State: state, AllTasksDone: true,
	}
}

func pendingAt(sent time.Duration) answer {
	return at(sent, question, http.StatusOK, protocol.JobPending)
}

func failedAt(sent time.Duration) answer {
	return at(sent, question, http.StatusServiceUnavailable, "")
}

func doneAt(sent time.Duration) answer { return at(sent, question, http.StatusOK, protocol.JobDone) }

func cancelledAt(sent time.Duration) answer {
	return at(sent, cancellation, http.StatusOK, protocol.JobCancelled)
}

// startAt returns the start of the first task of job-1.
func startAt(at time.Duration, alone bool) taskChange {
	return taskChange{Task: "job-1/0", Machine: "m-1", At: at, Runs: true, Alone: alone}
}

const s = time.Second

// newValidHistory returns a history without a violation.
func newValidHistory() *history {
	return &history{
		Answers:     []answer{at(1*s, submission, http.StatusCreated, protocol.JobPending), pendingAt(5 * s)},
		TaskChanges: []taskChange{startAt(3*s, true)},
		Executions:  []execution{{Machine: "m-1", Incarnation: 1, FencingToken: 3}},
		Submitted:   map[string]bool{"job-1": true},
		HealedAt:    20 * s, EndedAt: 50 * s,
	}
}

// breach is a change of a valid history.
type breach struct {
	name string
	want string // beginning of the violation, "" for none
	make func(h *history)
}

// breachesOfAnswers are changes of what users are told.
var breachesOfAnswers = []breach{
	{"no breach", "", func(*history) {}},
	{"a question that was sent before the end gets an older answer", "", func(h *history) {
		slow := pendingAt(12 * s)
		slow.ReceivedAt = 20 * s
		h.Answers = append(h.Answers, doneAt(13*s), slow)
	}},
	{"an accepted job is unknown", "forgotten", func(h *history) {
		h.Answers = append(h.Answers, at(12*s, question, http.StatusNotFound, ""))
	}},
	{"a repeated submission is rejected", "forgotten", func(h *history) {
		h.Answers = append(h.Answers, at(12*s, submission, http.StatusUnprocessableEntity, ""))
	}},
	{"a job is without an answer after all faults", "forgotten", func(h *history) {
		h.EndedAt = 100 * s
		h.Answers = append(h.Answers, failedAt(30*s), failedAt(99*s))
	}},
	{"a job is answered late after all faults", "forgotten", func(h *history) {
		h.EndedAt = 100 * s
		h.Answers = append(h.Answers, failedAt(30*s), pendingAt(96*s))
	}},
	{"a done job is pending", "went_back", func(h *history) {
		h.Answers = append(h.Answers, doneAt(13*s), pendingAt(14*s))
	}},
	{"a cancelled job is done", "went_back", func(h *history) {
		h.Answers = append(h.Answers, cancelledAt(10*s), doneAt(13*s))
	}},
	{"a job is cancelled by itself", "went_back", func(h *history) {
		h.Answers = append(h.Answers, at(12*s, question, http.StatusOK, protocol.JobCancelled))
	}},
	{"a job is called done early", "not_done", func(h *history) {
		early := doneAt(12 * s)
		early.AllTasksDone = false
		h.Answers = append(h.Answers, early)
	}},
	{"a job is invented", "invented", func(h *history) { delete(h.Submitted, "job-1") }},
}

// breachesOfActions are changes of what controllers do.
var breachesOfActions = []breach{
	{"a task starts twice", "ran_twice", func(h *history) {
		h.TaskChanges = append(h.TaskChanges, startAt(9*s, false))
	}},
	{"a copy of a direct command starts a forgotten attempt", "ran_twice", func(h *history) {
		h.RepeatedStarts = append(h.RepeatedStarts, "job-1/0 on m-1")
	}},
	{"a cancelled task starts late", "ran_cancelled", func(h *history) {
		h.Answers = append(h.Answers, cancelledAt(10*s))
		h.TaskChanges = append(h.TaskChanges, startAt(60*s, true))
	}},
	{"a cancelled task runs on", "ran_cancelled", func(h *history) {
		h.Answers = append(h.Answers, cancelledAt(10*s))
		h.Running = append(h.Running, runningTask{Task: "job-1/0", Machine: "m-1", At: 60 * s})
	}},
	{"a fencing token decreases", "token", func(h *history) {
		h.Executions = append(h.Executions, execution{Machine: "m-1", Incarnation: 1, FencingToken: 2})
	}},
	{"a process ends", "ended", func(h *history) { h.EndedByItself = append(h.EndedByItself, "controller-1") }},
	{"an error is logged", "error line", func(h *history) { h.ErrorLines = append(h.ErrorLines, "level=ERROR") }},
	{"a job waits", "waits", func(h *history) { h.Unfinished = append(h.Unfinished, "job-1") }},
	{"a machine is left", "rental", func(h *history) { h.LeftMachines = append(h.LeftMachines, "m-1") }},
}

// TestCheckerFindsEachViolation checks that a history that breaks one invariant is found, and that the same
// history without the breach is not.
func TestCheckerFindsEachViolation(t *testing.T) {
	for _, b := range append(breachesOfAnswers, breachesOfActions...) {
		t.Run(b.name, func(t *testing.T) {
			h := newValidHistory()
			b.make(h)
			found := h.violations(25 * s)
			if b.want == "" && len(found) > 0 {
				t.Errorf("found %q, want no violation", found)
			}
			if b.want != "" && (len(found) == 0 || !strings.HasPrefix(found[0], b.want)) {
				t.Errorf("found %q, want a violation of %s", found, b.want)
			}
		})
	}
}
