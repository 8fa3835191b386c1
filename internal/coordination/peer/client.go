package peer

import (
	"context"
	"fmt"

	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/limits"
)

// TaskCounts are the numbers of done and running tasks of a job.
type TaskCounts struct{ Done, Running int }

// TaskCounts asks a controller for a job's task counts, within limits.TaskCountsTimeout. It returns false
// if the controller does not reply, does not lead or does not know the job.
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

// RelayHeartbeat relays a worker's heartbeat to the leader, within limits.RelayTimeout, and returns the
// HTTP status and body of the leader's reply to the worker. sameConnection means that the worker's
// previous heartbeat on its connection was answered with 200. RelayHeartbeat returns an error if the
// leader does not reply.
func (p *Peers) RelayHeartbeat(
	ctx context.Context, leader string, heartbeat []byte, sameConnection bool,
) (status int, body []byte, err error) {
	reply, err := callPeer(ctx, p, leader, limits.RelayTimeout,
		func(ctx context.Context, c peerpb.PeerClient) (*peerpb.RelayHeartbeatReply, error) {
			return c.Relay(ctx, &peerpb.RelayHeartbeatRequest{Heartbeat: heartbeat, SameConnection: sameConnection})
		})
	if err != nil {
		return 0, nil, fmt.Errorf("relay heartbeat: %w", err)
	}
	return int(reply.GetStatus()), reply.GetBody(), nil
}

// ConfirmCancellation asks the leader to confirm that it has processed a cancellation, and reports whether
// it does. The record is the open record of the cancelled job, and keyVersion is the version of its key.
// The leader is asked directly first. If it does not confirm, all other controllers are asked in
// parallel to forward the request to the leader. Each of these two steps takes at most
// limits.CancelConfirmTimeout.
func (p *Peers) ConfirmCancellation(
	ctx context.Context, leader, job string, keyVersion uint64, record []byte,
) bool {
	direct := &peerpb.ConfirmCancellationRequest{Job: job, KeyVersion: keyVersion, Record: record, Forwarded: true}
	if p.requestConfirmation(ctx, leader, direct) {
		return true
	}
	replies := callAllPeers(ctx, p, limits.CancelConfirmTimeout,
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

// requestConfirmation asks one controller to confirm a cancellation, and reports whether it does.
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

// RequestVotes asks all other controllers in parallel to vote for this controller, which is the leader,
// within limits.VoteTimeout. See election.Peers for the parameters and the result.
func (p *Peers) RequestVotes(
	ctx context.Context, heartbeatVersion uint64, nonces map[string]uint64,
) map[string]election.Vote {
	type nodeVote struct {
		node string
		vote election.Vote
	}
	replies := callAllPeers(ctx, p, limits.VoteTimeout,
		func(ctx context.Context, node string, c peerpb.PeerClient) (nodeVote, error) {
			request := &peerpb.VoteRequest{HeartbeatVersion: heartbeatVersion, ProcessNonce: nonces[node]}
			reply, err := c.Pledge(ctx, request)
			vote := election.Vote{Granted: reply.GetGranted(), ProcessNonce: reply.GetProcessNonce()}
			return nodeVote{node, vote}, err
		})
	votes := map[string]election.Vote{}
	for reply := range replies {
		votes[reply.node] = reply.vote
	}
	return votes
}

// FindCandidate asks all other controllers in parallel, within limits.ConnectivityTimeout, whether they can
// reach the state service and answer requests of clients. It returns the name of the first one whose reply
// says that it does, or "" if there is none.
func (p *Peers) FindCandidate(ctx context.Context) string {
	connected := callAllPeers(ctx, p, limits.ConnectivityTimeout,
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

// OfferLeadership notifies another controller that this controller's term is over, so that the other one
// can campaign at once. It takes at most limits.ConnectivityTimeout. keyVersion is the version of the
// leader key of the term. An error means that no reply arrived; the offer may have been received
// nevertheless.
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
