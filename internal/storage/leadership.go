package storage

// Keys of the records of leadership.
const (
	KeyLeader            = "leader"
	KeyTerm              = "term"
	KeyLeaderHeartbeat   = "beat"
	PrefixVoteWithdrawal = "let/"
)

// VoteWithdrawalKey is where a controller notes that it has let go of a leader.
func VoteWithdrawalKey(node string) string { return PrefixVoteWithdrawal + node }

// LeaderRecord names the leading controller.
type LeaderRecord struct {
	Node  string `cbor:"Node" json:"Node"`
	Term  uint64 `cbor:"Term" json:"Term"`
	Nonce uint64 `cbor:"Nonce" json:"Nonce"` // tells one process of a node from the next
}

// TermRecord is the highest term so far.
type TermRecord struct {
	Term uint64 `cbor:"Term" json:"Term"`
}

// LeaderHeartbeat is written by a leader that too few others pledge to, and when it has heard of a
// new process of another.
type LeaderHeartbeat struct {
	Term             uint64 `cbor:"Term" json:"Term"`
	Sequence         uint64 `cbor:"Seq" json:"Seq"`
	ObservedRevision uint64 `cbor:"Seen" json:"Seen"` // the term has taken in all changes of open jobs up to this revision
}

// VoteWithdrawal is a controller's word that it pledges no more to a leader whose last heartbeat
// has that stamp, or an earlier one.
type VoteWithdrawal struct {
	Heartbeat uint64 `cbor:"Beat" json:"Heartbeat"`
}
