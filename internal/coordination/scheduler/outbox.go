package scheduler

import (
	"log/slog"

	"quillshunt/internal/protocol"
)

// outbox collects the effects of the event at hand and remembers what each write was for.
type outbox struct {
	effects       []Effect
	pendingWrites map[uint64]pendingWrite
	writeSequence uint64
}

// newOutbox returns an outbox without effects and pending writes.
func newOutbox() outbox { return outbox{pendingWrites: map[uint64]pendingWrite{}} }

// emit adds an effect to those of this event.
func (o *outbox) emit(e Effect) { o.effects = append(o.effects, e) }

// logInfo emits a log entry that operators may read; args are alternating keys and values.
func (o *outbox) logInfo(message string, args ...any) {
	o.emit(LogEntry{Level: slog.LevelInfo, Message: message, Args: args})
}

// logWarn emits a log entry that operators should look at; args are alternating keys and values.
func (o *outbox) logWarn(message string, args ...any) {
	o.emit(LogEntry{Level: slog.LevelWarn, Message: message, Args: args})
}

type writeKind uint8

const (
	writeChunk writeKind = iota
	writeFinal
	writeRental
	writeRentalRemove
	writeRegistration
	writeRegistrationRemove
	writeCleanup
)

// pendingWrite is what a WriteOut was for.
type pendingWrite struct {
	kind         writeKind
	job          *job
	count        int    // chunk; of a page, how many machines of it this write makes durable
	sequence     uint64 // chunk version
	rental       string
	answered     bool // this write makes a rental's machines durable
	registryPage *registryPage
}

// write emits a write of records and remembers what it was for until its WriteCompleted arrives.
func (o *outbox) write(purpose pendingWrite, conditions []protocol.Condition, operations []protocol.Operation) {
	o.writeSequence++
	o.pendingWrites[o.writeSequence] = purpose
	o.emit(WriteRecords{
		ID:         o.writeSequence,
		Bulk:       purpose.kind == writeChunk || purpose.kind == writeCleanup,
		Conditions: conditions,
		Operations: operations,
	})
}
