package gateway

import (
	"context"
	"io"
	"log/slog"
	"net"
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

// gatewayFixture is a gateway without a leader, on real sockets, with a stand-in of the state service behind it.
type gatewayFixture struct {
	t      *testing.T
	state  *standin.StateService
	addr   string
	client *transport.Client
}

func freePort(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func serve(t *testing.T, s *transport.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
	for {
		conn, err := net.Dial("tcp", s.Addr())
		if err == nil {
			conn.Close()
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// newGatewayFixture starts a gateway, with settings changed before it begins.
func newGatewayFixture(t *testing.T, change ...func(*config.Settings)) *gatewayFixture {
	log := slog.New(slog.DiscardHandler)
	f := &gatewayFixture{t: t, state: standin.NewStateService(), addr: freePort(t)}
	types := storage.MachineTypes{MachineTypes: []protocol.MachineType{{Name: "g8", CPUs: 16, Accelerators: 2, MemoryGB: 128, Zones: []string{"a"}}}}
	f.state.CompareAndSwap(protocol.Transaction{Operations: []protocol.Operation{{Put: storage.KeyMachineTypes, Value: protocol.Encode(types)}}})
	back := freePort(t)
	serve(t, f.state.Server(back, log))
	s := &config.Settings{NodeName: "rig-0", Facts: config.Facts{
		Teams: []config.Team{{Name: "vision", CPUsMax: 100, GPUsMax: 4}, {Name: "tiny", CPUsMax: 1}},
		State: config.State{RPS: 10_000, WriteRPS: 10_000, ValueKB: 4, TxnOps: 8}}}
	for _, c := range change {
		c(s)
	}
	store := storage.New(back, s.Facts.State)
	peers, err := peer.Dial(nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	g := New(Options{Node: "rig-0", Store: store, Dispatcher: leader.NewDispatcher(leader.DispatcherOptions{Settings: s, Options: config.DefaultOptions(), Store: store, Log: log}), Peers: peers,
		LeaderName: func() string { return "" }, Settings: s, UserSlots: limits.UserSlots, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g.Start(ctx)
	for g.machineTypes.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	serve(t, transport.NewServer(transport.ServerOptions{Addr: f.addr, MaxConns: 20, Handle: g.Handle, Log: log}))
	f.client = transport.NewClient(f.addr, 1, limits.MaxBodyBytes)
	return f
}

func (f *gatewayFixture) do(method, target string, body any) (int, protocol.JobState, *transport.Message) {
	f.t.Helper()
	var b []byte
	if raw, ok := body.([]byte); ok {
		b = raw
	} else if body != nil {
		b = protocol.Encode(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	m, err := f.client.Do(ctx, method, target, b)
	if err != nil {
		f.t.Fatalf("%s %s: %v", method, target, err)
	}
	var st protocol.JobStatus
	if len(m.Body) > 0 {
		if err := protocol.Decode(m.Body, &st); err != nil {
			f.t.Fatal(err)
		}
	}
	return m.Status, st.State, m
}

func submission(id string, change map[string]any) map[string]any {
	r := map[string]any{"NameId": id, "Docket": "train", "Crew": "vision", "Shape": "sweep", "Urgency": "high", "Pieces": 2,
		"Vcpus": 8.0, "Accelerators": 1, "RamGb": 64.0, "Bundle": "img", "SizeGb": 6.2, "Together": false, "Scatter": false,
		"Lendable": true, "ReckonS": 240.0, "BookmarkS": 0, "StashS": 0}
	for k, v := range change {
		r[k] = v
	}
	return r
}

func TestUsersAPI(t *testing.T) {
	f := newGatewayFixture(t, func(s *config.Settings) {
		s.Facts.Workers.GangWaitS, s.Facts.Workers.GangPeerS = new(float64), new(float64)
	})
	many := make([]string, limits.MaxMachineTypes)
	for i := range many {
		many[i] = "g8-with-a-rather-long-name"
	}
	many[0] = "g8"
	for _, c := range []struct {
		what, method, target string
		body                 any
		status               int
		standing             protocol.JobState
	}{
		{"health", "GET", "/healthz", nil, 200, ""},
		{"health, wrong method", "POST", "/healthz", nil, 405, ""},
		{"unknown path", "GET", "/v3/runs", nil, 404, ""},
		{"path that only begins alike", "POST", "/v2/runsx", nil, 404, ""},
		{"list", "GET", "/v2/runs", nil, 405, ""},
		{"unknown verb", "POST", "/v2/runs/job-1/pause", nil, 404, ""},
		{"show by the wrong method", "POST", "/v2/runs/job-1", nil, 405, ""},
		{"cancel by the wrong method", "GET", "/v2/runs/job-1/cancel", nil, 405, ""},
		{"report by the wrong method", "GET", "/v1/report", nil, 405, ""},
		{"report without a leader", "POST", "/v1/report", map[string]any{"Rig": "m"}, 421, ""},
		{"unknown run", "GET", "/v2/runs/job-1", nil, 404, ""},
		{"no id of a run", "GET", "/v2/runs/x", nil, 404, ""},
		{"cancel of an unknown run", "POST", "/v2/runs/job-1/cancel", nil, 404, ""},
		{"not CBOR", "POST", "/v2/runs", []byte("{}x"), 400, ""},
		{"body over the limit", "POST", "/v2/runs", make([]byte, 40*limits.MaxBodyBytes), 400, ""},
		{"record over the value limit", "POST", "/v2/runs", submission("job-1", map[string]any{"Rigkinds": many}), 400, ""},
		{"unknown team", "POST", "/v2/runs", submission("job-1", map[string]any{"Crew": "nobody"}), 422, ""},
		{"over the team's limit", "POST", "/v2/runs", submission("job-1", map[string]any{"Crew": "tiny"}), 422, ""},
		{"unknown shape", "POST", "/v2/runs", submission("job-1", map[string]any{"Shape": "service"}), 400, ""},
		{"gang over the team's limit as a whole", "POST", "/v2/runs", submission("job-5", map[string]any{"Shape": "ensemble", "Pieces": 5}), 422, ""},
		{"gang", "POST", "/v2/runs", submission("job-5", map[string]any{"Shape": "ensemble", "Pieces": 4}), 201, protocol.JobPending},
		{"fits no type", "POST", "/v2/runs", submission("job-1", map[string]any{"Vcpus": 17}), 422, ""},
		{"unknown type", "POST", "/v2/runs", submission("job-1", map[string]any{"Rigkinds": []string{"x"}}), 422, ""},
		{"zone without such a type", "POST", "/v2/runs", submission("job-1", map[string]any{"Yard": "b"}), 422, ""},
		{"good", "POST", "/v2/runs", submission("job-1", nil), 201, protocol.JobPending},
		{"again", "POST", "/v2/runs", submission("job-1", nil), 200, protocol.JobPending},
		{"again, as something that cannot run", "POST", "/v2/runs", submission("job-1", map[string]any{"Vcpus": 17}), 200, protocol.JobPending},
		{"show", "GET", "/v2/runs/job-1", nil, 200, protocol.JobPending},
		{"cancel", "POST", "/v2/runs/job-1/cancel", nil, 200, protocol.JobAborted},
		{"cancel again", "POST", "/v2/runs/job-1/cancel", nil, 200, protocol.JobAborted},
		{"show cancelled", "GET", "/v2/runs/job-1", nil, 200, protocol.JobAborted},
		{"submit cancelled", "POST", "/v2/runs", submission("job-1", nil), 200, protocol.JobAborted},
	} {
		if status, standing, _ := f.do(c.method, c.target, c.body); status != c.status || standing != c.standing {
			t.Errorf("%s: %d %q, want %d %q", c.what, status, standing, c.status, c.standing)
		}
	}

	// A job that is over stays what it is, also for repeats and cancellations.
	f.state.CompareAndSwap(protocol.Transaction{Operations: []protocol.Operation{{Put: storage.FinalJobKey("job-2"), Value: protocol.Encode(storage.FinalJob{State: protocol.JobDone})}}})
	for _, target := range []string{"/v2/runs/job-2/cancel", "/v2/runs"} {
		if status, standing, _ := f.do("POST", target, submission("job-2", nil)); status != 200 || standing != protocol.JobDone {
			t.Errorf("%s of a done job: %d %q", target, status, standing)
		}
	}

	// Without the state service nobody is told anything but when to come back; final states are
	// known for good.
	if status, _, _ := f.do("POST", "/v2/runs", submission("job-4", nil)); status != 201 {
		t.Errorf("submitted: %d", status)
	}
	f.state.SetUnavailable(true)
	if status, _, m := f.do("GET", "/v2/runs/job-4", nil); status != 503 || m.RetryAfter == 0 {
		t.Errorf("in an outage: %d, retry after %d", status, m.RetryAfter)
	}
	// A cancellation that was confirmed here is as final.
	if status, standing, _ := f.do("GET", "/v2/runs/job-1", nil); status != 200 || standing != protocol.JobAborted {
		t.Errorf("cancelled job in an outage: %d %q", status, standing)
	}
	if status, standing, _ := f.do("GET", "/v2/runs/job-2", nil); status != 200 || standing != protocol.JobDone {
		t.Errorf("done job in an outage: %d %q", status, standing)
	}
	// What can't be taken is answered at once, not held until the user has no time left to ask again.
	began := time.Now()
	for _, target := range []string{"/v2/runs", "/v2/runs/job-4/cancel"} {
		if status, _, m := f.do("POST", target, submission("job-3", nil)); status != 503 || m.RetryAfter == 0 {
			t.Errorf("%s in an outage: %d, retry after %d", target, status, m.RetryAfter)
		}
	}
	if took := time.Since(began); took > limits.SubmitTimeout/2 {
		t.Errorf("two refusals took %v", took)
	}
	f.state.SetUnavailable(false)
	if status, standing, _ := f.do("POST", "/v2/runs", submission("job-3", nil)); status != 201 || standing != protocol.JobPending {
		t.Errorf("after the outage: %d %q", status, standing)
	}
}

// TestUnconfirmedCancellation: nobody is told that a job is cancelled while a leader may be entitled that does
// not know: not by the cancellation, nor by a poll or a repeated submission. It is told once the
// leader's heartbeat covers the record, or there is no leader.
func TestUnconfirmedCancellation(t *testing.T) {
	for _, how := range []string{"beat", "no leader"} {
		f := newGatewayFixture(t)
		hold := f.state.CreateLease(time.Hour)
		f.state.CompareAndSwap(protocol.Transaction{Operations: []protocol.Operation{
			{Put: storage.KeyLeader, Lease: hold, Value: protocol.Encode(storage.LeaderRecord{Node: "rig-9", Term: 1})},
			{Put: storage.KeyLeaderHeartbeat, Value: protocol.Encode(storage.LeaderHeartbeat{Term: 1})}}})
		requests := []struct {
			method, target string
			body           any
		}{{"POST", "/v2/runs/job-1/cancel", nil}, {"GET", "/v2/runs/job-1", nil}, {"POST", "/v2/runs", submission("job-1", nil)}, {"POST", "/v2/runs/job-1/cancel", nil}}
		ask := func(want int, standing protocol.JobState) {
			t.Helper()
			for _, q := range requests {
				if status, got, m := f.do(q.method, q.target, q.body); status != want || got != standing || (want == 503) != (m.RetryAfter > 0) {
					t.Errorf("%s: %s %s: %d %q, retry after %d", how, q.method, q.target, status, got, m.RetryAfter)
				}
			}
		}
		if status, _, _ := f.do("POST", "/v2/runs", submission("job-1", nil)); status != 201 {
			t.Fatalf("submitted: %d", status)
		}
		ask(503, "")
		p, _ := f.state.Get(storage.OpenJobKey("job-1"))
		heartbeat := storage.LeaderHeartbeat{Term: 1, Sequence: 1, ObservedRevision: p.Version - 1}
		f.state.CompareAndSwap(protocol.Transaction{Operations: []protocol.Operation{{Put: storage.KeyLeaderHeartbeat, Value: protocol.Encode(heartbeat)}}})
		ask(503, "")
		if how == "beat" {
			heartbeat.ObservedRevision = p.Version
			f.state.CompareAndSwap(protocol.Transaction{Operations: []protocol.Operation{{Put: storage.KeyLeaderHeartbeat, Value: protocol.Encode(heartbeat)}}})
		} else {
			f.state.RevokeLease(hold)
		}
		ask(200, protocol.JobAborted)
		f.state.SetUnavailable(true)
		ask(200, protocol.JobAborted) // known for good
	}
}

// TestMalformedCostsItsConnection: what cannot be parsed is answered and closed, and others are
// served on.
func TestMalformedCostsItsConnection(t *testing.T) {
	f := newGatewayFixture(t)
	for _, raw := range []string{
		"GET / HTTP/9\r\n\r\n", "POST /v2/runs HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
		"GET /healthz HTTP/1.1\r\n\r\nGET /healthz HTTP/1.1\r\n\r\nGET /healthz HTTP/1.1\r\n\r\n", // pipelined: one answer
		"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte(raw)); err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(conn) // ends because the server closes
		conn.Close()
		d := transport.NewResponseDecoder(limits.MaxBodyBytes)
		d.Feed(got)
		if m, err := d.Next(); err != nil || m == nil || d.Buffered() > 0 {
			t.Errorf("%q: answered %q", raw, got)
		}
	}
	if status, _, _ := f.do("GET", "/healthz", nil); status != 200 {
		t.Errorf("others: %d", status)
	}
}

// TestRetryAfterGrows: the longer the state service is away, the later a user is told to come back, within
// what the user waits at most.
func TestRetryAfterGrows(t *testing.T) {
	last := 0
	for d := time.Duration(0); d < 5*time.Minute; d += time.Second {
		n := limits.RetryAfterSeconds(d)
		if n < max(last, 1) || n > 30 {
			t.Fatalf("after %v: %d, before %d", d, n, last)
		}
		last = n
	}
}

// TestFullUserSlots: beyond its stage the front door answers at once when to come back.
func TestFullUserSlots(t *testing.T) {
	g := New(Options{})
	srv := transport.NewServer(transport.ServerOptions{Addr: freePort(t), MaxConns: 5, Handle: g.Handle, Log: slog.New(slog.DiscardHandler)})
	serve(t, srv)
	f := &gatewayFixture{t: t, client: transport.NewClient(srv.Addr(), 1, limits.MaxBodyBytes)}
	if status, _, m := f.do("POST", "/v2/runs", submission("job-1", nil)); status != 503 || m.RetryAfter == 0 {
		t.Fatalf("%d, retry after %d", status, m.RetryAfter)
	}
	// What can never be taken is said so, instead of making the user come again.
	for _, c := range []struct {
		method, path string
		body         any
		want         int
	}{
		{"POST", "/v2/runs", submission("job-1", map[string]any{"Pieces": 0}), 400},
		{"GET", "/v2/runs/none", nil, 404},
		{"POST", "/v2/runs/none/cancel", nil, 404},
		{"GET", "/v2/other", nil, 404},
		{"GET", "/v2/runs", nil, 405},
	} {
		if status, _, _ := f.do(c.method, c.path, c.body); status != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, status, c.want)
		}
	}
}

// TestGangsNotSupported: where the settings name no times of gangs, the workers know none, and a gang is
// malformed; also with a full stage.
func TestGangsNotSupported(t *testing.T) {
	f := newGatewayFixture(t)
	if status, _, _ := f.do("POST", "/v2/runs", submission("job-1", map[string]any{"Shape": "ensemble"})); status != 400 {
		t.Errorf("status %d", status)
	}
}

// TestLargeRecord: a job that was stored when values could be larger can still be cancelled, and a
// repeated submission of it is known.
func TestLargeRecord(t *testing.T) {
	f := newGatewayFixture(t, func(s *config.Settings) { s.Facts.State.ValueKB = 0.5 })
	spec := protocol.Spec{ID: "job-1", Class: "train", Team: "vision", Shape: protocol.ShapeArray, Priority: "high", Tasks: 2, CPUs: 8, Image: "img"}
	for range 20 {
		spec.MachineTypes = append(spec.MachineTypes, "g8-with-a-rather-long-name")
	}
	f.state.CompareAndSwap(protocol.Transaction{Operations: []protocol.Operation{{Put: storage.OpenJobKey("job-1"), Value: protocol.Encode(storage.OpenJob{Spec: spec})}}})
	again := submission("job-1", map[string]any{"Rigkinds": append([]string{"g8"}, spec.MachineTypes...)})
	if status, standing, _ := f.do("POST", "/v2/runs", again); status != 200 || standing != protocol.JobPending {
		t.Errorf("repeated: %d %q", status, standing)
	}
	if status, standing, _ := f.do("POST", "/v2/runs/job-1/cancel", nil); status != 200 || standing != protocol.JobAborted {
		t.Errorf("cancelled: %d %q", status, standing)
	}
	p, _ := f.state.Get(storage.OpenJobKey("job-1"))
	var rec storage.OpenJob
	if err := protocol.Decode(p.Value, &rec); err != nil || !storage.FitsValueLimit(rec, 0.5) || rec.Spec.Tasks != 2 || rec.Spec.CPUs != 8 || rec.Spec.Team != "vision" {
		t.Errorf("stored: %+v %v", rec, err)
	}
}
