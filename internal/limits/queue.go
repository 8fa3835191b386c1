package limits

import "time"

// Order of the queue.
const (
	// TickInterval is how often the scheduler checks what depends on time alone.
	TickInterval = 500 * time.Millisecond
	// QueueOrderTTL is how long the order of the queue is kept. Slacks of many seconds hardly change
	// in that time.
	QueueOrderTTL = 200 * time.Millisecond
	// SlackBase is added to a job's slack before it is multiplied by the job's work. Slack then decides
	// between jobs of similar work, and work between jobs of similar slack.
	SlackBase = 30 * time.Second
	// SlackCap is the largest slack that counts, for jobs without an objective or deadline.
	SlackCap = time.Hour
	// LateToleranceShare is the share of its estimated run time by which a job may seem to be late and
	// still be treated as in time. Estimates are often too high.
	LateToleranceShare = 0.25
)

// Aging credit, by which old jobs get tasks whatever else waits.
const (
	// FirstTaskCreditAge is the age from which a job has credit for its first task. Every job is
	// expected to begin within four minutes, and room for it may have to be reserved for a while.
	FirstTaskCreditAge = 150 * time.Second
	// AllTasksCreditAge and AllTasksCreditSpan: from this age on, and over this span, a job gets
	// credit for its other tasks, one by one. If this began earlier, it would hold up jobs that can
	// still be in time.
	AllTasksCreditAge  = 240 * time.Second
	AllTasksCreditSpan = 120 * time.Second
	// UnderservedShare is the share of their credit from which jobs of a group that have begun wait in
	// the ordinary order. Users expect half.
	UnderservedShare = 0.65
	// MachinesPerReservation: one of this many machines may be reserved for jobs that are behind their
	// credit and lack room.
	MachinesPerReservation = 6
)

// Preemption.
const (
	// PreemptSlack is the default of the slack below which a job preempts others: waiting for room
	// then costs more than the loss of others' work.
	PreemptSlack = 6 * time.Second
	// RestartWeight is the default of how much the cost of preempting a task rises for each time that
	// it was stopped before, as a multiple of its cost.
	RestartWeight = 4.0
	// MaxExhaustiveVictims is the number of preemptible tasks on a machine up to which every set of
	// victims is tried. 2^10 sets cost some tens of microseconds.
	MaxExhaustiveVictims = 10
	// PreemptionSearchInterval is how soon a job that found no victims searches again. Against
	// PreemptSlack it makes no difference.
	PreemptionSearchInterval = 500 * time.Millisecond
	// SaveMargin is added to the time that a task needs to save when it is told to stop.
	SaveMargin = 2 * time.Second
)
