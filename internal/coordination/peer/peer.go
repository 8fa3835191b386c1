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

// Counts are a job's task counts.
type Counts struct{ Done, Running int }

// Local answers for this process.
type Local interface {
	// Counts returns a job's counts if this process leads and knows the job.
	Counts(ctx context.Context, job string) (Counts, bool)
	// Relayed takes a worker's report that came through another controller.
	Relayed(ctx context.Context, report []byte, stayed bool) (status int, body []byte)
	// Confirm takes a cancelled job's record, and tells whether the leader of an entitled term here knows of it now.
	Confirm(ctx context.Context, job string, stamp uint64, record []byte) bool
	// Inspect tells how the term stands if this process leads.
	Inspect(ctx context.Context, job string) (*peerpb.StatusReply, bool)
}

// Candidate is the part of this process that takes part in elections.
type Candidate interface {
	// Able tells whether the state service can be reached right now.
	Able(ctx context.Context) bool
	// Take is told that the term of that leader key is over.
	Take(term, stamp uint64)
	// Leader is the name of the leader as far as known, or "".
	Leader() string
	// Pledge is asked by the leader.
	Pledge(heartbeat, nonce uint64) *peerpb.PledgeReply
}

// Server answers other controllers.
type Server struct {
	peerpb.UnimplementedPeerServer
	peerpb.UnimplementedOperatorServer
	peers     *Peers
	local     Local
	candidate Candidate
	grpc      *grpc.Server
}

// NewServer returns a Server for the local process.
func NewServer(local Local, candidate Candidate, peers *Peers) *Server {
	s := &Server{peers: peers, local: local, candidate: candidate, grpc: grpc.NewServer(
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
func (s *Server) Counts(ctx context.Context, r *peerpb.CountsRequest) (*peerpb.CountsReply, error) {
	c, ok := s.local.Counts(ctx, r.GetJob())
	return &peerpb.CountsReply{Known: ok, Done: int64(c.Done), Running: int64(c.Running)}, nil
}

// Relay implements the service.
func (s *Server) Relay(ctx context.Context, r *peerpb.RelayRequest) (*peerpb.RelayReply, error) {
	status, body := s.local.Relayed(ctx, r.GetReport(), r.GetStayed())
	return &peerpb.RelayReply{Status: int32(status), Body: body}, nil
}

// Able implements the service.
func (s *Server) Able(ctx context.Context, _ *peerpb.AbleRequest) (*peerpb.AbleReply, error) {
	return &peerpb.AbleReply{Able: s.candidate.Able(ctx)}, nil
}

// Take implements the service.
func (s *Server) Take(_ context.Context, r *peerpb.TakeRequest) (*peerpb.TakeReply, error) {
	s.candidate.Take(r.GetTerm(), r.GetStamp())
	return &peerpb.TakeReply{}, nil
}

// Pledge implements the service.
func (s *Server) Pledge(_ context.Context, r *peerpb.PledgeRequest) (*peerpb.PledgeReply, error) {
	return s.candidate.Pledge(r.GetHeartbeat(), r.GetNonce()), nil
}

// Confirm implements the service. A controller that does not lead passes the request on once: the sender may not reach the leader itself.
func (s *Server) Confirm(ctx context.Context, r *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	known := s.local.Confirm(ctx, r.GetJob(), r.GetStamp(), r.GetRecord())
	if !known && !r.GetPassedOn() {
		known = s.peers.confirmAt(ctx, s.candidate.Leader(), &peerpb.ConfirmRequest{Job: r.GetJob(), Stamp: r.GetStamp(), Record: r.GetRecord(), PassedOn: true})
	}
	return &peerpb.ConfirmReply{Known: known}, nil
}

// Status implements the operators' service.
func (s *Server) Status(ctx context.Context, r *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	if v, ok := s.local.Inspect(ctx, r.GetJob()); ok {
		return v, nil
	}
	leader := s.candidate.Leader()
	conn := s.peers.conns[leader]
	if r.GetPassedOn() || conn == nil {
		return &peerpb.StatusReply{}, nil
	}
	v, err := peerpb.NewOperatorClient(conn).Status(ctx, &peerpb.StatusRequest{Job: r.GetJob(), PassedOn: true})
	if err != nil {
		return &peerpb.StatusReply{Leader: leader}, nil // known, but it does not answer
	}
	return v, nil
}

// AskStatus asks the controller at an address.
func AskStatus(ctx context.Context, addr, job string) (*peerpb.StatusReply, error) {
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

// askOne calls one controller, within a time limit.
func askOne[T any](ctx context.Context, p *Peers, node string, limit time.Duration, call func(context.Context, peerpb.PeerClient) (T, error)) (reply T, err error) {
	conn := p.conns[node]
	if conn == nil {
		return reply, fmt.Errorf("no controller %q", node)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return call(ctx, peerpb.NewPeerClient(conn))
}

// Counts asks a controller for a job's counts.
func (p *Peers) Counts(ctx context.Context, node, job string) (Counts, bool) {
	r, err := askOne(ctx, p, node, limits.PeerTimeout, func(ctx context.Context, c peerpb.PeerClient) (*peerpb.CountsReply, error) {
		return c.Counts(ctx, &peerpb.CountsRequest{Job: job})
	})
	if err != nil || !r.GetKnown() {
		return Counts{}, false
	}
	return Counts{Done: int(r.GetDone()), Running: int(r.GetRunning())}, true
}

// Relay hands a worker's report to the leading controller.
func (p *Peers) Relay(ctx context.Context, node string, report []byte, stayed bool) (status int, body []byte, err error) {
	r, err := askOne(ctx, p, node, limits.RelayTimeout, func(ctx context.Context, c peerpb.PeerClient) (*peerpb.RelayReply, error) {
		return c.Relay(ctx, &peerpb.RelayRequest{Report: report, Stayed: stayed})
	})
	if err != nil {
		return 0, nil, fmt.Errorf("relay: %w", err)
	}
	return int(r.GetStatus()), r.GetBody(), nil
}

// askAll calls all controllers at once. The results arrive as they come; none of a controller that does not answer in time.
func askAll[T any](ctx context.Context, p *Peers, limit time.Duration, call func(ctx context.Context, name string, c peerpb.PeerClient) (T, error)) <-chan T {
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

// Able returns the name of a controller that reaches the state service, or "".
func (p *Peers) Able(ctx context.Context) string {
	able := askAll(ctx, p, limits.AbleTimeout, func(ctx context.Context, name string, c peerpb.PeerClient) (string, error) {
		r, err := c.Able(ctx, &peerpb.AbleRequest{})
		if err != nil || !r.GetAble() {
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

// Pledge asks all controllers for their pledge to the leader here.
func (p *Peers) Pledge(ctx context.Context, heartbeat uint64, nonces map[string]uint64) map[string]*peerpb.PledgeReply {
	type answer struct {
		name  string
		reply *peerpb.PledgeReply
	}
	got := askAll(ctx, p, limits.PledgeTimeout, func(ctx context.Context, name string, c peerpb.PeerClient) (answer, error) {
		r, err := c.Pledge(ctx, &peerpb.PledgeRequest{Heartbeat: heartbeat, Nonce: nonces[name]})
		return answer{name, r}, err
	})
	out := map[string]*peerpb.PledgeReply{}
	for a := range got {
		out[a.name] = a.reply
	}
	return out
}

// Confirm tells whether the leader knows of a cancellation now. It is asked itself, and through the others if it does not answer.
func (p *Peers) Confirm(ctx context.Context, leader, job string, stamp uint64, record []byte) bool {
	if p.confirmAt(ctx, leader, &peerpb.ConfirmRequest{Job: job, Stamp: stamp, Record: record, PassedOn: true}) {
		return true
	}
	known := askAll(ctx, p, limits.ConfirmTimeout, func(ctx context.Context, _ string, c peerpb.PeerClient) (bool, error) {
		r, err := c.Confirm(ctx, &peerpb.ConfirmRequest{Job: job, Stamp: stamp, Record: record})
		return r.GetKnown(), err
	})
	for k := range known {
		if k {
			return true
		}
	}
	return false
}

func (p *Peers) confirmAt(ctx context.Context, node string, r *peerpb.ConfirmRequest) bool {
	a, err := askOne(ctx, p, node, limits.ConfirmTimeout, func(ctx context.Context, c peerpb.PeerClient) (*peerpb.ConfirmReply, error) {
		return c.Confirm(ctx, r)
	})
	return err == nil && a.GetKnown()
}

// Take tells a controller that the term of a leader key is over.
func (p *Peers) Take(ctx context.Context, node string, term, stamp uint64) error {
	_, err := askOne(ctx, p, node, limits.AbleTimeout, func(ctx context.Context, c peerpb.PeerClient) (*peerpb.TakeReply, error) {
		return c.Take(ctx, &peerpb.TakeRequest{Term: term, Stamp: stamp})
	})
	if err != nil {
		return fmt.Errorf("hand over: %w", err)
	}
	return nil
}
