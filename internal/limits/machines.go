package limits

import "time"

// Heartbeats and unreachable machines.
const (
	// FreshHeartbeatIntervals is for how many heartbeat intervals after its last heartbeat a machine
	// still gets tasks.
	FreshHeartbeatIntervals = 2.5
	// UnreachableLeaseShare is the share of the worker's lease after which a machine that sends no
	// heartbeats is deleted.
	UnreachableLeaseShare = 0.75
	// CorrelatedUnreachableShare is the share of all machines that must become unreachable at about
	// the same time for the network to be the likely cause. Such machines are not deleted before
	// CorrelatedUnreachableLeases leases have passed, as they may come back sooner than others boot.
	// Up to CorrelatedUnreachableMin machines never count as correlated, however few there are in all.
	CorrelatedUnreachableShare  = 0.25
	CorrelatedUnreachableLeases = 4
	CorrelatedUnreachableMin    = 3
	// CorrelatedUnverifiedShare is the share of all machines that must be unverified at once for each
	// to get UnverifiedGraceIntervals heartbeat intervals before it is probed: the heartbeats on new
	// connections verify most of them without a probe.
	CorrelatedUnverifiedShare = 0.05
	UnverifiedGraceIntervals  = 1.5
)

// Recovery after a failover.
const (
	// RecoveryTimeout and RecoveryTimeoutIntervals (in heartbeat intervals) are how long after a
	// failover a machine that may have tasks may go without a heartbeat before it is deleted, which
	// shows sooner than the end of its lease that nothing runs there. Workers find a new leader in a
	// few seconds.
	RecoveryTimeout          = 6 * time.Second
	RecoveryTimeoutIntervals = 2.5
	// FewUnreportedShare is the share of all machines up to which those without a heartbeat since the
	// failover are given up after UnreportedProbeMisses probes without an answer. The second probe
	// then follows the first at once.
	FewUnreportedShare    = 0.03
	UnreportedProbeMisses = 2
)

// Probes and direct commands.
const (
	// ProbeInterval is how often one machine is probed.
	ProbeInterval = 2 * time.Second
	// ProbeTimeout is the longest wait for the two calls of a probe.
	ProbeTimeout = 1500 * time.Millisecond
	// ProbeCost is about how much processor time a probe takes: a connection, two calls and their
	// system calls. It limits probes to a rate that the controller's share of a core could sustain,
	// but not below MinProbeRate, in probes a second.
	ProbeCost    = 400 * time.Microsecond
	MinProbeRate = 40.0
	// SlowHeartbeatThreshold is how long a heartbeat may wait in the mailbox until probes are limited to
	// ProbeSlowdownRatio of that rate, for ProbePause: heartbeats, the lease and votes need the
	// processor more.
	SlowHeartbeatThreshold = 250 * time.Millisecond
	ProbePause             = time.Second
	ProbeSlowdownRatio     = 0.25
	// DirectCommandTimeout is the longest wait for the answer to a direct command. A worker answers in
	// milliseconds or not at all.
	DirectCommandTimeout = 2 * time.Second
	// MaxDirectCommands is how many direct commands are under way at once. Those to unreachable
	// machines take DirectCommandTimeout.
	MaxDirectCommands = 64
	// DirectCommandBackoff is how long a worker that did not answer a direct command gets its commands
	// only in answers to its heartbeats.
	DirectCommandBackoff = 10 * time.Second
	// MaxCommands is the largest number of commands in one answer, which then stays far below
	// MaxBodyBytes.
	MaxCommands = 300
)

// Faulty and slow machines.
const (
	// FaultyMachineFailures is how many failures in a row, with no success between them, make a machine
	// faulty.
	FaultyMachineFailures = 2
	// SlowMachineTasks and SlowMachineFactor: a machine whose last tasks, at least this many, took
	// this many times as long as tasks of the same jobs elsewhere is faulty. Healthy machines differ
	// by a tenth. Tasks of one job differ more, which is why several are needed.
	SlowMachineTasks  = 4
	SlowMachineFactor = 2.5
	// MaxTasksPerMachine is the largest number of tasks on one machine, ended ones included. Its
	// heartbeat then stays below MaxBodyBytes.
	MaxTasksPerMachine = 400
	// SpotNoticeSaveIntervals is how many heartbeat intervals before the cloud takes a spot machine
	// away its tasks are told to save: one for the command, one for a lost message, one in reserve.
	SpotNoticeSaveIntervals = 3
)

// ProbeRate returns how many probes a second a controller with a share of a core sends at most. A
// share that is not known counts as a whole core.
func ProbeRate(coreShare float64) float64 {
	if coreShare <= 0 {
		coreShare = 1
	}
	return max(coreShare/ProbeCost.Seconds(), MinProbeRate)
}
