package scheduler

import (
	"log/slog"
	"reflect"
	"testing"

	"quillshunt/internal/protocol"
)

// TestOutboxKeepsOrderAndPendingWrites: effects go out in order, and each write is known until it is completed.
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
		t.Errorf("effects:\n%+v, expected\n%+v", o.effects, expected)
	}
	if purpose := o.takePendingWrite(1); purpose != (rentalWrite{rental: "h-1"}) {
		t.Errorf("the first write was for %+v", purpose)
	}
	if purpose := o.takePendingWrite(1); purpose != nil {
		t.Errorf("a completed write is still pending: %+v", purpose)
	}
	if purpose := o.takePendingWrite(2); purpose != (finishedTasksRemoval{}) {
		t.Errorf("the second write was for %+v", purpose)
	}
}
