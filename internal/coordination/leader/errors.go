package leader

import (
	"errors"
	"fmt"
	"net/http"

	"quillshunt/internal/protocol"
)

// Errors of calls to the cloud and to workers that callers check for. Connection errors are defined in
// package transport.
var (
	// errNoCapacity means that the cloud has no machines of the requested kind.
	errNoCapacity = errors.New("no capacity")
	// errRentalRejected means that the cloud rejected a rental request as malformed.
	errRentalRejected = errors.New("rejected as malformed")
	// errNotEntitled means that no commands were sent because this leader is not entitled at the moment.
	errNotEntitled = errors.New("this leader is not entitled at the moment")
	// errTermOver means that another controller has replaced this leader.
	errTermOver = errors.New("another controller has replaced this leader")
)

// statusError is a reply of the cloud or a worker with a status that the operation does not expect.
type statusError struct {
	service   string // "cloud" or "worker"
	operation string // such as "rent machines"
	status    int
	reason    string // from the body of the reply, or ""
}

func (e *statusError) Error() string {
	text := fmt.Sprintf("%s: %s: unexpected status %d", e.service, e.operation, e.status)
	if e.reason != "" {
		text += ": " + e.reason
	}
	return text
}

// commandsRejectedError means that a worker rejected a list of commands and executed none of them.
type commandsRejectedError struct {
	heartbeat *protocol.Heartbeat // the worker's current state, from the reply
}

func (e *commandsRejectedError) Error() string {
	return fmt.Sprintf("worker: send commands: status %d: no command executed", http.StatusConflict)
}
