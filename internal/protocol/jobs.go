package protocol

// Spec is a job as submitted by a user. All tasks of a job need the same resources. Amounts are per task.
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
	SameZone     bool     `cbor:"Together" json:"Together"`   // all tasks must run in one zone
	SpreadZones  bool     `cbor:"Scatter" json:"Scatter"`     // tasks are spread over zones
	Spot         bool     `cbor:"Lendable" json:"Lendable"`   // may run on spot machines
	Image        string   `cbor:"Bundle" json:"Bundle"`       // image that a machine fetches before it starts a task
	ImageGB      float64  `cbor:"SizeGb" json:"SizeGb"`       // size of the image
	EstimateS    float64  `cbor:"ReckonS" json:"ReckonS"`     // the user's estimate of the run time
	CheckpointS  float64  `cbor:"BookmarkS" json:"BookmarkS"` // checkpoint interval; 0: no checkpoints
	SaveS        float64  `cbor:"StashS" json:"StashS"`       // time to save a checkpoint before a stop
	DeadlineS    float64  `cbor:"DueS" json:"DueS"`           // latest end, counted from the submission; 0: no deadline
}

// IsGang reports whether the job is a gang: all of its tasks run at the same time or none does.
func (s *Spec) IsGang() bool { return s.Shape == ShapeGang }

// Shape says how the tasks of a job run.
type Shape string

// Shapes of a job.
const (
	ShapeArray Shape = "sweep"    // job array: independent tasks
	ShapeGang  Shape = "ensemble" // gang: all tasks run at the same time or none does
)

// Priority is the priority of a job. A higher value takes precedence.
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

// ParsePriority returns the priority with the given name, as in Spec.Priority, and whether it exists.
func ParsePriority(s string) (Priority, bool) {
	p, ok := priorities[s]
	return p, ok
}

// JobState is the state of a job in responses to users.
type JobState string

// States of a job.
const (
	JobPending   JobState = "pending" // no task is running
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "aborted" // cancelled by the user
)

// JobStatus is the body of the response to a user's submission, poll or cancellation. The task counts are
// for display and are nil if unknown.
type JobStatus struct {
	ID      string   `cbor:"NameId"`
	State   JobState `cbor:"Standing"`
	Done    *int     `cbor:"done,omitempty"`
	Running *int     `cbor:"running,omitempty"`
}
