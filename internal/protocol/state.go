package protocol

// KeyValue is a key with its value. In the answer to a read of an absent key, only Revision is set.
type KeyValue struct {
	Key      string `cbor:"Path"`
	Value    Raw    `cbor:"Data"`
	Version  uint64 `cbor:"Stamp"`  // revision of the key's last change
	Lease    uint64 `cbor:"Tenure"` // ID of the lease that the key is attached to, or 0
	Revision uint64 `cbor:"Ledger"`
}

// KeyPage is a page of keys. If it is truncated, the next page starts after its last key.
type KeyPage struct {
	Items     []KeyValue `cbor:"Pairs"`
	Truncated bool       `cbor:"Truncated"`
	Revision  uint64     `cbor:"Ledger"`
}

// Condition requires that a key has a version; 0 means that it does not exist.
type Condition struct {
	Key     string `cbor:"Path"`
	Version uint64 `cbor:"Stamp"`
}

// Operation puts a key with a value or deletes a key. Either Put or Delete is set.
type Operation struct {
	Put    string `cbor:"Write,omitempty"`
	Value  Raw    `cbor:"Data,omitempty"`
	Lease  uint64 `cbor:"Tenure,omitempty"` // ID of the lease to attach the key to; 0: none
	Delete string `cbor:"Remove,omitempty"`
}

// Transaction is a compare-and-swap: all operations are executed if all conditions hold, else none.
type Transaction struct {
	Conditions []Condition `cbor:"Guards"`
	Operations []Operation `cbor:"Apply"`
}

// TransactionReply is the answer to a Transaction. Its revision is the new version of all keys that
// were put.
type TransactionReply struct {
	Revision   uint64   `cbor:"Ledger"`
	FailedKeys []string `cbor:"failed"` // keys of the conditions that did not hold
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	DurationMs int64 `cbor:"LifeMs"`
}

// LeaseReply is the answer to a LeaseRequest.
type LeaseReply struct {
	Lease uint64 `cbor:"Tenure"` // the lease's ID
}

// Change is one change in the answer to a watch. Either Put, with the value, or Delete is set.
type Change struct {
	Put     string `cbor:"Write"`
	Value   Raw    `cbor:"Data"`
	Delete  string `cbor:"Remove"`
	Version uint64 `cbor:"Stamp"`
}

// WatchReply is the answer to a watch: the changes, in order, up to its revision.
type WatchReply struct {
	Revision uint64   `cbor:"Ledger"`
	Changes  []Change `cbor:"Log"`
}
