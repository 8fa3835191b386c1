package leader

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"

	"golang.org/x/time/rate"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// noCapacityReason is the reason in the cloud's reply when it has no machines of the requested kind.
const noCapacityReason = "no capacity"

// CloudClient calls the API of the cloud and keeps within its rate limit. Only the leader calls the
// cloud, but at a failover the terms of two leaders may overlap briefly. Each client therefore uses
// only the share limits.CloudRateShare of the rate limit. It is safe for concurrent use.
type CloudClient struct {
	client    *transport.Client
	limiter   *rate.Limiter
	callSlots chan struct{} // limits concurrent calls
}

// NewCloudClient returns a client of the cloud at an address. rps is the number of requests per second
// that the cloud allows. If dialer is nil, connections use TCP.
func NewCloudClient(address string, rps float64, dialer transport.Dialer) *CloudClient {
	return &CloudClient{
		client:    transport.NewClient(address, 2, limits.MaxUpstreamBytes).WithDialer(dialer),
		limiter:   rate.NewLimiter(rate.Limit(rps*limits.CloudRateShare), max(1, limits.Whole(rps, math.MaxInt32))),
		callSlots: make(chan struct{}, limits.MaxCloudCalls),
	}
}

// ListMachineTypes returns the machine types that the cloud offers. An empty list is an error.
func (c *CloudClient) ListMachineTypes(ctx context.Context) ([]protocol.MachineType, error) {
	body, err := c.call(ctx, "list machine types", http.MethodGet, "/machine_types", nil)
	if err != nil {
		return nil, err
	}
	var list protocol.MachineTypeList
	if err := protocol.Decode(body, &list); err != nil {
		return nil, fmt.Errorf("cloud: list machine types: decode reply: %w", err)
	}
	if len(list.Types) == 0 {
		return nil, errors.New("cloud: list machine types: empty list")
	}
	return list.Types, nil
}

// RentMachines sends a rental request and returns the names of the rented machines. The request name
// makes the call idempotent: a repeated request rents no further machines. An error that wraps
// errNoCapacity or errRentalRejected means that the request was not and will not be executed. After any
// other error it may have been executed, or may still be. The caller's entitlement is checked as in
// callIfEntitled.
func (c *CloudClient) RentMachines(
	ctx context.Context, request protocol.RentalRequest, isEntitled func() bool,
) ([]string, error) {
	body, err := c.callIfEntitled(ctx, isEntitled, "rent machines", "/rentals", protocol.Encode(request))
	var unexpected *statusError
	if errors.As(err, &unexpected) {
		switch {
		case unexpected.status == http.StatusServiceUnavailable && unexpected.reason == noCapacityReason:
			return nil, fmt.Errorf("cloud: rent machines: request %s: %w", request.Name, errNoCapacity)
		case unexpected.status == http.StatusBadRequest:
			return nil, fmt.Errorf("cloud: rent machines: request %s: %w", request.Name, errRentalRejected)
		}
	}
	if err != nil {
		return nil, err
	}
	var reply protocol.RentalReply
	if err := protocol.Decode(body, &reply); err != nil {
		return nil, fmt.Errorf("cloud: rent machines: decode reply: %w", err)
	}
	return reply.Machines, nil
}

// DeleteMachines deletes machines, which ends their rental. The call is idempotent. The caller's entitlement
// is checked as in callIfEntitled.
func (c *CloudClient) DeleteMachines(ctx context.Context, machines []string, isEntitled func() bool) error {
	body := protocol.Encode(protocol.DeleteRequest{Machines: machines})
	_, err := c.callIfEntitled(ctx, isEntitled, "delete machines", "/rentals/delete", body)
	return err
}

// ListMachines returns all machines in the cloud's list of rentals. It reads the list page by page.
func (c *CloudClient) ListMachines(ctx context.Context) ([]protocol.Machine, error) {
	var machines []protocol.Machine
	since := ""
	for {
		target := "/rentals?Limit=" + strconv.Itoa(limits.CloudPageSize)
		if since != "" {
			target += "&Since=" + url.QueryEscape(since)
		}
		body, err := c.call(ctx, "list machines", http.MethodGet, target, nil)
		if err != nil {
			return nil, err
		}
		var page protocol.MachineList
		if err := protocol.Decode(body, &page); err != nil {
			return nil, fmt.Errorf("cloud: list machines: decode reply: %w", err)
		}
		machines = append(machines, page.Machines...)
		if !page.Truncated || len(page.Machines) == 0 {
			return machines, nil
		}
		since = page.Machines[len(page.Machines)-1].Name
	}
}

// call waits until a request may be sent, sends it and returns the body of the reply. See send for the
// errors.
func (c *CloudClient) call(ctx context.Context, operation, method, target string, body []byte) ([]byte, error) {
	if err := c.acquireSlot(ctx, operation); err != nil {
		return nil, err
	}
	defer c.releaseSlot()
	return c.send(ctx, operation, method, target, body)
}

// callIfEntitled is call for a request that only an entitled leader may send. It checks that before the wait,
// so that it takes no part of the rate otherwise, and after it, as the caller may have been replaced
// meanwhile. The error then wraps errNotEntitled, and the request was not sent.
func (c *CloudClient) callIfEntitled(
	ctx context.Context, isEntitled func() bool, operation, target string, body []byte,
) ([]byte, error) {
	notEntitled := fmt.Errorf("cloud: %s: %w", operation, errNotEntitled)
	if !isEntitled() {
		return nil, notEntitled
	}
	if err := c.acquireSlot(ctx, operation); err != nil {
		return nil, err
	}
	defer c.releaseSlot()
	if !isEntitled() {
		return nil, notEntitled
	}
	return c.send(ctx, operation, http.MethodPost, target, body)
}

// acquireSlot waits for the rate limiter and for a free call slot, which the caller releases.
func (c *CloudClient) acquireSlot(ctx context.Context, operation string) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: %s: wait for the rate limiter: %w", operation, err)
	}
	select {
	case c.callSlots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("cloud: %s: wait for a call slot: %w", operation, ctx.Err())
	}
}

func (c *CloudClient) releaseSlot() { <-c.callSlots }

// send sends one request and returns the body of the reply. A reply with a status other than 200 is returned
// as a statusError. Errors name the operation, except errors of the connection, which name the method and the
// target.
func (c *CloudClient) send(ctx context.Context, operation, method, target string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limits.CloudTimeout)
	defer cancel()
	response, err := c.client.Do(ctx, method, target, body)
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		return nil, &statusError{
			service: "cloud", operation: operation, status: response.Status, reason: errorReason(response.Body),
		}
	}
	return response.Body, nil
}

// errorReason returns the reason in the body of an error reply, or "" if there is none.
func errorReason(body []byte) string {
	var reply struct {
		Error string `cbor:"error"`
	}
	if protocol.Decode(body, &reply) != nil {
		return ""
	}
	return reply.Error
}
