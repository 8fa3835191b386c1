package storage

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"quillshunt/internal/limits"
)

// PrefixFinishedTasks is the prefix of the keys of finished tasks; the job's ID and the first task
// of the chunk follow.
const PrefixFinishedTasks = "fin/"

// wordBits is the size of the words of a bitmap of tasks; chunks begin and end between words.
const wordBits = 64

// FinishedTasks is a chunk of a job's finished tasks.
type FinishedTasks struct {
	FirstTask int    `cbor:"Base" json:"Base"` // first task of the chunk
	Bitmap    string `cbor:"Bits" json:"Bits"` // base64; bit i is task FirstTask+i; zero bytes at the end are left out
}

// FinishedTasksKey returns the key of a chunk of a job's finished tasks.
func FinishedTasksKey(id string, firstTask int) string {
	return fmt.Sprintf("%s%s/%d", PrefixFinishedTasks, id, firstTask)
}

// ParseFinishedTasksKey splits a key that FinishedTasksKey returned, and reports whether it is one.
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

// TasksPerChunk returns how many tasks a chunk holds so that its record stays below the value limit.
// It is a multiple of 64.
func TasksPerChunk(valueKB float64) int {
	chars := int(valueKB*1024) - limits.FinishedTasksOverhead
	tasks := chars / 4 * 3 * 8 // base64 carries three bytes in four characters
	return max(tasks/wordBits*wordBits, wordBits)
}

// EncodeFinishedTasks returns the chunk of size tasks that starts at firstTask, from a bitmap of all
// tasks of the job. Both firstTask and size are multiples of 64.
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

// Decode calls set for each finished task of a chunk. The error says that the bitmap is not base64;
// then set was not called.
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
