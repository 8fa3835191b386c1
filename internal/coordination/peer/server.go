package peer

import (
	"context"
	"errors"
	"fmt"
	"net"

	"google.golang.org/grpc"

	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/limits"
)

// Server answers other controllers.
type Server struct {
	peerpb.UnimplementedPeerServer
	peerpb.UnimplementedOperatorServer
	peers   *Peers
	leader  Leader
	elector Elector
	grpc    *grpc.Server
}

// NewServer returns a Server for the local process.
func NewServer(local Leader, candidate Elector, peers *Peers) *Server {
	s := &Server{peers: peers, leader: local, elector: candidate, grpc: grpc.NewServer(
		grpc.MaxRecvMsgSize(limits.MaxBodyBytes),
		grpc.MaxConcurrentStreams(limits.PeerStreams),
		grpc.NumStreamWorkers(0),
	)}
	peerpb.RegisterPeerServer(s.grpc, s)
	peerpb.RegisterOperatorServer(s.grpc, s)
	return s
}

// Run serves on addr until the context ends.
func (s *Server) Run(ctx context.Context, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for controllers: %w", err)
	}
	return s.Serve(ctx, ln)
}

// Serve serves on a listener until the context ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, s.grpc.Stop)
	defer stop()
	if err := s.grpc.Serve(ln); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return fmt.Errorf("serve controllers: %w", err)
	}
	return nil
}

// Counts implements the service.
func (s *Server) Counts(ctx context.Context, r *peerpb.TaskCountsRequest) (*peerpb.TaskCountsReply, error) {
	c, ok := s.leader.TaskCounts(ctx, r.GetJob())
	return &peerpb.TaskCountsReply{Known: ok, Done: int64(c.Done), Running: int64(c.Running)}, nil
}

// Relay implements the service.
func (s *Server) Relay(ctx context.Context, r *peerpb.RelayHeartbeatRequest) (*peerpb.RelayHeartbeatReply, error) {
	status, body := s.leader.RelayedHeartbeat(ctx, r.GetHeartbeat(), r.GetSameConnection())
	return &peerpb.RelayHeartbeatReply{Status: int32(status), Body: body}, nil
}

// Able implements the service.
func (s *Server) Able(ctx context.Context, _ *peerpb.ConnectivityRequest) (*peerpb.ConnectivityReply, error) {
	return &peerpb.ConnectivityReply{Connected: s.elector.StateReachable(ctx)}, nil
}

// Take implements the service.
func (s *Server) Take(_ context.Context, r *peerpb.LeadershipOffer) (*peerpb.LeadershipOfferReply, error) {
	s.elector.AcceptOffer(r.GetTerm(), r.GetKeyVersion())
	return &peerpb.LeadershipOfferReply{}, nil
}

// Pledge implements the service.
func (s *Server) Pledge(_ context.Context, r *peerpb.VoteRequest) (*peerpb.VoteReply, error) {
	v := s.elector.Vote(r.GetHeartbeatVersion(), r.GetProcessNonce())
	return &peerpb.VoteReply{Granted: v.Granted, ProcessNonce: v.ProcessNonce}, nil
}

// Confirm implements the service. A controller that does not lead passes the request on once: the
// sender may not reach the leader itself.
func (s *Server) Confirm(ctx context.Context, r *peerpb.ConfirmCancellationRequest) (*peerpb.ConfirmCancellationReply, error) {
	known := s.leader.ConfirmCancellation(ctx, r.GetJob(), r.GetKeyVersion(), r.GetRecord())
	if !known && !r.GetForwarded() {
		known = s.peers.confirmCancellationAt(ctx, s.elector.Leader(), &peerpb.ConfirmCancellationRequest{Job: r.GetJob(), KeyVersion: r.GetKeyVersion(), Record: r.GetRecord(), Forwarded: true})
	}
	return &peerpb.ConfirmCancellationReply{Known: known}, nil
}

// Status implements the operators' service.
func (s *Server) Status(ctx context.Context, r *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	if v, ok := s.leader.Inspect(ctx, r.GetJob()); ok {
		return v, nil
	}
	leader := s.elector.Leader()
	conn := s.peers.conns[leader]
	if r.GetForwarded() || conn == nil {
		return &peerpb.StatusReply{}, nil
	}
	v, err := peerpb.NewOperatorClient(conn).Status(ctx, &peerpb.StatusRequest{Job: r.GetJob(), Forwarded: true})
	if err != nil {
		return &peerpb.StatusReply{Leader: leader}, nil // known, but it does not answer
	}
	return v, nil
}
