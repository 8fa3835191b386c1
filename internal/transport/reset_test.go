package transport

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/testvariable"
)

// answerWithin is the time within which a server must answer a new connection once its troubles are over.
const answerWithin = time.Second

// faultServer is a server whose event loop a test can hold up, so that bytes and resets of many connections
// have arrived before the loop handles the first of them.
type faultServer struct {
	*Server
	t        *testing.T
	sockets  *SocketBudget
	blocked  chan struct{} // receives when the loop is held up
	proceed  chan struct{} // lets the loop go on
	lateWork atomic.Int64  // late responses that are not sent yet
}

// newFaultServer runs a server until the test ends.
func newFaultServer(t *testing.T) (f *faultServer, stop func() error) {
	f = &faultServer{
		t: t, sockets: NewSocketBudget(10_000, 0), blocked: make(chan struct{}), proceed: make(chan struct{}),
	}
	f.Server, stop = startStoppableServer(t, ServerOptions{
		MaxConns: 2000, MaxMachineConns: 1000, Sockets: f.sockets, Handle: f.handle,
	})
	return f, stop
}

// handle answers a request in the way that its path names.
func (f *faultServer) handle(request *Message, responder *Responder) {
	switch request.Path {
	case "/block":
		f.blocked <- struct{}{}
		<-f.proceed
		responder.Respond(http.StatusOK, nil, 0)
	case "/busy":
		responder.Respond(http.StatusServiceUnavailable, nil, 1)
	case "/v1/report":
		responder.ClaimMachineSlot()
		responder.Respond(http.StatusMisdirectedRequest, nil, 0)
	case "/large":
		responder.Respond(http.StatusOK, make([]byte, limits.MaxBodyBytes), 0)
	case "/late":
		f.lateWork.Add(1)
		go func() {
			defer f.lateWork.Add(-1)
			time.Sleep(20 * time.Millisecond)
			responder.Respond(http.StatusOK, nil, 0)
		}()
	case "/", "/healthz":
		responder.Respond(http.StatusOK, nil, 0)
	default:
		responder.Respond(http.StatusNotFound, nil, 0)
	}
}

// holdUp makes the event loop stand still until the returned function is called.
func (f *faultServer) holdUp() (release func()) {
	conn := f.dial()
	f.write(conn, "GET /block HTTP/1.1\r\n\r\n")
	<-f.blocked
	return func() {
		f.proceed <- struct{}{}
		conn.Close()
	}
}

func (f *faultServer) dial() *net.TCPConn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.Addr())
	if err != nil {
		f.t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

// dialServed returns a connection on which a request was answered.
func (f *faultServer) dialServed() *net.TCPConn {
	f.t.Helper()
	conn := f.dial()
	f.write(conn, "GET / HTTP/1.1\r\n\r\n")
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		f.t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, limits.ReadBufferBytes)); err != nil {
		f.t.Fatalf("no answer on a new connection: %v", err)
	}
	return conn
}

func (f *faultServer) write(conn *net.TCPConn, text string) {
	f.t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		f.t.Fatal(err)
	}
}

// reset resets a connection.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// checkAnswers checks that the server answers on a new connection in time, and that its counts soon include no
// connection. Each failed check fails the test.
func (f *faultServer) checkAnswers() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), answerWithin)
	defer cancel()
	client := NewClient(f.Addr(), 1, limits.MaxBodyBytes)
	if m, err := client.Do(ctx, http.MethodGet, "/healthz", nil); err != nil || m.Status != http.StatusOK {
		f.t.Fatalf("no answer within %v: %v", answerWithin, err)
	}
	client.CloseIdleConnections()
	f.awaitNoConns()
}

// awaitNoConns checks that all late responses are sent and that the counts of connections become 0.
func (f *faultServer) awaitNoConns() {
	f.t.Helper()
	for end := time.Now().Add(5 * time.Second); f.lateWork.Load() != 0 || f.hasConns(); {
		if time.Now().After(end) {
			f.t.Fatalf("%d inbound sockets, %d connections from machines and %d late responses are counted, want none",
				f.sockets.inbound.Load(), f.machineConns.Load(), f.lateWork.Load())
		}
		time.Sleep(time.Millisecond)
	}
}

// hasConns reports whether a connection is counted.
func (f *faultServer) hasConns() bool {
	return f.sockets.inbound.Load() != 0 || f.machineConns.Load() != 0
}

// TestResetConnections checks that the server goes on answering after connections were reset, or half closed,
// whose requests it has not handled yet. The response to such a request is ready as soon as it is read, and
// the write of it fails: the server must not wait for itself then. All its counts must be exact afterwards.
func TestResetConnections(t *testing.T) {
	const conns = 300
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\n\r\n" }
	for _, c := range []struct{ name, sent string }{
		{"health check", get("/healthz")},
		{"busy", get("/busy")},
		{"not found", get("/nothing")},
		{"heartbeat at a follower", "POST /v1/report HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"},
		{"malformed", "GET\r\n\r\n"},
		{"too large", "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"},
		{"pipelined", get("/healthz") + get("/healthz")},
		{"large response", get("/large")},
		{"late response", get("/late")},
	} {
		for _, end := range []struct {
			name string
			do   func(*net.TCPConn)
		}{
			{"reset", reset},
			{"half closed, then reset", func(conn *net.TCPConn) { _ = conn.CloseWrite(); reset(conn) }},
			{"half closed", func(conn *net.TCPConn) { _ = conn.CloseWrite() }},
		} {
			t.Run(c.name+", "+end.name, func(t *testing.T) {
				f, _ := newFaultServer(t)
				var open []*net.TCPConn
				for range conns {
					open = append(open, f.dialServed())
				}
				release := f.holdUp()
				for _, conn := range open {
					f.write(conn, c.sent)
				}
				for _, conn := range open {
					end.do(conn)
				}
				release()
				for _, conn := range open {
					defer conn.Close()
				}
				if end.name == "half closed" {
					for _, conn := range open {
						reset(conn)
					}
				}
				f.checkAnswers()
			})
		}
	}
}

// TestResetAfterUnreadResponse checks that the server goes on answering after connections were reset to which
// it could write only a part of the response, because the client did not read it.
func TestResetAfterUnreadResponse(t *testing.T) {
	f, _ := newFaultServer(t)
	var open []*net.TCPConn
	for range 100 {
		conn := f.dialServed()
		if err := conn.SetReadBuffer(1); err != nil {
			t.Fatal(err)
		}
		f.write(conn, "GET /large HTTP/1.1\r\n\r\n")
		open = append(open, conn)
	}
	for _, conn := range open {
		reset(conn)
	}
	f.checkAnswers()
}

// TestResetsWhileStopping checks that a server stops, and releases all sockets, while connections are opened
// and reset and the event loop looks for idle connections.
func TestResetsWhileStopping(t *testing.T) {
	f, stop := newFaultServer(t)
	ctx, cancel := context.WithTimeout(context.Background(), limits.ConnSweepInterval+500*time.Millisecond)
	defer cancel()
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for ctx.Err() == nil {
				conn, err := net.Dial("tcp", f.Addr())
				if err != nil {
					return // the server has stopped
				}
				_, _ = conn.Write([]byte("GET /nothing HTTP/1.1\r\n\r\n"))
				reset(conn.(*net.TCPConn))
			}
		})
	}
	<-ctx.Done()
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	select {
	case err := <-stopped:
		if err != nil {
			t.Errorf("Run returned %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the server does not stop")
	}
	clients.Wait()
	f.awaitNoConns()
}

// TestLoopWatchdogCountsTicks checks when an event loop counts as stalled: after LoopStalledTicks ticks in a row
// without a turn of the loop, however much time has passed, as a process that was stopped has no ticks. The log
// has the stacks of all goroutines once.
func TestLoopWatchdogCountsTicks(t *testing.T) {
	var log bytes.Buffer
	w := &loopWatchdog{watchdog: newLoopWatchdog(slog.New(slog.NewTextHandler(&log, nil)), "127.0.0.1:1")}
	stalledFor := w.watchdog.StalledFor
	if !w.beginTurn() {
		t.Fatal("no turn at the first tick")
	}
	for range limits.LoopStalledTicks - 1 {
		if w.beginTurn() || stalledFor() != 0 {
			t.Fatalf("second turn, or stalled for %v, before the limit", stalledFor())
		}
	}
	for ticks := limits.LoopStalledTicks; ticks < limits.LoopStalledTicks+3; ticks++ {
		want := time.Duration(ticks) * limits.ConnSweepInterval
		if w.beginTurn() || stalledFor() != want {
			t.Errorf("second turn, or stalled for %v, want %v", stalledFor(), want)
		}
	}
	if n := strings.Count(log.String(), "TestLoopWatchdogCountsTicks"); n != 1 {
		t.Errorf("the log has the stack of this test %d times, want once:\n%s", n, log.String())
	}
	w.endTurn()
	if !w.beginTurn() || stalledFor() != 0 {
		t.Errorf("no turn, or stalled for %v, after the loop has run", stalledFor())
	}
}

// TestStalledLoopIsReported checks that a server whose event loop does not run any more says so, and takes it
// back once the loop runs again.
func TestStalledLoopIsReported(t *testing.T) {
	f, _ := newFaultServer(t)
	release := f.holdUp()
	awaitStalled := func(want bool) {
		t.Helper()
		for end := time.Now().Add((limits.LoopStalledTicks + 3) * limits.ConnSweepInterval); ; {
			if (f.LoopStalledFor() > 0) == want {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("stalled for %v, want stalled: %v", f.LoopStalledFor(), want)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	awaitStalled(true)
	release()
	awaitStalled(false)
}

// randomStreams are byte streams of clients. TestRandomConnectionFaults cuts them at any byte.
var randomStreams = []string{
	"GET /healthz HTTP/1.1\r\n\r\n",
	"GET /nothing HTTP/1.1\r\nConnection: close\r\n\r\n",
	"GET /late HTTP/1.1\r\n\r\nGET /healthz HTTP/1.1\r\n\r\n",
	"POST /v1/report HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcdePOST /v1/report HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
	"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
	"\r\nGET / HTTP/1.1\r\n\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
	"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\nabc",
	"GET /large HTTP/1.1\r\n\r\nGET /large HTTP/1.1\r\n\r\n",
}

// TestRandomConnectionFaults sends random parts of byte streams on many connections at a time and resets,
// half closes, closes or abandons them at any byte, with and without reading. The server must go on answering,
// and its counts must be exact afterwards. QUILLSHUNT_CONNS is the number of connections and QUILLSHUNT_SEED
// the seed, for longer runs by hand.
func TestRandomConnectionFaults(t *testing.T) {
	conns, seed := testvariable.Positive(t, "QUILLSHUNT_CONNS", 5000), testvariable.Positive(t, "QUILLSHUNT_SEED", 1)
	f, _ := newFaultServer(t)
	for done := 0; done < conns; {
		var batch sync.WaitGroup
		for range 50 {
			random := rand.New(rand.NewPCG(uint64(seed), uint64(done)))
			batch.Go(func() { f.misbehave(random) })
			done++
		}
		batch.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), answerWithin)
		client := NewClient(f.Addr(), 1, limits.MaxBodyBytes)
		if _, err := client.Do(ctx, http.MethodGet, "/healthz", nil); err != nil {
			t.Fatalf("no answer after %d connections, seed %d: %v", done, seed, err)
		}
		client.CloseIdleConnections()
		cancel()
	}
	f.checkAnswers()
}

// misbehave opens a connection, sends a stream in random pieces up to a random byte, and ends the connection
// in a random way.
func (f *faultServer) misbehave(random *rand.Rand) {
	conn, err := net.Dial("tcp", f.Addr())
	if err != nil {
		return // the server does not accept connections any more; the caller notices that
	}
	defer conn.Close()
	socket := conn.(*net.TCPConn)
	stream := []byte(randomStreams[random.IntN(len(randomStreams))])
	rest := stream[:1+random.IntN(len(stream))]
	for len(rest) > 0 {
		n := 1 + random.IntN(len(rest))
		if _, err := socket.Write(rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
		if random.IntN(4) == 0 {
			time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
		}
	}
	switch random.IntN(4) {
	case 0:
		reset(socket)
	case 1:
		_ = socket.CloseWrite()
		reset(socket)
	case 2:
		_ = socket.CloseWrite()
		_ = socket.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		_, _ = socket.Read(make([]byte, 100))
	case 3:
		_ = socket.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		_, _ = socket.Read(make([]byte, 100))
		reset(socket)
	}
}
