package limits

import "time"

// Heartbeats and unreachable machines.
const (
	// FreshHeartbeatIntervals is the age of a machine's last heartbeat, in heartbeat intervals, up to
	// which tasks are placed on the machine.
	FreshHeartbeatIntervals = 2.5
	// UnreachableLeaseShare is the share of the worker lease after which a machine that sends no heartbeats
	// is deleted.
	UnreachableLeaseShare = 0.75
	// CorrelatedUnreachableShare is the share of all machines above which machines that are unreachable at
	// the same time are assumed to have a common cause, most likely the network. They are not deleted
	// before CorrelatedUnreachableLeases lease durations have passed, as they may come back sooner than
	// replacements would boot. CorrelatedUnreachableMin machines or fewer never count as correlated,
	// whatever their share.
	CorrelatedUnreachableShare  = 0.25
	CorrelatedUnreachableLeases = 4
	CorrelatedUnreachableMin    = 3
	// CorrelatedUnverifiedShare is the share of all machines above which machines that are unverified at the
	// same time are probed only after UnverifiedGraceIntervals heartbeat intervals. By then, the next
	// heartbeats on their new connections have verified most of them without a probe.
	CorrelatedUnverifiedShare = 0.05
	UnverifiedGraceIntervals  = 1.5
)

// Recovery after a failover.
const (
	// RecoveryTimeout and RecoveryTimeoutIntervals (a number of heartbeat intervals) are how long after a
	// failover a machine that may have tasks but has sent no heartbeat is deleted. The longer of the two
	// applies. Workers find a new leader within a few seconds, and a confirmed deletion shows earlier than
	// the expiry of the worker lease that no task runs on the machine.
	RecoveryTimeout          = 6 * time.Second
	RecoveryTimeoutIntervals = 2.5
	// FewUnreportedShare is the share of all machines up to which the machines without a heartbeat since the
	// failover count as few. They are then deleted as soon as they have missed UnreportedProbeMisses probes.
	// The second probe follows directly after the first. CorrelatedUnreachableMin machines or fewer always
	// count as few.
	FewUnreportedShare    = 0.03
	UnreportedProbeMisses = 2
)

// Probes and direct commands.
const (
	// ProbeInterval is the time between two probes of the same machine.
	ProbeInterval = 2 * time.Second
	// ProbeTimeout is the timeout for both calls of a probe together.
	ProbeTimeout = 1500 * time.Millisecond
	// ProbeCost is the approximate CPU time of a probe: a connection, two calls and their system calls. It
	// limits probes to the rate that the controller's share of a core can sustain. That limit is at least
	// MinProbeRate, in probes per second.
	ProbeCost    = 400 * time.Microsecond
	MinProbeRate = 40.0
	// SlowHeartbeatThreshold is the time in the mailbox above which a heartbeat counts as slow, and the
	// response time above which a probe does. Both are signs of an overloaded controller, where heartbeats,
	// lease renewals and votes need the CPU more than probes do. After a slow heartbeat, no probe is sent for
	// ProbePause. After a probe that was slow or was not sent, the rate limit of probes is reduced to
	// ProbeSlowdownRatio of its value for ProbeInterval.
	SlowHeartbeatThreshold = 250 * time.Millisecond
	ProbePause             = time.Second
	ProbeSlowdownRatio     = 0.25
	// DirectCommandTimeout is the timeout of a direct command. A worker replies within milliseconds or not
	// at all.
	DirectCommandTimeout = 2 * time.Second
	// MaxDirectCommands is the maximum number of concurrent direct commands. Each one to an unreachable
	// machine takes DirectCommandTimeout.
	MaxDirectCommands = 64
	// DirectCommandBackoff is the time after a direct command without a reply for which the worker gets
	// commands only in heartbeat replies.
	DirectCommandBackoff = 10 * time.Second
	// MaxCommands is the number of commands at which no further start commands are added to a heartbeat
	// reply or to a request with direct commands. It keeps these messages far below MaxBodyBytes.
	MaxCommands = 300
	// MaxWithheldForgets is the number of ended attempts in a worker's list at which it is instructed to forget them
	// although it then rejects a direct command in flight. An entry takes about 60 bytes of a heartbeat.
	MaxWithheldForgets = 64
)

// Faulty and slow machines.
const (
	// FaultyMachineFailures is the number of consecutive task failures after which a machine counts as
	// faulty.
	FaultyMachineFailures = 2
	// SlowMachineTasks and SlowMachineFactor define a slow machine: at least SlowMachineTasks of its tasks
	// were measured, and they took on average more than SlowMachineFactor times the mean run time of the
	// earlier tasks of their jobs, on any machine. Healthy machines differ by a tenth, but the tasks of one
	// job differ more, so several tasks are needed.
	SlowMachineTasks  = 4
	SlowMachineFactor = 2.5
	// MaxTasksPerMachine is the maximum number of tasks on a machine, including ended tasks that the worker
	// still reports. It keeps heartbeats below MaxBodyBytes.
	MaxTasksPerMachine = 400
	// SpotNoticeSaveIntervals is the safety margin, in heartbeat intervals, for saving a checkpoint before
	// the cloud reclaims a spot machine. It is added to the task's save time to decide when the stop command
	// is sent: one interval for the command, one for a lost message, and one in reserve.
	SpotNoticeSaveIntervals = 3
)

// ProbeRate returns the maximum number of probes per second for a controller that has the given share of
// a core. A share of 0 is unknown and counts as a whole core.
func ProbeRate(coreShare float64) float64 {
	if coreShare <= 0 {
		coreShare = 1
	}
	return max(coreShare/ProbeCost.Seconds(), MinProbeRate)
}
