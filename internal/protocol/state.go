package protocol

// KeyValue is a key with its value. In the reply to a read of a key that does not exist, only Revision is
// set.
type KeyValue struct {
	Key      string `cbor:"Path"`
	Value    Raw    `cbor:"Data"`
	Version  uint64 `cbor:"Stamp"`  // revision of the last change of the key
	Lease    uint64 `cbor:"Tenure"` // ID of the lease that the key is attached to, or 0
	Revision uint64 `cbor:"Ledger"` // revision of the store when the key was read
}

// KeyPage is a page of a list of keys. If it is truncated, the next page starts after its last key.
type KeyPage struct {
	Items     []KeyValue `cbor:"Pairs"`
	Truncated bool       `cbor:"Truncated"`
	Revision  uint64     `cbor:"Ledger"`
}

// Condition requires that a key has the given version. Version 0 requires that it does not exist.
type Condition struct {
	Key     string `cbor:"Path"`
	Version uint64 `cbor:"Stamp"`
}

// Operation writes or deletes a key. The key is either in Put or in Delete.
type Operation struct {
	Put    string `cbor:"Write,omitempty"`
	Value  Raw    `cbor:"Data,omitempty"`
	Lease  uint64 `cbor:"Tenure,omitempty"` // ID of the lease that the key is attached to; 0: none
	Delete string `cbor:"Remove,omitempty"`
}

// Transaction is a compare-and-swap: if all conditions hold, all operations are executed, otherwise none.
type Transaction struct {
	Conditions []Condition `cbor:"Guards"`
	Operations []Operation `cbor:"Apply"`
}

// TransactionReply is the reply to a Transaction. Its revision is the new version of all keys that the
// transaction wrote.
type TransactionReply struct {
	Revision   uint64   `cbor:"Ledger"`
	FailedKeys []string `cbor:"failed"` // keys of the conditions that did not hold
}

// LeaseRequest asks the state service for a new lease.
type LeaseRequest struct {
	DurationMs int64 `cbor:"LifeMs"`
}

// LeaseReply is the reply to a LeaseRequest.
type LeaseReply struct {
	Lease uint64 `cbor:"Tenure"` // ID of the lease
}

// Change is one change in the reply to a watch. The key is either in Put, together with its new value, or
// in Delete.
type Change struct {
	Put     string `cbor:"Write"`
	Value   Raw    `cbor:"Data"`
	Delete  string `cbor:"Remove"`
	Version uint64 `cbor:"Stamp"`
}

// WatchReply is the reply to a watch. It lists the changes up to its revision in order.
type WatchReply struct {
	Revision uint64   `cbor:"Ledger"`
	Changes  []Change `cbor:"Log"`
}
