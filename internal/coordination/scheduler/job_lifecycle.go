package scheduler

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// jobChanged brings a job in line with its open record.
func (s *Scheduler) jobChanged(e JobChanged) {
	j := s.jobs.find(e.JobID)
	if j == nil {
		j = s.jobs.open(e, s.finished.chunkCount(e.Record.Spec.Tasks))
		if j == nil {
			return
		}
		s.queue.invalidate()
	}
	if e.Version < j.version {
		return
	}
	j.version = e.Version
	if e.Record.Cancelled && !j.cancelled {
		// The time to stop the tasks counts from when the user may first have been told, also across
		// a failover. If it is over already, no leader knew of the cancellation, as it would have let
		// the leases expire in time; so the user was not told, and the time begins now.
		j.cancelled, j.cancelledAt, j.cancelSeenAt = true, s.now, s.now
		if e.SinceCancellation < limits.Seconds(s.cfg.Workers.CancelS) {
			j.cancelledAt -= e.SinceCancellation
		}
		s.logInfo("job cancelled", keyJob, j.id, "assigned", len(j.assignments))
	}
	if j.cancelled {
		s.assignments.withdrawAll(j, stopReasonCancelled)
		s.tryCloseJob(j)
	}
	s.placement.requestPass()
}

// tryCloseJob writes a job's final record once nothing of it is left to do.
func (s *Scheduler) tryCloseJob(j *job) {
	if !s.mayCloseJob(j) {
		return
	}
	state := protocol.JobDone
	if j.cancelled {
		state = protocol.JobCancelled
	}
	operations := []protocol.Operation{
		{Put: storage.FinalJobKey(j.id), Value: protocol.Encode(storage.FinalJob{State: state})},
		{Delete: storage.OpenJobKey(j.id)},
	}
	// What does not fit into this transaction is removed once the job is closed.
	keys := s.finished.recordKeys(j)
	fitting := min(len(keys), s.cfg.State.TxnOps-len(operations))
	for _, key := range keys[:fitting] {
		operations = append(operations, protocol.Operation{Delete: key})
	}
	j.remainingRecordKeys = keys[fitting:]
	j.closing = true
	s.write(finalJobWrite{j}, []protocol.Condition{{Key: storage.OpenJobKey(j.id), Version: j.version}}, operations)
}

// mayCloseJob reports whether nothing of a job is left to do.
func (s *Scheduler) mayCloseJob(j *job) bool {
	switch {
	case j.closed, j.closing, !j.cancelled && j.doneCount < j.spec.Tasks:
		return false
	case len(j.assignments) > 0 && (j.gang == nil || j.cancelled):
		return false // of a gang that is done, tasks that were not heard of yet have completed as well
	case j.cancelled && !s.recovery.hasEnded():
		return false // tasks of it that we have not heard of yet still count against its team's limit
	}
	return !j.isWritingChunks() // else the end of the write comes back here
}

// finalJobWritten closes a job whose final record is written.
func (s *Scheduler) finalJobWritten(write finalJobWrite, e WriteCompleted) {
	j := write.job
	j.closing = false
	if !e.OK {
		return // it was cancelled meanwhile: the watch brings the new record, and tryCloseJob runs again
	}
	s.logInfo("job over", keyJob, j.id, "cancelled", j.cancelled, keyTasks, j.spec.Tasks)
	s.closeJob(j)
	s.finished.removeRecords(j.id, j.remainingRecordKeys)
}

// closeJob forgets a job whose final record is durable.
func (s *Scheduler) closeJob(j *job) {
	j.closed = true
	s.assignments.withdrawAll(j, "job over")
	s.jobs.close(j)
	s.queue.jobClosed(j)
}

// jobRemoved forgets a job whose open record somebody else has removed. No controller does that, but
// then the job is over.
func (s *Scheduler) jobRemoved(e JobRemoved) {
	if j := s.jobs.find(e.JobID); j != nil && !j.closing && e.Version > j.version {
		s.closeJob(j)
	}
}
