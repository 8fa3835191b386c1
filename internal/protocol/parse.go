package protocol

import (
	"errors"
	"fmt"
	"math"

	"quillshunt/internal/limits"
)

// ErrInvalid is wrapped by all errors about malformed submissions.
var ErrInvalid = errors.New("invalid")

// ParseSpec decodes and validates a submission. Errors wrap ErrInvalid. If a field is invalid, the error
// names it.
func ParseSpec(body []byte) (*Spec, error) {
	var fields map[string]any
	if err := Decode(body, &fields); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if fields == nil { // CBOR null decodes into a nil map
		return nil, fmt.Errorf("%w: not a map", ErrInvalid)
	}
	r := &fieldReader{fields: fields}
	spec := r.readSpec()
	if r.err != nil {
		return nil, r.err
	}
	if !IsValidJobID(spec.ID) {
		return nil, fmt.Errorf("%w: NameId: not a job id", ErrInvalid)
	}
	if spec.Shape != ShapeArray && spec.Shape != ShapeGang {
		return nil, fmt.Errorf("%w: Shape: must be %s or %s", ErrInvalid, ShapeArray, ShapeGang)
	}
	if _, ok := ParsePriority(spec.Priority); !ok {
		return nil, fmt.Errorf("%w: Urgency: unknown", ErrInvalid)
	}
	return spec, nil
}

// fieldReader reads typed fields from a decoded map. It records the first error. Invalid and missing
// fields are read as zero values.
type fieldReader struct {
	fields map[string]any
	err    error
}

// readSpec reads a submission. The field names are those on the wire; see the tags of Spec.
func (r *fieldReader) readSpec() *Spec {
	return &Spec{
		ID:           r.text("NameId", required),
		Class:        r.text("Docket", required),
		Team:         r.text("Crew", required),
		Shape:        Shape(r.text("Shape", required)),
		Priority:     r.text("Urgency", required),
		Tasks:        r.count("Pieces", limits.MaxTasksPerJob),
		CPUs:         r.amount("Vcpus", required),
		Accelerators: r.amount("Accelerators", required),
		MemoryGB:     r.amount("RamGb", required),
		MachineTypes: r.nameList("Rigkinds"),
		Zone:         r.text("Yard", optional),
		SameZone:     r.boolean("Together"),
		SpreadZones:  r.boolean("Scatter"),
		Spot:         r.boolean("Lendable"),
		Image:        r.text("Bundle", required),
		ImageGB:      r.amount("SizeGb", required),
		EstimateS:    r.amount("ReckonS", required),
		CheckpointS:  r.amount("BookmarkS", required),
		SaveS:        r.amount("StashS", required),
		DeadlineS:    r.amount("DueS", optional),
	}
}

// presence says whether a field may be missing. A null field counts as missing.
type presence bool

const (
	required presence = true
	optional presence = false
)

func (r *fieldReader) recordError(name, reason string) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: %s: %s", ErrInvalid, name, reason)
	}
}

// value returns the value of a field, or false if the field is missing. A missing required field is an
// error.
func (r *fieldReader) value(name string, p presence) (any, bool) {
	v := r.fields[name]
	if v == nil && p == required {
		r.recordError(name, "missing")
	}
	return v, v != nil
}

func (r *fieldReader) text(name string, p presence) string {
	v, ok := r.value(name, p)
	if !ok {
		return ""
	}
	s, ok := v.(string)
	if !ok {
		r.recordError(name, "must be text")
		return ""
	}
	if !isValidName(s) {
		r.recordError(name, "empty or too long")
		return ""
	}
	return s
}

func (r *fieldReader) boolean(name string) bool {
	v, ok := r.value(name, required)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		r.recordError(name, "must be true or false")
	}
	return b
}

// amount reads a non-negative number. Whole numbers may be encoded as integers.
func (r *fieldReader) amount(name string, p presence) float64 {
	v, ok := r.value(name, p)
	if !ok {
		return 0
	}
	x, ok := toFloat64(v)
	if !ok {
		r.recordError(name, "must be a number")
		return 0
	}
	if math.IsNaN(x) || x < 0 || x > limits.MaxAmount {
		r.recordError(name, "out of range")
		return 0
	}
	return x
}

func toFloat64(v any) (float64, bool) {
	switch n := v.(type) {
	case float64:
		return n, true
	case uint64:
		return float64(n), true
	case int64:
		return float64(n), true
	}
	return 0, false
}

// count reads a required whole number from 1 to maxCount.
func (r *fieldReader) count(name string, maxCount uint64) int {
	v, ok := r.value(name, required)
	if !ok {
		return 0
	}
	n, ok := v.(uint64)
	if !ok {
		r.recordError(name, "must be a whole number")
		return 0
	}
	if n < 1 || n > maxCount {
		r.recordError(name, "out of range")
		return 0
	}
	return int(n)
}

// nameList reads an optional list of machine type names.
func (r *fieldReader) nameList(name string) []string {
	v, ok := r.value(name, optional)
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		r.recordError(name, "must be a list of names")
		return nil
	}
	if len(list) > limits.MaxMachineTypes {
		r.recordError(name, "too long")
		return nil
	}
	names := make([]string, 0, len(list))
	for _, e := range list {
		s, ok := e.(string)
		if !ok || !isValidName(s) {
			r.recordError(name, "must be a list of names")
			return nil
		}
		names = append(names, s)
	}
	return names
}

func isValidName(s string) bool { return s != "" && len(s) <= limits.MaxNameBytes }
