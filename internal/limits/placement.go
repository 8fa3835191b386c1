package limits

// Weights of the criteria by which machines are ranked for a task. Each weight multiplies the score that
// a machine gets for one criterion.
const (
	// WeightOvercommit favors machines with enough free resources, where no task has to be preempted. It
	// is larger than the sum of all other weights, so that these machines always rank first.
	WeightOvercommit = 1000.0
	// WeightPreemptionCost favors machines where preempting tasks costs less.
	WeightPreemptionCost = 100.0
	// WeightGangReservation favors machines that are reserved for gangs when a gang is placed. It is larger
	// than the sum of the weights below.
	WeightGangReservation = 20.0
	// WeightImage favors machines that already have the task's image, which saves fetching it.
	WeightImage = 8.0
	// WeightPrice favors machines with a lower price per CPU, so that expensive ones become idle first.
	WeightPrice = 6.0
	// WeightPacking favors machines on which the task leaves less free capacity (bin packing), so that
	// other machines become idle and can be returned.
	WeightPacking = 4.0
	// WeightSpeed favors machines that have run tasks faster than others.
	WeightSpeed = 1.0
	// SpeedStep is the step to which the speed of a machine is rounded, measured as the mean ratio of run
	// times on the machine to the jobs' mean run times. Healthy machines differ by a tenth, and the observed
	// speed of a machine is not exact.
	SpeedStep = 0.05
	// MinRunTimeSamples is the least number of completed tasks of a job before their mean run time is used
	// to measure the speed of machines.
	MinRunTimeSamples = 3
	// MinSpeedSamples is the least number of measured tasks of a machine before its observed speed is used.
	MinSpeedSamples = 3
)
