package leader

import "quillshunt/internal/coordination/scheduler"

// writeQueue holds the writes that wait for the writer. It is owned by the term's actor.
type writeQueue struct {
	regular []scheduler.WriteRecords
	bulk    []scheduler.WriteRecords // sent only while no other write waits
}

// add appends a write.
func (q *writeQueue) add(write scheduler.WriteRecords) {
	if write.Bulk {
		q.bulk = append(q.bulk, write)
	} else {
		q.regular = append(q.regular, write)
	}
}

// peek returns the write that is to be sent next, or false if none waits.
func (q *writeQueue) peek() (scheduler.WriteRecords, bool) {
	queue := q.activeQueue()
	if len(*queue) == 0 {
		return scheduler.WriteRecords{}, false
	}
	return (*queue)[0], true
}

// pop removes the write that peek returned.
func (q *writeQueue) pop() {
	queue := q.activeQueue()
	*queue = (*queue)[1:]
}

// activeQueue is the queue that the next write comes from.
func (q *writeQueue) activeQueue() *[]scheduler.WriteRecords {
	if len(q.regular) > 0 {
		return &q.regular
	}
	return &q.bulk
}
