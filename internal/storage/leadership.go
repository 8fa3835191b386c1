package storage

// Keys of the records for leader election and the quorum lease.
const (
	KeyLeader            = "leader"
	KeyTerm              = "term"
	KeyLeaderHeartbeat   = "beat"
	PrefixVoteWithdrawal = "let/" // followed by the name of a controller
)

// VoteWithdrawalKey returns the key of the record by which a controller withdraws its vote from a leader.
func VoteWithdrawalKey(node string) string { return PrefixVoteWithdrawal + node }

// LeaderRecord names the current leader. Its key is attached to the leader's lease.
type LeaderRecord struct {
	Node         string `cbor:"Node" json:"Node"`
	Term         uint64 `cbor:"Term" json:"Term"`
	ProcessNonce uint64 `cbor:"Nonce" json:"Nonce"` // random number of the process; a restart changes it
}

// TermRecord holds the highest fencing token that is reserved for a term so far. The next term is higher.
type TermRecord struct {
	Term uint64 `cbor:"Term" json:"Term"`
}

// LeaderHeartbeat is written by the winner of an election, together with its LeaderRecord. The leader
// writes it again when a majority of the controllers does not grant it votes, and when it observes that
// another controller has been restarted.
type LeaderHeartbeat struct {
	Term             uint64 `cbor:"Term" json:"Term"`
	Sequence         uint64 `cbor:"Seq" json:"Seq"`
	ObservedRevision uint64 `cbor:"Seen" json:"Seen"` // the leader has observed all changes of open jobs up to it
}

// VoteWithdrawal records that a controller no longer votes for a leader whose last LeaderHeartbeat has
// this key version or an earlier one.
type VoteWithdrawal struct {
	HeartbeatVersion uint64 `cbor:"Beat" json:"Heartbeat"`
}
