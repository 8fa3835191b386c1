package leader

import (
	"errors"
	"fmt"
	"net/http"

	"quillshunt/internal/protocol"
)

// Errors of the cloud and of workers that callers tell apart. Those of the connection are of
// package transport.
var (
	// errNoCapacity means that the cloud has no machines of the requested kind.
	errNoCapacity = errors.New("cloud: no capacity")
	// errRentalRejected means that the cloud treats a rental request as malformed.
	errRentalRejected = errors.New("cloud: request rejected")
	// errNotEntitled means that the term was no longer entitled when a worker was to be called.
	errNotEntitled = errors.New("no longer entitled")
)

// statusError is an answer of the cloud or a worker with a status that the request does not expect.
type statusError struct {
	service   string // "cloud" or "worker"
	operation string
	status    int
	reason    string // given by the service, or ""
}

func (e *statusError) Error() string {
	text := fmt.Sprintf("%s: %s: status %d", e.service, e.operation, e.status)
	if e.reason != "" {
		text += ": " + e.reason
	}
	return text
}

// commandsRejectedError means that a worker executed none of the commands sent to it.
type commandsRejectedError struct {
	heartbeat *protocol.Heartbeat // the state of the worker instead
}

func (e *commandsRejectedError) Error() string {
	return fmt.Sprintf("worker: do: status %d: no command executed", http.StatusConflict)
}
