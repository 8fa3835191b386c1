package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/leader"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// Size of the load test.
const (
	loadWorkers        = 2000
	workersPerRental   = 50
	loadJobs           = 300
	tasksPerJob        = 150
	cpusPerWorker      = 8
	loadMemoryMB       = 147 // half the memory of deployed controllers with as many sockets
	loadMaxSockets     = 2907
	unreachableAddress = "127.0.0.1:1" // the address of all workers, at which nothing listens
)

// loadFixture is a controller under load and its workers. The workers are connected to the controller's
// gateway by real sockets, and startTerm makes the controller the leader.
type loadFixture struct {
	t            *testing.T
	ctx          context.Context
	settings     *config.Settings
	socketShares limits.SocketShares
	state        *standin.StateService
	dispatcher   *leader.Dispatcher
	address      string // of the gateway
	workers      []*simulatedWorker
	readBuffer   []byte

	baseGoroutines  int // number before the first round of heartbeats
	extraGoroutines int // highest number above baseGoroutines in any round
}

// newLoadFixture starts a controller with a backlog of jobs and connects all workers to it. The controller
// is not the leader yet.
func newLoadFixture(t *testing.T) *loadFixture {
	t.Helper()
	settings := loadSettings()
	f := &loadFixture{
		t:            t,
		settings:     settings,
		socketShares: limits.DivideSockets(settings.Deployment.MachineLimits.MaxSockets, 4),
		state:        standin.NewStateService(),
		address:      unusedAddress(t),
		readBuffer:   make([]byte, 64<<10),
	}
	if f.socketShares.MaxMachines < loadWorkers {
		t.Fatalf("the sockets suffice for %d machines, want at least %d", f.socketShares.MaxMachines, loadWorkers)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f.ctx = ctx
	f.storeInitialRecords()
	f.startController()
	for i := range loadWorkers {
		w := &simulatedWorker{machine: machineName(i)}
		f.connect(w)
		f.workers = append(f.workers, w)
	}
	t.Cleanup(func() {
		for _, w := range f.workers {
			w.conn.Close()
		}
	})
	f.baseGoroutines = runtime.NumGoroutine()
	return f
}

func loadSettings() *config.Settings {
	return &config.Settings{NodeName: testNode, Deployment: config.Deployment{
		Teams:         []config.Team{{Name: "red", GuaranteedCPUs: 100, MaxCPUs: 1e6}},
		Workers:       config.WorkerTimes{HeartbeatIntervalS: 5, LeaseS: 27, CancelWithinS: 47},
		State:         config.StateLimits{RPS: 1e5, WriteRPS: 1e5, ValueKB: 8, TxnOps: 8},
		Cloud:         config.CloudLimits{RPS: 100, ListLagS: 3},
		MachineLimits: config.MachineLimits{CoreShare: 0.3, MemoryMB: loadMemoryMB, MaxSockets: loadMaxSockets},
	}}
}

func machineName(i int) string { return fmt.Sprintf("m-%06d", i) }

func loadMachineType() protocol.MachineType {
	return protocol.MachineType{
		Name: "s", CPUs: cpusPerWorker, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 1,
		Price: 1, SpotPrice: 1, BootS: 10, Zones: []string{"a"},
	}
}

// storeRecord stores a record in the state service and returns the version of its key.
func (f *loadFixture) storeRecord(key string, record any) uint64 {
	f.t.Helper()
	return applyOperation(f.t, f.state, protocol.Operation{Put: key, Value: protocol.Encode(record)})
}

// storeInitialRecords stores the machine types, the rentals, the registry of machines and the open jobs.
func (f *loadFixture) storeInitialRecords() {
	f.t.Helper()
	f.storeRecord(storage.KeyMachineTypes,
		storage.MachineTypes{MachineTypes: []protocol.MachineType{loadMachineType()}})
	for i := 0; i < loadWorkers; i += workersPerRental {
		rental := storage.Rental{MachineType: "s", Zone: "a", Count: workersPerRental, Answered: true}
		var page storage.RegistryPage
		for k := range workersPerRental {
			name := machineName(i + k)
			rental.Machines = append(rental.Machines, name)
			page.Machines = append(page.Machines, storage.RegisteredMachine{Machine: name, Address: unreachableAddress})
		}
		f.storeRecord(storage.RentalKey(fmt.Sprintf("h-%d", i)), rental)
		f.storeRecord(storage.RegistryPageKey(fmt.Sprintf("0-%d", i)), page)
	}
	for i := range loadJobs {
		id := fmt.Sprintf("job-%d", i)
		f.storeRecord(storage.OpenJobKey(id), storage.OpenJob{
			SubmittedAtMs: time.Now().UnixMilli(),
			Spec: protocol.Spec{
				ID: id, Class: "c", Team: "red", Shape: "sweep", Priority: "standard",
				Tasks: tasksPerJob, CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 30,
			},
		})
	}
}

// startController starts the controller and the simulated state service and cloud that it uses.
func (f *loadFixture) startController() {
	f.t.Helper()
	log := slog.New(slog.DiscardHandler)
	stateAddress, cloudAddress := unusedAddress(f.t), unusedAddress(f.t)
	serve(f.t, f.state.Server(stateAddress, log))
	serve(f.t, transport.NewServer(transport.ServerOptions{
		Addr: cloudAddress, MaxConns: 100, Handle: handleCloudRequest, Log: log,
	}))

	sockets := transport.NewSocketBudget(f.socketShares.MaxConns, f.socketShares.InboundHeadroom)
	store := storage.New(stateAddress, f.settings.Deployment.State)
	f.dispatcher = leader.NewDispatcher(leader.DispatcherOptions{
		Settings: f.settings,
		Options:  config.DefaultOptions(),
		Store:    store,
		Cloud:    leader.NewCloudClient(cloudAddress, 100, nil),
		Sockets:  sockets,
		Log:      log,
	})
	g := New(Options{
		Node:       testNode,
		Settings:   f.settings,
		Store:      store.ForUserRequests(),
		Reader:     store.NewBatchReader(1),
		Dispatcher: f.dispatcher,
		Peers:      noPeers(f.t),
		LeaderName: func() string { return "" },
		UserSlots:  f.socketShares.UserSlots,
		PollSlots:  f.socketShares.MaxInboundConns,
		Log:        log,
	})
	g.Start(f.ctx)
	serve(f.t, transport.NewServer(transport.ServerOptions{
		Addr:            f.address,
		MaxConns:        f.socketShares.MaxInboundConns,
		MaxMachineConns: f.socketShares.MaxMachineConns,
		Sockets:         sockets,
		Handle:          g.Handle,
		Log:             log,
	}))
}

// handleCloudRequest simulates a cloud in which the machines of all workers run and that has no capacity
// for more.
func handleCloudRequest(req *transport.Message, rsp *transport.Responder) {
	switch {
	case req.Path == "/machine_types":
		types := protocol.MachineTypeList{Types: []protocol.MachineType{loadMachineType()}}
		rsp.Respond(http.StatusOK, protocol.Encode(types), 0)
	case req.Path == "/rentals" && req.Method == http.MethodGet:
		query, _ := url.ParseQuery(req.Query)
		rsp.Respond(http.StatusOK, protocol.Encode(machineListPage(query.Get("Since"))), 0)
	case req.Path == "/rentals/delete":
		rsp.Respond(http.StatusOK, nil, 0)
	default:
		body := protocol.Encode(map[string]string{"error": "no capacity"})
		rsp.Respond(http.StatusServiceUnavailable, body, 0)
	}
}

// machineListPage returns the page of the cloud's machine list that begins after the given machine name.
func machineListPage(since string) protocol.MachineList {
	var list protocol.MachineList
	for i := 0; i < loadWorkers && len(list.Machines) < limits.CloudPageSize; i++ {
		if name := machineName(i); name > since {
			list.Machines = append(list.Machines, protocol.Machine{
				Name: name, MachineType: "s", Zone: "a", State: protocol.MachineRunning, AgeS: 100,
			})
		}
	}
	full := len(list.Machines) == limits.CloudPageSize
	list.Truncated = full && list.Machines[len(list.Machines)-1].Name != machineName(loadWorkers-1)
	return list
}

// startTerm starts a term. The function that it returns ends the term and waits until it has ended.
func (f *loadFixture) startTerm(term uint64) (end func()) {
	f.t.Helper()
	version := f.storeRecord(storage.KeyLeader, storage.LeaderRecord{Node: testNode, Term: term})
	ctx, cancel := context.WithCancel(f.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.dispatcher.RunTerm(ctx, election.NewLeadership(term, version, time.Now().Add(time.Hour)))
	}()
	return func() { cancel(); <-done }
}

// connect opens a connection from a worker to the gateway.
func (f *loadFixture) connect(w *simulatedWorker) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	w.conn, w.decoder = conn, transport.NewResponseDecoder(limits.MaxBodyBytes)
}

// reconnectAll closes the connection of each worker and opens a new one at once.
func (f *loadFixture) reconnectAll() {
	f.t.Helper()
	for _, w := range f.workers {
		w.conn.Close()
		f.connect(w)
	}
}

// heartbeatRound makes all workers send a heartbeat, then reads the replies, and returns how many have
// status 200. Workers whose connection has failed are connected again.
func (f *loadFixture) heartbeatRound() (served int) {
	f.t.Helper()
	for _, w := range f.workers {
		if err := w.sendHeartbeat(f.address); err != nil {
			f.connect(w)
			if err := w.sendHeartbeat(f.address); err != nil {
				f.t.Fatal(err)
			}
		}
	}
	f.extraGoroutines = max(f.extraGoroutines, runtime.NumGoroutine()-f.baseGoroutines)
	for _, w := range f.workers {
		status, err := w.receiveReply(f.readBuffer)
		var netErr net.Error
		switch {
		case errors.As(err, &netErr) && netErr.Timeout():
			f.t.Fatal(err)
		case err != nil:
			f.connect(w)
		case status == http.StatusOK:
			served++
		}
	}
	return served
}

// repeatHeartbeatsUntil repeats rounds of heartbeats until done returns true. done receives the number of
// heartbeats that were answered with 200 in the last round.
func (f *loadFixture) repeatHeartbeatsUntil(term uint64, done func(served int) bool) {
	f.t.Helper()
	deadline := time.Now().Add(2 * time.Minute)
	for served := f.heartbeatRound(); !done(served); served = f.heartbeatRound() {
		if time.Now().After(deadline) {
			f.t.Fatalf("term %d: timeout; %d heartbeats were answered with 200 in the last round", term, served)
		}
	}
}

// hasServedEnough reports whether enough heartbeats were answered with 200. A few may be missing: the leader
// may return some of their machines, because nothing listens at their address.
func hasServedEnough(served int) bool { return served > loadWorkers*95/100 }

// startedTaskCount returns how many tasks the workers were instructed to start.
func (f *loadFixture) startedTaskCount() (n int) {
	for _, w := range f.workers {
		n += len(w.tasks)
	}
	return n
}
