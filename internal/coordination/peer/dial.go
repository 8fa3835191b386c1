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

// Peers are the gRPC connections to the other controllers. They are safe for concurrent use.
type Peers struct {
	conns map[string]*grpc.ClientConn // by node name; not modified after NewPeers
}

// NewPeers creates the connections to the other controllers. Each one is established by the first call
// that uses it. If dialer is nil, TCP is used. NewPeers returns an error if an address is malformed.
func NewPeers(members []config.Member, dialer transport.Dialer) (*Peers, error) {
	p := &Peers{conns: map[string]*grpc.ClientConn{}}
	for _, m := range members {
		conn, err := newClientConn(m.Address,
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
			return nil, fmt.Errorf("create connection to controller %s: %w", m.NodeName, err)
		}
		p.conns[m.NodeName] = conn
	}
	return p, nil
}

// newClientConn creates an unencrypted connection, which is established by the first call. The
// passthrough scheme makes gRPC pass the address to the dialer without resolving it: an IP address needs
// no name resolution, and the dialer resolves a host name.
func newClientConn(addr string, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	options = append(options, grpc.WithTransportCredentials(insecure.NewCredentials()))
	return grpc.NewClient("passthrough:///"+addr, options...)
}

// Close closes all connections. Calls in progress fail.
func (p *Peers) Close() {
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

// callPeer makes one call to one controller, within a time limit. It returns an error if there is no other
// controller with that name.
func callPeer[T any](
	ctx context.Context, p *Peers, node string, limit time.Duration,
	call func(context.Context, peerpb.PeerClient) (T, error),
) (reply T, err error) {
	conn := p.conns[node]
	if conn == nil {
		return reply, fmt.Errorf("no other controller is named %q", node)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return call(ctx, peerpb.NewPeerClient(conn))
}

// callAllPeers calls all other controllers in parallel, within a time limit. The channel that it returns
// delivers the results of the successful calls as they arrive, and is closed when all calls have ended.
// The channel is buffered, so that the caller may stop receiving before that.
func callAllPeers[T any](
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
