package storage

// PrefixRegistryPage is the prefix of the keys of registered machines.
const PrefixRegistryPage = "up/"

// RegistryPageKey is where a page of machines that may hold tasks is kept.
func RegistryPageKey(name string) string { return PrefixRegistryPage + name }

// RegisteredMachine is a machine that reported. It is written before the machine gets its first
// task, so a new leader knows where tasks of earlier terms can be, and where to ask.
type RegisteredMachine struct {
	Machine string `cbor:"Rig" json:"Rig"`
	Address string `cbor:"Address" json:"Address"`
}

// RegistryPage is a page of such machines.
type RegistryPage struct {
	Machines []RegisteredMachine `cbor:"Rigs" json:"Rigs"`
}
