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

// withField returns the change of one field of a submission or heartbeat, by the field's protocol name.
func withField(field string, value any) map[string]any { return map[string]any{field: value} }

// enableGangs changes the settings so that the workers support gangs.
func enableGangs(s *config.Settings) {
	s.Deployment.Workers.GangWaitTimeoutS, s.Deployment.Workers.GangPeerDetectionS = new(float64), new(float64)
}

// TestUserAPI checks the responses to a sequence of requests, which depend on the jobs that earlier
// requests have submitted or cancelled.
func TestUserAPI(t *testing.T) {
	f := newGatewayFixture(t, enableGangs)
	for _, c := range userAPICases() {
		f.expect(c.name, c.request, c.status, c.state)
	}

	// The state of a job that is over is final, also for repeated submissions and cancellations.
	f.storeRecord(storage.FinalJobKey("job-2"), storage.FinalJob{State: protocol.JobDone})
	for _, target := range []string{"/v2/runs/job-2/cancel", "/v2/runs"} {
		f.expect("done job: "+target, post(target, jobSpec("job-2", nil)), http.StatusOK, protocol.JobDone)
	}

	f.expect("before the outage", submit(jobSpec("job-4", nil)), http.StatusCreated, protocol.JobPending)
	f.state.SetUnavailable(true)
	checkResponsesInOutage(f)
	f.state.SetUnavailable(false)
	f.expect("after the outage", submit(jobSpec("job-3", nil)), http.StatusCreated, protocol.JobPending)
}

// apiCase is a request and the expected response.
type apiCase struct {
	name    string
	request userRequest
	status  int
	state   protocol.JobState // in the body, "" for a body without a state
}

// userAPICases returns the cases of TestUserAPI in the order in which the requests are sent.
func userAPICases() []apiCase {
	manyTypes := make([]string, limits.MaxMachineTypes)
	for i := range manyTypes {
		manyTypes[i] = "g8-with-a-rather-long-name"
	}
	manyTypes[0] = "g8"
	tooLarge := jobSpec("job-1", withField("Rigkinds", manyTypes))
	unknownType := jobSpec("job-1", withField("Rigkinds", []string{"x"}))
	gang := func(tasks int) map[string]any {
		return jobSpec("job-5", map[string]any{"Shape": "ensemble", "Pieces": tasks})
	}
	return []apiCase{
		{"health", get("/healthz"), http.StatusOK, ""},
		{"health with a wrong method", post("/healthz", nil), http.StatusMethodNotAllowed, ""},
		{"unknown path", get("/v3/runs"), http.StatusNotFound, ""},
		{"path that starts like a known one", post("/v2/runsx", nil), http.StatusNotFound, ""},
		{"list of jobs", get("/v2/runs"), http.StatusMethodNotAllowed, ""},
		{"unknown action on a job", post("/v2/runs/job-1/pause", nil), http.StatusNotFound, ""},
		{"poll with a wrong method", post("/v2/runs/job-1", nil), http.StatusMethodNotAllowed, ""},
		{"cancellation with a wrong method", get("/v2/runs/job-1/cancel"), http.StatusMethodNotAllowed, ""},
		{"heartbeat with a wrong method", get("/v1/report"), http.StatusMethodNotAllowed, ""},
		{"heartbeat without a leader", post("/v1/report", withField("Rig", "m")), http.StatusMisdirectedRequest, ""},
		{"poll of an unknown job", get("/v2/runs/job-1"), http.StatusNotFound, ""},
		{"poll of a malformed job ID", get("/v2/runs/x"), http.StatusNotFound, ""},
		{"cancellation of an unknown job", post("/v2/runs/job-1/cancel", nil), http.StatusNotFound, ""},
		{"not CBOR", post("/v2/runs", []byte("{}x")), http.StatusBadRequest, ""},
		{"body above the limit", post("/v2/runs", make([]byte, 40*limits.MaxBodyBytes)), http.StatusBadRequest, ""},
		{"record above the value limit", submit(tooLarge), http.StatusBadRequest, ""},
		{"unknown team", submit(jobSpec("job-1", withField("Crew", "nobody"))), http.StatusUnprocessableEntity, ""},
		{
			"above the team's limit", submit(jobSpec("job-1", withField("Crew", "tiny"))),
			http.StatusUnprocessableEntity, "",
		},
		{"unknown shape", submit(jobSpec("job-1", withField("Shape", "service"))), http.StatusBadRequest, ""},
		{"gang above the team's limit as a whole", submit(gang(5)), http.StatusUnprocessableEntity, ""},
		{"gang", submit(gang(4)), http.StatusCreated, protocol.JobPending},
		{"fits no machine type", submit(jobSpec("job-1", withField("Vcpus", 17))), http.StatusUnprocessableEntity, ""},
		{"unknown machine type", submit(unknownType), http.StatusUnprocessableEntity, ""},
		{
			"zone without such a type", submit(jobSpec("job-1", withField("Yard", "b"))),
			http.StatusUnprocessableEntity, "",
		},
		{"accepted submission", submit(jobSpec("job-1", nil)), http.StatusCreated, protocol.JobPending},
		{"repeated submission", submit(jobSpec("job-1", nil)), http.StatusOK, protocol.JobPending},
		{
			"repeated submission that can never run", submit(jobSpec("job-1", withField("Vcpus", 17))),
			http.StatusOK, protocol.JobPending,
		},
		{"poll", get("/v2/runs/job-1"), http.StatusOK, protocol.JobPending},
		{"cancellation", post("/v2/runs/job-1/cancel", nil), http.StatusOK, protocol.JobCancelled},
		{"repeated cancellation", post("/v2/runs/job-1/cancel", nil), http.StatusOK, protocol.JobCancelled},
		{"poll of a cancelled job", get("/v2/runs/job-1"), http.StatusOK, protocol.JobCancelled},
		{"submission of a cancelled job", submit(jobSpec("job-1", nil)), http.StatusOK, protocol.JobCancelled},
	}
}

// checkResponsesInOutage checks that while the state service is unavailable, users are asked to retry, except
// for jobs whose final state is cached. job-1 is cancelled, job-2 is done, job-4 is open.
func checkResponsesInOutage(f *gatewayFixture) {
	f.t.Helper()
	f.expectRetryLater("open job in an outage", get("/v2/runs/job-4"))
	// A cancellation that this controller has confirmed is cached as a final state.
	f.expect("cancelled job in an outage", get("/v2/runs/job-1"), http.StatusOK, protocol.JobCancelled)
	f.expect("done job in an outage", get("/v2/runs/job-2"), http.StatusOK, protocol.JobDone)
	// The response comes at once, so that the user has time left to retry.
	startedAt := time.Now()
	for _, target := range []string{"/v2/runs", "/v2/runs/job-4/cancel"} {
		f.expectRetryLater("in an outage: "+target, post(target, jobSpec("job-3", nil)))
	}
	if elapsed := time.Since(startedAt); elapsed > limits.SubmitTimeout/2 {
		f.t.Errorf("responding with 503 to two requests took %v, want at most %v", elapsed, limits.SubmitTimeout/2)
	}
}

// TestUnconfirmedCancellationNotReported: a job must not be reported as cancelled while a leader that has
// not observed the cancellation may be entitled, because that leader could still start the job's tasks.
// This holds for the responses to the cancellation, to a poll and to a repeated submission. The
// cancellation may be reported once the leader has observed the job's record according to its heartbeat
// record, or there is no leader.
func TestUnconfirmedCancellationNotReported(t *testing.T) {
	for _, c := range []struct {
		name    string
		confirm func(f *gatewayFixture, lease, version uint64)
	}{
		{"leader has observed the record", func(f *gatewayFixture, _, version uint64) {
			f.storeRecord(storage.KeyLeaderHeartbeat,
				storage.LeaderHeartbeat{Term: 1, Sequence: 1, ObservedRevision: version})
		}},
		{"no leader", func(f *gatewayFixture, lease, _ uint64) { f.state.RevokeLease(lease) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newGatewayFixture(t)
			lease := f.state.CreateLease(time.Hour)
			leader := protocol.Encode(storage.LeaderRecord{Node: "controller-9", Term: 1})
			applyOperation(t, f.state, protocol.Operation{Put: storage.KeyLeader, Lease: lease, Value: leader})
			f.storeRecord(storage.KeyLeaderHeartbeat, storage.LeaderHeartbeat{Term: 1})

			if got := f.send(submit(jobSpec("job-1", nil))); got.status != http.StatusCreated {
				t.Fatalf("submission: got status %d, want 201", got.status)
			}
			checkCancelledJob(f, http.StatusServiceUnavailable, "")
			open, _ := f.state.Get(storage.OpenJobKey("job-1"))
			f.storeRecord(storage.KeyLeaderHeartbeat,
				storage.LeaderHeartbeat{Term: 1, Sequence: 1, ObservedRevision: open.Version - 1})
			checkCancelledJob(f, http.StatusServiceUnavailable, "")
			c.confirm(f, lease, open.Version)
			checkCancelledJob(f, http.StatusOK, protocol.JobCancelled)
			f.state.SetUnavailable(true)
			checkCancelledJob(f, http.StatusOK, protocol.JobCancelled) // from the cache
		})
	}
}

// checkCancelledJob cancels job-1, and checks the responses to this and to later requests for the job.
func checkCancelledJob(f *gatewayFixture, status int, state protocol.JobState) {
	f.t.Helper()
	for _, request := range []userRequest{
		post("/v2/runs/job-1/cancel", nil),
		get("/v2/runs/job-1"),
		submit(jobSpec("job-1", nil)),
		post("/v2/runs/job-1/cancel", nil),
	} {
		got := f.send(request)
		retryExpected := status == http.StatusServiceUnavailable
		if got.status != status || got.state != state || retryExpected != (got.retryAfter > 0) {
			f.t.Errorf("%s %s: got status %d, state %q, Retry-After %d; want status %d, state %q",
				request.method, request.target, got.status, got.state, got.retryAfter, status, state)
		}
	}
}

// TestMalformedRequestClosesConnection: a request that cannot be parsed is answered and its connection
// closed, while other connections are still served. The connection is also closed after one response if
// requests are pipelined or the client asks for it.
func TestMalformedRequestClosesConnection(t *testing.T) {
	f := newGatewayFixture(t)
	const health = "GET /healthz HTTP/1.1\r\n"
	for _, c := range []struct{ name, raw string }{
		{"unknown version", "GET / HTTP/9\r\n\r\n"},
		{"two Content-Length headers", "POST /v2/runs HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx"},
		{"pipelined requests", health + "\r\n" + health + "\r\n" + health + "\r\n"},
		{"Connection: close", health + "Connection: close\r\n\r\n"},
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
			got, _ := io.ReadAll(conn) // ends when the server closes the connection
			decoder := transport.NewResponseDecoder(limits.MaxBodyBytes)
			decoder.Feed(got)
			if m, err := decoder.Next(); err != nil || m == nil || decoder.Buffered() > 0 {
				t.Errorf("%q: got %q, want exactly one response, then the end of the connection", c.raw, got)
			}
		})
	}
	if got := f.send(get("/healthz")); got.status != http.StatusOK {
		t.Errorf("health check on another connection: got status %d, want 200", got.status)
	}
}

// TestRetryAfterGrowsWithOutage: the longer the state service has been unreachable, the longer is the
// Retry-After. It never exceeds 30 s, the longest time that a user waits.
func TestRetryAfterGrowsWithOutage(t *testing.T) {
	last := 0
	for outage := time.Duration(0); outage < 5*time.Minute; outage += time.Second {
		seconds := limits.RetryAfterSeconds(outage)
		if seconds < max(last, 1) || seconds > 30 {
			t.Fatalf("after an outage of %v: Retry-After %d, want 1 to 30 and at least the %d of one second earlier",
				outage, seconds, last)
		}
		last = seconds
	}
}

// TestNoFreeUserSlot: while too many user requests are in progress, a further one is rejected at once.
func TestNoFreeUserSlot(t *testing.T) {
	g := New(Options{UserSlots: 0})
	server := transport.NewServer(transport.ServerOptions{
		Addr: unusedAddress(t), MaxConns: 5, Handle: g.Handle, Log: slog.New(slog.DiscardHandler),
	})
	serve(t, server)
	f := &gatewayFixture{t: t, client: transport.NewClient(server.Addr(), 1, limits.MaxBodyBytes)}
	if got := f.send(submit(jobSpec("job-1", nil))); got.status != http.StatusServiceUnavailable ||
		got.retryAfter == 0 {
		t.Fatalf("submission: got status %d, Retry-After %d; want status 503 with Retry-After",
			got.status, got.retryAfter)
	}
	// Users are not asked to retry a request that can never succeed.
	for _, c := range []struct {
		name    string
		request userRequest
		status  int
	}{
		{"malformed submission", submit(jobSpec("job-1", withField("Pieces", 0))), http.StatusBadRequest},
		{"poll of a malformed job ID", get("/v2/runs/none"), http.StatusNotFound},
		{"cancellation of a malformed job ID", post("/v2/runs/none/cancel", nil), http.StatusNotFound},
		{"unknown path", get("/v2/other"), http.StatusNotFound},
		{"list of jobs", get("/v2/runs"), http.StatusMethodNotAllowed},
	} {
		if got := f.send(c.request); got.status != c.status {
			t.Errorf("%s: got status %d, want %d", c.name, got.status, c.status)
		}
	}
}

// TestGangsNotSupported: if the settings contain no times for gangs, the workers do not support gangs, and
// the submission of a gang is invalid.
func TestGangsNotSupported(t *testing.T) {
	f := newGatewayFixture(t)
	if got := f.send(submit(jobSpec("job-1", withField("Shape", "ensemble")))); got.status != http.StatusBadRequest {
		t.Errorf("submission of a gang: got status %d, want 400", got.status)
	}
}

// TestRecordAboveLoweredValueLimit: if the value limit of the state service has been lowered, a job whose
// record is above the new limit can still be cancelled, and a repeated submission of it is recognized.
func TestRecordAboveLoweredValueLimit(t *testing.T) {
	const valueKB = 0.5
	f := newGatewayFixture(t, func(s *config.Settings) { s.Deployment.State.ValueKB = valueKB })
	stored := protocol.Spec{
		ID: "job-1", Class: "train", Team: "vision", Shape: protocol.ShapeArray, Priority: "high",
		Tasks: 2, CPUs: 8, Image: "img",
	}
	for range 20 {
		stored.MachineTypes = append(stored.MachineTypes, "g8-with-a-rather-long-name")
	}
	f.storeRecord(storage.OpenJobKey("job-1"), storage.OpenJob{Spec: stored})
	repeated := jobSpec("job-1", withField("Rigkinds", append([]string{"g8"}, stored.MachineTypes...)))
	f.expect("repeated submission", submit(repeated), http.StatusOK, protocol.JobPending)
	f.expect("cancellation", post("/v2/runs/job-1/cancel", nil), http.StatusOK, protocol.JobCancelled)

	open, _ := f.state.Get(storage.OpenJobKey("job-1"))
	var record storage.OpenJob
	if err := protocol.Decode(open.Value, &record); err != nil {
		t.Fatal(err)
	}
	got := record.Spec
	if !storage.FitsValueLimit(record, valueKB) || got.Tasks != 2 || got.CPUs != 8 || got.Team != "vision" {
		t.Errorf("record after the cancellation: %+v; want it within %v KiB, and its tasks, CPUs and team unchanged",
			record, valueKB)
	}
}
