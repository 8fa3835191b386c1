package scheduler

import "quillshunt/internal/limits"

// jobClass holds the statistics of the tasks of one class of jobs, as measured in this term.
type jobClass struct {
	runTimeRatio float64 // moving average of the measured run time divided by the submitter's estimate
	runSamples   int
	fetchSeconds float64 // moving average of the time that a task waits for its image, in seconds
	fetchSamples int
}

// newJobClass returns a class without measurements. Until there are some, the submitters' estimates are
// used unchanged.
func newJobClass() *jobClass { return &jobClass{runTimeRatio: 1} }

// recordFetchTime updates fetchSeconds with the time that a task waited for its image.
func (c *jobClass) recordFetchTime(seconds float64) {
	c.fetchSamples++
	weight := max(1/float64(c.fetchSamples), limits.MinAverageWeight)
	c.fetchSeconds += weight * (seconds - c.fetchSeconds)
}

// recordRunTime updates runTimeRatio with a task's run time and the submitter's estimate, which is above 0. The
// estimate may be so low that their ratio is infinite.
func (c *jobClass) recordRunTime(seconds, estimateS float64) {
	c.runSamples++
	ratio := min(seconds/estimateS, limits.MaxRunTimeRatio)
	weight := max(1/float64(c.runSamples), limits.MinAverageWeight)
	c.runTimeRatio += weight * (ratio - c.runTimeRatio)
}

// estimatedRunSeconds returns the expected run time of one task of the job. It is a mean in which each
// completed task counts with its measured run time, and each assigned task, as well as EstimatePriorTasks
// imaginary ones, with a prior: the submitter's estimate multiplied by the class's runTimeRatio. Without
// the prior the estimate would be too low early on, as the shortest tasks complete first.
func (j *job) estimatedRunSeconds() float64 {
	prior := j.spec.EstimateS * j.class.runTimeRatio
	open := float64(len(j.assignments) + limits.EstimatePriorTasks)
	return max((j.runTimeSum+prior*open)/(float64(j.runTimeCount)+open), limits.MinRunTimeS)
}

// expectedOccupancySeconds returns how long one task is expected to occupy its machine: the wait for
// its image and the run time.
func (j *job) expectedOccupancySeconds() float64 {
	return j.estimatedRunSeconds() + j.class.fetchSeconds
}
