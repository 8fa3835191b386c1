package scheduler

import "quillshunt/internal/limits"

// jobClass is what was learned of the tasks of a class of jobs in this term.
type jobClass struct {
	estimateRatio float64 // mean of run time over the submitter's estimate
	runSamples    int
	fetchSeconds  float64 // mean wait for an image, in seconds
	fetchSamples  int
}

// newJobClass returns a class of which nothing was learned yet.
func newJobClass() *jobClass { return &jobClass{estimateRatio: 1} }

// learnFetchTime adds how long a task waited for its image, in seconds.
func (c *jobClass) learnFetchTime(seconds float64) {
	c.fetchSamples++
	weight := max(1/float64(c.fetchSamples), limits.MinAverageWeight)
	c.fetchSeconds += weight * (seconds - c.fetchSeconds)
}

// learnRunTime adds a task's run time over the submitter's estimate.
func (c *jobClass) learnRunTime(ratio float64) {
	c.runSamples++
	weight := max(1/float64(c.runSamples), limits.MinAverageWeight)
	c.estimateRatio += weight * (ratio - c.estimateRatio)
}

// estimate is how long a task of the job is expected to run, in seconds. The tasks that are done are
// weighed against those on machines, which count as what is known of the class: the first to be done
// are the shortest, and alone they would make the rest look short.
func (j *job) estimate() float64 {
	prior := j.spec.EstimateS * j.class.estimateRatio
	open := float64(len(j.assignments) + limits.EstimatePriorTasks)
	return max((j.runSum+prior*open)/(float64(j.runCount)+open), limits.MinRunTimeS)
}

// occupancy is how long a task is expected to occupy its machine, in seconds: its run time and the
// wait for its image.
func (j *job) occupancy() float64 { return j.estimate() + j.class.fetchSeconds }
