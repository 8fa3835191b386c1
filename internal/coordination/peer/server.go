package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"

	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/limits"
)

// LeaderHandler handles the requests that only the leader can answer. If this process does not lead,
// HandleRelayedHeartbeat returns status 503 and the other methods return false. The methods are called
// concurrently.
type LeaderHandler interface {
	// TaskCounts returns a job's task counts. It returns false if this process does not lead or does not
	// know the job.
	TaskCounts(ctx context.Context, job string) (TaskCounts, bool)
	// HandleRelayedHeartbeat processes a worker's heartbeat that another controller has relayed, and returns
	// the HTTP status and body of the reply to the worker. sameConnection means that the worker's
	// previous heartbeat on its connection was answered with 200.
	HandleRelayedHeartbeat(ctx context.Context, heartbeat []byte, sameConnection bool) (status int, body []byte)
	// ConfirmCancellation processes the open record of a cancelled job; keyVersion is the version of its
	// key. It reports whether this process was the entitled leader after it had processed the record.
	ConfirmCancellation(ctx context.Context, job string, keyVersion uint64, record []byte) bool
	// Status returns the status of the deployment as the leader sees it, or false if this process does
	// not lead. If a job is given, the status explains why the job waits.
	Status(ctx context.Context, job string) (*peerpb.StatusReply, bool)
}

// Elector handles the requests that concern leader election. Its methods are called concurrently.
type Elector interface {
	// CanLead reports whether this process can reach the state service now and answers requests of clients.
	CanLead(ctx context.Context) bool
	// AcceptOffer handles the offer of a leader that has resigned; keyVersion is the version of its leader
	// key. This process may campaign at once.
	AcceptOffer(term, keyVersion uint64)
	// Leader returns the name of the last known leader, or "" if there is none.
	Leader() string
	// Vote grants or denies the leader a vote. heartbeatVersion is the key version of the leader's last
	// heartbeat record; nonce identifies the process that the leader expects on this node.
	Vote(heartbeatVersion, nonce uint64) election.Vote
}

// Server serves the gRPC calls of the other controllers and of operators.
type Server struct {
	peerpb.UnimplementedPeerServer
	peerpb.UnimplementedOperatorServer
	peers         *Peers
	leaderHandler LeaderHandler
	elector       Elector
	clientStall   func() time.Duration
	grpc          *grpc.Server
}

// NewServer returns a Server for this process. The Server uses peers to forward confirmation and status
// requests to the leader if this process does not lead. clientStall returns for how long this process has
// answered no requests of users and workers, or 0 if it answers them.
func NewServer(leader LeaderHandler, elector Elector, peers *Peers, clientStall func() time.Duration) *Server {
	s := &Server{
		peers:         peers,
		leaderHandler: leader,
		elector:       elector,
		clientStall:   clientStall,
		grpc: grpc.NewServer(
			grpc.MaxRecvMsgSize(limits.MaxBodyBytes),
			grpc.MaxConcurrentStreams(limits.MaxPeerStreams),
			grpc.NumStreamWorkers(0),
		),
	}
	peerpb.RegisterPeerServer(s.grpc, s)
	peerpb.RegisterOperatorServer(s.grpc, s)
	return s
}

// Run listens on a TCP address and serves until the context ends. It returns an error if it cannot listen
// on the address or if the listener fails.
func (s *Server) Run(ctx context.Context, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for calls of other controllers: %w", err)
	}
	return s.Serve(ctx, ln)
}

// Serve serves on a listener until the context ends, and closes the listener. It returns an error if the
// listener fails before that. It must be called at most once.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, s.grpc.Stop)
	defer stop()
	if err := s.grpc.Serve(ln); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return fmt.Errorf("serve calls of other controllers: %w", err)
	}
	return nil
}

// Counts returns a job's task counts, which another controller reports to a user.
func (s *Server) Counts(ctx context.Context, r *peerpb.TaskCountsRequest) (*peerpb.TaskCountsReply, error) {
	c, ok := s.leaderHandler.TaskCounts(ctx, r.GetJob())
	return &peerpb.TaskCountsReply{Known: ok, Done: int64(c.Done), Running: int64(c.Running)}, nil
}

// Relay processes a worker's heartbeat that another controller has received and relayed.
func (s *Server) Relay(ctx context.Context, r *peerpb.RelayHeartbeatRequest) (*peerpb.RelayHeartbeatReply, error) {
	status, body := s.leaderHandler.HandleRelayedHeartbeat(ctx, r.GetHeartbeat(), r.GetSameConnection())
	return &peerpb.RelayHeartbeatReply{Status: int32(status), Body: body}, nil
}

// Able returns whether this process can reach the state service and answers requests of clients. Other
// controllers ask when they cannot reach the state service themselves: a leader to find a successor, any
// controller for its health check. A leader that does not answer its clients asks, too.
func (s *Server) Able(ctx context.Context, _ *peerpb.ConnectivityRequest) (*peerpb.ConnectivityReply, error) {
	return &peerpb.ConnectivityReply{Connected: s.elector.CanLead(ctx)}, nil
}

// Take passes the leadership offer of a leader that has resigned to the elector.
func (s *Server) Take(_ context.Context, r *peerpb.LeadershipOffer) (*peerpb.LeadershipOfferReply, error) {
	s.elector.AcceptOffer(r.GetTerm(), r.GetKeyVersion())
	return &peerpb.LeadershipOfferReply{}, nil
}

// Pledge returns whether this controller grants the leader its vote.
func (s *Server) Pledge(_ context.Context, r *peerpb.VoteRequest) (*peerpb.VoteReply, error) {
	v := s.elector.Vote(r.GetHeartbeatVersion(), r.GetProcessNonce())
	return &peerpb.VoteReply{Granted: v.Granted, ProcessNonce: v.ProcessNonce}, nil
}

// Confirm returns whether the leader confirms that it has processed a cancellation. If this controller
// cannot confirm it, it forwards the request to the leader, which the caller may be unable to reach. A
// request is forwarded at most once.
func (s *Server) Confirm(
	ctx context.Context, r *peerpb.ConfirmCancellationRequest,
) (*peerpb.ConfirmCancellationReply, error) {
	known := s.leaderHandler.ConfirmCancellation(ctx, r.GetJob(), r.GetKeyVersion(), r.GetRecord())
	if !known && !r.GetForwarded() {
		known = s.peers.requestConfirmation(ctx, s.elector.Leader(), &peerpb.ConfirmCancellationRequest{
			Job: r.GetJob(), KeyVersion: r.GetKeyVersion(), Record: r.GetRecord(), Forwarded: true,
		})
	}
	return &peerpb.ConfirmCancellationReply{Known: known}, nil
}

// Status returns the status of the deployment as the leader sees it. A controller that does not lead
// forwards the request to the leader; a request is forwarded at most once. In the reply, the leader is
// empty if none is known or if the controller to which the request was forwarded does not lead. The term
// is 0 if the leader does not reply.
func (s *Server) Status(ctx context.Context, r *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	if reply, ok := s.leaderHandler.Status(ctx, r.GetJob()); ok {
		reply.ClientStallS = s.clientStall().Seconds()
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
