package limits

// Weights of the criteria by which machines are ranked for a task. Each multiplies a score of the
// machine.
const (
	// WeightOvercommit is for machines with free room, where nothing has to be preempted. It is more
	// than all others together, so these come first.
	WeightOvercommit = 1000.0
	// WeightPreemptionCost is against the cost of the tasks that would have to stop.
	WeightPreemptionCost = 100.0
	// WeightGangReservation is for machines that are reserved for gangs, when a gang is placed. It
	// outweighs what follows.
	WeightGangReservation = 20.0
	// WeightImage is for machines that have the task's image, which saves the fetch.
	WeightImage = 8.0
	// WeightPrice is for machines whose CPUs cost less, so that the expensive ones empty first.
	WeightPrice = 6.0
	// WeightPacking is for machines that are left with less free room (bin packing), so that others
	// empty and can be returned.
	WeightPacking = 4.0
	// WeightSpeed is for machines that were seen to be fast.
	WeightSpeed = 1.0
	// SpeedStep is the step to which observed speeds are rounded, as a share of the usual run time.
	// Healthy machines differ by a tenth, and what is seen of one is not exact.
	SpeedStep = 0.05
	// MinRunTimeSamples is the number of completed tasks of a job from which on their mean run time
	// is one to compare machines by.
	MinRunTimeSamples = 3
	// MinSpeedSamples is the number of tasks from which on a machine's observed speed counts.
	MinSpeedSamples = 3
)
