package leader

import (
	"context"
	"time"

	"quillshunt/internal/coordination/scheduler"
)

// message is what the mailbox of a term carries. Its types are those of this file.
type message interface{ isMessage() }

// heartbeatMessage is a worker's heartbeat.
type heartbeatMessage struct {
	body           []byte // not decoded yet: the actor decodes all heartbeats, relayed ones included
	respond        HeartbeatResponderFunc
	arrivedAt      time.Time
	relayed        bool // came through another controller
	sameConnection bool // see Dispatcher.HandleHeartbeat
}

// eventMessage is an event for the scheduler: a changed job, or the outcome of an effect.
type eventMessage struct{ event scheduler.Event }

// observedRevisionMessage follows all changes of open jobs up to a revision.
type observedRevisionMessage struct{ revision uint64 }

// taskCountsMessage asks for the task counts of a job.
type taskCountsMessage struct {
	job   string
	reply chan scheduler.TaskCounts
}

// cancellationMessage is the record of a cancelled job. The reply is whether the term was entitled
// after the scheduler had processed the record.
type cancellationMessage struct {
	change scheduler.JobChanged
	reply  chan bool
}

// inspectMessage asks for a snapshot, with an explanation why a job waits if one is named.
type inspectMessage struct {
	job   string
	reply chan scheduler.Snapshot
}

func (heartbeatMessage) isMessage()        {}
func (eventMessage) isMessage()            {}
func (observedRevisionMessage) isMessage() {}
func (taskCountsMessage) isMessage()       {}
func (cancellationMessage) isMessage()     {}
func (inspectMessage) isMessage()          {}

// send puts a message into the mailbox. It waits while the mailbox is full.
func (t *termActor) send(ctx context.Context, msg message) {
	select {
	case t.mailbox <- msg:
	case <-ctx.Done():
	}
}

// sendEvent puts an event for the scheduler into the mailbox. It waits while the mailbox is full.
func (t *termActor) sendEvent(ctx context.Context, event scheduler.Event) {
	t.send(ctx, eventMessage{event})
}

// request sends a message to the actor and waits for the reply. The reply channel must have a
// buffer, as nobody reads from it once the context is over.
func request[T any](ctx context.Context, t *termActor, msg message, replies <-chan T) (reply T, ok bool) {
	select {
	case t.mailbox <- msg:
	case <-ctx.Done():
		return reply, false
	}
	select {
	case reply = <-replies:
		return reply, true
	case <-ctx.Done():
		return reply, false
	}
}
