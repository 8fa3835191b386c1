package standin

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// Times of the workers. CloudOptions.WorkerTimes can replace all except responseTimeout and retryInterval.
const (
	heartbeatInterval = time.Second
	leaseDuration     = 10 * time.Second
	responseTimeout   = 4 * time.Second
	retryInterval     = time.Second

	gangWaitTimeout   = 40 * time.Second
	gangPeerDetection = 6 * time.Second
)

const (
	workerMaxConns = 20      // inbound connections for direct commands and probes
	workerPort     = ":9000" // port for them on a Network
)

// worker is a machine of the fake cloud and the worker process on it. Its tasks only wait for the run time that
// the job's specification estimates.
type worker struct {
	cloud       *Cloud
	machineType *protocol.MachineType
	cancel      context.CancelFunc
	createdAt   time.Time

	mu           sync.Mutex
	machine      protocol.Machine
	incarnation  uint64           // 0: booting or killed
	sequence     uint64           // of the last heartbeat
	fencingToken uint64           // the highest token received
	leaseStart   time.Time        // when the heartbeat of the last accepted reply was sent, or the incarnation started
	hungUntil    atomic.Int64     // in Unix nanoseconds; gangs read it without mu
	tasks        map[string]*task // see taskKey

	executedCalls []protocol.DirectCommands // of the present incarnation, with starts, oldest first
}

// run boots the machine and sends heartbeats until the context is cancelled.
func (w *worker) run(ctx context.Context) {
	if !storage.SleepContext(ctx, limits.Seconds(w.machineType.BootS)) {
		return
	}
	addr, err := w.listen(ctx)
	if err != nil {
		w.cloud.options.Log.Error("worker failed to listen", "machine", w.machine.Name, "err", err)
		return
	}
	if !w.startFirstIncarnation(ctx, addr) {
		return
	}
	controllers := newControllerList(w.cloud, w.machine.Name)
	defer controllers.close()
	for w.waitWhileHung(ctx) {
		pause, alive := w.exchangeHeartbeat(ctx, controllers)
		if !alive || !storage.SleepContext(ctx, pause) {
			return
		}
	}
}

// startFirstIncarnation marks the machine as running in its first incarnation. It returns false if the machine
// was killed while it booted.
func (w *worker) startFirstIncarnation(ctx context.Context, addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	w.machine.Address, w.machine.State = addr, protocol.MachineRunning
	w.incarnation, w.tasks, w.leaseStart = 1, map[string]*task{}, time.Now()
	return true
}

// exchangeHeartbeat sends a heartbeat and applies the reply, unless it arrives too late. If the controller
// does not accept the heartbeat, the worker switches to the leader named in the response, or else to the next
// controller. It returns the pause before the next heartbeat, and false if the machine was killed.
func (w *worker) exchangeHeartbeat(ctx context.Context, controllers *controllerList) (pause time.Duration, alive bool) {
	sent := time.Now()
	w.mu.Lock()
	heartbeat := w.heartbeat()
	w.mu.Unlock()
	response := w.sendHeartbeat(ctx, controllers.currentClient(), heartbeat)
	if !w.waitWhileHung(ctx) {
		return 0, false
	}
	switch {
	case response.status == http.StatusOK:
		if time.Since(sent) < responseTimeout {
			w.applyReply(heartbeat.Incarnation, response.reply, sent)
		}
		return limits.Seconds(w.cloud.options.WorkerTimes.HeartbeatIntervalS), true
	case response.status == http.StatusMisdirectedRequest &&
		response.leader != "" && response.leader != controllers.currentName():
		controllers.switchTo(response.leader)
		return retryInterval / 10, true
	}
	controllers.useNext()
	return retryInterval, true
}

// controllerList holds the controllers that a worker knows. The worker uses one of them at a time.
type controllerList struct {
	names   []string
	clients map[string]*transport.Client // by controller name
	index   int                          // of the controller in use, in names
}

func newControllerList(c *Cloud, host string) *controllerList {
	list := &controllerList{
		names:   slices.Sorted(maps.Keys(c.options.Controllers)),
		clients: map[string]*transport.Client{},
	}
	for name, addr := range c.options.Controllers {
		list.clients[name] = transport.NewClient(addr, 1, limits.MaxBodyBytes).WithDialer(c.dialer(host))
	}
	return list
}

func (l *controllerList) currentName() string              { return l.names[l.index] }
func (l *controllerList) currentClient() *transport.Client { return l.clients[l.currentName()] }
func (l *controllerList) useNext()                         { l.index = (l.index + 1) % len(l.names) }

// switchTo closes the connection to the current controller and switches to the leader, if it is in the list.
func (l *controllerList) switchTo(leader string) {
	l.currentClient().CloseIdleConnections()
	if at := slices.Index(l.names, leader); at >= 0 {
		l.index = at
	}
}

func (l *controllerList) close() {
	for _, client := range l.clients {
		client.CloseIdleConnections()
	}
}

// listen starts the server for direct commands and probes, and returns its address.
func (w *worker) listen(ctx context.Context) (string, error) {
	options := transport.ServerOptions{MaxConns: workerMaxConns, Handle: w.handle, Log: w.cloud.options.Log}
	if network := w.cloud.options.Network; network != nil {
		addr := w.machine.Name + workerPort
		go ServeListener(network.Listen(addr), transport.NewServer(options))
		return addr, nil
	}
	addr, err := freeAddress()
	if err != nil {
		return "", err
	}
	options.Addr = addr
	go func() {
		if err := transport.NewServer(options).Run(ctx); err != nil {
			w.cloud.options.Log.Error("server of worker failed", "machine", w.machine.Name, "err", err)
		}
	}()
	return addr, nil
}

// waitWhileHung blocks while the machine hangs. It then starts a new incarnation if the lease has expired
// meanwhile, before the worker can act on its old tasks. It returns false if the machine was killed.
func (w *worker) waitWhileHung(ctx context.Context) bool {
	for {
		w.mu.Lock()
		hung := w.remainingHang()
		if hung <= 0 {
			w.restartIfLeaseExpired()
			w.mu.Unlock()
			return ctx.Err() == nil
		}
		w.mu.Unlock()
		if !storage.SleepContext(ctx, hung) {
			return false
		}
	}
}

// remainingHang returns for how much longer the machine hangs. A machine that does not hang has 0 or less left.
func (w *worker) remainingHang() time.Duration { return time.Until(time.Unix(0, w.hungUntil.Load())) }

// isLeaseExpired reports whether the worker's lease has expired. The caller holds mu.
func (w *worker) isLeaseExpired() bool {
	return time.Since(w.leaseStart) > limits.Seconds(w.cloud.options.WorkerTimes.LeaseS)
}

// restartIfLeaseExpired kills all tasks and starts the next incarnation if the lease has expired. The caller
// holds mu.
func (w *worker) restartIfLeaseExpired() {
	if w.incarnation > 0 && w.isLeaseExpired() {
		w.killAll()
		w.executedCalls = nil
		w.incarnation++
		w.leaseStart = time.Now()
	}
}

// heartbeatResponse is a controller's response to a heartbeat.
type heartbeatResponse struct {
	status int                     // 0: no valid response
	leader string                  // for status 421: the leader, or "" if the controller knows none
	reply  protocol.HeartbeatReply // for status 200
}

// sendHeartbeat sends a heartbeat and decodes the response. If the test has asked for duplicates, it also
// schedules the later arrival of a copy; see heartbeatDuplicateDelay.
func (w *worker) sendHeartbeat(
	ctx context.Context, client *transport.Client, heartbeat protocol.Heartbeat,
) heartbeatResponse {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	body := protocol.Encode(heartbeat)
	if delay, ok := w.cloud.heartbeatDuplicateDelay(w.machine.Name); ok {
		time.AfterFunc(delay, func() { w.sendDuplicateHeartbeat(body) })
	}
	httpResponse, err := client.Do(ctx, http.MethodPost, "/v1/report", body)
	if err != nil {
		return heartbeatResponse{}
	}
	response := heartbeatResponse{status: httpResponse.Status}
	switch httpResponse.Status {
	case http.StatusOK:
		if protocol.Decode(httpResponse.Body, &response.reply) != nil {
			return heartbeatResponse{}
		}
	case http.StatusMisdirectedRequest:
		var redirect protocol.Redirect
		if protocol.Decode(httpResponse.Body, &redirect) == nil {
			response.leader = redirect.Leader
		}
	}
	return response
}

// sendDuplicateHeartbeat sends a duplicate of an earlier heartbeat to every controller and ignores the responses.
func (w *worker) sendDuplicateHeartbeat(body []byte) {
	for _, addr := range w.cloud.options.Controllers {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
			defer cancel()
			client := transport.NewClient(addr, 0, limits.MaxBodyBytes).WithDialer(w.cloud.dialer("copies"))
			_, _ = client.Do(ctx, http.MethodPost, "/v1/report", body)
		}()
	}
}

// applyReply renews the lease from the time when the heartbeat was sent, and executes the commands of the reply.
// It ignores the reply if a higher fencing token was received or a new incarnation has started meanwhile.
func (w *worker) applyReply(incarnation uint64, reply protocol.HeartbeatReply, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.FencingToken < w.fencingToken || incarnation != w.incarnation {
		return
	}
	w.fencingToken, w.leaseStart = reply.FencingToken, sent
	w.notifyCommands()
	w.executeCommands(reply.Commands)
}

// notifyCommands calls OnCommands, if it is set. The caller holds mu.
func (w *worker) notifyCommands() {
	if w.cloud.options.OnCommands != nil {
		w.cloud.options.OnCommands(w.machine.Name, w.incarnation, w.fencingToken)
	}
}

// handle responds to a probe or to direct commands. While the machine hangs, it postpones the response.
func (w *worker) handle(req *transport.Message, rsp *transport.Responder) {
	if hung := w.remainingHang(); hung > 0 {
		time.AfterFunc(hung, func() { w.handle(req, rsp) })
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restartIfLeaseExpired()
	switch {
	case w.incarnation == 0: // killed
		rsp.Respond(http.StatusNotFound, nil, 0)
	case req.Path == "/status" && req.Method == http.MethodGet:
		rsp.Respond(http.StatusOK, protocol.Encode(w.heartbeat()), 0)
	case req.Path == "/do" && req.Method == http.MethodPost:
		status, body := w.executeDirectCommands(req.Body)
		rsp.Respond(status, body, 0)
	default:
		rsp.Respond(http.StatusNotFound, nil, 0)
	}
}

// executeDirectCommands executes direct commands and returns the response. It executes none if a higher fencing
// token was received or they are for another incarnation. The caller holds mu.
func (w *worker) executeDirectCommands(body []byte) (status int, response []byte) {
	var request protocol.DirectCommands
	if err := protocol.Decode(body, &request); err != nil || request.Incarnation == 0 {
		return http.StatusBadRequest, nil
	}
	if !w.accepts(request) {
		return http.StatusConflict, protocol.Encode(w.heartbeat())
	}
	w.executeAccepted(request)
	w.recordExecutedCall(request)
	return http.StatusOK, protocol.Encode(w.heartbeat())
}

// executeAccepted executes direct commands that the worker accepts. The caller holds mu.
func (w *worker) executeAccepted(request protocol.DirectCommands) {
	w.fencingToken = request.FencingToken
	w.notifyCommands()
	w.executeCommands(request.Commands)
}

// usedAddresses holds the addresses that freeAddress has returned. Servers share their port with other listeners
// of the same process, so that a second server on an address would get some of the requests of the first.
var usedAddresses sync.Map

// freeAddress returns an address with a free TCP port on the loopback interface, which it has not returned
// before.
func freeAddress() (string, error) {
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			return "", err
		}
		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			return address, nil
		}
	}
}
