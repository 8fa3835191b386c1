package protocol

// MachineType is a type of machine that the cloud rents out. Prices are per hour.
type MachineType struct {
	Name         string   `cbor:"Sku" json:"Sku"`
	CPUs         float64  `cbor:"Vcpus" json:"Vcpus"`
	Accelerators float64  `cbor:"Accelerators" json:"Accelerators"`
	MemoryGB     float64  `cbor:"RamGb" json:"RamGb"`
	CacheGB      float64  `cbor:"CacheGb" json:"CacheGb"`         // room for images
	FetchGBPerS  float64  `cbor:"PullGbPerS" json:"PullGbPerS"`   // rate of image fetches
	Price        float64  `cbor:"Price" json:"Price"`             // of an ordinary machine
	SpotPrice    float64  `cbor:"MarketPrice" json:"MarketPrice"` // of a spot machine, now
	BootS        float64  `cbor:"StartupS" json:"StartupS"`       // nominal boot time
	Zones        []string `cbor:"Yards" json:"Yards"`             // where there are such machines
}

// MachineTypeList is the answer to GET /machine_types.
type MachineTypeList struct {
	Types []MachineType `cbor:"Rigkinds"`
}

// RentalRequest asks for machines. A repeated Name gets the earlier answer and rents nothing.
type RentalRequest struct {
	Name        string `cbor:"Hire"`
	MachineType string `cbor:"Rigkind"`
	Zone        string `cbor:"Yard"`
	Spot        bool   `cbor:"Lendable"`
	Count       int    `cbor:"Number"`
}

// RentalReply is the answer to a RentalRequest. It may have fewer machines than were asked for.
type RentalReply struct {
	Machines []string `cbor:"Rigs"`
}

// DeleteRequest returns machines.
type DeleteRequest struct {
	Machines []string `cbor:"Rigs"`
}

// MachineState is the state of a machine in the cloud's list.
type MachineState string

// States of a machine.
const (
	MachineBooting MachineState = "booting"
	MachineRunning MachineState = "running"
	MachineFailed  MachineState = "failed" // stopped by itself
)

// Machine is a machine in the cloud's list.
type Machine struct {
	Name        string       `cbor:"NameId"`
	Address     string       `cbor:"Address"`
	MachineType string       `cbor:"Rigkind"`
	Zone        string       `cbor:"Yard"`
	Spot        bool         `cbor:"Lendable"`
	State       MachineState `cbor:"Standing"`
	AgeS        float64      `cbor:"AgeS"` // since the rental request, as of the list
}

// MachineList is a page of the cloud's list. If it is truncated, the next page starts after its last
// machine.
type MachineList struct {
	Machines  []Machine `cbor:"Rigs"`
	Truncated bool      `cbor:"Truncated"`
}
