package storage

import (
	"encoding/json"
	"math"
)

// EncodedSize returns the size of a record in bytes as the service counts it: the size of its JSON form,
// although records are stored as CBOR.
func EncodedSize(record any) int {
	b, err := json.Marshal(record)
	if err != nil {
		return math.MaxInt // cannot happen for the records of this package
	}
	return len(b)
}

// FitsValueLimit reports whether a record is within the service's limit on the size of a value, in KiB.
func FitsValueLimit(record any, valueKB float64) bool {
	return float64(EncodedSize(record)) <= valueKB*1024
}
