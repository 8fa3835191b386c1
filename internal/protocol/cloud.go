package protocol

// Rigkind is a machine type.
type Rigkind struct {
	Sku          string   `cbor:"Sku" json:"Sku"`
	Vcpus        float64  `cbor:"Vcpus" json:"Vcpus"`
	Accelerators float64  `cbor:"Accelerators" json:"Accelerators"`
	RamGb        float64  `cbor:"RamGb" json:"RamGb"`
	CacheGb      float64  `cbor:"CacheGb" json:"CacheGb"`
	PullGbPerS   float64  `cbor:"PullGbPerS" json:"PullGbPerS"`
	Price        float64  `cbor:"Price" json:"Price"`
	MarketPrice  float64  `cbor:"MarketPrice" json:"MarketPrice"`
	StartupS     float64  `cbor:"StartupS" json:"StartupS"`
	Yards        []string `cbor:"Yards" json:"Yards"`
}

// RigkindList answers GET /machine_types.
type RigkindList struct {
	Rigkinds []Rigkind `cbor:"Rigkinds"`
}

// HireRequest rents machines.
type HireRequest struct {
	Hire     string `cbor:"Hire"`
	Rigkind  string `cbor:"Rigkind"`
	Yard     string `cbor:"Yard"`
	Lendable bool   `cbor:"Lendable"`
	Number   int    `cbor:"Number"`
}

// HireReply answers a rental.
type HireReply struct {
	Rigs []string `cbor:"Rigs"`
}

// DeleteRequest returns machines.
type DeleteRequest struct {
	Rigs []string `cbor:"Rigs"`
}

// Standings of a machine in the cloud's list.
const (
	RigBooting = "booting"
	RigRunning = "running"
	RigFailed  = "failed"
)

// Rig is a machine in the cloud's list.
type Rig struct {
	NameId   string  `cbor:"NameId"`
	Address  string  `cbor:"Address"`
	Rigkind  string  `cbor:"Rigkind"`
	Yard     string  `cbor:"Yard"`
	Lendable bool    `cbor:"Lendable"`
	Standing string  `cbor:"Standing"`
	AgeS     float64 `cbor:"AgeS"`
}

// RigList is a page of the cloud's list.
type RigList struct {
	Rigs      []Rig `cbor:"Rigs"`
	Truncated bool  `cbor:"Truncated"`
}
