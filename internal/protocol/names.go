package protocol

import (
	"strconv"
	"strings"

	"quillshunt/internal/limits"
)

const (
	jobIDPrefix = "job-"
	// maxTaskDigits is the maximum number of digits of a task index, enough for limits.MaxTasksPerJob.
	maxTaskDigits = 6
)

// IsValidJobID reports whether an ID has the form of a job ID, such as job-000412.
func IsValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, jobIDPrefix)
	return ok && digits != "" && len(id) <= limits.MaxNameBytes && isAllDigits(digits)
}

// TaskName returns the name of the task of a job with the given index, such as job-000412/7.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName returns the job ID and the index of a name built by TaskName. It returns false for any
// other string.
func ParseTaskName(name string) (job string, index int, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 || !IsValidJobID(name[:i]) {
		return "", 0, false
	}
	digits := name[i+1:]
	leadingZero := len(digits) > 1 && digits[0] == '0'
	if digits == "" || len(digits) > maxTaskDigits || leadingZero || !isAllDigits(digits) {
		return "", 0, false
	}
	for _, d := range []byte(digits) {
		index = index*10 + int(d-'0')
	}
	return name[:i], index, true
}

func isAllDigits(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return true
}
