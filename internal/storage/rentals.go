package storage

import "quillshunt/internal/limits"

// PrefixRental is the prefix of the keys of rentals; the rental's name follows.
const PrefixRental = "hire/"

// RentalKey returns the key of a rental.
func RentalKey(name string) string { return PrefixRental + name }

// Rental is a request for machines of one type in one zone. It is written before the request is
// sent, and again with its machines once the cloud has answered, so that no machine is paid for
// without a record.
type Rental struct {
	MachineType string   `cbor:"Rigkind" json:"Rigkind"`
	Zone        string   `cbor:"Yard" json:"Yard"`
	Spot        bool     `cbor:"Lendable" json:"Lendable"`
	Count       int      `cbor:"Number" json:"Number"`
	Answered    bool     `cbor:"Answered" json:"Answered"`
	Machines    []string `cbor:"Rigs" json:"Rigs"` // machines that are not gone
}

// MaxRentalMachines returns how many machines a rental may be for, so that its record with their
// names stays below the value limit.
func MaxRentalMachines(valueKB float64) int {
	fitting := (int(valueKB*1024) - limits.RentalOverhead) / limits.MachineNameBytes
	return min(max(fitting, 1), limits.MaxRentalSize)
}
