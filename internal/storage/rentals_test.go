package storage

import (
	"fmt"
	"testing"
)

// TestRentalFitsValueLimit checks that the record of a rental of MaxRentalMachines machines fits the value
// limit.
func TestRentalFitsValueLimit(t *testing.T) {
	for _, valueKB := range []float64{0.5, 1, 2, 4} {
		r := Rental{
			MachineType: "a-type-with-a-rather-long-name", Zone: "a-zone-with-a-rather-long-name",
			Count: 50, Answered: true,
		}
		for i := range MaxRentalMachines(valueKB) {
			r.Machines = append(r.Machines, fmt.Sprintf("machine-of-the-cloud-%06d", i))
		}
		if !FitsValueLimit(r, valueKB) {
			t.Errorf("the record of a rental of %d machines has %d bytes, the limit is %v KiB",
				len(r.Machines), EncodedSize(r), valueKB)
		}
	}
}
