package storage

// PrefixRegistryPage is the prefix of the keys of pages of registered machines. The page's name follows.
const PrefixRegistryPage = "up/"

// RegistryPageKey returns the key of a page of registered machines.
func RegistryPageKey(name string) string { return PrefixRegistryPage + name }

// RegisteredMachine is a machine that may have tasks. It is stored before the machine gets its first
// task, so that a new leader knows the addresses of all machines that may run tasks of earlier terms.
type RegisteredMachine struct {
	Machine string `cbor:"Rig" json:"Rig"`
	Address string `cbor:"Address" json:"Address"`
}

// RegistryPage is a record of registered machines. A single write of it can add several machines.
type RegistryPage struct {
	Machines []RegisteredMachine `cbor:"Rigs" json:"Rigs"`
}
