// Package peer is what the controllers say to each other, over gRPC.
package peer

import (
	"context"

	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/peer/peerpb"
)

// TaskCounts are a job's task counts.
type TaskCounts struct{ Done, Running int }

// Leader answers for this process.
type Leader interface {
	// TaskCounts returns a job's counts if this process leads and knows the job.
	TaskCounts(ctx context.Context, job string) (TaskCounts, bool)
	// RelayedHeartbeat takes a worker's report that came through another controller.
	RelayedHeartbeat(ctx context.Context, report []byte, stayed bool) (status int, body []byte)
	// ConfirmCancellation takes a cancelled job's record, and tells whether the leader of an
	// entitled term here knows of it now.
	ConfirmCancellation(ctx context.Context, job string, stamp uint64, record []byte) bool
	// Inspect tells how the term stands if this process leads.
	Inspect(ctx context.Context, job string) (*peerpb.StatusReply, bool)
}

// Elector is the part of this process that takes part in elections.
type Elector interface {
	// StateReachable tells whether the state service can be reached right now.
	StateReachable(ctx context.Context) bool
	// AcceptOffer is told that the term of that leader key is over.
	AcceptOffer(term, stamp uint64)
	// Leader is the name of the leader as far as known, or "".
	Leader() string
	// Vote is asked by the leader.
	Vote(heartbeat, nonce uint64) election.Vote
}
