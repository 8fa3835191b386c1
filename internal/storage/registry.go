package storage

// PrefixRegistryPage is the prefix of the keys of registered machines; the page's name follows.
const PrefixRegistryPage = "up/"

// RegistryPageKey returns the key of a page of registered machines.
func RegistryPageKey(name string) string { return PrefixRegistryPage + name }

// RegisteredMachine is a machine that may have tasks. It is written before the machine gets its
// first task, so a new leader knows where tasks of earlier terms can be, and where to ask for them.
type RegisteredMachine struct {
	Machine string `cbor:"Rig" json:"Rig"`
	Address string `cbor:"Address" json:"Address"`
}

// RegistryPage is a page of registered machines. One write may add several.
type RegistryPage struct {
	Machines []RegisteredMachine `cbor:"Rigs" json:"Rigs"`
}
