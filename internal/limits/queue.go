package limits

import "time"

// Order of the queue.
const (
	// TickInterval is the time between two ticks, in which the scheduler checks conditions that depend only
	// on time.
	TickInterval = 500 * time.Millisecond
	// PassTimeShare and PlanTimeShare are the largest shares of the leader's time that placement passes and
	// capacity plans take.
	PassTimeShare = 0.3
	PlanTimeShare = 0.2
	// MaxDecisionPause is the longest pause after a pass or plan. A process that was stopped during one should
	// not wait in proportion to that.
	MaxDecisionPause = 5 * time.Second
	// MaxPlacementsPerPass is the number of tasks after which a placement pass leaves the rest to the next one. It
	// bounds the time of a pass, as a job may have 100,000 tasks. A gang is placed as a whole and may exceed it.
	MaxPlacementsPerPass = 5000
	// QueueOrderTTL is how long the computed order of the queue is reused. Slacks of many seconds hardly
	// change in that time.
	QueueOrderTTL = 200 * time.Millisecond
	// SlackBase is added to a job's slack before the slack is multiplied by the job's work to rank it. It
	// makes slack decide between jobs of similar work, and work between jobs of similar slack.
	SlackBase = 30 * time.Second
	// SlackCap is the largest slack that is used for ranking. It applies to jobs that have neither an
	// objective nor a deadline.
	SlackCap = time.Hour
	// LateToleranceShare is the share of its estimated run time by which a job may be expected to miss its
	// deadline and still be treated as on time, because estimates are often too high.
	LateToleranceShare = 0.25
)

// Aging credit: the number of tasks that a job of a certain age is given before all other jobs.
const (
	// FirstTaskCreditAge is the age above which a job has credit for its first task. Every job is expected
	// to start within four minutes, and a machine may have to be reserved for it for some of that time.
	FirstTaskCreditAge = 150 * time.Second
	// AllTasksCreditAge is the age above which a job's credit grows beyond its first task. The credit then
	// rises at a constant rate and covers all tasks of the job AllTasksCreditSpan later. If it rose at an
	// earlier age, it would delay jobs that can still meet their deadlines.
	AllTasksCreditAge  = 240 * time.Second
	AllTasksCreditSpan = 120 * time.Second
	// UnderservedShare is the share of a job group's credit below which the group counts as underserved. A
	// job that has started gets tasks by credit only while its group is underserved, and otherwise by the
	// usual order. Users expect half of the credit.
	UnderservedShare = 0.65
	// MachinesPerReservation limits the machines that are reserved for jobs that have started fewer tasks
	// than their credit and for which no machine has enough free resources: at most one in this many
	// machines, rounded up, is reserved.
	MachinesPerReservation = 6
)

// Preemption.
const (
	// PreemptSlack is the default slack below which a job may preempt other jobs' tasks. Waiting for free
	// resources would then cost more than the work that the preempted tasks lose.
	PreemptSlack = 6 * time.Second
	// RestartWeight is the default factor by which earlier stops of a task raise the cost of preempting it:
	// each stop adds this multiple of the cost.
	RestartWeight = 4.0
	// MaxExhaustiveVictims is the number of preemptible tasks on a machine up to which every set of victims
	// is tried. For 2^10 sets this takes some tens of microseconds.
	MaxExhaustiveVictims = 10
	// PreemptionSearchInterval is the time after which a job that found no victims searches again. It is
	// negligible compared with PreemptSlack.
	PreemptionSearchInterval = 500 * time.Millisecond
	// SaveMargin is added to the time that a task needs to save a checkpoint, to get the grace period of its
	// stop command.
	SaveMargin = 2 * time.Second
	// MaxSaveTime is the longest time that a stopped task gets to save a checkpoint. A task that needs longer is
	// stopped without saving: what it would occupy meanwhile is worth more than its work since the last checkpoint.
	MaxSaveTime = 10 * time.Minute
)
