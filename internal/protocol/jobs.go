package protocol

// Priority is a job's priority; higher runs first.
type Priority int8

// The priorities of the protocol.
const (
	PriorityLow Priority = iota
	PriorityStandard
	PriorityHigh
	PriorityProduction
)

var priorities = map[string]Priority{"low": PriorityLow, "standard": PriorityStandard, "high": PriorityHigh, "production": PriorityProduction}

// ParsePriority reads a priority.
func ParsePriority(s string) (Priority, bool) {
	u, ok := priorities[s]
	return u, ok
}

// States of a job.
const (
	JobPending = "pending" // no task runs
	JobRunning = "running"
	JobDone    = "done"
	JobAborted = "aborted" // cancelled by its user
)

// States of a task.
const (
	TaskFetching  = "fetching"  // waits for its image
	TaskGathering = "gathering" // of a gang: waits for the other tasks
	TaskRunning   = "running"
	TaskSaving    = "saving" // was told to stop, and saves its checkpoint
	TaskEnded     = "ended"  // see the EndReason
)

// Shapes of a job.
const (
	ShapeArray = "sweep"    // independent tasks
	ShapeGang  = "ensemble" // all tasks run at the same time or none does
)

// Spec is a submitted job.
type Spec struct {
	ID           string   `cbor:"NameId" json:"NameId"`
	Class        string   `cbor:"Docket" json:"Docket"`
	Team         string   `cbor:"Crew" json:"Crew"`
	Shape        string   `cbor:"Shape" json:"Shape"`
	Priority     string   `cbor:"Urgency" json:"Urgency"`
	Tasks        int      `cbor:"Pieces" json:"Pieces"`
	CPUs         float64  `cbor:"Vcpus" json:"Vcpus"`
	Accelerators float64  `cbor:"Accelerators" json:"Accelerators"`
	MemoryGB     float64  `cbor:"RamGb" json:"RamGb"`
	MachineTypes []string `cbor:"Rigkinds" json:"Rigkinds"`
	Zone         string   `cbor:"Yard" json:"Yard"`
	SameZone     bool     `cbor:"Together" json:"Together"`
	SpreadZones  bool     `cbor:"Scatter" json:"Scatter"`
	Spot         bool     `cbor:"Lendable" json:"Lendable"`
	Image        string   `cbor:"Bundle" json:"Bundle"`
	ImageGB      float64  `cbor:"SizeGb" json:"SizeGb"`
	EstimateS    float64  `cbor:"ReckonS" json:"ReckonS"`
	CheckpointS  float64  `cbor:"BookmarkS" json:"BookmarkS"`
	SaveS        float64  `cbor:"StashS" json:"StashS"`
	DeadlineS    float64  `cbor:"DueS" json:"DueS"` // 0: no deadline
}

// Gang tells whether the job's tasks run at the same time or not at all.
func (s *Spec) Gang() bool { return s.Shape == ShapeGang }

// JobStatus answers a user.
type JobStatus struct {
	ID      string `cbor:"NameId"`
	State   string `cbor:"Standing"`
	Done    *int   `cbor:"done,omitempty"`
	Running *int   `cbor:"running,omitempty"`
}
