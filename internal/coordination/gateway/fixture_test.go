package gateway

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/leader"
	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

const testNode = "controller-0"

// gatewayFixture is a gateway of a controller that does not lead. It listens on a real socket and uses a
// simulated state service.
type gatewayFixture struct {
	t       *testing.T
	state   *standin.StateService
	gateway *Gateway
	address string
	client  *transport.Client
}

// newGatewayFixture starts a gateway. The changes are applied to its settings.
func newGatewayFixture(t *testing.T, changes ...func(*config.Settings)) *gatewayFixture {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	f := &gatewayFixture{t: t, state: standin.NewStateService(), address: unusedAddress(t)}
	f.storeRecord(storage.KeyMachineTypes, storage.MachineTypes{MachineTypes: []protocol.MachineType{
		{Name: "g8", CPUs: 16, Accelerators: 2, MemoryGB: 128, Zones: []string{"a"}},
	}})
	stateAddress := unusedAddress(t)
	serve(t, f.state.Server(stateAddress, log))

	settings := &config.Settings{NodeName: testNode, Deployment: config.Deployment{
		Teams: []config.Team{{Name: "vision", MaxCPUs: 100, MaxGPUs: 4}, {Name: "tiny", MaxCPUs: 1}},
		State: config.StateLimits{RPS: 10_000, WriteRPS: 10_000, ValueKB: 4, TxnOps: 8},
	}}
	for _, change := range changes {
		change(settings)
	}
	store := storage.New(stateAddress, settings.Deployment.State)
	g := New(Options{
		Node:     testNode,
		Settings: settings,
		Store:    store,
		Reader:   store.NewBatchReader(1),
		Dispatcher: leader.NewDispatcher(leader.DispatcherOptions{
			Settings: settings, Options: config.DefaultOptions(), Store: store, Log: log,
		}),
		Peers:      noPeers(t),
		LeaderName: func() string { return "" },
		UserSlots:  limits.UserSlots,
		PollSlots:  limits.UserSlots,
		Log:        log,
	})
	f.gateway = g
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g.Start(ctx)
	for g.machineTypes.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	serve(t, transport.NewServer(transport.ServerOptions{Addr: f.address, MaxConns: 20, Handle: g.Handle, Log: log}))
	f.client = transport.NewClient(f.address, 1, limits.MaxBodyBytes)
	return f
}

// noPeers returns the peers of a deployment with a single controller.
func noPeers(t *testing.T) *peer.Peers {
	t.Helper()
	peers, err := peer.NewPeers(nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return peers
}

// unusedAddress returns a local address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// serve runs a server until the test ends. It returns once the server accepts connections.
func serve(t *testing.T, server *transport.Server) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go server.Run(ctx)
	for {
		conn, err := net.Dial("tcp", server.Addr())
		if err == nil {
			conn.Close()
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// storeRecord stores a record in the state service and returns the version of its key.
func (f *gatewayFixture) storeRecord(key string, record any) uint64 {
	f.t.Helper()
	return applyOperation(f.t, f.state, protocol.Operation{Put: key, Value: protocol.Encode(record)})
}

// applyOperation executes one write in the state service and returns the resulting revision.
func applyOperation(t *testing.T, state *standin.StateService, operation protocol.Operation) uint64 {
	t.Helper()
	status, reply := state.CompareAndSwap(protocol.Transaction{Operations: []protocol.Operation{operation}})
	if status != http.StatusOK {
		t.Fatalf("write %s: status %d", operation.Put, status)
	}
	return reply.Revision
}

// userRequest is a request of a user.
type userRequest struct {
	method, target string
	body           any // a []byte is sent as it is, nil as an empty body; other values are encoded as CBOR
}

func get(target string) userRequest { return userRequest{method: http.MethodGet, target: target} }

func post(target string, body any) userRequest {
	return userRequest{method: http.MethodPost, target: target, body: body}
}

// submit returns the request that submits a job.
func submit(spec map[string]any) userRequest { return post(jobsPath, spec) }

// userResponse is the response to a user request.
type userResponse struct {
	status     int
	state      protocol.JobState // of the job, or "" if the body contains none
	retryAfter int               // Retry-After header in seconds, or 0
}

// send sends a request and returns the response.
func (f *gatewayFixture) send(request userRequest) userResponse {
	f.t.Helper()
	var body []byte
	if raw, ok := request.body.([]byte); ok {
		body = raw
	} else if request.body != nil {
		body = protocol.Encode(request.body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	response, err := f.client.Do(ctx, request.method, request.target, body)
	if err != nil {
		f.t.Fatalf("%s %s: %v", request.method, request.target, err)
	}
	var job protocol.JobStatus
	if len(response.Body) > 0 {
		if err := protocol.Decode(response.Body, &job); err != nil {
			f.t.Fatal(err)
		}
	}
	return userResponse{status: response.Status, state: job.State, retryAfter: response.RetryAfter}
}

// expect sends a request and checks the status of the response and the job state in it.
func (f *gatewayFixture) expect(name string, request userRequest, status int, state protocol.JobState) {
	f.t.Helper()
	if got := f.send(request); got.status != status || got.state != state {
		f.t.Errorf("%s: got status %d, state %q; want status %d, state %q",
			name, got.status, got.state, status, state)
	}
}

// expectRetryLater sends a request and checks that the response is a 503 with a Retry-After header.
func (f *gatewayFixture) expectRetryLater(name string, request userRequest) {
	f.t.Helper()
	if got := f.send(request); got.status != http.StatusServiceUnavailable || got.retryAfter == 0 {
		f.t.Errorf("%s: got status %d, Retry-After %d; want status 503 with Retry-After",
			name, got.status, got.retryAfter)
	}
}

// jobSpec returns the submission of a job, with the field names of the protocol. The changes replace or add
// fields.
func jobSpec(id string, changes map[string]any) map[string]any {
	fields := map[string]any{
		"NameId": id, "Docket": "train", "Crew": "vision", "Shape": "sweep", "Urgency": "high", "Pieces": 2,
		"Vcpus": 8.0, "Accelerators": 1, "RamGb": 64.0, "Bundle": "img", "SizeGb": 6.2,
		"Together": false, "Scatter": false, "Lendable": true, "ReckonS": 240.0, "BookmarkS": 0, "StashS": 0,
	}
	maps.Copy(fields, changes)
	return fields
}
