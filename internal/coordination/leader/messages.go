package leader

import (
	"context"
	"time"

	"quillshunt/internal/coordination/scheduler"
)

// message is a message in the mailbox of an actor. The types that implement it are declared below.
type message interface{ isMessage() }

// heartbeatMessage is a worker's heartbeat. It has a queue of its own.
type heartbeatMessage struct {
	body           []byte // encoded; the actor decodes direct and relayed heartbeats
	respond        HeartbeatResponderFunc
	arrivedAt      time.Time
	relayed        bool // received and relayed by another controller
	sameConnection bool // see Dispatcher.HandleHeartbeat
}

// eventMessage passes an event to the scheduler: a change of an open job or the outcome of an effect.
type eventMessage struct{ event scheduler.Event }

// observedRevisionMessage is sent after the events for all changes of open jobs up to a revision.
type observedRevisionMessage struct{ revision uint64 }

// taskCountsMessage requests the task counts of a job.
type taskCountsMessage struct {
	job    string
	sentAt time.Time
	reply  chan scheduler.TaskCounts
}

// cancellationMessage passes the record of a cancelled job to the scheduler. The reply is whether this
// leader was still entitled after the scheduler had processed the record.
type cancellationMessage struct {
	change scheduler.JobChanged
	sentAt time.Time
	reply  chan bool
}

// statusMessage requests a snapshot of the scheduler. If a job is named, the snapshot explains why it
// waits.
type statusMessage struct {
	job   string
	reply chan scheduler.Snapshot
}

func (eventMessage) isMessage()            {}
func (observedRevisionMessage) isMessage() {}
func (taskCountsMessage) isMessage()       {}
func (cancellationMessage) isMessage()     {}
func (statusMessage) isMessage()           {}

// send puts a message into the mailbox. It blocks while the mailbox is full, until the context ends.
func (t *termActor) send(ctx context.Context, msg message) {
	select {
	case t.mailbox <- msg:
	case <-ctx.Done():
	}
}

// sendEvent puts an event for the scheduler into the mailbox. It blocks like send.
func (t *termActor) sendEvent(ctx context.Context, event scheduler.Event) {
	t.send(ctx, eventMessage{event})
}

// requestReply sends a message to the actor and waits for the reply. It returns false if the context ends
// first. The reply channel must be buffered, so that the actor never blocks on a late reply.
func requestReply[T any](ctx context.Context, t *termActor, msg message, replies <-chan T) (reply T, ok bool) {
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
