package protocol

import (
	"errors"
	"math"
	"strings"
	"testing"

	"quillshunt/internal/limits"
)

// validSubmission returns the fields of a valid submission.
func validSubmission() map[string]any {
	return map[string]any{
		"NameId": "job-000412", "Docket": "train", "Crew": "vision", "Shape": "sweep", "Urgency": "high", "Pieces": 16,
		"Vcpus": 8.0, "Accelerators": 1.0, "RamGb": 64.0, "Bundle": "img-07", "SizeGb": 6.2,
		"Rigkinds": []string{"g8"}, "Yard": nil, "Together": true, "Scatter": false, "Lendable": true,
		"ReckonS": 240.0, "BookmarkS": 30.0, "StashS": 4.0, "DueS": 900.0,
	}
}

// TestParseSpecAccepts checks that the fields of a valid submission are read, and that integers are accepted
// for amounts, unknown fields are ignored, and optional fields may be null or missing.
func TestParseSpecAccepts(t *testing.T) {
	submission := validSubmission()
	want, err := ParseSpec(Encode(submission))
	if err != nil {
		t.Fatal(err)
	}
	if want.Tasks != 16 || want.MemoryGB != 64 || want.DeadlineS != 900 || !want.SameZone ||
		len(want.MachineTypes) != 1 {
		t.Fatalf("spec read as %+v", want)
	}
	submission["Vcpus"], submission["DueS"], submission["Extra"] = 8, 900, map[string]any{"a": []int{1}}
	delete(submission, "Yard")
	got, err := ParseSpec(Encode(submission))
	if err != nil || got.CPUs != 8 || got.DeadlineS != 900 || got.Zone != "" {
		t.Fatalf("spec with integers, an unknown field and no zone read as %+v, error %v", got, err)
	}
	submission["Rigkinds"], submission["DueS"] = nil, nil
	if got, err = ParseSpec(Encode(submission)); err != nil || got.MachineTypes != nil || got.DeadlineS != 0 {
		t.Fatalf("spec with null fields read as %+v, error %v", got, err)
	}
}

// TestParseSpecRejects checks that an invalid value of any field and an invalid encoding are rejected with
// ErrInvalid.
func TestParseSpecRejects(t *testing.T) {
	long := strings.Repeat("n", limits.MaxNameBytes+1)
	bad := map[string][]any{
		"NameId":       {nil, 7, "", "job-", "job-12x", "run-1", "job-1/2", long},
		"Docket":       {nil, 1, "", long},
		"Crew":         {nil, false, ""},
		"Shape":        {nil, "Ensemble", "service", 1},
		"Urgency":      {nil, "urgent", 2},
		"Pieces":       {nil, 0, -1, limits.MaxTasksPerJob + 1, 1.5, "1", uint64(math.MaxUint64)},
		"Vcpus":        {nil, -1, math.NaN(), math.Inf(1), "4", true},
		"Accelerators": {nil, -0.5},
		"RamGb":        {nil, math.Inf(-1)},
		"Bundle":       {nil, "", long},
		"SizeGb":       {nil, math.NaN()},
		"Rigkinds":     {"g8", []any{1}, []any{""}, []any{long}, 3},
		"Yard":         {1, "", long},
		"Together":     {nil, 1},
		"Scatter":      {nil, "no"},
		"Lendable":     {nil, 0},
		"ReckonS":      {nil, -1, "x"},
		"BookmarkS":    {nil, -1},
		"StashS":       {nil, math.NaN()},
		"DueS":         {-1, math.Inf(1), "soon"},
	}
	for field, values := range bad {
		for _, v := range values {
			submission := validSubmission()
			submission[field] = v
			if _, err := ParseSpec(Encode(submission)); !errors.Is(err, ErrInvalid) {
				t.Errorf("submission with %s = %v: error %v, want ErrInvalid", field, v, err)
			}
		}
	}
	good := Encode(validSubmission())
	for name, b := range map[string][]byte{
		"empty": {}, "null": Encode(nil), "list": Encode([]int{1}), "text": Encode("x"), "number": Encode(4),
		"trailing bytes": append(append([]byte(nil), good...), 0), "cut short": good[:len(good)-1],
		"number as key": Encode(map[int]int{1: 2}), "not CBOR": []byte("{\"NameId\":1}"),
		"same key twice": {0xa2, 0x61, 'a', 1, 0x61, 'a', 2},
	} {
		if _, err := ParseSpec(b); !errors.Is(err, ErrInvalid) {
			t.Errorf("body %q: error %v, want ErrInvalid", name, err)
		}
	}
}

// FuzzParseSpec checks that every accepted submission is within the limits that the scheduler relies on.
func FuzzParseSpec(f *testing.F) {
	f.Add(Encode(validSubmission()))
	f.Add([]byte{0xa0})
	f.Add([]byte{0xbf, 0x61, 'a', 0xf9, 0x7e, 0, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := ParseSpec(b)
		if err != nil {
			return
		}
		if s.Tasks < 1 || s.Tasks > limits.MaxTasksPerJob || !IsValidJobID(s.ID) || !(s.CPUs >= 0) ||
			(s.Shape != ShapeArray && s.Shape != ShapeGang) {
			t.Fatalf("accepted a spec outside the limits: %+v", s)
		}
	})
}
