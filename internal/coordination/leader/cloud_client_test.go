package leader

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"testing"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

const testCloudRPS = 1000

// TestRentMachinesErrors: the caller can tell the answers of the cloud apart that end a rental request.
func TestRentMachinesErrors(t *testing.T) {
	reason := func(text string) any { return map[string]string{"error": text} }
	for _, c := range []struct {
		name     string
		status   int
		body     any
		err      string
		sentinel error // that the error wraps, or nil
	}{
		{"rented", http.StatusOK, protocol.RentalReply{Machines: []string{"m-1"}}, "", nil},
		{
			"no capacity", http.StatusServiceUnavailable, reason("no capacity"),
			"rental r-1: cloud: no capacity", errNoCapacity,
		},
		{
			"unavailable for another reason", http.StatusServiceUnavailable, reason("overloaded"),
			"cloud: rental: status 503: overloaded", nil,
		},
		{"rejected", http.StatusBadRequest, nil, "rental r-1: cloud: request rejected", errRentalRejected},
		{"over the rate", http.StatusTooManyRequests, nil, "cloud: rental: status 429", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			cloud := NewCloudClient(startServer(t, alwaysRespond(c.status, c.body)), testCloudRPS, nil)
			defer cloud.client.Close()
			machines, err := cloud.RentMachines(context.Background(), protocol.RentalRequest{Name: "r-1", Count: 1})
			if got := errorText(err); got != c.err {
				t.Errorf("error %q, expected %q", got, c.err)
			}
			for _, sentinel := range []error{errNoCapacity, errRentalRejected} {
				if errors.Is(err, sentinel) != (c.sentinel == sentinel) {
					t.Errorf("error %q wraps %q: %v", err, sentinel, errors.Is(err, sentinel))
				}
			}
			if rented := slices.Equal(machines, []string{"m-1"}); rented != (c.err == "") {
				t.Errorf("machines %q", machines)
			}
		})
	}
}

// TestRentMachinesMalformedReply: an answer that cannot be read does not end a rental request.
func TestRentMachinesMalformedReply(t *testing.T) {
	cloud := NewCloudClient(startServer(t, alwaysRespond(http.StatusOK, []int{1})), testCloudRPS, nil)
	defer cloud.client.Close()
	_, err := cloud.RentMachines(context.Background(), protocol.RentalRequest{Name: "r-1", Count: 1})
	if err == nil || errors.Is(err, errNoCapacity) || errors.Is(err, errRentalRejected) {
		t.Errorf("error %v", err)
	}
}

// TestListMachinesReadsAllPages: the list goes on after the last name of a page that is truncated.
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
	defer cloud.client.Close()
	machines, err := cloud.ListMachines(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, m := range machines {
		names = append(names, m.Name)
	}
	if !slices.Equal(names, []string{"m-1", "m 2", "m-3"}) {
		t.Errorf("machines %q", names)
	}
}

// TestListMachineTypesRejectsEmptyList: a list without machine types is an error.
func TestListMachineTypesRejectsEmptyList(t *testing.T) {
	cloud := NewCloudClient(startServer(t, alwaysRespond(http.StatusOK, protocol.MachineTypeList{})), testCloudRPS, nil)
	defer cloud.client.Close()
	if _, err := cloud.ListMachineTypes(context.Background()); errorText(err) != "cloud: no machine types" {
		t.Errorf("error %v", err)
	}
}
