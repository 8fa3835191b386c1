package leader

import "quillshunt/internal/coordination/scheduler"

// writeQueue holds the writes that wait for the writer. It is owned by the term's actor.
type writeQueue struct {
	urgent []scheduler.WriteRecords
	bulk   []scheduler.WriteRecords // sent only while no other write waits
}

// add appends a write.
func (q *writeQueue) add(write scheduler.WriteRecords) {
	if write.Bulk {
		q.bulk = append(q.bulk, write)
	} else {
		q.urgent = append(q.urgent, write)
	}
}

// first returns the write that is to be sent next, or false if none waits.
func (q *writeQueue) first() (scheduler.WriteRecords, bool) {
	queue := q.next()
	if len(*queue) == 0 {
		return scheduler.WriteRecords{}, false
	}
	return (*queue)[0], true
}

// removeFirst removes the write that first returned.
func (q *writeQueue) removeFirst() {
	queue := q.next()
	*queue = (*queue)[1:]
}

// next is the queue that the next write comes from.
func (q *writeQueue) next() *[]scheduler.WriteRecords {
	if len(q.urgent) > 0 {
		return &q.urgent
	}
	return &q.bulk
}
