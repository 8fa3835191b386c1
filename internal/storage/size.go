package storage

import (
	"encoding/json"
	"math"
)

// EncodedSize returns the size of a record in bytes as the service counts it, which is that of its
// JSON.
func EncodedSize(record any) int {
	b, err := json.Marshal(record)
	if err != nil {
		return math.MaxInt // not one of the records of this package
	}
	return len(b)
}

// FitsValueLimit reports whether a record keeps to the service's value limit, in KiB.
func FitsValueLimit(record any, valueKB float64) bool {
	return float64(EncodedSize(record)) <= valueKB*1024
}
