package protocol

// MachineType is a machine type.
type MachineType struct {
	Name         string   `cbor:"Sku" json:"Sku"`
	CPUs         float64  `cbor:"Vcpus" json:"Vcpus"`
	Accelerators float64  `cbor:"Accelerators" json:"Accelerators"`
	MemoryGB     float64  `cbor:"RamGb" json:"RamGb"`
	CacheGB      float64  `cbor:"CacheGb" json:"CacheGb"`
	FetchGBPerS  float64  `cbor:"PullGbPerS" json:"PullGbPerS"`
	Price        float64  `cbor:"Price" json:"Price"`
	SpotPrice    float64  `cbor:"MarketPrice" json:"MarketPrice"`
	BootS        float64  `cbor:"StartupS" json:"StartupS"`
	Zones        []string `cbor:"Yards" json:"Yards"`
}

// MachineTypeList answers GET /machine_types.
type MachineTypeList struct {
	Types []MachineType `cbor:"Rigkinds"`
}

// RentalRequest rents machines.
type RentalRequest struct {
	Name        string `cbor:"Hire"`
	MachineType string `cbor:"Rigkind"`
	Zone        string `cbor:"Yard"`
	Spot        bool   `cbor:"Lendable"`
	Count       int    `cbor:"Number"`
}

// RentalReply answers a rental.
type RentalReply struct {
	Machines []string `cbor:"Rigs"`
}

// DeleteRequest returns machines.
type DeleteRequest struct {
	Machines []string `cbor:"Rigs"`
}

// States of a machine in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Machine is a machine in the cloud's list.
type Machine struct {
	Name        string  `cbor:"NameId"`
	Address     string  `cbor:"Address"`
	MachineType string  `cbor:"Rigkind"`
	Zone        string  `cbor:"Yard"`
	Spot        bool    `cbor:"Lendable"`
	State       string  `cbor:"Standing"`
	AgeS        float64 `cbor:"AgeS"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines  []Machine `cbor:"Rigs"`
	Truncated bool      `cbor:"Truncated"`
}
