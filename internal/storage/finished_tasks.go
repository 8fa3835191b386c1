package storage

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"quillshunt/internal/limits"
)

// PrefixFinishedTasks is the prefix of the keys of chunks of finished tasks. The job's ID and the first
// task of the chunk follow.
const PrefixFinishedTasks = "fin/"

// wordBits is the word size of a bitmap of tasks. Chunks begin and end at word boundaries.
const wordBits = 64

// FinishedTasks is the record of one chunk of a job's tasks. It says which of them have finished.
type FinishedTasks struct {
	FirstTask int    `cbor:"Base" json:"Base"` // first task of the chunk
	Bitmap    string `cbor:"Bits" json:"Bits"` // in base64; bit i is task FirstTask+i; trailing zero bytes are omitted
}

// FinishedTasksKey returns the key of the chunk of a job's finished tasks that starts at firstTask.
func FinishedTasksKey(id string, firstTask int) string {
	return fmt.Sprintf("%s%s/%d", PrefixFinishedTasks, id, firstTask)
}

// ParseFinishedTasksKey returns the job's ID and the first task from a key that FinishedTasksKey returns.
// For any other key, ok is false.
func ParseFinishedTasksKey(key string) (id string, firstTask int, ok bool) {
	rest, ok := strings.CutPrefix(key, PrefixFinishedTasks)
	if !ok {
		return "", 0, false
	}
	id, number, ok := strings.Cut(rest, "/")
	if !ok {
		return "", 0, false
	}
	firstTask, err := strconv.Atoi(number)
	return id, firstTask, err == nil
}

// TasksPerChunk returns the number of tasks in a chunk, a multiple of 64, for which its record fits the
// value limit.
func TasksPerChunk(valueKB float64) int {
	chars := limits.ValueBytes(valueKB) - limits.FinishedTasksOverheadBytes
	tasks := chars / 4 * 3 * 8 // four characters of base64 encode three bytes
	return max(tasks/wordBits*wordBits, wordBits)
}

// EncodeFinishedTasks returns the record of the chunk of size tasks that starts at firstTask. The bitmap
// covers all tasks of the job. Both firstTask and size must be multiples of 64.
func EncodeFinishedTasks(bitmap []uint64, firstTask, size int) FinishedTasks {
	firstWord := firstTask / wordBits
	endWord := min(firstWord+size/wordBits, len(bitmap))
	b := make([]byte, 0, (endWord-firstWord)*8)
	for _, word := range bitmap[firstWord:endWord] {
		for k := range 8 {
			b = append(b, byte(word>>(8*k)))
		}
	}
	for len(b) > 0 && b[len(b)-1] == 0 {
		b = b[:len(b)-1]
	}
	return FinishedTasks{FirstTask: firstTask, Bitmap: base64.RawStdEncoding.EncodeToString(b)}
}

// Decode calls set for each finished task of the chunk. If the bitmap is not valid base64, it returns
// an error without calling set.
func (f FinishedTasks) Decode(set func(task int)) error {
	b, err := base64.RawStdEncoding.DecodeString(f.Bitmap)
	if err != nil {
		return fmt.Errorf("decode finished tasks: %w", err)
	}
	for i, x := range b {
		for k := range 8 {
			if x>>k&1 != 0 {
				set(f.FirstTask + i*8 + k)
			}
		}
	}
	return nil
}
