package peer

import (
	"context"
	"fmt"

	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/limits"
)

// TaskCounts are the numbers of a job's tasks that are done and that run.
type TaskCounts struct{ Done, Running int }

// TaskCounts asks a controller for a job's counts, within limits.TaskCountsTimeout. The result is
// false if the controller does not answer, does not lead or does not know the job.
func (p *Peers) TaskCounts(ctx context.Context, node, job string) (TaskCounts, bool) {
	reply, err := callPeer(ctx, p, node, limits.TaskCountsTimeout,
		func(ctx context.Context, c peerpb.PeerClient) (*peerpb.TaskCountsReply, error) {
			return c.Counts(ctx, &peerpb.TaskCountsRequest{Job: job})
		})
	if err != nil || !reply.GetKnown() {
		return TaskCounts{}, false
	}
	return TaskCounts{Done: int(reply.GetDone()), Running: int(reply.GetRunning())}, true
}

// RelayHeartbeat forwards a worker's heartbeat to the leader, within limits.RelayTimeout, and
// returns the leader's answer for the worker. sameConnection: the worker was answered 200 before on
// its connection. It returns an error if the leader does not answer.
func (p *Peers) RelayHeartbeat(
	ctx context.Context, leader string, heartbeat []byte, sameConnection bool,
) (status int, body []byte, err error) {
	reply, err := callPeer(ctx, p, leader, limits.RelayTimeout,
		func(ctx context.Context, c peerpb.PeerClient) (*peerpb.RelayHeartbeatReply, error) {
			return c.Relay(ctx, &peerpb.RelayHeartbeatRequest{Heartbeat: heartbeat, SameConnection: sameConnection})
		})
	if err != nil {
		return 0, nil, fmt.Errorf("relay: %w", err)
	}
	return int(reply.GetStatus()), reply.GetBody(), nil
}

// ConfirmCancellation reports whether the leader confirms that it knows of a cancellation; the key
// version and the record are those of the cancelled job. The leader is asked directly and, if it
// does not confirm, through all others at once, each within limits.CancelConfirmTimeout.
func (p *Peers) ConfirmCancellation(
	ctx context.Context, leader, job string, keyVersion uint64, record []byte,
) bool {
	direct := &peerpb.ConfirmCancellationRequest{Job: job, KeyVersion: keyVersion, Record: record, Forwarded: true}
	if p.requestConfirmation(ctx, leader, direct) {
		return true
	}
	replies := callAll(ctx, p, limits.CancelConfirmTimeout,
		func(ctx context.Context, _ string, c peerpb.PeerClient) (bool, error) {
			request := &peerpb.ConfirmCancellationRequest{Job: job, KeyVersion: keyVersion, Record: record}
			reply, err := c.Confirm(ctx, request)
			return reply.GetKnown(), err
		})
	for known := range replies {
		if known {
			return true
		}
	}
	return false
}

// requestConfirmation reports whether one controller confirms a cancellation.
func (p *Peers) requestConfirmation(
	ctx context.Context, node string, request *peerpb.ConfirmCancellationRequest,
) bool {
	reply, err := callPeer(ctx, p, node, limits.CancelConfirmTimeout,
		func(ctx context.Context, c peerpb.PeerClient) (*peerpb.ConfirmCancellationReply, error) {
			return c.Confirm(ctx, request)
		})
	return err == nil && reply.GetKnown()
}

// Size returns the number of other controllers.
func (p *Peers) Size() int { return len(p.conns) }

// RequestVotes asks all other controllers at once for their votes for the leader here, within
// limits.VoteTimeout; see election.Peers.
func (p *Peers) RequestVotes(
	ctx context.Context, heartbeatVersion uint64, nonces map[string]uint64,
) map[string]election.Vote {
	type answer struct {
		node string
		vote election.Vote
	}
	answers := callAll(ctx, p, limits.VoteTimeout,
		func(ctx context.Context, node string, c peerpb.PeerClient) (answer, error) {
			request := &peerpb.VoteRequest{HeartbeatVersion: heartbeatVersion, ProcessNonce: nonces[node]}
			reply, err := c.Pledge(ctx, request)
			vote := election.Vote{Granted: reply.GetGranted(), ProcessNonce: reply.GetProcessNonce()}
			return answer{node, vote}, err
		})
	votes := map[string]election.Vote{}
	for a := range answers {
		votes[a.node] = a.vote
	}
	return votes
}

// FindConnected asks all other controllers at once, within limits.ConnectivityTimeout, and returns
// the first that reaches the state service, or "".
func (p *Peers) FindConnected(ctx context.Context) string {
	connected := callAll(ctx, p, limits.ConnectivityTimeout,
		func(ctx context.Context, node string, c peerpb.PeerClient) (string, error) {
			reply, err := c.Able(ctx, &peerpb.ConnectivityRequest{})
			if err != nil || !reply.GetConnected() {
				return "", err
			}
			return node, nil
		})
	for node := range connected {
		if node != "" {
			return node
		}
	}
	return ""
}

// OfferLeadership tells a controller that a term is over, within limits.ConnectivityTimeout. The key
// version is that of the term's leader key. It returns an error if the controller does not answer;
// it may have got the offer all the same.
func (p *Peers) OfferLeadership(ctx context.Context, node string, term, keyVersion uint64) error {
	_, err := callPeer(ctx, p, node, limits.ConnectivityTimeout,
		func(ctx context.Context, c peerpb.PeerClient) (*peerpb.LeadershipOfferReply, error) {
			return c.Take(ctx, &peerpb.LeadershipOffer{Term: term, KeyVersion: keyVersion})
		})
	if err != nil {
		return fmt.Errorf("offer leadership: %w", err)
	}
	return nil
}
