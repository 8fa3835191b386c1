package scheduler

import "quillshunt/internal/limits"

// isFaulty reports whether a machine should get no more tasks: it has failed several in a row, and not
// just those of a job that fails everywhere.
func (m *machine) isFaulty() bool {
	return m.consecutiveFailures >= limits.FaultyMachineFailures && len(m.failedJobs) > 0
}

// isSlow reports whether a machine takes far longer for its tasks than others do for the same jobs.
func (m *machine) isSlow() bool {
	return m.speedCount >= limits.SlowMachineTasks && m.speedSum > limits.SlowMachineFactor*float64(m.speedCount)
}

// recordSuccess notes that a task completed on the machine.
func (m *machine) recordSuccess(cpuSeconds float64) {
	m.consecutiveFailures, m.failedJobs = 0, map[string]bool{}
	m.usefulCPUSeconds += cpuSeconds
}

// recordFailure attributes the failure of a task to the machine, or to the job if it fails on all
// machines.
func (i *machineInventory) recordFailure(j *job, m *machine) {
	j.failedMachines[m.name] = true
	if len(j.failedMachines) >= limits.FaultyJobMachines {
		// It fails wherever it goes, with no success between. It waits longer and longer, and its
		// failures count against no machine.
		j.backoff = min(max(2*j.backoff, limits.JobBackoffMin), limits.JobBackoffMax)
		j.retryAt = i.now + j.backoff
		i.forgiveFailures(j.id)
		return
	}
	m.consecutiveFailures++
	m.failedJobs[j.id] = true
}

// forgiveFailures makes the failures of a job count against no machine.
func (i *machineInventory) forgiveFailures(jobID string) {
	for _, m := range i.sorted {
		delete(m.failedJobs, jobID)
	}
}
