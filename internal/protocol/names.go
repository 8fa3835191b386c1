package protocol

import (
	"strconv"
	"strings"

	"quillshunt/internal/limits"
)

const (
	jobIDPrefix = "job-"
	// maxTaskDigits is the most digits of a task's index; it covers limits.MaxTasksPerJob.
	maxTaskDigits = 6
)

// ValidJobID reports whether an ID has the form of a job ID, like job-000412.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, jobIDPrefix)
	return ok && digits != "" && len(id) <= limits.MaxNameBytes && allDigits(digits)
}

// TaskName returns the name of a job's task.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName splits a name that TaskName returned, and reports whether it is one.
func ParseTaskName(name string) (job string, index int, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 || !ValidJobID(name[:i]) {
		return "", 0, false
	}
	digits := name[i+1:]
	leadingZero := len(digits) > 1 && digits[0] == '0'
	if digits == "" || len(digits) > maxTaskDigits || leadingZero || !allDigits(digits) {
		return "", 0, false
	}
	for _, d := range []byte(digits) {
		index = index*10 + int(d-'0')
	}
	return name[:i], index, true
}

func allDigits(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return true
}
