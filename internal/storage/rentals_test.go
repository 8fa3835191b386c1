package storage

import (
	"fmt"
	"testing"
)

// TestRentalFitsValueLimit: the record of a rental with the most machines that one may be for keeps to the
// value limit.
func TestRentalFitsValueLimit(t *testing.T) {
	for _, kb := range []float64{0.5, 1, 2, 4} {
		r := Rental{
			MachineType: "a-type-with-a-rather-long-name", Zone: "a-zone-with-a-rather-long-name",
			Count: 50, Answered: true,
		}
		for i := range MaxRentalMachines(kb) {
			r.Machines = append(r.Machines, fmt.Sprintf("machine-of-the-cloud-%06d", i))
		}
		if !FitsValueLimit(r, kb) {
			t.Errorf("%v KB: %d machines need %d bytes", kb, len(r.Machines), EncodedSize(r))
		}
	}
}
