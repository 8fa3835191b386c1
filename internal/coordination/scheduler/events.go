package scheduler

import (
	"log/slog"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// Event is something that happened.
type Event interface{ event() }

// JobChanged is an open job as it stands in the state service.
type JobChanged struct {
	JobID           string
	Version         uint64
	Record          storage.OpenJob
	SinceSubmission time.Duration // since its submission

	SinceCancellation time.Duration // since its user may first have been told that it is cancelled; at least as long as that is ago
}

// JobRemoved is a job whose open record is gone.
type JobRemoved struct {
	JobID   string
	Version uint64
}

// FinishedTasksLoaded is a chunk of finished tasks, read at the start of a term.
type FinishedTasksLoaded struct {
	JobID   string
	Version uint64
	Record  storage.FinishedTasks
}

// RentalLoaded is a rental request, read at the start of a term.
type RentalLoaded struct {
	Name    string
	Version uint64
	Record  storage.Rental
}

// RegistryPageLoaded is a page of registered machines, read at the start of a term after all rentals.
type RegistryPageLoaded struct {
	Name    string
	Version uint64
	Record  storage.RegistryPage
}

// StateLoaded ends the reading at the start of a term.
type StateLoaded struct{}

// HeartbeatReceived is a worker's report. It is answered with a ReplyOut of the same Ref.
type HeartbeatReceived struct {
	Heartbeat      *protocol.Heartbeat
	ReplyTo        any
	Entitled       bool
	Relayed        bool // came through another controller
	SameConnection bool // on a connection on which the report before was answered 200: the worker got that answer
}

// ProbeDone is what a machine answered to a ProbeOut: its report after it had seen our term, or nothing.
type ProbeDone struct {
	Machine   string
	Heartbeat *protocol.Heartbeat
	Took      time.Duration // from the first call to the last answer
	NotSent   bool          // it was not asked for want of a socket, so that it did not answer says nothing
}

// DirectCommandsDone is the outcome of a DirectOut.
type DirectCommandsDone struct {
	ID          uint64
	Machine     string
	Heartbeat   *protocol.Heartbeat // what the worker has after the commands; nil if there was no answer
	NotExecuted bool                // nothing was executed: it was not sent, or the worker said so
}

// WriteCompleted is the outcome of a WriteOut.
type WriteCompleted struct {
	ID      uint64
	OK      bool
	Version uint64
}

// RentalDone is the outcome of a RentOut.
type RentalDone struct {
	Name       string
	Machines   []string
	OK         bool
	NoCapacity bool
}

// DeletionDone is the outcome of a DeleteOut.
type DeletionDone struct {
	Machines []string
	OK       bool
}

// MachinesListed is the cloud's list. Rigs is nil if it could not be read.
type MachinesListed struct {
	Machines []protocol.Machine
	OK       bool
}

// MachineTypesFetched are the machine types.
type MachineTypesFetched struct {
	Types []protocol.MachineType
	OK    bool
}

// TaskCountsRequested asks for a job's counts; answered with a CountsOut.
type TaskCountsRequested struct {
	ID      string
	ReplyTo any
}

// Tick lets time pass.
type Tick struct{ Entitled bool }

func (JobChanged) event()          {}
func (JobRemoved) event()          {}
func (FinishedTasksLoaded) event() {}
func (RentalLoaded) event()        {}
func (RegistryPageLoaded) event()  {}
func (StateLoaded) event()         {}
func (HeartbeatReceived) event()   {}
func (ProbeDone) event()           {}
func (DirectCommandsDone) event()  {}
func (WriteCompleted) event()      {}
func (RentalDone) event()          {}
func (DeletionDone) event()        {}
func (MachinesListed) event()      {}
func (MachineTypesFetched) event() {}
func (TaskCountsRequested) event() {}
func (Tick) event()                {}

// Effect is something to do.
type Effect interface{ effect() }

// HeartbeatReply answers a report: 200 with orders, 421 to make the worker come itself, or 503.
type HeartbeatReply struct {
	ReplyTo  any
	Accepted bool
	Redirect bool
	Commands []protocol.Command
}

// WriteRecords changes the state service under the leader's guard, whole or not at all.
type WriteRecords struct {
	ID         uint64
	Bulk       bool // can wait for all others
	Conditions []protocol.Condition
	Operations []protocol.Operation
}

// ProbeMachine asks a machine for its tasks and shows it our term.
type ProbeMachine struct{ Machine, Address string }

// SendDirectCommands sends commands to a worker without waiting for its report.
type SendDirectCommands struct {
	ID          uint64
	Machine     string
	Address     string
	Incarnation uint64
	Commands    []protocol.Command
}

// RentMachines sends a rental request, again and again until there is an answer.
type RentMachines struct{ Request protocol.RentalRequest }

// DeleteMachines returns machines.
type DeleteMachines struct{ Machines []string }

// ListMachines reads the cloud's list.
type ListMachines struct{}

// FetchMachineTypes reads the machine types.
type FetchMachineTypes struct{}

// TaskCounts answers a CountsIn.
type TaskCounts struct {
	ReplyTo       any
	Known         bool
	Done, Running int
}

// LogEntry is something an operator may want to read.
type LogEntry struct {
	Level   slog.Level
	Message string
	Args    []any
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
func (LogEntry) effect()           {}
