package protocol

// KeyValue is a key with its value. In answers to a single read, Revision is set when the key is absent.
type KeyValue struct {
	Key      string `cbor:"Path"`
	Value    Raw    `cbor:"Data"`
	Version  uint64 `cbor:"Stamp"`
	Lease    uint64 `cbor:"Tenure"`
	Revision uint64 `cbor:"Ledger"`
}

// KeyPage is a page of keys.
type KeyPage struct {
	Items     []KeyValue `cbor:"Pairs"`
	Truncated bool       `cbor:"Truncated"`
	Revision  uint64     `cbor:"Ledger"`
}

// Condition is what a transaction requires of a key: that it has this version, 0 for a key that
// does not exist.
type Condition struct {
	Key     string `cbor:"Path"`
	Version uint64 `cbor:"Stamp"`
}

// Operation is a change in a transaction: a Put with Value, or a Delete.
type Operation struct {
	Put    string `cbor:"Write,omitempty"`
	Value  Raw    `cbor:"Data,omitempty"`
	Lease  uint64 `cbor:"Tenure,omitempty"`
	Delete string `cbor:"Remove,omitempty"`
}

// Transaction is a transaction.
type Transaction struct {
	Conditions []Condition `cbor:"Guards"`
	Operations []Operation `cbor:"Apply"`
}

// TransactionReply answers a transaction.
type TransactionReply struct {
	Revision   uint64   `cbor:"Ledger"`
	FailedKeys []string `cbor:"failed"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	LifeMs int64 `cbor:"LifeMs"`
}

// LeaseReply answers a LeaseRequest.
type LeaseReply struct {
	Lease uint64 `cbor:"Tenure"`
}

// Change is an entry of a watch.
type Change struct {
	Put     string `cbor:"Write"`
	Value   Raw    `cbor:"Data"`
	Delete  string `cbor:"Remove"`
	Version uint64 `cbor:"Stamp"`
}

// WatchReply answers a watch.
type WatchReply struct {
	Revision uint64   `cbor:"Ledger"`
	Changes  []Change `cbor:"Log"`
}
