package storage

import "quillshunt/internal/limits"

// PrefixRental is the prefix of the keys of rentals. The rental's name follows.
const PrefixRental = "hire/"

// RentalKey returns the key of a rental.
func RentalKey(name string) string { return PrefixRental + name }

// Rental is the record of a request to the cloud for machines of one type in one zone. It is written
// before the request is sent, and again, with the machines, after the reply. Thus no machine is paid for
// without a record of it.
type Rental struct {
	MachineType string   `cbor:"Rigkind" json:"Rigkind"`
	Zone        string   `cbor:"Yard" json:"Yard"`
	Spot        bool     `cbor:"Lendable" json:"Lendable"`
	Count       int      `cbor:"Number" json:"Number"`
	Answered    bool     `cbor:"Answered" json:"Answered"` // the cloud has replied to the request
	Machines    []string `cbor:"Rigs" json:"Rigs"`         // names of the machines that still exist
}

// MaxRentalMachines returns the largest number of machines for one rental. The cloud limits the number, and
// so does the value limit, because the record of the rental holds the names of all its machines.
func MaxRentalMachines(valueKB float64) int {
	fitting := (limits.ValueBytes(valueKB) - limits.RentalOverheadBytes) / limits.MachineNameBytes
	return min(max(fitting, 1), limits.MaxRentalSize)
}
