package scheduler

import (
	"log/slog"
	"reflect"
	"testing"

	"quillshunt/internal/protocol"
)

// TestOutboxKeepsOrderAndPendingWrites checks that effects keep the order in which they were emitted, and
// that the purpose of each write is stored until the write is completed.
func TestOutboxKeepsOrderAndPendingWrites(t *testing.T) {
	o := newOutbox()
	conditions := []protocol.Condition{{Key: "a", Version: 7}}
	operations := []protocol.Operation{{Delete: "a"}}
	o.logInfo("started", keyMachine, "m-1")
	o.write(rentalWrite{rental: "h-1"}, conditions, operations)
	o.logWarn("refused")
	o.writeBulk(finishedTasksRemoval{}, nil, operations)
	expected := []Effect{
		LogEntry{Level: slog.LevelInfo, Message: "started", Args: []any{"machine", "m-1"}},
		WriteRecords{ID: 1, Conditions: conditions, Operations: operations},
		LogEntry{Level: slog.LevelWarn, Message: "refused"},
		WriteRecords{ID: 2, Bulk: true, Operations: operations},
	}
	if !reflect.DeepEqual(o.effects, expected) {
		t.Errorf("effects:\n%+v\nwant:\n%+v", o.effects, expected)
	}
	if purpose := o.takePendingWrite(1); purpose != (rentalWrite{rental: "h-1"}) {
		t.Errorf("purpose of the first write: %+v, want the rentalWrite", purpose)
	}
	if purpose := o.takePendingWrite(1); purpose != nil {
		t.Errorf("the first write is still pending after its completion: %+v", purpose)
	}
	if purpose := o.takePendingWrite(2); purpose != (finishedTasksRemoval{}) {
		t.Errorf("purpose of the second write: %+v, want the finishedTasksRemoval", purpose)
	}
}
