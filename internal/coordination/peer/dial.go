package peer

import (
	"context"
	"fmt"
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

// Close hangs up.
func (p *Peers) Close() {
	for _, conn := range p.conns {
		_ = conn.Close()
	}
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
