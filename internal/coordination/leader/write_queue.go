package leader

import "quillshunt/internal/coordination/scheduler"

// writeQueue holds the writes that have not been sent to the writer yet. Regular writes come before
// bulk writes. Only the actor's goroutine may use it.
type writeQueue struct {
	regular []scheduler.WriteRecords
	bulk    []scheduler.WriteRecords // sent only if no regular write waits
}

// add appends a write to the queue of its kind.
func (q *writeQueue) add(write scheduler.WriteRecords) {
	if write.Bulk {
		q.bulk = append(q.bulk, write)
	} else {
		q.regular = append(q.regular, write)
	}
}

// peek returns the next write without removing it, or false if the queue is empty.
func (q *writeQueue) peek() (scheduler.WriteRecords, bool) {
	queue := q.activeQueue()
	if len(*queue) == 0 {
		return scheduler.WriteRecords{}, false
	}
	return (*queue)[0], true
}

// pop removes the write that peek returns. The queue must not be empty.
func (q *writeQueue) pop() {
	queue := q.activeQueue()
	*queue = (*queue)[1:]
}

// activeQueue returns the queue from which the next write is taken.
func (q *writeQueue) activeQueue() *[]scheduler.WriteRecords {
	if len(q.regular) > 0 {
		return &q.regular
	}
	return &q.bulk
}
