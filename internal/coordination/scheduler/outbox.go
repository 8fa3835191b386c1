package scheduler

import (
	"log/slog"

	"quillshunt/internal/protocol"
)

// outbox collects the effects of the current event and stores the purpose of each pending write.
type outbox struct {
	effects       []Effect
	pendingWrites map[uint64]pendingWrite // by ID
	lastWriteID   uint64                  // ID of the newest write; IDs count up from 1
	withheld      map[WithheldReason]int  // commands that were not sent in this step; nil if there are none
}

// newOutbox returns an empty outbox.
func newOutbox() outbox { return outbox{pendingWrites: map[uint64]pendingWrite{}} }

// emit appends an effect to those of the current event.
func (o *outbox) emit(e Effect) { o.effects = append(o.effects, e) }

// logInfo emits a log entry at the info level; args are alternating keys and values.
func (o *outbox) logInfo(message string, args ...any) {
	o.emit(LogEntry{Level: slog.LevelInfo, Message: message, Args: args})
}

// logWarn emits a log entry about something that an operator should look into; args are alternating
// keys and values.
func (o *outbox) logWarn(message string, args ...any) {
	o.emit(LogEntry{Level: slog.LevelWarn, Message: message, Args: args})
}

// write emits a WriteRecords and stores its purpose until the WriteCompleted arrives.
func (o *outbox) write(purpose pendingWrite, conditions []protocol.Condition, operations []protocol.Operation) {
	o.emitWrite(purpose, false, conditions, operations)
}

// writeBulk is like write, but at low priority: the write yields to all writes that are not bulk.
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

// takePendingWrite removes a pending write and returns its purpose, or nil if no write with that ID is
// pending.
func (o *outbox) takePendingWrite(id uint64) pendingWrite {
	purpose := o.pendingWrites[id]
	delete(o.pendingWrites, id)
	return purpose
}
