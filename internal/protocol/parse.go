package protocol

import (
	"errors"
	"fmt"
	"math"

	"quillshunt/internal/limits"
)

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
