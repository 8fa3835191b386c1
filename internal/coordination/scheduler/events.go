package scheduler

import (
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// Event is something that happened: a message, a changed record, the outcome of an effect, or the
// passing of time. The types of this file implement it. All are sent by the leader's actor, one at a
// time.
type Event interface{ event() }

// JobChanged is an open job as the state service has it. The leader sends one for each open job when
// it loads the state, then one for each change that it watches, and one for a cancellation that it
// has just written. Older versions than the newest that was seen are ignored.
type JobChanged struct {
	JobID           string
	Version         uint64 // of the record
	Record          storage.OpenJob
	SinceSubmission time.Duration
	// SinceCancellation is at least the time since the user may first have been told that the job is
	// cancelled; 0 if it is not cancelled.
	SinceCancellation time.Duration
}

// JobRemoved is a job whose open record is gone. The leader sends it for each removal that it
// watches, also for those that the scheduler has asked for.
type JobRemoved struct {
	JobID   string
	Version uint64 // of the removal
}

// FinishedTasksLoaded is a record of finished tasks. The leader sends these when it loads the state,
// after the open jobs.
type FinishedTasksLoaded struct {
	JobID   string
	Version uint64
	Record  storage.FinishedTasks
}

// RentalLoaded is the record of a rental. The leader sends these when it loads the state, after the
// finished tasks.
type RentalLoaded struct {
	Name    string
	Version uint64
	Record  storage.Rental
}

// RegistryPageLoaded is a page of registered machines. The leader sends these when it loads the
// state, after all rentals.
type RegistryPageLoaded struct {
	Name    string
	Version uint64
	Record  storage.RegistryPage
}

// StateLoaded says that all records of earlier terms were loaded. Nothing is placed before.
type StateLoaded struct{}

// HeartbeatReceived is a worker's heartbeat. It is answered by one HeartbeatReply, in the same step.
type HeartbeatReceived struct {
	Heartbeat      *protocol.Heartbeat
	ReplyTo        HeartbeatResponder
	Entitled       bool // the leader may answer it: its own lease is valid, and the worker still waits
	Relayed        bool // came through another controller
	SameConnection bool // the heartbeat before it on this connection was answered, so the worker has that answer
}

// HeartbeatResponder is the way back to the worker that has sent a heartbeat. The scheduler hands it
// on from the HeartbeatReceived to the HeartbeatReply; only who executes that effect calls it.
type HeartbeatResponder interface {
	// Accept renews the worker's lease and gives it commands.
	Accept(protocol.HeartbeatReply)
	// Redirect sends the worker to a controller.
	Redirect(protocol.Redirect)
	// Reject renews no lease; the worker may try another controller.
	Reject()
}

// ProbeDone is the outcome of a ProbeMachine.
type ProbeDone struct {
	Machine   string
	Heartbeat *protocol.Heartbeat // made after the worker had seen our fencing token; nil without an answer
	Elapsed   time.Duration       // from the first request to the last answer
	NotSent   bool                // the controller lacked the time or a socket, so a missing answer says nothing
}

// DirectCommandsDone is the outcome of a SendDirectCommands.
type DirectCommandsDone struct {
	ID          uint64 // of the SendDirectCommands
	Machine     string
	Heartbeat   *protocol.Heartbeat // what the worker has after the commands; nil without an answer
	NotExecuted bool                // no command was executed, as none was sent or the worker rejected them
}

// WriteCompleted is the outcome of a WriteRecords.
type WriteCompleted struct {
	ID      uint64 // of the WriteRecords
	OK      bool   // it was carried out; otherwise a condition failed and nothing was changed
	Version uint64 // of the records that were put, if OK
}

// RentalDone is the outcome of a RentMachines. With neither OK nor NoCapacity it is to be asked for
// again.
type RentalDone struct {
	Name       string
	Machines   []string // may be fewer than were asked for
	OK         bool
	NoCapacity bool // the cloud has none, now or ever
}

// DeletionDone is the outcome of a DeleteMachines.
type DeletionDone struct {
	Machines []string
	OK       bool
}

// MachinesListed is the outcome of a ListMachines.
type MachinesListed struct {
	Machines []protocol.Machine
	OK       bool // otherwise the list could not be read
}

// MachineTypesFetched is the outcome of a FetchMachineTypes.
type MachineTypesFetched struct {
	Types []protocol.MachineType
	OK    bool // otherwise the types could not be read
}

// TaskCountsRequested asks for the task counts of a job, for a user who wants to know how it goes.
// It is answered by one TaskCounts, in the same step.
type TaskCountsRequested struct {
	JobID   string
	ReplyTo chan<- TaskCounts
}

// SnapshotRequested asks for a Snapshot, for an operator. If a job is named, the snapshot explains
// what it waits for. It is answered by one SnapshotTaken, in the same step.
type SnapshotRequested struct {
	JobID   string // or ""
	ReplyTo chan<- Snapshot
}

// Tick lets time pass. The leader sends one every limits.TickInterval. Entitled says that its lease
// is valid; without it the scheduler starts nothing new.
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
