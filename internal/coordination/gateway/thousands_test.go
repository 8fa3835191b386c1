package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"runtime/pprof"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/leader"
	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// simulatedWorker is a worker's side of a connection: it sends a report and reads the answer later, so that
// thousands of them wait at once.
type simulatedWorker struct {
	conn         net.Conn
	decoder      *transport.Decoder
	machine      string
	sequence     uint64
	fencingToken uint64
	tasks        []protocol.TaskStatus
}

func (c *simulatedWorker) send(addr string) error {
	c.sequence++
	body := protocol.Encode(protocol.Heartbeat{Machine: c.machine, Address: "127.0.0.1:1", MachineType: "s", Zone: "a", Incarnation: 1, Sequence: c.sequence, FencingToken: c.fencingToken, Tasks: c.tasks})
	_, err := c.conn.Write(transport.AppendRequest(nil, "POST", "/v1/report", addr, body))
	return err
}

// receive reads the answer and does what it orders.
func (c *simulatedWorker) receive(buf []byte) (int, error) {
	for {
		m, err := c.decoder.Next()
		if err != nil {
			return 0, err
		}
		if m == nil {
			n, err := c.conn.Read(buf)
			if err != nil {
				return 0, err
			}
			c.decoder.Feed(buf[:n])
			continue
		}
		if m.Status != 200 {
			return m.Status, nil
		}
		var r protocol.HeartbeatReply
		if err := protocol.Decode(m.Body, &r); err != nil {
			return 0, err
		}
		c.fencingToken = r.FencingToken
		for _, o := range r.Commands {
			if o.Verb == protocol.CommandStart {
				c.tasks = append(c.tasks, protocol.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: protocol.TaskRunning})
			}
		}
		return 200, nil
	}
}

// runtimeMemoryBytes is what the runtime holds of memory.
func runtimeMemoryBytes() uint64 {
	s := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(s)
	return s[0].Value.Uint64() - s[1].Value.Uint64()
}

// TestThousandsOfWorkers: two thousand workers at one controller with a backlog of tens of thousands of
// tasks, all of them coming back at once after a crash of all controllers. Memory, goroutines and
// threads stay bounded, and all are served.
func TestThousandsOfWorkers(t *testing.T) {
	const machines, each, jobs, pieces, cpus = 2000, 50, 300, 150, 8
	const floodUsers, floodEach = 200, 100
	// Half of what controllers with as many sockets have so far.
	const memoryMB = 147
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(limits.HeapLimit(memoryMB)))
	defer debug.SetGCPercent(debug.SetGCPercent(limits.GCPercent))
	log := slog.New(slog.DiscardHandler)
	name := func(i int) string { return fmt.Sprintf("m-%06d", i) }
	typ := protocol.MachineType{Name: "s", CPUs: cpus, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 10, Zones: []string{"a"}}

	state := standin.NewStateService()
	write := func(key string, v any) uint64 {
		status, r := state.CompareAndSwap(protocol.Transaction{Operations: []protocol.Operation{{Put: key, Value: protocol.Encode(v)}}})
		if status != 200 {
			t.Fatalf("write %s: %d", key, status)
		}
		return r.Revision
	}
	write(storage.KeyMachineTypes, storage.MachineTypes{MachineTypes: []protocol.MachineType{typ}})
	for i := 0; i < machines; i += each {
		h, u := storage.Rental{MachineType: "s", Zone: "a", Count: each, Answered: true}, storage.RegistryPage{}
		for k := range each {
			h.Machines = append(h.Machines, name(i+k))
			u.Machines = append(u.Machines, storage.RegisteredMachine{Machine: name(i + k), Address: "127.0.0.1:1"})
		}
		write(storage.RentalKey(fmt.Sprintf("h-%d", i)), h)
		write(storage.RegistryPageKey(fmt.Sprintf("0-%d", i)), u)
	}
	for i := range jobs {
		id := fmt.Sprintf("job-%d", i)
		write(storage.OpenJobKey(id), storage.OpenJob{SubmittedAtMs: time.Now().UnixMilli(), Spec: protocol.Spec{ID: id, Class: "c", Team: "red", Shape: "sweep",
			Priority: "standard", Tasks: pieces, CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 30}})
	}
	stateAddr, cloudAddr := freePort(t), freePort(t)
	serve(t, state.Server(stateAddr, log))
	serve(t, transport.NewServer(transport.ServerOptions{Addr: cloudAddr, MaxConns: 100, Log: log, Handle: func(req *transport.Message, rsp *transport.Responder) {
		switch {
		case req.Path == "/machine_types":
			rsp.Respond(200, protocol.Encode(protocol.MachineTypeList{Types: []protocol.MachineType{typ}}), 0)
		case req.Path == "/rentals" && req.Method == "GET":
			q, _ := url.ParseQuery(req.Query)
			l := protocol.MachineList{}
			for i := 0; i < machines && len(l.Machines) < limits.CloudPageSize; i++ {
				if n := name(i); n > q.Get("Since") {
					l.Machines = append(l.Machines, protocol.Machine{Name: n, MachineType: "s", Zone: "a", State: protocol.MachineRunning, AgeS: 100})
				}
			}
			l.Truncated = len(l.Machines) == limits.CloudPageSize && l.Machines[len(l.Machines)-1].Name != name(machines-1)
			rsp.Respond(200, protocol.Encode(l), 0)
		case req.Path == "/rentals/delete":
			rsp.Respond(200, nil, 0)
		default:
			rsp.Respond(503, protocol.Encode(map[string]string{"error": "no capacity"}), 0)
		}
	}}))

	s := &config.Settings{NodeName: "rig-0", Facts: config.Facts{
		Teams: []config.Team{{Name: "red", CPUs: 100, CPUsMax: 1e6}}, Workers: config.Workers{ReportS: 5, LeaseS: 27, CancelS: 47},
		State: config.State{RPS: 1e5, WriteRPS: 1e5, ValueKB: 8, TxnOps: 8}, Cloud: config.Cloud{RPS: 100, ListLagS: 3},
		Machine: config.MachineLimits{CoreShare: 0.3, MemoryMB: memoryMB, MaxSockets: 2907}}}
	shares := limits.DivideSockets(s.Facts.Machine.MaxSockets, 4)
	if shares.MaxMachines < machines {
		t.Fatalf("the sockets carry only %d machines", shares.MaxMachines)
	}
	sockets := transport.NewSocketBudget(shares.Total, shares.Headroom)
	store := storage.New(stateAddr, s.Facts.State)
	peers, err := peer.Dial(nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	desk := leader.NewDispatcher(leader.DispatcherOptions{Settings: s, Options: config.DefaultOptions(), Store: store,
		Cloud: leader.NewCloud(cloudAddr, 100, nil), Sockets: sockets, Log: log})
	g := New(Options{Node: "rig-0", Store: store.ForUsers(), Dispatcher: desk, Peers: peers, LeaderName: func() string { return "" }, Settings: s, UserSlots: shares.UserSlots, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g.Start(ctx)
	addr := freePort(t)
	serve(t, transport.NewServer(transport.ServerOptions{Addr: addr, MaxConns: shares.Inbound, MaxMachines: shares.MachineConns, Sockets: sockets, Handle: g.Handle, Log: log}))

	lead := func(term uint64) (end func()) {
		stamp := write(storage.KeyLeader, storage.LeaderRecord{Node: "rig-0", Term: term})
		tctx, over := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			desk.RunTerm(tctx, election.NewLeadership(term, stamp, time.Now().Add(time.Hour)))
		}()
		return func() { over(); <-done }
	}
	dial := func(c *simulatedWorker) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c.conn, c.decoder = conn, transport.NewResponseDecoder(limits.MaxBodyBytes)
	}
	callers := make([]*simulatedWorker, machines)
	for i := range callers {
		callers[i] = &simulatedWorker{machine: name(i)}
		dial(callers[i])
	}
	t.Cleanup(func() {
		for _, c := range callers {
			c.conn.Close()
		}
	})
	buf := make([]byte, 64<<10)
	base, goroutines := runtime.NumGoroutine(), 0
	// round lets all workers report at once and returns how many were answered 200.
	round := func() int {
		ok := 0
		for _, c := range callers {
			if err := c.send(addr); err != nil {
				dial(c)
				if err := c.send(addr); err != nil {
					t.Fatal(err)
				}
			}
		}
		goroutines = max(goroutines, runtime.NumGoroutine()-base)
		for _, c := range callers {
			status, err := c.receive(buf)
			var ne net.Error
			switch {
			case errors.As(err, &ne) && ne.Timeout():
				t.Fatal(err)
			case err != nil:
				dial(c)
			case status == 200:
				ok++
			}
		}
		return ok
	}
	settle := func(term uint64, done func(served int) bool) {
		until := time.Now().Add(2 * time.Minute)
		for n := round(); !done(n); n = round() {
			if time.Now().After(until) {
				t.Fatalf("term %d: %d machines served at last", term, n)
			}
		}
	}
	tasks := func() (n int) {
		for _, c := range callers {
			n += len(c.tasks)
		}
		return n
	}
	most := func(n int) bool { return n > machines*95/100 } // some few may be given up, as nothing answers at their address
	end := lead(1)
	settle(1, func(n int) bool { return most(n) && tasks() > machines*cpus/2 })
	end()
	// All controllers are gone, and with them all connections; the new one gets them at once.
	for _, c := range callers {
		c.conn.Close()
		dial(c)
	}
	// Users come in a flood at the same time. What can't be taken is refused at once, and the
	// memory is that of the settings at most.
	var taken, refused atomic.Int64
	var peak atomic.Uint64
	flooded, stop := context.WithCancel(ctx)
	var users sync.WaitGroup
	for u := range floodUsers {
		users.Go(func() {
			call := transport.NewClient(addr, 1, limits.MaxBodyBytes)
			defer call.Close()
			for i := 0; flooded.Err() == nil && i < floodEach; i++ {
				body := protocol.Encode(submission(fmt.Sprintf("job-%d", 100_000+u*floodEach+i), map[string]any{"Crew": "red", "Vcpus": 1, "Accelerators": 0, "RamGb": 1, "Rigkinds": nil}))
				cctx, cancel := context.WithTimeout(ctx, limits.SubmitTimeout+time.Second)
				m, err := call.Do(cctx, "POST", "/v2/runs", body)
				cancel()
				switch {
				case err != nil: // no connection is free
				case m.Status == 201:
					taken.Add(1)
				case m.Status == 503 && m.RetryAfter > 0:
					refused.Add(1)
				default:
					t.Errorf("flood: %d, retry after %d", m.Status, m.RetryAfter)
				}
				peak.Store(max(peak.Load(), runtimeMemoryBytes()))
			}
		})
	}
	end = lead(2)
	settle(2, most)
	stop()
	users.Wait()
	if taken.Load() == 0 {
		t.Error("nothing of the flood was taken")
	}
	if bound := uint64(s.Facts.Machine.MemoryMB * (1 << 20)); peak.Load() > bound {
		t.Errorf("%d bytes held at the most, the settings allow %d", peak.Load(), bound)
	}
	t.Logf("flood: %d taken, %d refused, %d MB held at the most", taken.Load(), refused.Load(), peak.Load()>>20)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	if bound := uint64(40<<20 + machines*limits.MaxIdleConnBytes); m.HeapAlloc > bound {
		t.Errorf("heap of %d bytes, want at most %d", m.HeapAlloc, bound)
	}
	// One for each direct command or probe at most, and those of fixed number.
	if bound := machines + limits.UserSlots + limits.MaxCloudCalls + 200; goroutines > bound {
		t.Errorf("%d goroutines, want at most %d", goroutines, bound)
	}
	if n := pprof.Lookup("threadcreate").Count(); n > 200 {
		t.Errorf("%d threads", n)
	}
	t.Logf("heap %d MB, %d goroutines, %d threads, %d tasks", m.HeapAlloc>>20, goroutines, pprof.Lookup("threadcreate").Count(), tasks())
	end()
}
