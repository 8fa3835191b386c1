package protocol

import (
	"strconv"
	"strings"

	"quillshunt/internal/limits"
)

// ValidJobID tells whether an id has the form of a job id.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "job-")
	if !ok || digits == "" || len(id) > limits.MaxNameBytes {
		return false
	}
	for i := range len(digits) {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}

// TaskName is the name of a job's task.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName splits a task's name.
func ParseTaskName(name string) (job string, index int, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 || !ValidJobID(name[:i]) {
		return "", 0, false
	}
	d := name[i+1:]
	if d == "" || len(d) > 6 || (d[0] == '0' && len(d) > 1) {
		return "", 0, false
	}
	for j := range len(d) {
		if d[j] < '0' || d[j] > '9' {
			return "", 0, false
		}
		index = index*10 + int(d[j]-'0')
	}
	return name[:i], index, true
}
