package scheduler

import (
	"log/slog"

	"quillshunt/internal/protocol"
)

// Effect is something to do. The types of this file implement it. The leader executes the effects
// of a step in their order; what needs I/O it starts in that order, and reports the outcome as an
// event.
type Effect interface{ effect() }

// HeartbeatReply answers a HeartbeatReceived. With Redirect the worker is to come to the leader
// itself. With Accepted, and if the leader is still entitled, the worker's lease is renewed and it
// gets the commands. Otherwise the heartbeat is rejected.
type HeartbeatReply struct {
	ReplyTo  HeartbeatResponder
	Accepted bool
	Redirect bool
	Commands []protocol.Command
}

// WriteRecords changes the state service in one transaction that also requires that the leader
// still leads. Its outcome is a WriteCompleted of the same ID.
type WriteRecords struct {
	ID         uint64
	Bulk       bool // can wait for all writes without it
	Conditions []protocol.Condition
	Operations []protocol.Operation
}

// ProbeMachine asks a machine for its tasks and shows it the fencing token of this term. Its outcome
// is a ProbeDone.
type ProbeMachine struct{ Machine, Address string }

// SendDirectCommands sends commands to a worker without waiting for its heartbeat. Its outcome is a
// DirectCommandsDone of the same ID.
type SendDirectCommands struct {
	ID          uint64
	Machine     string
	Address     string
	Incarnation uint64 // of the worker; another one rejects the commands
	Commands    []protocol.Command
}

// RentMachines asks the cloud for machines, again and again until it answers. Its outcome is a
// RentalDone.
type RentMachines struct{ Request protocol.RentalRequest }

// DeleteMachines returns machines to the cloud. Its outcome is a DeletionDone.
type DeleteMachines struct{ Machines []string }

// ListMachines reads the cloud's list of machines. Its outcome is a MachinesListed.
type ListMachines struct{}

// FetchMachineTypes reads the machine types that the cloud offers. Its outcome is a
// MachineTypesFetched.
type FetchMachineTypes struct{}

// TaskCounts answers a TaskCountsRequested.
type TaskCounts struct {
	ReplyTo       chan<- TaskCounts
	Known         bool // the job is among the open jobs of this term
	Done, Running int  // tasks
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
	Args    []any // keys and values in turn, as in log/slog
}

func (HeartbeatReply) effect()     {}
func (WriteRecords) effect()       {}
func (ProbeMachine) effect()       {}
func (SendDirectCommands) effect() {}
func (RentMachines) effect()       {}
func (DeleteMachines) effect()     {}
func (ListMachines) effect()       {}
func (FetchMachineTypes) effect()  {}
func (TaskCounts) effect()         {}
func (SnapshotTaken) effect()      {}
func (LogEntry) effect()           {}
