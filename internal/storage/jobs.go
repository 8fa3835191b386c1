package storage

import "quillshunt/internal/protocol"

// PrefixOpenJob is the prefix of the keys of open jobs, those that have not ended. The job's ID follows.
const PrefixOpenJob = "open/"

// prefixFinalJob is the prefix of the keys of jobs that have ended. The job's ID follows.
const prefixFinalJob = "final/"

// OpenJobKey returns the key of the record of an open job.
func OpenJobKey(id string) string { return PrefixOpenJob + id }

// FinalJobKey returns the key of the record of a job that has ended.
func FinalJobKey(id string) string { return prefixFinalJob + id }

// OpenJob is the record of an open job. Times are Unix milliseconds by the clock of the controller that
// wrote them.
type OpenJob struct {
	Spec          protocol.Spec `cbor:"Spec" json:"Spec"`
	Cancelled     bool          `cbor:"Cancelled" json:"Cancelled"`
	SubmittedAtMs int64         `cbor:"AtMs" json:"AtMs"`
	CancelledAtMs int64         `cbor:"CancelMs" json:"CancelMs"` // before any response that reports the cancellation
}

// TrimmedToLimit returns the record of a cancelled job without some fields if the record exceeds the value
// limit, which may have been lowered since the record was stored. The fields are only needed to start
// tasks, and no task of a cancelled job is started. Other records are returned unchanged.
func (o OpenJob) TrimmedToLimit(valueKB float64) OpenJob {
	if !o.Cancelled || FitsValueLimit(o, valueKB) {
		return o
	}
	o.Spec.MachineTypes, o.Spec.Zone, o.Spec.Image, o.Spec.Class = nil, "", "", ""
	return o
}

// FinalJob is the record of a job that has ended.
type FinalJob struct {
	State protocol.JobState `cbor:"Standing" json:"Standing"`
}
