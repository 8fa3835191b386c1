package scheduler

import (
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// memoryStore is an in-memory state service that supports only transactions.
type memoryStore struct {
	records    map[string]storedRecord
	version    uint64
	operations int // number of operations executed
}

// execute executes the writes among the effects, sends their outcomes to the scheduler, and does the same
// with the effects of these. It returns the number of operations of the largest transaction.
func (m *memoryStore) execute(s *Scheduler, effects []Effect, now time.Duration) (largest int) {
	for _, effect := range effects {
		write, ok := effect.(WriteRecords)
		if !ok {
			continue
		}
		largest = max(largest, len(write.Operations))
		largest = max(largest, m.execute(s, s.Step(m.commit(write), now), now))
	}
	return largest
}

// commit executes one write if its conditions hold, and returns the outcome.
func (m *memoryStore) commit(write WriteRecords) WriteCompleted {
	for _, condition := range write.Conditions {
		if m.records[condition.Key].version != condition.Version {
			return WriteCompleted{ID: write.ID}
		}
	}
	m.version++
	m.operations += len(write.Operations)
	for _, operation := range write.Operations {
		if operation.Delete != "" {
			delete(m.records, operation.Delete)
			continue
		}
		m.records[operation.Put] = storedRecord{m.version, operation.Value}
	}
	return WriteCompleted{ID: write.ID, Committed: true, Version: m.version}
}

// put stores a record and returns its version.
func (m *memoryStore) put(key string, record any) uint64 {
	m.version++
	m.records[key] = storedRecord{m.version, protocol.Encode(record)}
	return m.version
}

// finishedTasks returns the finished tasks of a job that a new leader would load.
func (m *memoryStore) finishedTasks(t interface{ Fatal(...any) }, job string) map[int]bool {
	finished := map[int]bool{}
	for key, stored := range m.records {
		if id, _, ok := storage.ParseFinishedTasksKey(key); !ok || id != job {
			continue
		}
		var record storage.FinishedTasks
		if err := protocol.Decode(stored.value, &record); err != nil {
			t.Fatal(err)
		}
		_ = record.Decode(func(index int) { finished[index] = true })
	}
	return finished
}
