package protocol

// Pair is a key with its value. In answers to a single read, Ledger is set when the key is absent.
type Pair struct {
	Path   string
	Data   Raw
	Stamp  uint64
	Tenure uint64
	Ledger uint64
}

// Listing is a page of keys.
type Listing struct {
	Pairs     []Pair
	Truncated bool
	Ledger    uint64
}

// Guard is a condition of a transaction.
type Guard struct {
	Path  string
	Stamp uint64
}

// Op is a change in a transaction: a Write with Data, or a Remove.
type Op struct {
	Write  string `cbor:",omitempty"`
	Data   Raw    `cbor:",omitempty"`
	Tenure uint64 `cbor:",omitempty"`
	Remove string `cbor:",omitempty"`
}

// Txn is a transaction.
type Txn struct {
	Guards []Guard
	Apply  []Op
}

// TxnReply answers a transaction.
type TxnReply struct {
	Ledger uint64
	Failed []string `cbor:"failed"`
}

// HoldRequest asks for a lease.
type LeaseRequest struct{ LifeMs int64 }

// HoldReply answers it.
type LeaseReply struct{ Tenure uint64 }

// Change is an entry of a watch.
type Change struct {
	Write  string
	Data   Raw
	Remove string
	Stamp  uint64
}

// WatchReply answers a watch.
type WatchReply struct {
	Ledger uint64
	Log    []Change
}
