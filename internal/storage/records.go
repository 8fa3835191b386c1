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
	KeyLeader     = "leader"
	KeyTerm       = "term"
	KeyHeartbeat  = "beat"
	KeyTypes      = "types"
	PrefixRelease = "let/"
	PrefixOpen    = "open/"
	PrefixFin     = "fin/"
	PrefixRental  = "hire/"
	PrefixUp      = "up/"
	PrefixTypes   = "type/"
)

// OpenKey is where a job that is not over is kept.
func OpenKey(id string) string { return PrefixOpen + id }

// FinalKey is where a job that is over is kept for good.
func FinalKey(id string) string { return "final/" + id }

// FinKey is where a chunk of a job's finished tasks is kept.
func FinKey(id string, base int) string { return fmt.Sprintf("%s%s/%d", PrefixFin, id, base) }

// ReleaseKey is where a controller notes that it has let go of a leader.
func ReleaseKey(node string) string { return PrefixRelease + node }

// ParseFinKey splits such a key.
func ParseFinKey(key string) (id string, base int, ok bool) {
	rest, ok := strings.CutPrefix(key, PrefixFin)
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

// UpKey is where a page of machines that may hold tasks is kept.
func UpKey(name string) string { return PrefixUp + name }

// TypesKey is where a part of the machine types is kept.
func TypesKey(part int) string { return fmt.Sprintf("%s%03d", PrefixTypes, part) }

// Leader names the leading controller.
type Leader struct {
	Node  string `cbor:"Node" json:"Node"`
	Term  uint64 `cbor:"Term" json:"Term"`
	Nonce uint64 `cbor:"Nonce" json:"Nonce"` // tells one process of a node from the next
}

// Term is the highest term so far.
type Term struct {
	Term uint64 `cbor:"Term" json:"Term"`
}

// Heartbeat is written by a leader that too few others pledge to, and when it has heard of a new process of another.
type Heartbeat struct {
	Term uint64 `cbor:"Term" json:"Term"`
	Seq  uint64 `cbor:"Seq" json:"Seq"`
	Seen uint64 `cbor:"Seen" json:"Seen"` // the term has taken in all changes of open jobs up to this revision
}

// Release is a controller's word that it pledges no more to a leader whose last heartbeat has that stamp, or an earlier one.
type Release struct {
	Heartbeat uint64 `cbor:"Beat" json:"Heartbeat"`
}

// Open is a job that is not over.
type Open struct {
	Spec      protocol.Spec `cbor:"Spec" json:"Spec"`
	Cancelled bool          `cbor:"Cancelled" json:"Cancelled"`
	AtMs      int64         `cbor:"AtMs" json:"AtMs"`         // time of day of the submission
	CancelMs  int64         `cbor:"CancelMs" json:"CancelMs"` // time of day before which nobody was told that it is cancelled
}

// Shortened returns the record of a cancelled job so that it fits, if it was stored when values could be larger: nothing is placed
// any more, so it can do without what only says where and when a task may start.
func (o Open) Shortened(valueKB float64) Open {
	if !o.Cancelled || Fits(o, valueKB) {
		return o
	}
	o.Spec.MachineTypes, o.Spec.Zone, o.Spec.Image, o.Spec.Class = nil, "", "", ""
	return o
}

// Final is a job that is over.
type Final struct {
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

// RentalMachines is how many machines a rental may be for, so that its record with their names stays below the value limit.
func RentalMachines(valueKB float64) int {
	fit := (int(valueKB*1024) - limits.RentalFrame) / limits.MachineNameBytes
	return min(max(fit, 1), limits.RentalMax)
}

// Up is a machine that reported. It is written before the machine gets its first task, so a new leader knows
// where tasks of earlier terms can be, and where to ask.
type Up struct {
	Machine string `cbor:"Rig" json:"Rig"`
	Address string `cbor:"Address" json:"Address"`
}

// Ups is a page of such machines.
type Ups struct {
	Machines []Up `cbor:"Rigs" json:"Rigs"`
}

// Types caches the machine types, so that a node can check submissions after a restart. They are kept under KeyTypes, or, if that
// would be too large a value, in parts under PrefixTypes.
type Types struct {
	MachineTypes []protocol.MachineType `cbor:"Rigkinds" json:"Rigkinds"`
}

// TypesPart is one of several records that hold the machine types together.
type TypesPart struct {
	MachineTypes []protocol.MachineType `cbor:"Rigkinds" json:"Rigkinds"`
	Parts        int                    `cbor:"Parts" json:"Parts"`
}

// SplitTypes cuts machine types into parts that fit; a type that is too large by itself gets a part of its own.
func SplitTypes(types []protocol.MachineType, valueKB float64) []TypesPart {
	var parts []TypesPart
	for _, t := range types {
		if last := len(parts) - 1; last >= 0 {
			grown := TypesPart{MachineTypes: append(slices.Clone(parts[last].MachineTypes), t), Parts: limits.MaxMachineTypes}
			if Fits(grown, valueKB) {
				parts[last] = grown
				continue
			}
		}
		parts = append(parts, TypesPart{MachineTypes: []protocol.MachineType{t}})
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	return parts
}

// JoinTypes puts parts together again. It returns false if some are missing, as while they are being written.
func JoinTypes(parts []TypesPart) ([]protocol.MachineType, bool) {
	var types []protocol.MachineType
	for _, p := range parts {
		if p.Parts != len(parts) {
			return nil, false
		}
		types = append(types, p.MachineTypes...)
	}
	return types, len(parts) > 0
}

// Fin is a chunk of a job's finished tasks: bit i of Bits is task Base+i.
type Fin struct {
	Base int    `cbor:"Base" json:"Base"`
	Bits string `cbor:"Bits" json:"Bits"`
}

// ChunkTasks is how many tasks a chunk holds so that its record stays below the value limit.
func ChunkTasks(valueKB float64) int {
	chars := int(valueKB*1024) - limits.FinFrame
	n := chars / 4 * 3 * 8 // base64 carries three bytes in four characters
	return max(n/64*64, 64)
}

// EncodeFin writes the chunk that starts at base from a bitmap of all tasks.
func EncodeFin(bits []uint64, base, size int) Fin {
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
	return Fin{Base: base, Bits: base64.RawStdEncoding.EncodeToString(b)}
}

// Decode calls set for each finished task of a chunk.
func (f Fin) Decode(set func(task int)) error {
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

// Size is the size of a value as the service counts it, in JSON.
func Size(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return math.MaxInt // no record of ours
	}
	return len(b)
}

// Fits tells whether a value keeps to the service's size limit.
func Fits(v any, valueKB float64) bool { return float64(Size(v)) <= valueKB*1024 }
