package peer

import (
	"context"
	"fmt"

	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/limits"
)

// TaskCounts asks a controller for a job's counts.
func (p *Peers) TaskCounts(ctx context.Context, node, job string) (TaskCounts, bool) {
	r, err := callPeer(ctx, p, node, limits.TaskCountsTimeout, func(ctx context.Context, c peerpb.PeerClient) (*peerpb.TaskCountsReply, error) {
		return c.Counts(ctx, &peerpb.TaskCountsRequest{Job: job})
	})
	if err != nil || !r.GetKnown() {
		return TaskCounts{}, false
	}
	return TaskCounts{Done: int(r.GetDone()), Running: int(r.GetRunning())}, true
}

// RelayHeartbeat hands a worker's report to the leading controller.
func (p *Peers) RelayHeartbeat(ctx context.Context, node string, report []byte, stayed bool) (status int, body []byte, err error) {
	r, err := callPeer(ctx, p, node, limits.RelayTimeout, func(ctx context.Context, c peerpb.PeerClient) (*peerpb.RelayHeartbeatReply, error) {
		return c.Relay(ctx, &peerpb.RelayHeartbeatRequest{Heartbeat: report, SameConnection: stayed})
	})
	if err != nil {
		return 0, nil, fmt.Errorf("relay: %w", err)
	}
	return int(r.GetStatus()), r.GetBody(), nil
}

// FindConnected returns the name of a controller that reaches the state service, or "".
func (p *Peers) FindConnected(ctx context.Context) string {
	able := callAll(ctx, p, limits.ConnectivityTimeout, func(ctx context.Context, name string, c peerpb.PeerClient) (string, error) {
		r, err := c.Able(ctx, &peerpb.ConnectivityRequest{})
		if err != nil || !r.GetConnected() {
			return "", err
		}
		return name, nil
	})
	for name := range able {
		if name != "" {
			return name
		}
	}
	return ""
}

// Size is how many other controllers there are.
func (p *Peers) Size() int { return len(p.conns) }

// RequestVotes asks all controllers for their pledge to the leader here.
func (p *Peers) RequestVotes(ctx context.Context, heartbeat uint64, nonces map[string]uint64) map[string]election.Vote {
	type answer struct {
		name string
		vote election.Vote
	}
	got := callAll(ctx, p, limits.VoteTimeout, func(ctx context.Context, name string, c peerpb.PeerClient) (answer, error) {
		r, err := c.Pledge(ctx, &peerpb.VoteRequest{HeartbeatVersion: heartbeat, ProcessNonce: nonces[name]})
		return answer{name, election.Vote{Granted: r.GetGranted(), ProcessNonce: r.GetProcessNonce()}}, err
	})
	out := map[string]election.Vote{}
	for a := range got {
		out[a.name] = a.vote
	}
	return out
}

// ConfirmCancellation tells whether the leader knows of a cancellation now. It is asked itself, and
// through the others if it does not answer.
func (p *Peers) ConfirmCancellation(ctx context.Context, leader, job string, stamp uint64, record []byte) bool {
	if p.confirmCancellationAt(ctx, leader, &peerpb.ConfirmCancellationRequest{Job: job, KeyVersion: stamp, Record: record, Forwarded: true}) {
		return true
	}
	known := callAll(ctx, p, limits.CancelConfirmTimeout, func(ctx context.Context, _ string, c peerpb.PeerClient) (bool, error) {
		r, err := c.Confirm(ctx, &peerpb.ConfirmCancellationRequest{Job: job, KeyVersion: stamp, Record: record})
		return r.GetKnown(), err
	})
	for k := range known {
		if k {
			return true
		}
	}
	return false
}

func (p *Peers) confirmCancellationAt(ctx context.Context, node string, r *peerpb.ConfirmCancellationRequest) bool {
	a, err := callPeer(ctx, p, node, limits.CancelConfirmTimeout, func(ctx context.Context, c peerpb.PeerClient) (*peerpb.ConfirmCancellationReply, error) {
		return c.Confirm(ctx, r)
	})
	return err == nil && a.GetKnown()
}

// OfferLeadership tells a controller that the term of a leader key is over.
func (p *Peers) OfferLeadership(ctx context.Context, node string, term, stamp uint64) error {
	_, err := callPeer(ctx, p, node, limits.ConnectivityTimeout, func(ctx context.Context, c peerpb.PeerClient) (*peerpb.LeadershipOfferReply, error) {
		return c.Take(ctx, &peerpb.LeadershipOffer{Term: term, KeyVersion: stamp})
	})
	if err != nil {
		return fmt.Errorf("hand over: %w", err)
	}
	return nil
}
