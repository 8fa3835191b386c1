package scheduler

import "quillshunt/internal/limits"

// isFaulty tells whether a machine should get no more tasks: it has failed several in a row, and
// not just those of a job that fails everywhere.
func (m *machine) isFaulty() bool {
	return m.consecutiveFailures >= limits.FaultyFailures && len(m.failedJobs) > 0
}

// isSlow tells whether a machine takes far longer for its tasks than others do for the same jobs.
func (m *machine) isSlow() bool {
	return m.speedCount >= limits.SlowMachineTasks && m.speedSum > limits.SlowMachineFactor*float64(m.speedCount)
}

// recordFailure weighs who is to blame for a failure: the machine, or the job.
func (s *Scheduler) recordFailure(j *job, m *machine) {
	j.failedMachines[m.name] = true
	if len(j.failedMachines) >= limits.JobFaultMachines {
		// It fails wherever it goes, with no success between. It waits longer and longer, and its
		// failures condemn no machine.
		j.backoff = min(max(2*j.backoff, limits.JobBackoffMin), limits.JobBackoffMax)
		j.retryAt = s.now + j.backoff
		for _, other := range s.inventory.all() {
			delete(other.failedJobs, j.id)
		}
		return
	}
	m.consecutiveFailures++
	m.failedJobs[j.id] = true
}
