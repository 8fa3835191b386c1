package leader

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

const testCloudRPS = 1000

// TestRentMachinesErrors checks that the error shows whether a rental request has failed for good (no
// capacity, malformed request) or has to be repeated.
func TestRentMachinesErrors(t *testing.T) {
	reason := func(text string) any { return map[string]string{"error": text} }
	for _, c := range []struct {
		name     string
		status   int
		body     any
		err      string
		sentinel error // expected to be wrapped by the error, or nil
	}{
		{"rented", http.StatusOK, protocol.RentalReply{Machines: []string{"m-1"}}, "", nil},
		{
			"no capacity", http.StatusServiceUnavailable, reason("no capacity"),
			"cloud: rent machines: request r-1: no capacity", errNoCapacity,
		},
		{
			"unavailable for another reason", http.StatusServiceUnavailable, reason("overloaded"),
			"cloud: rent machines: unexpected status 503: overloaded", nil,
		},
		{
			"rejected", http.StatusBadRequest, nil,
			"cloud: rent machines: request r-1: rejected as malformed", errRentalRejected,
		},
		{
			"rate limit exceeded", http.StatusTooManyRequests, nil,
			"cloud: rent machines: unexpected status 429", nil,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			cloud := NewCloudClient(startServer(t, alwaysRespond(c.status, c.body)), testCloudRPS, nil)
			defer cloud.client.CloseIdleConnections()
			request := protocol.RentalRequest{Name: "r-1", Count: 1}
			machines, err := cloud.RentMachines(context.Background(), request, always)
			if got := errorText(err); got != c.err {
				t.Errorf("error %q, want %q", got, c.err)
			}
			for _, sentinel := range []error{errNoCapacity, errRentalRejected} {
				if errors.Is(err, sentinel) != (c.sentinel == sentinel) {
					t.Errorf("error %q: want it to wrap %q: %v", err, sentinel, c.sentinel == sentinel)
				}
			}
			if rented := slices.Equal(machines, []string{"m-1"}); rented != (c.err == "") {
				t.Errorf("machines %q with error %v, want m-1 if and only if there is no error", machines, err)
			}
		})
	}
}

// always is the entitlement of a leader that is not replaced.
func always() bool { return true }

// TestReplacedLeaderSendsNoCloudRequest checks that rentals and deletions are not sent if the leader is
// replaced while they wait for a call slot.
func TestReplacedLeaderSendsNoCloudRequest(t *testing.T) {
	for name, send := range map[string]func(*CloudClient, func() bool) error{
		"deletion": func(c *CloudClient, isEntitled func() bool) error {
			return c.DeleteMachines(context.Background(), []string{"m-1"}, isEntitled)
		},
		"rental": func(c *CloudClient, isEntitled func() bool) error {
			_, err := c.RentMachines(context.Background(), protocol.RentalRequest{Name: "r-1", Count: 1}, isEntitled)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			address := startServer(t, func(_ *transport.Message, responder *transport.Responder) {
				requests.Add(1)
				responder.Respond(http.StatusOK, protocol.Encode(protocol.RentalReply{}), 0)
			})
			cloud := NewCloudClient(address, testCloudRPS, nil)
			defer cloud.client.CloseIdleConnections()
			for range cap(cloud.callSlots) {
				cloud.callSlots <- struct{}{}
			}
			var entitled atomic.Bool
			entitled.Store(true)
			done := make(chan error, 1)
			go func() { done <- send(cloud, entitled.Load) }()
			time.Sleep(20 * time.Millisecond) // the call waits for a slot
			entitled.Store(false)
			cloud.releaseSlot()
			if err := <-done; !errors.Is(err, errNotEntitled) || requests.Load() != 0 {
				t.Errorf("error %v after %d requests, want errNotEntitled and no request", err, requests.Load())
			}
		})
	}
}

// TestRentMachinesMalformedReply checks that a reply that cannot be decoded leaves the outcome of the
// request unknown, so that the request is repeated.
func TestRentMachinesMalformedReply(t *testing.T) {
	cloud := NewCloudClient(startServer(t, alwaysRespond(http.StatusOK, []int{1})), testCloudRPS, nil)
	defer cloud.client.CloseIdleConnections()
	_, err := cloud.RentMachines(context.Background(), protocol.RentalRequest{Name: "r-1", Count: 1}, always)
	if err == nil || errors.Is(err, errNoCapacity) || errors.Is(err, errRentalRejected) {
		t.Errorf("error %v, want one that leaves the outcome of the request unknown", err)
	}
}

// TestListMachinesReadsAllPages checks that after a truncated page the next request starts after the
// last name of that page.
func TestListMachinesReadsAllPages(t *testing.T) {
	pages := map[string]protocol.MachineList{
		"":    {Machines: []protocol.Machine{{Name: "m-1"}, {Name: "m 2"}}, Truncated: true},
		"m 2": {Machines: []protocol.Machine{{Name: "m-3"}}},
	}
	address := startServer(t, func(req *transport.Message, rsp *transport.Responder) {
		query, _ := url.ParseQuery(req.Query)
		page, ok := pages[query.Get("Since")]
		if !ok || req.Path != "/rentals" || query.Get("Limit") != fmt.Sprint(limits.CloudPageSize) {
			rsp.Respond(http.StatusBadRequest, nil, 0)
			return
		}
		rsp.Respond(http.StatusOK, protocol.Encode(page), 0)
	})
	cloud := NewCloudClient(address, testCloudRPS, nil)
	defer cloud.client.CloseIdleConnections()
	machines, err := cloud.ListMachines(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, m := range machines {
		names = append(names, m.Name)
	}
	if !slices.Equal(names, []string{"m-1", "m 2", "m-3"}) {
		t.Errorf("machines %q, want those of both pages", names)
	}
}

// TestListMachineTypesRejectsEmptyList checks that an empty list of machine types is an error.
func TestListMachineTypesRejectsEmptyList(t *testing.T) {
	cloud := NewCloudClient(startServer(t, alwaysRespond(http.StatusOK, protocol.MachineTypeList{})), testCloudRPS, nil)
	defer cloud.client.CloseIdleConnections()
	const want = "cloud: list machine types: empty list"
	if _, err := cloud.ListMachineTypes(context.Background()); errorText(err) != want {
		t.Errorf("error %v, want %s", err, want)
	}
}
