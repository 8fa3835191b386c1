package scheduler

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// handleJobChanged applies a new version of a job's open record and opens the job if it is not known yet.
// Older versions are ignored.
func (s *Scheduler) handleJobChanged(e JobChanged) {
	j := s.jobs.find(e.JobID)
	if j == nil {
		j = s.jobs.open(e, s.finishedTasks.chunkCount(e.Record.Spec.Tasks))
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
		// The period within which the tasks must end (CancelWithinS) starts when the user may first have
		// been notified of the cancellation, even if that was before a failover. If the period is certainly
		// over, either no task of the job is left, or no earlier leader has observed the cancellation, as it
		// would have let the worker leases expire in time. The user cannot have been notified in the second
		// case, so the period starts now.
		j.cancelled, j.cancelledAt, j.cancelObservedAt = true, s.now, s.now
		if e.MinSinceCancellation < limits.Seconds(s.cfg.Workers.CancelWithinS) {
			j.cancelledAt -= e.SinceCancellation
		}
		s.logInfo("job cancelled", keyJob, j.id, "assigned_tasks", len(j.assignments))
	}
	if j.cancelled {
		s.assignments.withdrawAll(j, stopReasonCancelled)
		s.tryCloseJob(j)
	}
	s.placement.requestPass()
}

// tryCloseJob starts the write of a job's final record if mayCloseJob allows it. The same transaction
// deletes the open record and as many finished-task records as the transaction limit allows.
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
	// Records beyond the limit are deleted after the final record is written; see handleFinalJobWritten.
	keys := s.finishedTasks.recordKeys(j)
	fitting := min(len(keys), s.cfg.State.TxnOps-len(operations))
	for _, key := range keys[:fitting] {
		operations = append(operations, protocol.Operation{Delete: key})
	}
	j.remainingRecordKeys = keys[fitting:]
	j.closing = true
	s.write(finalJobWrite{j}, []protocol.Condition{{Key: storage.OpenJobKey(j.id), Version: j.version}}, operations)
}

// mayCloseJob reports whether a job's final record can be written: the job is done or cancelled, none of
// its tasks can still be running, and no write of its finished-task records is in flight.
func (s *Scheduler) mayCloseJob(j *job) bool {
	switch {
	case j.closed, j.closing, !j.cancelled && j.doneCount < j.spec.Tasks:
		return false
	case len(j.assignments) > 0 && (j.gang == nil || j.cancelled):
		return false // a completed gang need not wait: all its tasks have ended, even if not all are reported yet
	case j.cancelled && !s.recovery.hasEnded():
		return false // machines that have sent no heartbeat yet may run its tasks, which count against the team's limit
	}
	return !j.hasChunkWriteInFlight() // the completion of that write calls tryCloseJob again
}

// handleFinalJobWritten handles the outcome of the write of a job's final record. On success it closes the job
// and deletes the remaining records of its finished tasks.
func (s *Scheduler) handleFinalJobWritten(write finalJobWrite, e WriteCompleted) {
	j := write.job
	j.closing = false
	if !e.Committed {
		return // cancelled concurrently: the watch delivers the new open record, and handleJobChanged retries the write
	}
	s.logInfo("job closed", keyJob, j.id, "cancelled", j.cancelled, keyTasks, j.spec.Tasks)
	s.closeJob(j)
	s.finishedTasks.removeRecords(j.id, j.remainingRecordKeys)
}

// closeJob removes a job from the scheduler and withdraws its remaining tasks. Its final record is
// durable, or its open record was removed by another party.
func (s *Scheduler) closeJob(j *job) {
	j.closed = true
	s.assignments.withdrawAll(j, "job closed")
	s.jobs.close(j)
	s.queue.handleJobClosed(j)
}

// handleJobRemoved closes a job whose open record was deleted by another party. No controller does this, but
// without an open record the job no longer exists.
func (s *Scheduler) handleJobRemoved(e JobRemoved) {
	if j := s.jobs.find(e.JobID); j != nil && !j.closing && e.Version > j.version {
		s.closeJob(j)
	}
}
