package protocol

// Spec is a submitted job. Its tasks are alike: amounts are those of one task.
type Spec struct {
	ID           string   `cbor:"NameId" json:"NameId"`
	Class        string   `cbor:"Docket" json:"Docket"`
	Team         string   `cbor:"Crew" json:"Crew"`
	Shape        Shape    `cbor:"Shape" json:"Shape"`
	Priority     string   `cbor:"Urgency" json:"Urgency"` // see ParsePriority
	Tasks        int      `cbor:"Pieces" json:"Pieces"`
	CPUs         float64  `cbor:"Vcpus" json:"Vcpus"`
	Accelerators float64  `cbor:"Accelerators" json:"Accelerators"`
	MemoryGB     float64  `cbor:"RamGb" json:"RamGb"`
	MachineTypes []string `cbor:"Rigkinds" json:"Rigkinds"`   // allowed machine types; empty: any
	Zone         string   `cbor:"Yard" json:"Yard"`           // allowed zone; empty: any
	SameZone     bool     `cbor:"Together" json:"Together"`   // all tasks in one zone
	SpreadZones  bool     `cbor:"Scatter" json:"Scatter"`     // tasks spread over zones
	Spot         bool     `cbor:"Lendable" json:"Lendable"`   // may run on spot machines
	Image        string   `cbor:"Bundle" json:"Bundle"`       // image that a machine fetches first
	ImageGB      float64  `cbor:"SizeGb" json:"SizeGb"`       // its size
	EstimateS    float64  `cbor:"ReckonS" json:"ReckonS"`     // the user's estimate of the run time
	CheckpointS  float64  `cbor:"BookmarkS" json:"BookmarkS"` // checkpoint interval; 0: no checkpoints
	SaveS        float64  `cbor:"StashS" json:"StashS"`       // time to save a checkpoint when told to stop
	DeadlineS    float64  `cbor:"DueS" json:"DueS"`           // from the submission; 0: no deadline
}

// IsGang reports whether the job's tasks run at the same time or not at all.
func (s *Spec) IsGang() bool { return s.Shape == ShapeGang }

// Shape says how the tasks of a job run.
type Shape string

// Shapes of a job.
const (
	ShapeArray Shape = "sweep"    // job array: independent tasks
	ShapeGang  Shape = "ensemble" // gang: all tasks run at the same time or none does
)

// Priority is a job's priority. A higher one goes first.
type Priority int8

// Priorities of the protocol.
const (
	PriorityLow Priority = iota
	PriorityStandard
	PriorityHigh
	PriorityProduction
)

var priorities = map[string]Priority{
	"low":        PriorityLow,
	"standard":   PriorityStandard,
	"high":       PriorityHigh,
	"production": PriorityProduction,
}

// ParsePriority returns the priority that a Spec names, and whether there is one of that name.
func ParsePriority(s string) (Priority, bool) {
	p, ok := priorities[s]
	return p, ok
}

// JobState is the state of a job as users see it.
type JobState string

// States of a job.
const (
	JobPending   JobState = "pending" // no task runs
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "aborted" // cancelled by its user
)

// JobStatus is the answer to users. The counts are for display; they are nil if they are not known.
type JobStatus struct {
	ID      string   `cbor:"NameId"`
	State   JobState `cbor:"Standing"`
	Done    *int     `cbor:"done,omitempty"`
	Running *int     `cbor:"running,omitempty"`
}
