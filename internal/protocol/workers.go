package protocol

// Causes of a task's end.
const (
	CauseDone   = "done"
	CauseHalted = "halted"
	CauseError  = "error"
	CauseNoRoom = "no_room"
	CauseBusy   = "busy"
	CauseNoSuch = "no_such"
)

// Verbs of orders.
const (
	VerbStart  = "start"
	VerbStop   = "stop"
	VerbForget = "forget"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Piece    string
	Try      uint64
	Standing string
	Cause    string
	Stored   bool
}

// Report is what a worker tells.
type Report struct {
	Rig      string
	Address  string
	Rigkind  string
	Yard     string
	Lendable bool
	Shift    uint64
	Tally    uint64
	Baton    uint64
	WarningS *float64
	Pieces   []TaskReport
}

// Order is one command to a worker.
type Order struct {
	Verb    string
	Piece   string
	Try     uint64
	LeewayS *float64 `cbor:",omitempty"`
}

// ReportReply answers a report.
type ReportReply struct {
	Baton  uint64
	Orders []Order
}

// Redirect is the body of a 421.
type Redirect struct {
	Foreman string `cbor:",omitempty"`
}

// Direct is the body of a command sent to a worker.
type Direct struct {
	Baton  uint64
	Shift  uint64
	Orders []Order
}

// Valid checks what the scheduler relies on.
func (r *Report) Valid() bool {
	return r.Rig != "" && r.Rigkind != "" && r.Yard != "" && r.Shift > 0
}
