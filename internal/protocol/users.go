package protocol

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"quillshunt/internal/limits"
)

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

// ErrInvalid is wrapped by every complaint about a malformed submission.
var ErrInvalid = errors.New("invalid")

// fieldReader reads typed fields out of a decoded map and keeps the first complaint.
type fieldReader struct {
	m   map[string]any
	err error
}

func (f *fieldReader) fail(name, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%w: %s: %s", ErrInvalid, name, why)
	}
}

// get returns a field's value; null and omitted are the same.
func (f *fieldReader) get(name string, optional bool) (any, bool) {
	v := f.m[name]
	if v == nil {
		if !optional {
			f.fail(name, "missing")
		}
		return nil, false
	}
	return v, true
}

func (f *fieldReader) text(name string, optional bool) string {
	v, ok := f.get(name, optional)
	if !ok {
		return ""
	}
	s, ok := v.(string)
	if !ok {
		f.fail(name, "must be text")
		return ""
	}
	if s == "" || len(s) > limits.MaxNameBytes {
		f.fail(name, "empty or too long")
		return ""
	}
	return s
}

func (f *fieldReader) flag(name string) bool {
	v, ok := f.get(name, false)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		f.fail(name, "must be true or false")
	}
	return b
}

func (f *fieldReader) amount(name string, optional bool) float64 {
	v, ok := f.get(name, optional)
	if !ok {
		return 0
	}
	var x float64
	switch n := v.(type) {
	case float64:
		x = n
	case uint64:
		x = float64(n)
	case int64:
		x = float64(n)
	default:
		f.fail(name, "must be a number")
		return 0
	}
	if math.IsNaN(x) || x < 0 || x > limits.MaxAmount {
		f.fail(name, "out of range")
		return 0
	}
	return x
}

func (f *fieldReader) count(name string, most uint64) int {
	v, ok := f.get(name, false)
	if !ok {
		return 0
	}
	n, ok := v.(uint64)
	if !ok {
		f.fail(name, "must be a whole number")
		return 0
	}
	if n < 1 || n > most {
		f.fail(name, "out of range")
		return 0
	}
	return int(n)
}

func (f *fieldReader) names(name string) []string {
	v, ok := f.get(name, true)
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		f.fail(name, "must be a list of names")
		return nil
	}
	if len(list) > limits.MaxMachineTypes {
		f.fail(name, "too long")
		return nil
	}
	out := make([]string, 0, len(list))
	for _, e := range list {
		s, ok := e.(string)
		if !ok || s == "" || len(s) > limits.MaxNameBytes {
			f.fail(name, "must be a list of names")
			return nil
		}
		out = append(out, s)
	}
	return out
}

// ParseSpec reads and checks a submission. Errors wrap ErrInvalid and name the field.
func ParseSpec(body []byte) (*Spec, error) {
	var m map[string]any
	if err := Decode(body, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if m == nil { // CBOR null decodes into a nil map
		return nil, fmt.Errorf("%w: not a map", ErrInvalid)
	}
	f := &fieldReader{m: m}
	s := &Spec{
		ID:           f.text("NameId", false),
		Class:        f.text("Docket", false),
		Team:         f.text("Crew", false),
		Shape:        f.text("Shape", false),
		Priority:     f.text("Urgency", false),
		Tasks:        f.count("Pieces", limits.MaxTasksPerJob),
		CPUs:         f.amount("Vcpus", false),
		Accelerators: f.amount("Accelerators", false),
		MemoryGB:     f.amount("RamGb", false),
		MachineTypes: f.names("Rigkinds"),
		Zone:         f.text("Yard", true),
		SameZone:     f.flag("Together"),
		SpreadZones:  f.flag("Scatter"),
		Spot:         f.flag("Lendable"),
		Image:        f.text("Bundle", false),
		ImageGB:      f.amount("SizeGb", false),
		EstimateS:    f.amount("ReckonS", false),
		CheckpointS:  f.amount("BookmarkS", false),
		SaveS:        f.amount("StashS", false),
		DeadlineS:    f.amount("DueS", true),
	}
	if f.err != nil {
		return nil, f.err
	}
	if !ValidJobID(s.ID) {
		return nil, fmt.Errorf("%w: NameId: not a job id", ErrInvalid)
	}
	if s.Shape != ShapeArray && s.Shape != ShapeGang {
		return nil, fmt.Errorf("%w: Shape: must be %s or %s", ErrInvalid, ShapeArray, ShapeGang)
	}
	if _, ok := ParsePriority(s.Priority); !ok {
		return nil, fmt.Errorf("%w: Urgency: unknown", ErrInvalid)
	}
	return s, nil
}

// ValidJobID tells whether an id has the form of a job id.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "job-")
	if !ok || digits == "" || len(id) > limits.MaxNameBytes {
		return false
	}
	for i := range len(digits) {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}

// TaskName is the name of a job's task.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName splits a task's name.
func ParseTaskName(name string) (job string, index int, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 || !ValidJobID(name[:i]) {
		return "", 0, false
	}
	d := name[i+1:]
	if d == "" || len(d) > 6 || (d[0] == '0' && len(d) > 1) {
		return "", 0, false
	}
	for j := range len(d) {
		if d[j] < '0' || d[j] > '9' {
			return "", 0, false
		}
		index = index*10 + int(d[j]-'0')
	}
	return name[:i], index, true
}

// JobStatus answers a user.
type JobStatus struct {
	ID      string `cbor:"NameId"`
	State   string `cbor:"Standing"`
	Done    *int   `cbor:"done,omitempty"`
	Running *int   `cbor:"running,omitempty"`
}
