package storage

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"quillshunt/internal/limits"
)

// PrefixFinishedTasks is the prefix of the keys of finished tasks.
const PrefixFinishedTasks = "fin/"

// FinishedTasksKey is where a chunk of a job's finished tasks is kept.
func FinishedTasksKey(id string, base int) string {
	return fmt.Sprintf("%s%s/%d", PrefixFinishedTasks, id, base)
}

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
