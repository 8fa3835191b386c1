package scheduler

import (
	"log/slog"

	"quillshunt/internal/protocol"
)

// Effect is an output of the scheduler: an action that the leader must execute. The types in this
// file implement it. The leader executes the effects of a step in order. For those that need I/O, it
// starts the I/O in that order and reports each outcome as an event.
type Effect interface{ effect() }

// HeartbeatReply answers a HeartbeatReceived. If Redirect is set, the worker is instructed to send its
// heartbeats to the leader directly. If Accepted is set and the leader is still entitled, the reply renews
// the worker's lease and carries the commands. Otherwise the heartbeat is rejected.
type HeartbeatReply struct {
	ReplyTo  HeartbeatResponder
	Accepted bool
	Redirect bool
	Reason   WithheldReason // why the heartbeat is rejected, "" otherwise

	Machine          string
	FencingToken     uint64 // of the reply
	DirectStartToken uint64 // the highest one of the direct commands with starts that the worker was sent, or 0
	Commands         []protocol.Command
}

// WriteRecords executes one transaction on the state service. The leader adds the condition that it
// still holds the leadership. The outcome is a WriteCompleted with the same ID.
type WriteRecords struct {
	ID         uint64
	Bulk       bool // low priority: yields to all writes that are not bulk
	Conditions []protocol.Condition
	Operations []protocol.Operation
}

// ProbeMachine asks a machine's worker for its tasks and shows it a fencing token of this term. The
// outcome is a ProbeDone.
type ProbeMachine struct {
	Machine, Address string
	FencingToken     uint64
}

// SendDirectCommands sends commands to a worker without waiting for its next heartbeat. The outcome is
// a DirectCommandsDone with the same ID.
type SendDirectCommands struct {
	ID           uint64
	Machine      string
	Address      string
	Incarnation  uint64 // the worker's; a worker of another incarnation rejects the commands
	FencingToken uint64 // a worker that has received a higher one rejects the commands
	Commands     []protocol.Command
}

// RentMachines requests machines from the cloud and retries until the cloud replies. The outcome is a
// RentalDone.
type RentMachines struct{ Request protocol.RentalRequest }

// DeleteMachines asks the cloud to delete machines. The outcome is a DeletionDone.
type DeleteMachines struct{ Machines []string }

// ListMachines reads the cloud's list of machines. The outcome is a MachinesListed.
type ListMachines struct{}

// FetchMachineTypes reads the machine types that the cloud offers. The outcome is a
// MachineTypesFetched.
type FetchMachineTypes struct{}

// CommandsWithheld counts the commands that could not be sent in this step, for operators. A command that is
// withheld for several steps is counted in each.
type CommandsWithheld struct{ Counts map[WithheldReason]int }

// AttemptRestarted reports that a worker runs an attempt of this term again after it has ended, which no message
// should cause. The worker is instructed to stop it.
type AttemptRestarted struct {
	Machine      string
	Incarnation  uint64
	Task         string
	Attempt      uint64
	FencingToken uint64 // of the next message to the worker
}

// TaskCounts answers a TaskCountsRequested.
type TaskCounts struct {
	ReplyTo       chan<- TaskCounts
	Known         bool // the job is among the open jobs of this term
	Done, Running int  // number of tasks
}

// SnapshotTaken answers a SnapshotRequested.
type SnapshotTaken struct {
	ReplyTo  chan<- Snapshot
	Snapshot Snapshot
}

// LogEntry is a line of the leader's log.
type LogEntry struct {
	Level   slog.Level
	Message string
	Args    []any // alternating keys and values, as in log/slog
}

func (HeartbeatReply) effect()     {}
func (WriteRecords) effect()       {}
func (ProbeMachine) effect()       {}
func (SendDirectCommands) effect() {}
func (RentMachines) effect()       {}
func (DeleteMachines) effect()     {}
func (ListMachines) effect()       {}
func (FetchMachineTypes) effect()  {}
func (CommandsWithheld) effect()   {}
func (AttemptRestarted) effect()   {}
func (TaskCounts) effect()         {}
func (SnapshotTaken) effect()      {}
func (LogEntry) effect()           {}
