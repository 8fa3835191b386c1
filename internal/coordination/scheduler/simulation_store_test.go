package scheduler

import (
	"sort"
	"time"

	"quillshunt/internal/protocol"
)

type storedRecord struct {
	version uint64
	value   protocol.Raw
}

func (s *simulation) sortedKeys(prefix string) []string {
	var keys []string
	for key := range s.records {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// putJob writes a job's record as the controller that serves the user's request does. The leader
// learns of it by its watch.
func (s *simulation) putJob(key string, record any) {
	s.revision++
	s.records[key] = storedRecord{s.revision, protocol.Encode(record)}
	for _, controller := range s.leaders {
		if controller.dead {
			continue
		}
		s.after(s.between(time.Millisecond, 500*time.Millisecond), func() {
			if _, ok := s.records[key]; ok && !controller.dead {
				s.stepJobChanged(controller, key)
			}
		})
	}
}

func (s *simulation) executeWrite(controller *simulatedController, write WriteRecords) {
	if controller.term != s.term {
		controller.dead = true // the condition on the leader key fails: its term is over
		return
	}
	for _, condition := range write.Conditions {
		if s.records[condition.Key].version != condition.Version {
			s.step(controller, WriteCompleted{ID: write.ID})
			return
		}
	}
	s.revision++
	for _, operation := range write.Operations {
		if operation.Delete != "" {
			delete(s.records, operation.Delete)
			continue
		}
		s.records[operation.Put] = storedRecord{s.revision, operation.Value}
		if len(operation.Put) > 6 && operation.Put[:6] == "final/" {
			s.checkFinalRecord(operation.Put[6:], operation.Value)
		}
	}
	version := s.revision
	s.after(5*time.Millisecond, func() { s.step(controller, WriteCompleted{ID: write.ID, OK: true, Version: version}) })
}
