package protocol

// MachineType is a machine type that the cloud offers. Prices are per hour.
type MachineType struct {
	Name         string   `cbor:"Sku" json:"Sku"`
	CPUs         float64  `cbor:"Vcpus" json:"Vcpus"`
	Accelerators float64  `cbor:"Accelerators" json:"Accelerators"`
	MemoryGB     float64  `cbor:"RamGb" json:"RamGb"`
	CacheGB      float64  `cbor:"CacheGb" json:"CacheGb"`         // disk space for cached images
	FetchGBPerS  float64  `cbor:"PullGbPerS" json:"PullGbPerS"`   // rate of image fetches
	Price        float64  `cbor:"Price" json:"Price"`             // of a machine that is not spot
	SpotPrice    float64  `cbor:"MarketPrice" json:"MarketPrice"` // current price of a spot machine
	BootS        float64  `cbor:"StartupS" json:"StartupS"`       // nominal boot time
	Zones        []string `cbor:"Yards" json:"Yards"`             // zones that have this type
}

// MachineTypeList is the reply to GET /machine_types.
type MachineTypeList struct {
	Types []MachineType `cbor:"Rigkinds"`
}

// RentalRequest asks the cloud for machines. A request with a Name that was used before rents no more
// machines and gets the earlier reply.
type RentalRequest struct {
	Name        string `cbor:"Hire"`
	MachineType string `cbor:"Rigkind"`
	Zone        string `cbor:"Yard"`
	Spot        bool   `cbor:"Lendable"`
	Count       int    `cbor:"Number"`
}

// RentalReply is the reply to a RentalRequest. It may list fewer machines than were requested.
type RentalReply struct {
	Machines []string `cbor:"Rigs"`
}

// DeleteRequest asks the cloud to delete rented machines.
type DeleteRequest struct {
	Machines []string `cbor:"Rigs"`
}

// MachineState is the state of a machine in the cloud's machine list.
type MachineState string

// States of a machine.
const (
	MachineBooting MachineState = "booting"
	MachineRunning MachineState = "running"
	MachineFailed  MachineState = "failed" // stopped without having been deleted
)

// Machine is an entry of the cloud's machine list.
type Machine struct {
	Name        string       `cbor:"NameId"`
	Address     string       `cbor:"Address"`
	MachineType string       `cbor:"Rigkind"`
	Zone        string       `cbor:"Yard"`
	Spot        bool         `cbor:"Lendable"`
	State       MachineState `cbor:"Standing"`
	AgeS        float64      `cbor:"AgeS"` // time from the rental request to this list
}

// MachineList is a page of the cloud's machine list. If it is truncated, the next page starts after its
// last machine.
type MachineList struct {
	Machines  []Machine `cbor:"Rigs"`
	Truncated bool      `cbor:"Truncated"`
}
