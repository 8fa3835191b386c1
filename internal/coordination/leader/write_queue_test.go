package leader

import (
	"slices"
	"testing"

	"quillshunt/internal/coordination/scheduler"
)

// TestWriteQueueOrder checks that regular writes come before bulk writes, and that the writes of each kind
// keep their order.
func TestWriteQueueOrder(t *testing.T) {
	var queue writeQueue
	for _, write := range []scheduler.WriteRecords{{ID: 1, Bulk: true}, {ID: 2}, {ID: 3, Bulk: true}, {ID: 4}} {
		queue.add(write)
	}
	var ids []uint64
	for {
		write, ok := queue.peek()
		if !ok {
			break
		}
		ids = append(ids, write.ID)
		queue.pop()
	}
	if !slices.Equal(ids, []uint64{2, 4, 1, 3}) {
		t.Errorf("order %v, want 2, 4, 1, 3", ids)
	}
}
