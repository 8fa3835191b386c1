package scheduler

import (
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// checkFinalRecord checks that a job is reported done only when all of its tasks are, and cancelled
// only if its user asked for that.
func (s *simulation) checkFinalRecord(id string, data protocol.Raw) {
	var final storage.FinalJob
	s.must(protocol.Decode(data, &final))
	job := s.jobs[id]
	switch {
	case job == nil:
		s.t.Fatalf("invented: %s", id)
	case final.State == protocol.Done && len(job.done) < job.spec.Tasks:
		s.t.Fatalf("not_done: %s with %d of %d", id, len(job.done), job.spec.Tasks)
	case final.State == protocol.Aborted && job.cancelledAt == 0:
		s.t.Fatalf("went_back: %s cancelled by nobody", id)
	case final.State == protocol.Done && job.cancelledAt != 0:
		s.t.Fatalf("went_back: %s done after it was cancelled", id)
	}
}

func (s *simulation) checkCancelled(job *simulatedJob, where string) {
	if job.cancelledAt != 0 && s.now > job.cancelledAt+time.Duration(s.workers.CancelS*float64(time.Second)) {
		s.t.Fatalf("ran_cancelled: %s", where)
	}
}
