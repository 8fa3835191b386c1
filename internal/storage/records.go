package storage

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// Keys of the state service.
const (
	KeyLeader              = "leader"
	KeyTerm                = "term"
	KeyLeaderHeartbeat     = "beat"
	KeyMachineTypes        = "types"
	PrefixVoteWithdrawal   = "let/"
	PrefixOpenJob          = "open/"
	PrefixFinishedTasks    = "fin/"
	PrefixRental           = "hire/"
	PrefixRegistryPage     = "up/"
	PrefixMachineTypesPart = "type/"
)

// OpenJobKey is where a job that is not over is kept.
func OpenJobKey(id string) string { return PrefixOpenJob + id }

// FinalJobKey is where a job that is over is kept for good.
func FinalJobKey(id string) string { return "final/" + id }

// FinishedTasksKey is where a chunk of a job's finished tasks is kept.
func FinishedTasksKey(id string, base int) string {
	return fmt.Sprintf("%s%s/%d", PrefixFinishedTasks, id, base)
}

// VoteWithdrawalKey is where a controller notes that it has let go of a leader.
func VoteWithdrawalKey(node string) string { return PrefixVoteWithdrawal + node }

// ParseFinishedTasksKey splits such a key.
func ParseFinishedTasksKey(key string) (id string, base int, ok bool) {
	rest, ok := strings.CutPrefix(key, PrefixFinishedTasks)
	if !ok {
		return "", 0, false
	}
	id, num, ok := strings.Cut(rest, "/")
	if !ok {
		return "", 0, false
	}
	base, err := strconv.Atoi(num)
	return id, base, err == nil
}

// RentalKey is where a rental request is kept.
func RentalKey(name string) string { return PrefixRental + name }

// RegistryPageKey is where a page of machines that may hold tasks is kept.
func RegistryPageKey(name string) string { return PrefixRegistryPage + name }

// MachineTypesPartKey is where a part of the machine types is kept.
func MachineTypesPartKey(part int) string { return fmt.Sprintf("%s%03d", PrefixMachineTypesPart, part) }

// LeaderRecord names the leading controller.
type LeaderRecord struct {
	Node  string `cbor:"Node" json:"Node"`
	Term  uint64 `cbor:"Term" json:"Term"`
	Nonce uint64 `cbor:"Nonce" json:"Nonce"` // tells one process of a node from the next
}

// TermRecord is the highest term so far.
type TermRecord struct {
	Term uint64 `cbor:"Term" json:"Term"`
}

// LeaderHeartbeat is written by a leader that too few others pledge to, and when it has heard of a
// new process of another.
type LeaderHeartbeat struct {
	Term             uint64 `cbor:"Term" json:"Term"`
	Sequence         uint64 `cbor:"Seq" json:"Seq"`
	ObservedRevision uint64 `cbor:"Seen" json:"Seen"` // the term has taken in all changes of open jobs up to this revision
}

// VoteWithdrawal is a controller's word that it pledges no more to a leader whose last heartbeat
// has that stamp, or an earlier one.
type VoteWithdrawal struct {
	Heartbeat uint64 `cbor:"Beat" json:"Heartbeat"`
}

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

// Rental is a rental request: written before it is sent, with its machines once they are known.
type Rental struct {
	MachineType string   `cbor:"Rigkind" json:"Rigkind"`
	Zone        string   `cbor:"Yard" json:"Yard"`
	Spot        bool     `cbor:"Lendable" json:"Lendable"`
	Count       int      `cbor:"Number" json:"Number"`
	Answered    bool     `cbor:"Answered" json:"Answered"`
	Machines    []string `cbor:"Rigs" json:"Rigs"` // machines that are not gone
}

// MaxRentalMachines is how many machines a rental may be for, so that its record with their names
// stays below the value limit.
func MaxRentalMachines(valueKB float64) int {
	fit := (int(valueKB*1024) - limits.RentalOverhead) / limits.MachineNameBytes
	return min(max(fit, 1), limits.MaxRentalSize)
}

// RegisteredMachine is a machine that reported. It is written before the machine gets its first
// task, so a new leader knows where tasks of earlier terms can be, and where to ask.
type RegisteredMachine struct {
	Machine string `cbor:"Rig" json:"Rig"`
	Address string `cbor:"Address" json:"Address"`
}

// RegistryPage is a page of such machines.
type RegistryPage struct {
	Machines []RegisteredMachine `cbor:"Rigs" json:"Rigs"`
}

// MachineTypes caches the machine types, so that a node can check submissions after a restart. They
// are kept under KeyTypes, or, if that would be too large a value, in parts under PrefixTypes.
type MachineTypes struct {
	MachineTypes []protocol.MachineType `cbor:"Rigkinds" json:"Rigkinds"`
}

// MachineTypesPart is one of several records that hold the machine types together.
type MachineTypesPart struct {
	MachineTypes []protocol.MachineType `cbor:"Rigkinds" json:"Rigkinds"`
	Parts        int                    `cbor:"Parts" json:"Parts"`
}

// SplitMachineTypes cuts machine types into parts that fit; a type that is too large by itself gets
// a part of its own.
func SplitMachineTypes(types []protocol.MachineType, valueKB float64) []MachineTypesPart {
	var parts []MachineTypesPart
	for _, t := range types {
		if last := len(parts) - 1; last >= 0 {
			grown := MachineTypesPart{MachineTypes: append(slices.Clone(parts[last].MachineTypes), t), Parts: limits.MaxMachineTypes}
			if FitsValueLimit(grown, valueKB) {
				parts[last] = grown
				continue
			}
		}
		parts = append(parts, MachineTypesPart{MachineTypes: []protocol.MachineType{t}})
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	return parts
}

// JoinMachineTypes puts parts together again. It returns false if some are missing, as while they
// are being written.
func JoinMachineTypes(parts []MachineTypesPart) ([]protocol.MachineType, bool) {
	var types []protocol.MachineType
	for _, p := range parts {
		if p.Parts != len(parts) {
			return nil, false
		}
		types = append(types, p.MachineTypes...)
	}
	return types, len(parts) > 0
}

// FinishedTasks is a chunk of a job's finished tasks: bit i of Bits is task Base+i.
type FinishedTasks struct {
	Base int    `cbor:"Base" json:"Base"`
	Bits string `cbor:"Bits" json:"Bits"`
}

// TasksPerChunk is how many tasks a chunk holds so that its record stays below the value limit.
func TasksPerChunk(valueKB float64) int {
	chars := int(valueKB*1024) - limits.FinishedTasksOverhead
	n := chars / 4 * 3 * 8 // base64 carries three bytes in four characters
	return max(n/64*64, 64)
}

// EncodeFinishedTasks writes the chunk that starts at base from a bitmap of all tasks.
func EncodeFinishedTasks(bits []uint64, base, size int) FinishedTasks {
	lo := base / 64
	hi := min(lo+size/64, len(bits))
	b := make([]byte, 0, (hi-lo)*8)
	for _, w := range bits[lo:hi] {
		for k := range 8 {
			b = append(b, byte(w>>(8*k)))
		}
	}
	for len(b) > 0 && b[len(b)-1] == 0 {
		b = b[:len(b)-1]
	}
	return FinishedTasks{Base: base, Bits: base64.RawStdEncoding.EncodeToString(b)}
}

// Decode calls set for each finished task of a chunk.
func (f FinishedTasks) Decode(set func(task int)) error {
	b, err := base64.RawStdEncoding.DecodeString(f.Bits)
	if err != nil {
		return fmt.Errorf("finished tasks: %w", err)
	}
	for i, x := range b {
		for k := range 8 {
			if x>>k&1 != 0 {
				set(f.Base + i*8 + k)
			}
		}
	}
	return nil
}

// EncodedSize is the size of a value as the service counts it, in JSON.
func EncodedSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return math.MaxInt // no record of ours
	}
	return len(b)
}

// FitsValueLimit tells whether a value keeps to the service's size limit.
func FitsValueLimit(v any, valueKB float64) bool { return float64(EncodedSize(v)) <= valueKB*1024 }
