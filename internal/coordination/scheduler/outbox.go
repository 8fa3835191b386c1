package scheduler

import (
	"log/slog"

	"quillshunt/internal/protocol"
)

// outbox collects the effects of the event that is processed, and remembers what each write was for.
type outbox struct {
	effects       []Effect
	pendingWrites map[uint64]pendingWrite // by ID
	lastWriteID   uint64                  // the ID of the last write
}

// newOutbox returns an outbox without effects or pending writes.
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

// write emits a write of records and remembers what it was for until its WriteCompleted arrives.
func (o *outbox) write(purpose pendingWrite, conditions []protocol.Condition, operations []protocol.Operation) {
	o.emitWrite(purpose, false, conditions, operations)
}

// writeBulk is like write, for records that can wait for all others.
func (o *outbox) writeBulk(purpose pendingWrite, conditions []protocol.Condition, operations []protocol.Operation) {
	o.emitWrite(purpose, true, conditions, operations)
}

func (o *outbox) emitWrite(
	purpose pendingWrite, bulk bool, conditions []protocol.Condition, operations []protocol.Operation,
) {
	o.lastWriteID++
	o.pendingWrites[o.lastWriteID] = purpose
	o.emit(WriteRecords{ID: o.lastWriteID, Bulk: bulk, Conditions: conditions, Operations: operations})
}

// takePendingWrite returns what a write was for, and forgets it. It returns nil if the write is not
// known.
func (o *outbox) takePendingWrite(id uint64) pendingWrite {
	purpose := o.pendingWrites[id]
	delete(o.pendingWrites, id)
	return purpose
}
