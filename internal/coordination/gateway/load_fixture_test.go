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

// The size of the load.
const (
	loadWorkers        = 2000
	workersPerRental   = 50
	loadJobs           = 300
	tasksPerJob        = 150
	cpusPerWorker      = 8
	loadMemoryMB       = 147 // half of what controllers with as many sockets have so far
	loadMaxSockets     = 2907
	unreachableAddress = "127.0.0.1:1" // of all workers: nothing answers there
)

// loadFixture is a controller under load: a gateway with a leader, on real sockets, and the workers.
type loadFixture struct {
	t          *testing.T
	ctx        context.Context
	settings   *config.Settings
	shares     limits.SocketShares
	state      *standin.StateService
	dispatcher *leader.Dispatcher
	address    string // of the gateway
	workers    []*simulatedWorker
	readBuffer []byte

	baseGoroutines  int // before the first round
	extraGoroutines int // most that were there in a round beyond these
}

// newLoadFixture starts a controller with a backlog of jobs, and connects all workers to it.
func newLoadFixture(t *testing.T) *loadFixture {
	t.Helper()
	settings := loadSettings()
	f := &loadFixture{
		t:          t,
		settings:   settings,
		shares:     limits.DivideSockets(settings.Facts.Machine.MaxSockets, 4),
		state:      standin.NewStateService(),
		address:    freePort(t),
		readBuffer: make([]byte, 64<<10),
	}
	if f.shares.MaxMachines < loadWorkers {
		t.Fatalf("the sockets carry only %d machines", f.shares.MaxMachines)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f.ctx = ctx
	f.writeRecords()
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
	return &config.Settings{NodeName: testNode, Facts: config.Facts{
		Teams:   []config.Team{{Name: "red", CPUs: 100, CPUsMax: 1e6}},
		Workers: config.Workers{ReportS: 5, LeaseS: 27, CancelS: 47},
		State:   config.State{RPS: 1e5, WriteRPS: 1e5, ValueKB: 8, TxnOps: 8},
		Cloud:   config.Cloud{RPS: 100, ListLagS: 3},
		Machine: config.MachineLimits{CoreShare: 0.3, MemoryMB: loadMemoryMB, MaxSockets: loadMaxSockets},
	}}
}

func machineName(i int) string { return fmt.Sprintf("m-%06d", i) }

func loadMachineType() protocol.MachineType {
	return protocol.MachineType{
		Name: "s", CPUs: cpusPerWorker, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 1,
		Price: 1, SpotPrice: 1, BootS: 10, Zones: []string{"a"},
	}
}

// write stores a record in the state service and returns its version.
func (f *loadFixture) write(key string, record any) uint64 {
	f.t.Helper()
	return writeRecord(f.t, f.state, protocol.Operation{Put: key, Value: protocol.Encode(record)})
}

// writeRecords stores the machine types, the rented and registered machines and the open jobs.
func (f *loadFixture) writeRecords() {
	f.t.Helper()
	f.write(storage.KeyMachineTypes, storage.MachineTypes{MachineTypes: []protocol.MachineType{loadMachineType()}})
	for i := 0; i < loadWorkers; i += workersPerRental {
		rental := storage.Rental{MachineType: "s", Zone: "a", Count: workersPerRental, Answered: true}
		var page storage.RegistryPage
		for k := range workersPerRental {
			name := machineName(i + k)
			rental.Machines = append(rental.Machines, name)
			page.Machines = append(page.Machines, storage.RegisteredMachine{Machine: name, Address: unreachableAddress})
		}
		f.write(storage.RentalKey(fmt.Sprintf("h-%d", i)), rental)
		f.write(storage.RegistryPageKey(fmt.Sprintf("0-%d", i)), page)
	}
	for i := range loadJobs {
		id := fmt.Sprintf("job-%d", i)
		f.write(storage.OpenJobKey(id), storage.OpenJob{
			SubmittedAtMs: time.Now().UnixMilli(),
			Spec: protocol.Spec{
				ID: id, Class: "c", Team: "red", Shape: "sweep", Priority: "standard",
				Tasks: tasksPerJob, CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 30,
			},
		})
	}
}

// startController starts the controller, and the state service and the cloud behind it.
func (f *loadFixture) startController() {
	f.t.Helper()
	log := slog.New(slog.DiscardHandler)
	stateAddress, cloudAddress := freePort(f.t), freePort(f.t)
	serve(f.t, f.state.Server(stateAddress, log))
	serve(f.t, transport.NewServer(transport.ServerOptions{
		Addr: cloudAddress, MaxConns: 100, Handle: handleCloudRequest, Log: log,
	}))

	sockets := transport.NewSocketBudget(f.shares.MaxConns, f.shares.InboundHeadroom)
	store := storage.New(stateAddress, f.settings.Facts.State)
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
		Store:      store.ForUsers(),
		Dispatcher: f.dispatcher,
		Peers:      noPeers(f.t),
		LeaderName: func() string { return "" },
		UserSlots:  f.shares.UserSlots,
		Log:        log,
	})
	g.Start(f.ctx)
	serve(f.t, transport.NewServer(transport.ServerOptions{
		Addr:        f.address,
		MaxConns:    f.shares.MaxInboundConns,
		MaxMachines: f.shares.MaxMachineConns,
		Sockets:     sockets,
		Handle:      g.Handle,
		Log:         log,
	}))
}

// handleCloudRequest plays a cloud that has all the workers' machines and no capacity for more.
func handleCloudRequest(req *transport.Message, rsp *transport.Responder) {
	switch {
	case req.Path == "/machine_types":
		types := protocol.MachineTypeList{Types: []protocol.MachineType{loadMachineType()}}
		rsp.Respond(http.StatusOK, protocol.Encode(types), 0)
	case req.Path == "/rentals" && req.Method == http.MethodGet:
		query, _ := url.ParseQuery(req.Query)
		rsp.Respond(http.StatusOK, protocol.Encode(machinesAfter(query.Get("Since"))), 0)
	case req.Path == "/rentals/delete":
		rsp.Respond(http.StatusOK, nil, 0)
	default:
		body := protocol.Encode(map[string]string{"error": "no capacity"})
		rsp.Respond(http.StatusServiceUnavailable, body, 0)
	}
}

// machinesAfter is the page of the cloud's list that follows a machine's name.
func machinesAfter(since string) protocol.MachineList {
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

// lead begins a term, and returns a function that ends it and waits for its end.
func (f *loadFixture) lead(term uint64) (end func()) {
	f.t.Helper()
	version := f.write(storage.KeyLeader, storage.LeaderRecord{Node: testNode, Term: term})
	ctx, cancel := context.WithCancel(f.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.dispatcher.RunTerm(ctx, election.NewLeadership(term, version, time.Now().Add(time.Hour)))
	}()
	return func() { cancel(); <-done }
}

// connect connects a worker to the gateway.
func (f *loadFixture) connect(w *simulatedWorker) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	w.conn, w.decoder = conn, transport.NewResponseDecoder(limits.MaxBodyBytes)
}

// reconnectAll ends the connections of all workers and makes new ones at once.
func (f *loadFixture) reconnectAll() {
	f.t.Helper()
	for _, w := range f.workers {
		w.conn.Close()
		f.connect(w)
	}
}

// heartbeatRound makes all workers send a heartbeat at once and returns how many were answered 200.
func (f *loadFixture) heartbeatRound() (served int) {
	f.t.Helper()
	for _, w := range f.workers {
		if err := w.send(f.address); err != nil {
			f.connect(w)
			if err := w.send(f.address); err != nil {
				f.t.Fatal(err)
			}
		}
	}
	f.extraGoroutines = max(f.extraGoroutines, runtime.NumGoroutine()-f.baseGoroutines)
	for _, w := range f.workers {
		status, err := w.receive(f.readBuffer)
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

// heartbeatsUntil repeats rounds of heartbeats until done, which gets the number of workers served
// in the last one.
func (f *loadFixture) heartbeatsUntil(term uint64, done func(served int) bool) {
	f.t.Helper()
	deadline := time.Now().Add(2 * time.Minute)
	for served := f.heartbeatRound(); !done(served); served = f.heartbeatRound() {
		if time.Now().After(deadline) {
			f.t.Fatalf("term %d: %d machines served in the last round", term, served)
		}
	}
}

// mostServed reports whether a number of workers is enough: a few may be given up, as nothing
// answers at their address.
func mostServed(served int) bool { return served > loadWorkers*95/100 }

// startedTasks is how many tasks the workers were told to start.
func (f *loadFixture) startedTasks() (n int) {
	for _, w := range f.workers {
		n += len(w.tasks)
	}
	return n
}
