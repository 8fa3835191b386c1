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

// gatewayFixture is a gateway without a leader, on real sockets, with a stand-in of the state
// service behind it.
type gatewayFixture struct {
	t       *testing.T
	state   *standin.StateService
	address string
	client  *transport.Client
}

// newGatewayFixture starts a gateway, with settings that the changes have been made to.
func newGatewayFixture(t *testing.T, changes ...func(*config.Settings)) *gatewayFixture {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	f := &gatewayFixture{t: t, state: standin.NewStateService(), address: freePort(t)}
	f.write(storage.KeyMachineTypes, storage.MachineTypes{MachineTypes: []protocol.MachineType{
		{Name: "g8", CPUs: 16, Accelerators: 2, MemoryGB: 128, Zones: []string{"a"}},
	}})
	stateAddress := freePort(t)
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
		Dispatcher: leader.NewDispatcher(leader.DispatcherOptions{
			Settings: settings, Options: config.DefaultOptions(), Store: store, Log: log,
		}),
		Peers:      noPeers(t),
		LeaderName: func() string { return "" },
		UserSlots:  limits.UserSlots,
		Log:        log,
	})
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

// noPeers returns the peers of a controller that is alone.
func noPeers(t *testing.T) *peer.Peers {
	t.Helper()
	peers, err := peer.Dial(nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return peers
}

// freePort returns an address that nobody listens on.
func freePort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// serve runs a server until the test ends. It returns when the server accepts connections.
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

// write stores a record in the state service and returns its version.
func (f *gatewayFixture) write(key string, record any) uint64 {
	f.t.Helper()
	return writeRecord(f.t, f.state, protocol.Operation{Put: key, Value: protocol.Encode(record)})
}

// writeRecord executes an operation in the state service and returns the revision.
func writeRecord(t *testing.T, state *standin.StateService, operation protocol.Operation) uint64 {
	t.Helper()
	status, reply := state.CompareAndSwap(protocol.Transaction{Operations: []protocol.Operation{operation}})
	if status != http.StatusOK {
		t.Fatalf("write %s: %d", operation.Put, status)
	}
	return reply.Revision
}

// userRequest is a request as a user sends it.
type userRequest struct {
	method, target string
	body           any // encoded as CBOR, unless it is a byte slice or nil
}

func get(target string) userRequest { return userRequest{method: http.MethodGet, target: target} }

func post(target string, body any) userRequest {
	return userRequest{method: http.MethodPost, target: target, body: body}
}

// submit is a submission of a job.
func submit(spec map[string]any) userRequest { return post(jobsPath, spec) }

// userAnswer is an answer as a user sees it.
type userAnswer struct {
	status     int
	state      protocol.JobState // of the job, if the body says one
	retryAfter int               // seconds
}

// send sends a request and returns the answer.
func (f *gatewayFixture) send(request userRequest) userAnswer {
	f.t.Helper()
	var body []byte
	if raw, ok := request.body.([]byte); ok {
		body = raw
	} else if request.body != nil {
		body = protocol.Encode(request.body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer, err := f.client.Do(ctx, request.method, request.target, body)
	if err != nil {
		f.t.Fatalf("%s %s: %v", request.method, request.target, err)
	}
	var job protocol.JobStatus
	if len(answer.Body) > 0 {
		if err := protocol.Decode(answer.Body, &job); err != nil {
			f.t.Fatal(err)
		}
	}
	return userAnswer{status: answer.Status, state: job.State, retryAfter: answer.RetryAfter}
}

// expect checks the status of an answer, and the state of the job in it.
func (f *gatewayFixture) expect(name string, request userRequest, status int, state protocol.JobState) {
	f.t.Helper()
	if got := f.send(request); got.status != status || got.state != state {
		f.t.Errorf("%s: got %d %q, expected %d %q", name, got.status, got.state, status, state)
	}
}

// expectRetryLater checks that the user is told when to send the request again.
func (f *gatewayFixture) expectRetryLater(name string, request userRequest) {
	f.t.Helper()
	if got := f.send(request); got.status != http.StatusServiceUnavailable || got.retryAfter == 0 {
		f.t.Errorf("%s: got %d, retry after %d", name, got.status, got.retryAfter)
	}
}

// spec is the submission of a job, by the protocol's names, with some fields changed.
func spec(id string, changes map[string]any) map[string]any {
	fields := map[string]any{
		"NameId": id, "Docket": "train", "Crew": "vision", "Shape": "sweep", "Urgency": "high", "Pieces": 2,
		"Vcpus": 8.0, "Accelerators": 1, "RamGb": 64.0, "Bundle": "img", "SizeGb": 6.2,
		"Together": false, "Scatter": false, "Lendable": true, "ReckonS": 240.0, "BookmarkS": 0, "StashS": 0,
	}
	maps.Copy(fields, changes)
	return fields
}
