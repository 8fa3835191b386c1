package storage

import (
	"encoding/json"
	"math"
)

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
