package scheduler

import (
	"sort"
	"strings"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// finalJobPrefix is the prefix of the keys of final job records.
var finalJobPrefix = storage.FinalJobKey("")

// storedRecord is the value of a key and the revision at which it was written.
type storedRecord struct {
	version uint64
	value   protocol.Raw
}

// sortedKeysWithPrefix returns the keys that begin with a prefix, in ascending order.
func (s *simulation) sortedKeysWithPrefix(prefix string) []string {
	var keys []string
	for key := range s.records {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// writeJob writes the record of a job, as the controller that handles the user's request does. The leader,
// and earlier leaders that are still running, receive the record later through their watches.
func (s *simulation) writeJob(key string, record any) {
	s.revision++
	s.records[key] = storedRecord{s.revision, protocol.Encode(record)}
	for _, controller := range s.leaders {
		if controller.stopped {
			continue
		}
		s.afterFunc(s.randomDuration(time.Millisecond, 500*time.Millisecond), func() {
			if _, ok := s.records[key]; ok && !controller.stopped {
				s.stepJobChanged(controller, key)
			}
		})
	}
}

// executeWrite executes a transaction if the leader key is still that of the controller's term and all
// conditions of the transaction hold.
func (s *simulation) executeWrite(controller *simulatedController, write WriteRecords) {
	if controller.term != s.term {
		controller.stopped = true // the condition on the leader key fails, which ends the term
		return
	}
	if !s.conditionsHold(write) {
		s.step(controller, WriteCompleted{ID: write.ID})
		return
	}
	s.applyWrite(write)
	version := s.revision
	s.afterFunc(5*time.Millisecond, func() {
		s.step(controller, WriteCompleted{ID: write.ID, Committed: true, Version: version})
	})
	s.repeatWrite(controller.term, write)
}

// conditionsHold reports whether the conditions of a transaction hold, apart from the one on the leader key.
func (s *simulation) conditionsHold(write WriteRecords) bool {
	for _, condition := range write.Conditions {
		if s.records[condition.Key].version != condition.Version {
			return false
		}
	}
	return true
}

// applyWrite applies the operations of a transaction.
func (s *simulation) applyWrite(write WriteRecords) {
	s.revision++
	for _, operation := range write.Operations {
		if operation.Delete != "" {
			delete(s.records, operation.Delete)
			continue
		}
		s.records[operation.Put] = storedRecord{s.revision, operation.Value}
		if id, ok := strings.CutPrefix(operation.Put, finalJobPrefix); ok {
			s.checkFinalRecord(id, operation.Value)
		}
	}
}
