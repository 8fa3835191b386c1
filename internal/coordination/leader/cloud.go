package leader

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/time/rate"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// Cloud calls the cloud within its rate. Only the leader rents; two terms may overlap for a moment,
// so we stay a little below the limit.
type Cloud struct {
	client  *transport.Client
	limiter *rate.Limiter
	slots   chan struct{} // under way
}

// NewCloud returns a Cloud.
func NewCloud(addr string, rps float64) *Cloud {
	return &Cloud{
		client:  transport.NewClient(addr, 2, limits.MaxUpstreamBytes),
		limiter: rate.NewLimiter(rate.Limit(rps*limits.CloudRateShare), max(1, int(rps))),
		slots:   make(chan struct{}, limits.MaxCloudCalls),
	}
}

// WithDialer makes it dial another way. It is called before the first use.
func (c *Cloud) WithDialer(d transport.Dialer) *Cloud {
	c.client.WithDialer(d)
	return c
}

var errCloud = errors.New("cloud")

// call sends one request. Statuses other than 200 come as errors unless they are in pass.
func (c *Cloud) call(ctx context.Context, method, target string, body []byte) (*transport.Message, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: rate: %w", errCloud, err)
	}
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", errCloud, ctx.Err())
	}
	ctx, cancel := context.WithTimeout(ctx, limits.CloudTimeout)
	defer cancel()
	return c.client.Do(ctx, method, target, body)
}

// MachineTypes reads the machine types.
func (c *Cloud) MachineTypes(ctx context.Context) ([]protocol.MachineType, error) {
	m, err := c.call(ctx, "GET", "/machine_types", nil)
	if err != nil {
		return nil, err
	}
	if m.Status != 200 {
		return nil, fmt.Errorf("%w: types: status %d", errCloud, m.Status)
	}
	var l protocol.MachineTypeList
	if err := protocol.Decode(m.Body, &l); err != nil {
		return nil, fmt.Errorf("types: %w", err)
	}
	if len(l.Types) == 0 {
		return nil, fmt.Errorf("%w: no machine types", errCloud)
	}
	return l.Types, nil
}
