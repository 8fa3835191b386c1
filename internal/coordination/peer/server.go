package peer

import (
	"context"
	"errors"
	"fmt"
	"net"

	"google.golang.org/grpc"

	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/limits"
)

// Leader answers for the term of this process, if it leads. It is called by many goroutines at once.
type Leader interface {
	// TaskCounts returns a job's counts if this process leads and knows the job.
	TaskCounts(ctx context.Context, job string) (TaskCounts, bool)
	// RelayedHeartbeat processes a worker's heartbeat that came through another controller, and
	// returns the answer for the worker. sameConnection: the worker was answered 200 before on its
	// connection.
	RelayedHeartbeat(ctx context.Context, heartbeat []byte, sameConnection bool) (status int, body []byte)
	// ConfirmCancellation processes a cancelled job's record, which has that key version. It reports
	// whether the leader of an entitled term here knows of the cancellation now.
	ConfirmCancellation(ctx context.Context, job string, keyVersion uint64, record []byte) bool
	// Inspect returns the leader's view of the deployment if this process leads. It explains why the
	// job waits, if one is named.
	Inspect(ctx context.Context, job string) (*peerpb.StatusReply, bool)
}

// Elector takes part in elections for this process. It is called by many goroutines at once.
type Elector interface {
	// StateReachable reports whether the state service answers this process right now.
	StateReachable(ctx context.Context) bool
	// AcceptOffer is called for a leader that has resigned, with the version of its leader key.
	AcceptOffer(term, keyVersion uint64)
	// Leader returns the name of the leader as far as known, or "".
	Leader() string
	// Vote answers the leader's request for a vote under the heartbeat with that key version.
	Vote(heartbeat, nonce uint64) election.Vote
}

// Server answers the other controllers, and operators.
type Server struct {
	peerpb.UnimplementedPeerServer
	peerpb.UnimplementedOperatorServer
	peers   *Peers
	leader  Leader
	elector Elector
	grpc    *grpc.Server
}

// NewServer returns a Server for this process. It forwards through peers what only the leader can
// answer.
func NewServer(leader Leader, elector Elector, peers *Peers) *Server {
	s := &Server{peers: peers, leader: leader, elector: elector, grpc: grpc.NewServer(
		grpc.MaxRecvMsgSize(limits.MaxBodyBytes),
		grpc.MaxConcurrentStreams(limits.MaxPeerStreams),
		grpc.NumStreamWorkers(0),
	)}
	peerpb.RegisterPeerServer(s.grpc, s)
	peerpb.RegisterOperatorServer(s.grpc, s)
	return s
}

// Run listens on a TCP address and serves until the context ends. It returns an error if it can't
// listen, or if the listener fails.
func (s *Server) Run(ctx context.Context, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for controllers: %w", err)
	}
	return s.Serve(ctx, ln)
}

// Serve serves on a listener until the context ends, and returns an error if the listener fails
// before. It closes the listener, and is called once.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, s.grpc.Stop)
	defer stop()
	if err := s.grpc.Serve(ln); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return fmt.Errorf("serve controllers: %w", err)
	}
	return nil
}

// Counts returns a job's task counts, for display at another controller.
func (s *Server) Counts(ctx context.Context, r *peerpb.TaskCountsRequest) (*peerpb.TaskCountsReply, error) {
	c, ok := s.leader.TaskCounts(ctx, r.GetJob())
	return &peerpb.TaskCountsReply{Known: ok, Done: int64(c.Done), Running: int64(c.Running)}, nil
}

// Relay processes a worker's heartbeat that came to another controller.
func (s *Server) Relay(ctx context.Context, r *peerpb.RelayHeartbeatRequest) (*peerpb.RelayHeartbeatReply, error) {
	status, body := s.leader.RelayedHeartbeat(ctx, r.GetHeartbeat(), r.GetSameConnection())
	return &peerpb.RelayHeartbeatReply{Status: int32(status), Body: body}, nil
}

// Able answers a leader that looks for a controller that reaches the state service.
func (s *Server) Able(ctx context.Context, _ *peerpb.ConnectivityRequest) (*peerpb.ConnectivityReply, error) {
	return &peerpb.ConnectivityReply{Connected: s.elector.StateReachable(ctx)}, nil
}

// Take accepts the offer of a leader that has resigned.
func (s *Server) Take(_ context.Context, r *peerpb.LeadershipOffer) (*peerpb.LeadershipOfferReply, error) {
	s.elector.AcceptOffer(r.GetTerm(), r.GetKeyVersion())
	return &peerpb.LeadershipOfferReply{}, nil
}

// Pledge answers the leader's request for this controller's vote.
func (s *Server) Pledge(_ context.Context, r *peerpb.VoteRequest) (*peerpb.VoteReply, error) {
	v := s.elector.Vote(r.GetHeartbeatVersion(), r.GetProcessNonce())
	return &peerpb.VoteReply{Granted: v.Granted, ProcessNonce: v.ProcessNonce}, nil
}

// Confirm makes the leader confirm that it knows of a cancellation. A controller that does not lead
// forwards the request to the leader, as the sender may not reach it. A request is forwarded once.
func (s *Server) Confirm(
	ctx context.Context, r *peerpb.ConfirmCancellationRequest,
) (*peerpb.ConfirmCancellationReply, error) {
	known := s.leader.ConfirmCancellation(ctx, r.GetJob(), r.GetKeyVersion(), r.GetRecord())
	if !known && !r.GetForwarded() {
		known = s.peers.confirmCancellationAt(ctx, s.elector.Leader(), &peerpb.ConfirmCancellationRequest{
			Job: r.GetJob(), KeyVersion: r.GetKeyVersion(), Record: r.GetRecord(), Forwarded: true,
		})
	}
	return &peerpb.ConfirmCancellationReply{Known: known}, nil
}

// Status returns the leader's view of the deployment. A controller that does not lead forwards the
// request once. The reply names no leader if none is known, and has no term if the leader does not
// answer.
func (s *Server) Status(ctx context.Context, r *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	if reply, ok := s.leader.Inspect(ctx, r.GetJob()); ok {
		return reply, nil
	}
	leader := s.elector.Leader()
	conn := s.peers.conns[leader]
	if r.GetForwarded() || conn == nil {
		return &peerpb.StatusReply{}, nil
	}
	request := &peerpb.StatusRequest{Job: r.GetJob(), Forwarded: true}
	reply, err := peerpb.NewOperatorClient(conn).Status(ctx, request)
	if err != nil {
		return &peerpb.StatusReply{Leader: leader}, nil
	}
	return reply, nil
}
