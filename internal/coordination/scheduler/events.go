package scheduler

import (
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// Event is an input of the scheduler: a message, a changed record, the outcome of an effect, or a tick
// of the clock. The types in this file implement it. A single goroutine of the leader sends all events,
// one at a time.
type Event interface{ event() }

// JobChanged carries the record of an open job. The leader sends it for each open job while it loads
// the state, then for each change that its watch delivers, and for each cancellation that was just
// written through it. The scheduler ignores versions older than the newest one it has seen.
type JobChanged struct {
	JobID           string
	Version         uint64 // of the record
	Record          storage.OpenJob
	SinceSubmission time.Duration
	// SinceCancellation and MinSinceCancellation are the upper and the lower bound on the time since the job
	// was cancelled, and thus on the time since the user may have been notified; 0 if the job is not cancelled.
	SinceCancellation    time.Duration
	MinSinceCancellation time.Duration
}

// JobRemoved reports that the open record of a job was removed. The leader sends it for each removal
// that its watch delivers, including removals by the scheduler's own writes.
type JobRemoved struct {
	JobID   string
	Version uint64 // of the removal
}

// FinishedTasksLoaded carries a record of finished tasks. The leader sends one for each such record
// while it loads the state, after the open jobs.
type FinishedTasksLoaded struct {
	JobID   string
	Version uint64
	Record  storage.FinishedTasks
}

// RentalLoaded carries the record of a rental. The leader sends one for each rental while it loads the
// state, after the finished tasks.
type RentalLoaded struct {
	Name    string
	Version uint64
	Record  storage.Rental
}

// RegistryPageLoaded carries a page of registered machines. The leader sends one for each page while
// it loads the state, after all rentals.
type RegistryPageLoaded struct {
	Name    string
	Version uint64
	Record  storage.RegistryPage
}

// StateLoaded reports that all records of earlier terms are loaded. The scheduler places no task
// before this event.
type StateLoaded struct{}

// HeartbeatReceived carries a worker's heartbeat. The same step returns exactly one HeartbeatReply.
type HeartbeatReceived struct {
	Heartbeat      *protocol.Heartbeat
	ReplyTo        HeartbeatResponder
	Entitled       bool // the leader may accept it: it is entitled, and the worker still waits for the reply
	Relayed        bool // forwarded by another controller
	SameConnection bool // the worker has received the reply to its previous heartbeat on this connection
}

// HeartbeatResponder answers the worker that sent a heartbeat. The scheduler only copies it from the
// HeartbeatReceived to the HeartbeatReply; the leader calls it when it executes that effect.
type HeartbeatResponder interface {
	// Accept renews the worker's lease and passes it the commands of the reply.
	Accept(protocol.HeartbeatReply)
	// Redirect instructs the worker to send its heartbeats to another controller.
	Redirect(protocol.Redirect)
	// Reject answers without renewing the worker's lease. The worker may try another controller.
	Reject()
}

// ProbeDone reports the outcome of a ProbeMachine.
type ProbeDone struct {
	Machine   string
	Heartbeat *protocol.Heartbeat // generated after the worker saw this term's fencing token; nil without a reply
	Elapsed   time.Duration       // from the first request to the last reply
	NotSent   bool                // not sent for lack of time or sockets, which shows nothing about the machine
}

// DirectCommandsDone reports the outcome of a SendDirectCommands.
type DirectCommandsDone struct {
	ID          uint64 // of the SendDirectCommands
	Machine     string
	Heartbeat   *protocol.Heartbeat // the worker's state after the commands; nil without a reply
	NotExecuted bool                // no command was executed: none was sent, or the worker rejected them
}

// WriteCompleted reports the outcome of a WriteRecords.
type WriteCompleted struct {
	ID        uint64 // of the WriteRecords
	Committed bool   // the transaction was committed; otherwise a condition failed and nothing changed
	Version   uint64 // new version of the records that were put, if Committed
}

// RentalDone reports the outcome of a RentMachines. If neither OK nor NoCapacity is set, the rental
// must be requested again.
type RentalDone struct {
	Name       string
	Machines   []string // possibly fewer than requested
	OK         bool
	NoCapacity bool // the cloud has no such machines, at present or at all
}

// DeletionDone reports the outcome of a DeleteMachines.
type DeletionDone struct {
	Machines  []string
	Confirmed bool
}

// MachinesListed reports the outcome of a ListMachines.
type MachinesListed struct {
	Machines []protocol.Machine
	OK       bool // otherwise the list could not be read
}

// MachineTypesFetched reports the outcome of a FetchMachineTypes.
type MachineTypesFetched struct {
	Types []protocol.MachineType
	OK    bool // otherwise the types could not be read
}

// TaskCountsRequested asks for the task counts of a job, for a user who polls its status. The same step
// returns exactly one TaskCounts.
type TaskCountsRequested struct {
	JobID   string
	ReplyTo chan<- TaskCounts
}

// SnapshotRequested asks for a Snapshot, for an operator. If it names a job, the snapshot explains what
// that job waits for. The same step returns exactly one SnapshotTaken.
type SnapshotRequested struct {
	JobID   string // the job to explain, or ""
	ReplyTo chan<- Snapshot
}

// Tick advances the time. The leader sends one every limits.TickInterval. If Entitled is not set, the
// leader is not entitled, and the tick runs none of the periodic work that writes records or that rents or
// deletes machines.
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
func (SnapshotRequested) event()   {}
func (Tick) event()                {}
