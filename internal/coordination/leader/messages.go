package leader

import (
	"context"
	"time"

	"quillshunt/internal/coordination/scheduler"
)

type heartbeatMessage struct {
	body           []byte // as it came: the actor decodes all reports, those relayed included
	reply          HeartbeatResponder
	arrived        time.Time
	relayed        bool
	sameConnection bool
}

// observedRevisionMessage comes after all changes of open jobs up to a revision.
type observedRevisionMessage uint64

type taskCountsMessage struct {
	job   string
	reply chan scheduler.TaskCounts
}

type cancellationMessage struct {
	change scheduler.JobChanged
	reply  chan bool
}

type inspectMessage struct {
	job   string
	reply chan scheduler.Snapshot
}

// request leaves a question for the actor and waits for the answer.
func request[T any](ctx context.Context, t *term, msg any, reply <-chan T) (answer T, ok bool) {
	select {
	case t.mailbox <- msg:
	case <-ctx.Done():
		return answer, false
	}
	select {
	case answer = <-reply:
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}
