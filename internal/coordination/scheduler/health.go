package scheduler

import "quillshunt/internal/limits"

// isFaulty reports whether a machine should get no more tasks, because several tasks in a row have failed
// on it and not all of them belong to jobs that fail on other machines too.
func (m *machine) isFaulty() bool {
	return m.consecutiveFailures >= limits.FaultyMachineFailures && len(m.failedJobs) > 0
}

// isSlow reports whether tasks run far longer on this machine than the earlier tasks of their jobs did on
// average, on any machine.
func (m *machine) isSlow() bool {
	return m.runTimeRatioCount >= limits.SlowMachineTasks &&
		m.runTimeRatioSum > limits.SlowMachineFactor*float64(m.runTimeRatioCount)
}

// recordSuccess records that a task completed on the machine.
func (m *machine) recordSuccess(cpuSeconds float64) {
	m.consecutiveFailures, m.failedJobs = 0, map[string]bool{}
	m.usefulCPUSeconds += cpuSeconds
}

// recordFailure counts the failure of a task against the machine, or against the job once the job has
// failed on FaultyJobMachines machines.
func (i *machineInventory) recordFailure(j *job, m *machine) {
	j.failedMachines[m.name] = true
	if len(j.failedMachines) >= limits.FaultyJobMachines {
		// The job has failed on several machines without a success in between. It is retried with an
		// exponential back-off, and its failures count against no machine.
		j.backoff = min(max(2*j.backoff, limits.JobBackoffMin), limits.JobBackoffMax)
		j.retryAt = i.now + j.backoff
		i.discardFailures(j.id)
		return
	}
	m.consecutiveFailures++
	m.failedJobs[j.id] = true
}

// discardFailures removes a job from the recorded failures of all machines.
func (i *machineInventory) discardFailures(jobID string) {
	for _, m := range i.sorted {
		delete(m.failedJobs, jobID)
	}
}
