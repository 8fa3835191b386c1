package storage

import "quillshunt/internal/protocol"

// PrefixOpenJob is the prefix of the keys of jobs that are not over.
const PrefixOpenJob = "open/"

// OpenJobKey is where a job that is not over is kept.
func OpenJobKey(id string) string { return PrefixOpenJob + id }

// FinalJobKey is where a job that is over is kept for good.
func FinalJobKey(id string) string { return "final/" + id }

// OpenJob is a job that is not over.
type OpenJob struct {
	Spec          protocol.Spec `cbor:"Spec" json:"Spec"`
	Cancelled     bool          `cbor:"Cancelled" json:"Cancelled"`
	SubmittedAtMs int64         `cbor:"AtMs" json:"AtMs"`         // time of day of the submission
	CancelledAtMs int64         `cbor:"CancelMs" json:"CancelMs"` // time of day before which nobody was told that it is cancelled
}

// Shortened returns the record of a cancelled job so that it fits, if it was stored when values
// could be larger: nothing is placed any more, so it can do without what only says where and when a
// task may start.
func (o OpenJob) Shortened(valueKB float64) OpenJob {
	if !o.Cancelled || FitsValueLimit(o, valueKB) {
		return o
	}
	o.Spec.MachineTypes, o.Spec.Zone, o.Spec.Image, o.Spec.Class = nil, "", "", ""
	return o
}

// FinalJob is a job that is over.
type FinalJob struct {
	State string `cbor:"Standing" json:"Standing"`
}
