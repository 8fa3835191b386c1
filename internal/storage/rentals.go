package storage

import "quillshunt/internal/limits"

// PrefixRental is the prefix of the keys of rentals.
const PrefixRental = "hire/"

// RentalKey is where a rental request is kept.
func RentalKey(name string) string { return PrefixRental + name }

// Rental is a rental request: written before it is sent, with its machines once they are known.
type Rental struct {
	MachineType string   `cbor:"Rigkind" json:"Rigkind"`
	Zone        string   `cbor:"Yard" json:"Yard"`
	Spot        bool     `cbor:"Lendable" json:"Lendable"`
	Count       int      `cbor:"Number" json:"Number"`
	Answered    bool     `cbor:"Answered" json:"Answered"`
	Machines    []string `cbor:"Rigs" json:"Rigs"` // machines that are not gone
}

// MaxRentalMachines is how many machines a rental may be for, so that its record with their names
// stays below the value limit.
func MaxRentalMachines(valueKB float64) int {
	fit := (int(valueKB*1024) - limits.RentalOverhead) / limits.MachineNameBytes
	return min(max(fit, 1), limits.MaxRentalSize)
}
