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

// Peers are the other controllers. The methods may be called by any goroutine.
type Peers struct {
	conns map[string]*grpc.ClientConn // by node name; does not change
}

// Dial prepares connections to the other controllers; each is made when it is first used. A nil
// dialer dials TCP. It returns an error if an address is malformed.
func Dial(members []config.Member, dialer transport.Dialer) (*Peers, error) {
	p := &Peers{conns: map[string]*grpc.ClientConn{}}
	for _, m := range members {
		conn, err := newConn(m.Address,
			grpc.WithContextDialer(dialer.Dial),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff: backoff.Config{
					BaseDelay:  limits.RetryBackoffMin,
					Multiplier: 2,
					Jitter:     0.2,
					MaxDelay:   limits.RetryBackoffMax,
				},
				MinConnectTimeout: limits.DialTimeout,
			}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(limits.MaxBodyBytes)),
			grpc.WithDisableServiceConfig(),
			grpc.WithIdleTimeout(limits.PeerConnIdleTimeout),
		)
		if err != nil {
			return nil, fmt.Errorf("controller %s: %w", m.NodeName, err)
		}
		p.conns[m.NodeName] = conn
	}
	return p, nil
}

// newConn prepares a connection without encryption. The address is dialed as it is: the settings
// name addresses, and names are resolved by the dialer.
func newConn(addr string, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	options = append(options, grpc.WithTransportCredentials(insecure.NewCredentials()))
	return grpc.NewClient("passthrough:///"+addr, options...)
}

// Close closes all connections. Calls that are under way fail.
func (p *Peers) Close() {
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

// callPeer makes one call to one controller, within a time limit. It returns an error if there is no
// controller of that name.
func callPeer[T any](
	ctx context.Context, p *Peers, node string, limit time.Duration,
	call func(context.Context, peerpb.PeerClient) (T, error),
) (reply T, err error) {
	conn := p.conns[node]
	if conn == nil {
		return reply, fmt.Errorf("no controller %q", node)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return call(ctx, peerpb.NewPeerClient(conn))
}

// callAll calls all controllers at once, within a time limit. The channel has the results as they
// arrive, without the calls that failed, and is closed after the last one. The receiver may stop
// before that.
func callAll[T any](
	ctx context.Context, p *Peers, limit time.Duration,
	call func(ctx context.Context, node string, c peerpb.PeerClient) (T, error),
) <-chan T {
	results := make(chan T, len(p.conns))
	ctx, cancel := context.WithTimeout(ctx, limit)
	var calls sync.WaitGroup
	for node, conn := range p.conns {
		calls.Go(func() {
			if result, err := call(ctx, node, peerpb.NewPeerClient(conn)); err == nil {
				results <- result
			}
		})
	}
	go func() {
		calls.Wait()
		cancel()
		close(results)
	}()
	return results
}
