package leader

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"golang.org/x/time/rate"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// noCapacityReason is the reason that the cloud gives when it has no machines of the requested kind.
const noCapacityReason = "no capacity"

// CloudClient calls the cloud within its request rate. Only the leader calls it, but two terms may overlap
// for a moment, so it uses a little less than the whole rate. It is safe for concurrent use.
type CloudClient struct {
	client    *transport.Client
	limiter   *rate.Limiter
	callSlots chan struct{} // bounds the calls in flight
}

// NewCloudClient returns a client of the cloud at an address, which allows rps requests per second. A nil
// dialer dials TCP.
func NewCloudClient(address string, rps float64, dialer transport.Dialer) *CloudClient {
	return &CloudClient{
		client:    transport.NewClient(address, 2, limits.MaxUpstreamBytes).WithDialer(dialer),
		limiter:   rate.NewLimiter(rate.Limit(rps*limits.CloudRateShare), max(1, int(rps))),
		callSlots: make(chan struct{}, limits.MaxCloudCalls),
	}
}

// ListMachineTypes reads the machine types that the cloud offers. There is at least one.
func (c *CloudClient) ListMachineTypes(ctx context.Context) ([]protocol.MachineType, error) {
	body, err := c.call(ctx, "types", http.MethodGet, "/machine_types", nil)
	if err != nil {
		return nil, err
	}
	var list protocol.MachineTypeList
	if err := protocol.Decode(body, &list); err != nil {
		return nil, fmt.Errorf("cloud: types: %w", err)
	}
	if len(list.Types) == 0 {
		return nil, errors.New("cloud: no machine types")
	}
	return list.Types, nil
}

// RentMachines sends a rental request and returns the names of the machines. A request that is repeated
// with the same name rents only once. The errors that wrap errNoCapacity or errRentalRejected are
// final; with any other the request may have been carried out, or may still be.
func (c *CloudClient) RentMachines(ctx context.Context, request protocol.RentalRequest) ([]string, error) {
	body, err := c.call(ctx, "rental", http.MethodPost, "/rentals", protocol.Encode(request))
	var unexpected *statusError
	if errors.As(err, &unexpected) {
		switch {
		case unexpected.status == http.StatusServiceUnavailable && unexpected.reason == noCapacityReason:
			return nil, fmt.Errorf("rental %s: %w", request.Name, errNoCapacity)
		case unexpected.status == http.StatusBadRequest:
			return nil, fmt.Errorf("rental %s: %w", request.Name, errRentalRejected)
		}
	}
	if err != nil {
		return nil, err
	}
	var reply protocol.RentalReply
	if err := protocol.Decode(body, &reply); err != nil {
		return nil, fmt.Errorf("cloud: rental: %w", err)
	}
	return reply.Machines, nil
}

// DeleteMachines returns machines to the cloud. It is idempotent.
func (c *CloudClient) DeleteMachines(ctx context.Context, machines []string) error {
	body := protocol.Encode(protocol.DeleteRequest{Machines: machines})
	_, err := c.call(ctx, "delete", http.MethodPost, "/rentals/delete", body)
	return err
}

// ListMachines reads the list of all machines, page by page.
func (c *CloudClient) ListMachines(ctx context.Context) ([]protocol.Machine, error) {
	var machines []protocol.Machine
	since := ""
	for {
		target := "/rentals?Limit=" + strconv.Itoa(limits.CloudPageSize)
		if since != "" {
			target += "&Since=" + url.QueryEscape(since)
		}
		body, err := c.call(ctx, "list", http.MethodGet, target, nil)
		if err != nil {
			return nil, err
		}
		var page protocol.MachineList
		if err := protocol.Decode(body, &page); err != nil {
			return nil, fmt.Errorf("cloud: list: %w", err)
		}
		machines = append(machines, page.Machines...)
		if !page.Truncated || len(page.Machines) == 0 {
			return machines, nil
		}
		since = page.Machines[len(page.Machines)-1].Name
	}
}

// call sends one request, named for errors, and returns the body of the answer. A status other than
// 200 is a statusError.
func (c *CloudClient) call(ctx context.Context, operation, method, target string, body []byte) ([]byte, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("cloud: rate: %w", err)
	}
	select {
	case c.callSlots <- struct{}{}:
		defer func() { <-c.callSlots }()
	case <-ctx.Done():
		return nil, fmt.Errorf("cloud: %w", ctx.Err())
	}
	ctx, cancel := context.WithTimeout(ctx, limits.CloudTimeout)
	defer cancel()
	answer, err := c.client.Do(ctx, method, target, body)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, &statusError{
			service: "cloud", operation: operation, status: answer.Status, reason: errorReason(answer.Body),
		}
	}
	return answer.Body, nil
}

// errorReason reads the reason out of the body of a failed request, or returns "".
func errorReason(body []byte) string {
	var reply struct {
		Error string `cbor:"error"`
	}
	if protocol.Decode(body, &reply) != nil {
		return ""
	}
	return reply.Error
}
