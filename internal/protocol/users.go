package protocol

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"quillshunt/internal/limits"
)

// Urgency is a job's priority; higher runs first.
type Urgency int8

// The priorities of the protocol.
const (
	Low Urgency = iota
	Standard
	High
	Production
)

var urgencies = map[string]Urgency{"low": Low, "standard": Standard, "high": High, "production": Production}

// ParseUrgency reads a priority.
func ParseUrgency(s string) (Urgency, bool) {
	u, ok := urgencies[s]
	return u, ok
}

// Standings of a job and of a task.
const (
	Pending  = "pending"
	Running  = "running"
	Done     = "done"
	Aborted  = "aborted"
	Fetching = "fetching"
	Saving   = "saving"
	Ended    = "ended"
)

// Spec is a submitted job.
type Spec struct {
	NameId       string   `cbor:"NameId" json:"NameId"`
	Docket       string   `cbor:"Docket" json:"Docket"`
	Crew         string   `cbor:"Crew" json:"Crew"`
	Shape        string   `cbor:"Shape" json:"Shape"`
	Urgency      string   `cbor:"Urgency" json:"Urgency"`
	Pieces       int      `cbor:"Pieces" json:"Pieces"`
	Vcpus        float64  `cbor:"Vcpus" json:"Vcpus"`
	Accelerators float64  `cbor:"Accelerators" json:"Accelerators"`
	RamGb        float64  `cbor:"RamGb" json:"RamGb"`
	Rigkinds     []string `cbor:"Rigkinds" json:"Rigkinds"`
	Yard         string   `cbor:"Yard" json:"Yard"`
	Together     bool     `cbor:"Together" json:"Together"`
	Scatter      bool     `cbor:"Scatter" json:"Scatter"`
	Lendable     bool     `cbor:"Lendable" json:"Lendable"`
	Bundle       string   `cbor:"Bundle" json:"Bundle"`
	SizeGb       float64  `cbor:"SizeGb" json:"SizeGb"`
	ReckonS      float64  `cbor:"ReckonS" json:"ReckonS"`
	BookmarkS    float64  `cbor:"BookmarkS" json:"BookmarkS"`
	StashS       float64  `cbor:"StashS" json:"StashS"`
	DueS         float64  `cbor:"DueS" json:"DueS"` // 0: no deadline
}

// ErrInvalid is wrapped by every complaint about a malformed submission.
var ErrInvalid = errors.New("invalid")

// fields reads typed fields out of a decoded map and keeps the first complaint.
type fields struct {
	m   map[string]any
	err error
}

func (f *fields) fail(name, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%w: %s: %s", ErrInvalid, name, why)
	}
}

// get returns a field's value; null and omitted are the same.
func (f *fields) get(name string, optional bool) (any, bool) {
	v := f.m[name]
	if v == nil {
		if !optional {
			f.fail(name, "missing")
		}
		return nil, false
	}
	return v, true
}

func (f *fields) text(name string, optional bool) string {
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

func (f *fields) flag(name string) bool {
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

func (f *fields) amount(name string, optional bool) float64 {
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

func (f *fields) count(name string, most uint64) int {
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

func (f *fields) names(name string) []string {
	v, ok := f.get(name, true)
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		f.fail(name, "must be a list of names")
		return nil
	}
	if len(list) > limits.MaxRigkinds {
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
	f := &fields{m: m}
	s := &Spec{
		NameId:       f.text("NameId", false),
		Docket:       f.text("Docket", false),
		Crew:         f.text("Crew", false),
		Shape:        f.text("Shape", false),
		Urgency:      f.text("Urgency", false),
		Pieces:       f.count("Pieces", limits.MaxPieces),
		Vcpus:        f.amount("Vcpus", false),
		Accelerators: f.amount("Accelerators", false),
		RamGb:        f.amount("RamGb", false),
		Rigkinds:     f.names("Rigkinds"),
		Yard:         f.text("Yard", true),
		Together:     f.flag("Together"),
		Scatter:      f.flag("Scatter"),
		Lendable:     f.flag("Lendable"),
		Bundle:       f.text("Bundle", false),
		SizeGb:       f.amount("SizeGb", false),
		ReckonS:      f.amount("ReckonS", false),
		BookmarkS:    f.amount("BookmarkS", false),
		StashS:       f.amount("StashS", false),
		DueS:         f.amount("DueS", true),
	}
	if f.err != nil {
		return nil, f.err
	}
	if !ValidJobID(s.NameId) {
		return nil, fmt.Errorf("%w: NameId: not a job id", ErrInvalid)
	}
	if s.Shape != "sweep" {
		return nil, fmt.Errorf("%w: Shape: must be sweep", ErrInvalid)
	}
	if _, ok := ParseUrgency(s.Urgency); !ok {
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

// PieceName is the name of a job's task.
func PieceName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParsePiece splits a task's name.
func ParsePiece(name string) (job string, index int, ok bool) {
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
	NameId   string `cbor:"NameId"`
	Standing string `cbor:"Standing"`
	Done     *int   `cbor:"done,omitempty"`
	Running  *int   `cbor:"running,omitempty"`
}
