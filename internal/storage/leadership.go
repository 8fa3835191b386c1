package storage

// Keys of the records of leadership.
const (
	KeyLeader            = "leader"
	KeyTerm              = "term"
	KeyLeaderHeartbeat   = "beat"
	PrefixVoteWithdrawal = "let/" // followed by the name of a controller
)

// VoteWithdrawalKey returns the key under which a controller withdraws its vote from a leader.
func VoteWithdrawalKey(node string) string { return PrefixVoteWithdrawal + node }

// LeaderRecord names the leading controller. Its key is attached to the leader's lease.
type LeaderRecord struct {
	Node         string `cbor:"Node" json:"Node"`
	Term         uint64 `cbor:"Term" json:"Term"`
	ProcessNonce uint64 `cbor:"Nonce" json:"Nonce"` // differs from one process of a node to the next
}

// TermRecord is the highest term so far.
type TermRecord struct {
	Term uint64 `cbor:"Term" json:"Term"`
}

// LeaderHeartbeat is written with each election, and then by a leader that has too few votes of the
// other controllers, or that has learned of a new process of one of them.
type LeaderHeartbeat struct {
	Term             uint64 `cbor:"Term" json:"Term"`
	Sequence         uint64 `cbor:"Seq" json:"Seq"`
	ObservedRevision uint64 `cbor:"Seen" json:"Seen"` // the leader knows all changes of open jobs up to this revision
}

// VoteWithdrawal means that a controller no longer votes for a leader whose last heartbeat has this
// version or an earlier one.
type VoteWithdrawal struct {
	HeartbeatVersion uint64 `cbor:"Beat" json:"Heartbeat"`
}
