package scheduler

import (
	"log/slog"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// Event is something that happened.
type Event interface{ event() }

// JobSeen is an open job as it stands in the state service.
type JobSeen struct {
	ID      string
	Version uint64
	Rec     storage.Open
	Age     time.Duration // since its submission

	CancelAge time.Duration // since its user may first have been told that it is cancelled; at least as long as that is ago
}

// JobLeft is a job whose open record is gone.
type JobLeft struct {
	ID      string
	Version uint64
}

// FinishedLoaded is a chunk of finished tasks, read at the start of a term.
type FinishedLoaded struct {
	ID      string
	Version uint64
	Rec     storage.Fin
}

// RentalLoaded is a rental request, read at the start of a term.
type RentalLoaded struct {
	Name    string
	Version uint64
	Rec     storage.Rental
}

// RegistrationLoaded is a page of registered machines, read at the start of a term after all rentals.
type RegistrationLoaded struct {
	Name    string
	Version uint64
	Rec     storage.Ups
}

// Loaded ends the reading at the start of a term.
type Loaded struct{}

// ReportIn is a worker's report. It is answered with a ReplyOut of the same Ref.
type ReportIn struct {
	Report   *protocol.Report
	Ref      any
	Entitled bool
	Relayed  bool // came through another controller
	Stayed   bool // on a connection on which the report before was answered 200: the worker got that answer
}

// ProbeDone is what a machine answered to a ProbeOut: its report after it had seen our term, or nothing.
type ProbeDone struct {
	Machine string
	Report  *protocol.Report
	Took    time.Duration // from the first call to the last answer
	NotSent bool          // it was not asked for want of a socket, so that it did not answer says nothing
}

// DirectDone is the outcome of a DirectOut.
type DirectDone struct {
	ID      uint64
	Machine string
	Report  *protocol.Report // what the worker has after the commands; nil if there was no answer
	Refused bool             // nothing was executed: it was not sent, or the worker said so
}

// WriteDone is the outcome of a WriteOut.
type WriteDone struct {
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

// DeleteDone is the outcome of a DeleteOut.
type DeleteDone struct {
	Machines []string
	OK       bool
}

// ListDone is the cloud's list. Rigs is nil if it could not be read.
type ListDone struct {
	Machines []protocol.Machine
	OK       bool
}

// TypesDone are the machine types.
type TypesDone struct {
	Types []protocol.MachineType
	OK    bool
}

// CountsIn asks for a job's counts; answered with a CountsOut.
type CountsIn struct {
	ID  string
	Ref any
}

// Tick lets time pass.
type Tick struct{ Entitled bool }

func (JobSeen) event()            {}
func (JobLeft) event()            {}
func (FinishedLoaded) event()     {}
func (RentalLoaded) event()       {}
func (RegistrationLoaded) event() {}
func (Loaded) event()             {}
func (ReportIn) event()           {}
func (ProbeDone) event()          {}
func (DirectDone) event()         {}
func (WriteDone) event()          {}
func (RentalDone) event()         {}
func (DeleteDone) event()         {}
func (ListDone) event()           {}
func (TypesDone) event()          {}
func (CountsIn) event()           {}
func (Tick) event()               {}

// Effect is something to do.
type Effect interface{ effect() }

// ReplyOut answers a report: 200 with orders, 421 to make the worker come itself, or 503.
type ReplyOut struct {
	Ref      any
	OK       bool
	Redirect bool
	Commands []protocol.Command
}

// WriteOut changes the state service under the leader's guard, whole or not at all.
type WriteOut struct {
	ID         uint64
	Bulk       bool // can wait for all others
	Conditions []protocol.Condition
	Ops        []protocol.Op
}

// ProbeOut asks a machine for its tasks and shows it our term.
type ProbeOut struct{ Machine, Address string }

// DirectOut sends commands to a worker without waiting for its report.
type DirectOut struct {
	ID       uint64
	Machine  string
	Address  string
	Session  uint64
	Commands []protocol.Command
}

// RentOut sends a rental request, again and again until there is an answer.
type RentOut struct{ Request protocol.RentalRequest }

// DeleteOut returns machines.
type DeleteOut struct{ Machines []string }

// ListOut reads the cloud's list.
type ListOut struct{}

// TypesOut reads the machine types.
type TypesOut struct{}

// CountsOut answers a CountsIn.
type CountsOut struct {
	Ref           any
	Known         bool
	Done, Running int
}

// Note is something an operator may want to read.
type Note struct {
	Level slog.Level
	Msg   string
	Args  []any
}

func (ReplyOut) effect()  {}
func (WriteOut) effect()  {}
func (ProbeOut) effect()  {}
func (DirectOut) effect() {}
func (RentOut) effect()   {}
func (DeleteOut) effect() {}
func (ListOut) effect()   {}
func (TypesOut) effect()  {}
func (CountsOut) effect() {}
func (Note) effect()      {}
