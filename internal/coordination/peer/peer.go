// Package peer is what the controllers say to each other, over gRPC.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/limits"
	"quillshunt/internal/transport"
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
	Vote(heartbeat, nonce uint64) *peerpb.VoteReply
}

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
	return s.elector.Vote(r.GetHeartbeatVersion(), r.GetProcessNonce()), nil
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

// RequestStatus asks the controller at an address.
func RequestStatus(ctx context.Context, addr, job string) (*peerpb.StatusReply, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, fmt.Errorf("controller %s: %w", addr, err)
	}
	defer conn.Close()
	r, err := peerpb.NewOperatorClient(conn).Status(ctx, &peerpb.StatusRequest{Job: job})
	if err != nil {
		return nil, fmt.Errorf("controller %s: %w", addr, err)
	}
	return r, nil
}

// Peers are the other controllers.
type Peers struct{ conns map[string]*grpc.ClientConn }

// Dial prepares connections; they are made when first used. A nil dialer dials TCP.
func Dial(members []config.Member, dialer transport.Dialer) (*Peers, error) {
	p := &Peers{conns: map[string]*grpc.ClientConn{}}
	for _, m := range members {
		conn, err := grpc.NewClient("passthrough:///"+m.Address,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(dialer.Dial),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff:           backoff.Config{BaseDelay: limits.RetryMin, Multiplier: 2, Jitter: 0.2, MaxDelay: limits.RetryMax},
				MinConnectTimeout: limits.DialTimeout,
			}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(limits.MaxBodyBytes)),
			grpc.WithDisableServiceConfig(),
			grpc.WithIdleTimeout(limits.PeerIdle),
		)
		if err != nil {
			return nil, fmt.Errorf("controller %s: %w", m.NodeName, err)
		}
		p.conns[m.NodeName] = conn
	}
	return p, nil
}

// callPeer calls one controller, within a time limit.
func callPeer[T any](ctx context.Context, p *Peers, node string, limit time.Duration, call func(context.Context, peerpb.PeerClient) (T, error)) (reply T, err error) {
	conn := p.conns[node]
	if conn == nil {
		return reply, fmt.Errorf("no controller %q", node)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return call(ctx, peerpb.NewPeerClient(conn))
}

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

// callAll calls all controllers at once. The results arrive as they come; none of a controller that
// does not answer in time.
func callAll[T any](ctx context.Context, p *Peers, limit time.Duration, call func(ctx context.Context, name string, c peerpb.PeerClient) (T, error)) <-chan T {
	found := make(chan T, len(p.conns))
	ctx, cancel := context.WithTimeout(ctx, limit)
	var wg sync.WaitGroup
	for name, conn := range p.conns {
		wg.Go(func() {
			if r, err := call(ctx, name, peerpb.NewPeerClient(conn)); err == nil {
				found <- r
			}
		})
	}
	go func() {
		wg.Wait()
		cancel()
		close(found)
	}()
	return found
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

// Close hangs up.
func (p *Peers) Close() {
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

// Size is how many other controllers there are.
func (p *Peers) Size() int { return len(p.conns) }

// RequestVotes asks all controllers for their pledge to the leader here.
func (p *Peers) RequestVotes(ctx context.Context, heartbeat uint64, nonces map[string]uint64) map[string]*peerpb.VoteReply {
	type answer struct {
		name  string
		reply *peerpb.VoteReply
	}
	got := callAll(ctx, p, limits.VoteTimeout, func(ctx context.Context, name string, c peerpb.PeerClient) (answer, error) {
		r, err := c.Pledge(ctx, &peerpb.VoteRequest{HeartbeatVersion: heartbeat, ProcessNonce: nonces[name]})
		return answer{name, r}, err
	})
	out := map[string]*peerpb.VoteReply{}
	for a := range got {
		out[a.name] = a.reply
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
