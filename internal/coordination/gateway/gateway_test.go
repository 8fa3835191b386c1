package gateway

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// changed is the change of one field of a body.
func changed(field string, value any) map[string]any { return map[string]any{field: value} }

// supportGangs makes the workers of a fixture support gangs.
func supportGangs(s *config.Settings) {
	s.Facts.Workers.GangWaitS, s.Facts.Workers.GangPeerS = new(float64), new(float64)
}

// TestUsersAPI sends a sequence of requests: the later ones meet the jobs of those before.
func TestUsersAPI(t *testing.T) {
	f := newGatewayFixture(t, supportGangs)
	for _, c := range usersAPICases() {
		f.expect(c.name, c.request, c.status, c.state)
	}

	// A job that is over stays what it is, also for repeated submissions and cancellations.
	f.write(storage.FinalJobKey("job-2"), storage.FinalJob{State: protocol.JobDone})
	for _, target := range []string{"/v2/runs/job-2/cancel", "/v2/runs"} {
		f.expect("done job: "+target, post(target, spec("job-2", nil)), http.StatusOK, protocol.JobDone)
	}

	f.expect("before the outage", submit(spec("job-4", nil)), http.StatusCreated, protocol.JobPending)
	f.state.SetUnavailable(true)
	checkAnswersInOutage(f)
	f.state.SetUnavailable(false)
	f.expect("after the outage", submit(spec("job-3", nil)), http.StatusCreated, protocol.JobPending)
}

// apiCase is a request and the answer to it.
type apiCase struct {
	name    string
	request userRequest
	status  int
	state   protocol.JobState // in the body
}

// usersAPICases are requests in the order in which they are sent.
func usersAPICases() []apiCase {
	manyTypes := make([]string, limits.MaxMachineTypes)
	for i := range manyTypes {
		manyTypes[i] = "g8-with-a-rather-long-name"
	}
	manyTypes[0] = "g8"
	tooLarge := spec("job-1", changed("Rigkinds", manyTypes))
	unknownType := spec("job-1", changed("Rigkinds", []string{"x"}))
	gang := func(tasks int) map[string]any {
		return spec("job-5", map[string]any{"Shape": "ensemble", "Pieces": tasks})
	}
	return []apiCase{
		{"health", get("/healthz"), http.StatusOK, ""},
		{"health by the wrong method", post("/healthz", nil), http.StatusMethodNotAllowed, ""},
		{"unknown path", get("/v3/runs"), http.StatusNotFound, ""},
		{"path with the prefix of a known one", post("/v2/runsx", nil), http.StatusNotFound, ""},
		{"list", get("/v2/runs"), http.StatusMethodNotAllowed, ""},
		{"unknown action", post("/v2/runs/job-1/pause", nil), http.StatusNotFound, ""},
		{"poll by the wrong method", post("/v2/runs/job-1", nil), http.StatusMethodNotAllowed, ""},
		{"cancellation by the wrong method", get("/v2/runs/job-1/cancel"), http.StatusMethodNotAllowed, ""},
		{"heartbeat by the wrong method", get("/v1/report"), http.StatusMethodNotAllowed, ""},
		{"heartbeat without a leader", post("/v1/report", changed("Rig", "m")), http.StatusMisdirectedRequest, ""},
		{"poll of an unknown job", get("/v2/runs/job-1"), http.StatusNotFound, ""},
		{"poll of a malformed id", get("/v2/runs/x"), http.StatusNotFound, ""},
		{"cancellation of an unknown job", post("/v2/runs/job-1/cancel", nil), http.StatusNotFound, ""},
		{"not CBOR", post("/v2/runs", []byte("{}x")), http.StatusBadRequest, ""},
		{"body over the limit", post("/v2/runs", make([]byte, 40*limits.MaxBodyBytes)), http.StatusBadRequest, ""},
		{"record over the value limit", submit(tooLarge), http.StatusBadRequest, ""},
		{"unknown team", submit(spec("job-1", changed("Crew", "nobody"))), http.StatusUnprocessableEntity, ""},
		{"over the team's limit", submit(spec("job-1", changed("Crew", "tiny"))), http.StatusUnprocessableEntity, ""},
		{"unknown shape", submit(spec("job-1", changed("Shape", "service"))), http.StatusBadRequest, ""},
		{"gang over the team's limit as a whole", submit(gang(5)), http.StatusUnprocessableEntity, ""},
		{"gang", submit(gang(4)), http.StatusCreated, protocol.JobPending},
		{"fits no machine type", submit(spec("job-1", changed("Vcpus", 17))), http.StatusUnprocessableEntity, ""},
		{"unknown machine type", submit(unknownType), http.StatusUnprocessableEntity, ""},
		{"zone without such a type", submit(spec("job-1", changed("Yard", "b"))), http.StatusUnprocessableEntity, ""},
		{"accepted", submit(spec("job-1", nil)), http.StatusCreated, protocol.JobPending},
		{"repeated", submit(spec("job-1", nil)), http.StatusOK, protocol.JobPending},
		{"repeated, can never run", submit(spec("job-1", changed("Vcpus", 17))), http.StatusOK, protocol.JobPending},
		{"poll", get("/v2/runs/job-1"), http.StatusOK, protocol.JobPending},
		{"cancellation", post("/v2/runs/job-1/cancel", nil), http.StatusOK, protocol.JobCancelled},
		{"repeated cancellation", post("/v2/runs/job-1/cancel", nil), http.StatusOK, protocol.JobCancelled},
		{"poll of a cancelled job", get("/v2/runs/job-1"), http.StatusOK, protocol.JobCancelled},
		{"submission of a cancelled job", submit(spec("job-1", nil)), http.StatusOK, protocol.JobCancelled},
	}
}

// checkAnswersInOutage: without the state service users are told when to retry, and nothing else but
// final states, which are known for good. job-1 is cancelled, job-2 is done, job-4 is open.
func checkAnswersInOutage(f *gatewayFixture) {
	f.t.Helper()
	f.expectRetryLater("open job in an outage", get("/v2/runs/job-4"))
	// A cancellation that was confirmed here is as final as the end of a job.
	f.expect("cancelled job in an outage", get("/v2/runs/job-1"), http.StatusOK, protocol.JobCancelled)
	f.expect("done job in an outage", get("/v2/runs/job-2"), http.StatusOK, protocol.JobDone)
	// The answer comes at once, not only when the user has no time left to retry.
	startedAt := time.Now()
	for _, target := range []string{"/v2/runs", "/v2/runs/job-4/cancel"} {
		f.expectRetryLater("in an outage: "+target, post(target, spec("job-3", nil)))
	}
	if took := time.Since(startedAt); took > limits.SubmitTimeout/2 {
		f.t.Errorf("two refusals took %v", took)
	}
}

// TestUnconfirmedCancellation: nobody is told that a job is cancelled while a leader that does not
// know may be entitled: neither by the cancellation, nor by a poll or a repeated submission. It is
// told once the leader's heartbeat covers the record, or there is no leader.
func TestUnconfirmedCancellation(t *testing.T) {
	for _, c := range []struct {
		name    string
		confirm func(f *gatewayFixture, lease, version uint64)
	}{
		{"leader's heartbeat covers the record", func(f *gatewayFixture, _, version uint64) {
			f.write(storage.KeyLeaderHeartbeat,
				storage.LeaderHeartbeat{Term: 1, Sequence: 1, ObservedRevision: version})
		}},
		{"no leader", func(f *gatewayFixture, lease, _ uint64) { f.state.RevokeLease(lease) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newGatewayFixture(t)
			lease := f.state.CreateLease(time.Hour)
			leader := protocol.Encode(storage.LeaderRecord{Node: "controller-9", Term: 1})
			writeRecord(t, f.state, protocol.Operation{Put: storage.KeyLeader, Lease: lease, Value: leader})
			f.write(storage.KeyLeaderHeartbeat, storage.LeaderHeartbeat{Term: 1})

			if got := f.send(submit(spec("job-1", nil))); got.status != http.StatusCreated {
				t.Fatalf("submission: %d", got.status)
			}
			checkCancelledJob(f, http.StatusServiceUnavailable, "")
			open, _ := f.state.Get(storage.OpenJobKey("job-1"))
			f.write(storage.KeyLeaderHeartbeat,
				storage.LeaderHeartbeat{Term: 1, Sequence: 1, ObservedRevision: open.Version - 1})
			checkCancelledJob(f, http.StatusServiceUnavailable, "")
			c.confirm(f, lease, open.Version)
			checkCancelledJob(f, http.StatusOK, protocol.JobCancelled)
			f.state.SetUnavailable(true)
			checkCancelledJob(f, http.StatusOK, protocol.JobCancelled) // known for good
		})
	}
}

// checkCancelledJob cancels job-1, and checks the answers to this and to all other requests for it.
func checkCancelledJob(f *gatewayFixture, status int, state protocol.JobState) {
	f.t.Helper()
	for _, request := range []userRequest{
		post("/v2/runs/job-1/cancel", nil),
		get("/v2/runs/job-1"),
		submit(spec("job-1", nil)),
		post("/v2/runs/job-1/cancel", nil),
	} {
		got := f.send(request)
		retryExpected := status == http.StatusServiceUnavailable
		if got.status != status || got.state != state || retryExpected != (got.retryAfter > 0) {
			f.t.Errorf("%s %s: got %d %q, retry after %d",
				request.method, request.target, got.status, got.state, got.retryAfter)
		}
	}
}

// TestMalformedRequestEndsItsConnection: what cannot be parsed is answered and its connection
// closed, and others are served on.
func TestMalformedRequestEndsItsConnection(t *testing.T) {
	f := newGatewayFixture(t)
	const health = "GET /healthz HTTP/1.1\r\n"
	for _, c := range []struct{ name, raw string }{
		{"unknown version", "GET / HTTP/9\r\n\r\n"},
		{"two lengths", "POST /v2/runs HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx"},
		{"pipelined: one answer", health + "\r\n" + health + "\r\n" + health + "\r\n"},
		{"to be closed", health + "Connection: close\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", f.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write([]byte(c.raw)); err != nil {
				t.Fatal(err)
			}
			got, _ := io.ReadAll(conn) // ends because the server closes
			decoder := transport.NewResponseDecoder(limits.MaxBodyBytes)
			decoder.Feed(got)
			if m, err := decoder.Next(); err != nil || m == nil || decoder.Buffered() > 0 {
				t.Errorf("%q: answered %q", c.raw, got)
			}
		})
	}
	if got := f.send(get("/healthz")); got.status != http.StatusOK {
		t.Errorf("others: %d", got.status)
	}
}

// TestRetryAfterGrows: the longer the state service is out of reach, the later a user is told to
// retry, within the time for which a user waits at most.
func TestRetryAfterGrows(t *testing.T) {
	last := 0
	for outage := time.Duration(0); outage < 5*time.Minute; outage += time.Second {
		seconds := limits.RetryAfterSeconds(outage)
		if seconds < max(last, 1) || seconds > 30 {
			t.Fatalf("after %v: %d, before %d", outage, seconds, last)
		}
		last = seconds
	}
}

// TestFullUserSlots: with too many users' requests in progress another one is answered at once.
func TestFullUserSlots(t *testing.T) {
	g := New(Options{UserSlots: 0})
	server := transport.NewServer(transport.ServerOptions{
		Addr: freePort(t), MaxConns: 5, Handle: g.Handle, Log: slog.New(slog.DiscardHandler),
	})
	serve(t, server)
	f := &gatewayFixture{t: t, client: transport.NewClient(server.Addr(), 1, limits.MaxBodyBytes)}
	if got := f.send(submit(spec("job-1", nil))); got.status != http.StatusServiceUnavailable || got.retryAfter == 0 {
		t.Fatalf("submission: %d, retry after %d", got.status, got.retryAfter)
	}
	// Where a retry can never succeed the user is told so.
	for _, c := range []struct {
		name    string
		request userRequest
		status  int
	}{
		{"malformed submission", submit(spec("job-1", changed("Pieces", 0))), http.StatusBadRequest},
		{"poll of a malformed id", get("/v2/runs/none"), http.StatusNotFound},
		{"cancellation of a malformed id", post("/v2/runs/none/cancel", nil), http.StatusNotFound},
		{"unknown path", get("/v2/other"), http.StatusNotFound},
		{"list", get("/v2/runs"), http.StatusMethodNotAllowed},
	} {
		if got := f.send(c.request); got.status != c.status {
			t.Errorf("%s: got %d, expected %d", c.name, got.status, c.status)
		}
	}
}

// TestGangsNotSupported: where the settings have no times of gangs, the workers support none, and a
// gang is malformed.
func TestGangsNotSupported(t *testing.T) {
	f := newGatewayFixture(t)
	if got := f.send(submit(spec("job-1", changed("Shape", "ensemble")))); got.status != http.StatusBadRequest {
		t.Errorf("submission: %d", got.status)
	}
}

// TestLargeRecord: a job that was stored when values could be larger can still be cancelled, and a
// repeated submission of it is known.
func TestLargeRecord(t *testing.T) {
	const valueKB = 0.5
	f := newGatewayFixture(t, func(s *config.Settings) { s.Facts.State.ValueKB = valueKB })
	stored := protocol.Spec{
		ID: "job-1", Class: "train", Team: "vision", Shape: protocol.ShapeArray, Priority: "high",
		Tasks: 2, CPUs: 8, Image: "img",
	}
	for range 20 {
		stored.MachineTypes = append(stored.MachineTypes, "g8-with-a-rather-long-name")
	}
	f.write(storage.OpenJobKey("job-1"), storage.OpenJob{Spec: stored})
	repeated := spec("job-1", changed("Rigkinds", append([]string{"g8"}, stored.MachineTypes...)))
	f.expect("repeated submission", submit(repeated), http.StatusOK, protocol.JobPending)
	f.expect("cancellation", post("/v2/runs/job-1/cancel", nil), http.StatusOK, protocol.JobCancelled)

	open, _ := f.state.Get(storage.OpenJobKey("job-1"))
	var record storage.OpenJob
	if err := protocol.Decode(open.Value, &record); err != nil {
		t.Fatal(err)
	}
	got := record.Spec
	if !storage.FitsValueLimit(record, valueKB) || got.Tasks != 2 || got.CPUs != 8 || got.Team != "vision" {
		t.Errorf("stored: %+v", record)
	}
}
