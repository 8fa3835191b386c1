package protocol

// Pair is a key with its value. In answers to a single read, Ledger is set when the key is absent.
type Pair struct {
	Path   string `cbor:"Path"`
	Data   Raw    `cbor:"Data"`
	Stamp  uint64 `cbor:"Stamp"`
	Tenure uint64 `cbor:"Tenure"`
	Ledger uint64 `cbor:"Ledger"`
}

// Listing is a page of keys.
type Listing struct {
	Pairs     []Pair `cbor:"Pairs"`
	Truncated bool   `cbor:"Truncated"`
	Ledger    uint64 `cbor:"Ledger"`
}

// Guard is a condition of a transaction.
type Guard struct {
	Path  string `cbor:"Path"`
	Stamp uint64 `cbor:"Stamp"`
}

// Op is a change in a transaction: a Write with Data, or a Remove.
type Op struct {
	Write  string `cbor:"Write,omitempty"`
	Data   Raw    `cbor:"Data,omitempty"`
	Tenure uint64 `cbor:"Tenure,omitempty"`
	Remove string `cbor:"Remove,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	Guards []Guard `cbor:"Guards"`
	Apply  []Op    `cbor:"Apply"`
}

// TxnReply answers a transaction.
type TxnReply struct {
	Ledger uint64   `cbor:"Ledger"`
	Failed []string `cbor:"failed"`
}

// HoldRequest asks for a lease.
type LeaseRequest struct {
	LifeMs int64 `cbor:"LifeMs"`
}

// HoldReply answers it.
type LeaseReply struct {
	Tenure uint64 `cbor:"Tenure"`
}

// Change is an entry of a watch.
type Change struct {
	Write  string `cbor:"Write"`
	Data   Raw    `cbor:"Data"`
	Remove string `cbor:"Remove"`
	Stamp  uint64 `cbor:"Stamp"`
}

// WatchReply answers a watch.
type WatchReply struct {
	Ledger uint64   `cbor:"Ledger"`
	Log    []Change `cbor:"Log"`
}
