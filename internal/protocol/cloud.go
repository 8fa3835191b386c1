package protocol

// Rigkind is a machine type.
type Rigkind struct {
	Sku          string
	Vcpus        float64
	Accelerators float64
	RamGb        float64
	CacheGb      float64
	PullGbPerS   float64
	Price        float64
	MarketPrice  float64
	StartupS     float64
	Yards        []string
}

// RigkindList answers GET /machine_types.
type RigkindList struct{ Rigkinds []Rigkind }

// HireRequest rents machines.
type HireRequest struct {
	Hire     string
	Rigkind  string
	Yard     string
	Lendable bool
	Number   int
}

// HireReply answers a rental.
type HireReply struct{ Rigs []string }

// DeleteRequest returns machines.
type DeleteRequest struct{ Rigs []string }

// Standings of a machine in the cloud's list.
const (
	RigBooting = "booting"
	RigRunning = "running"
	RigFailed  = "failed"
)

// Rig is a machine in the cloud's list.
type Rig struct {
	NameId   string
	Address  string
	Rigkind  string
	Yard     string
	Lendable bool
	Standing string
	AgeS     float64
}

// RigList is a page of the cloud's list.
type RigList struct {
	Rigs      []Rig
	Truncated bool
}
