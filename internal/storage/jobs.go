package storage

import "quillshunt/internal/protocol"

// PrefixOpenJob is the prefix of the keys of jobs that are not over; the job's ID follows.
const PrefixOpenJob = "open/"

// prefixFinalJob is the prefix of the keys of jobs that are over; the job's ID follows.
const prefixFinalJob = "final/"

// OpenJobKey returns the key of a job while it is not over.
func OpenJobKey(id string) string { return PrefixOpenJob + id }

// FinalJobKey returns the key of a job once it is over.
func FinalJobKey(id string) string { return prefixFinalJob + id }

// OpenJob is a job that is not over. Times are Unix milliseconds of the controller that wrote them.
type OpenJob struct {
	Spec          protocol.Spec `cbor:"Spec" json:"Spec"`
	Cancelled     bool          `cbor:"Cancelled" json:"Cancelled"`
	SubmittedAtMs int64         `cbor:"AtMs" json:"AtMs"`
	CancelledAtMs int64         `cbor:"CancelMs" json:"CancelMs"` // nobody was told of the cancellation before this
}

// TrimmedToLimit returns a cancelled job's record in a form that fits the value limit, should it have
// been stored when values could be larger. No task of it will start again, so what only says where
// and when a task may start can go. Other records are returned as they are.
func (o OpenJob) TrimmedToLimit(valueKB float64) OpenJob {
	if !o.Cancelled || FitsValueLimit(o, valueKB) {
		return o
	}
	o.Spec.MachineTypes, o.Spec.Zone, o.Spec.Image, o.Spec.Class = nil, "", "", ""
	return o
}

// FinalJob is a job that is over.
type FinalJob struct {
	State protocol.JobState `cbor:"Standing" json:"Standing"`
}
