package controller

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
)

// cluster runs the whole service in one process and in virtual time. An in-memory network connects real
// controllers to stand-ins for the state service, the cloud and the workers. The tests send user requests.
// The rules of the protocol are checked against the responses to these requests and the tasks that run on
// machines.
type cluster struct {
	t         *testing.T
	random    *rand.Rand
	ctx       context.Context
	startedAt time.Time
	network   *standin.Network
	state     *standin.StateService
	cloud     *standin.Cloud
	processes map[string]*process // running controllers, by node name
	nodeNames []string            // of all controllers, running or not
	log       *slog.Logger
	zones     []string // zone of each controller, in the order of nodeNames; machines use the same zones
	options   clusterOptions
	times     config.WorkerTimes

	blockedEntry blockedEntry

	errorMu      sync.Mutex
	errorEntries []string // log entries of level ERROR: violations of invariants at run time

	mu            sync.Mutex
	violations    []string          // one message for each violation of a rule
	jobs          map[string]*job   // by ID
	runningTasks  map[string]string // name of the machine that runs the task, by task name
	taskStarts    int               // number of task starts observed on machines
	submissions   int               // number of jobs created so far; part of the next job's ID
	deletionsFail bool              // the cloud rejects requests to delete machines
	rentalsFail   bool              // the cloud rejects requests to rent machines
	userRequests  sync.WaitGroup    // goroutines that make user requests; not guarded by mu
}

// clusterOptions are the sizes and limits of a cluster.
type clusterOptions struct {
	controllers int
	maxSockets  int // of each controller
	state       config.StateLimits
	enforced    bool // the state service enforces its rates
	times       config.WorkerTimes
}

// defaultClusterOptions returns the options of a small cluster with the given worker times.
func defaultClusterOptions(times config.WorkerTimes) clusterOptions {
	return clusterOptions{controllers: 3, maxSockets: 500, state: stateLimits, times: times}
}

// process is a running controller process.
type process struct {
	cancel         context.CancelFunc
	peerServerDone sync.WaitGroup
	controller     *Controller
	failed         chan error // receives the error with which the process has to end
}

const (
	heartbeatIntervalS = 2.0
	workerLeaseS       = 16.0
	cancelWithinS      = 40.0
	machineCPUs        = 8.0
)

var (
	gangWaitTimeoutS   = 20.0
	gangPeerDetectionS = 5.0
	defaultWorkerTimes = config.WorkerTimes{
		HeartbeatIntervalS: heartbeatIntervalS, LeaseS: workerLeaseS, CancelWithinS: cancelWithinS,
		GangWaitTimeoutS: &gangWaitTimeoutS, GangPeerDetectionS: &gangPeerDetectionS,
	}
)

// stateLimits are the current limits of the state service and the lower ones that are announced.
var (
	announcedValueKB = 2.0
	announcedTxnOps  = 4
	stateLimits      = config.StateLimits{
		RPS: 300, WriteRPS: 60, ValueKB: 4, TxnOps: 8,
		Next: &config.NextStateLimits{ValueKB: &announcedValueKB, TxnOps: &announcedTxnOps},
	}
)

var teams = []config.Team{
	{Name: "red", GuaranteedCPUs: 16, MaxCPUs: 32},
	{Name: "blue", GuaranteedCPUs: 16, MaxCPUs: 48},
}

// runScenario starts a cluster in a synctest bubble, which has virtual time, and runs a scenario in it.
// The test fails with one error for each rule violation.
func runScenario(t *testing.T, seed uint64, times config.WorkerTimes, scenario func(c *cluster)) {
	runScenarioOf(t, seed, defaultClusterOptions(times), scenario)
}

// runScenarioOf is runScenario for a cluster with other options.
func runScenarioOf(t *testing.T, seed uint64, options clusterOptions, scenario func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(ctx, t, seed, options)
		for _, name := range c.nodeNames {
			c.startController(name)
		}
		go c.checkRulesPeriodically()
		scenario(c)
		c.userRequests.Wait()
		c.reportViolations()
		cancel()
		c.shutDown()
	})
}

// newCluster returns a cluster in which the stand-ins of the state service and the cloud run, but no
// controller yet. Everything in the cluster runs until the context ends.
func newCluster(ctx context.Context, t *testing.T, seed uint64, options clusterOptions) *cluster {
	c := &cluster{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 11)),
		ctx:          ctx,
		startedAt:    time.Now(),
		network:      standin.NewNetwork(time.Millisecond),
		state:        standin.NewStateService(),
		processes:    map[string]*process{},
		zones:        []string{"a", "b", "c"},
		options:      options,
		times:        options.times,
		log:          slog.New(slog.NewTextHandler(logOutput(), &slog.HandlerOptions{Level: slog.LevelDebug})),
		jobs:         map[string]*job{},
		runningTasks: map[string]string{},
	}
	if options.enforced {
		c.state.SetRates(options.state.RPS, options.state.WriteRPS)
	}
	controllers := map[string]string{}
	for i := range options.controllers {
		name := fmt.Sprintf("controller-%d", i)
		c.nodeNames = append(c.nodeNames, name)
		controllers[name] = name + ":8080"
		go standin.ServeListener(c.network.Listen("state-"+name+":1"), c.state.ServerFor(name, "", c.log))
	}
	c.cloud = standin.NewCloud(ctx, standin.CloudOptions{
		MachineTypes: []protocol.MachineType{{
			Name: "c8", CPUs: machineCPUs, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 1,
			Price: 1, SpotPrice: 0.4, BootS: 4, Zones: c.zones,
		}},
		State: c.state, Controllers: controllers, Log: c.log, Network: c.network, WorkerTimes: c.times,
		JobSpec: c.jobSpec, OnTaskChange: c.onTaskChange, InjectFault: c.cloudFault,
		OnRepeatedStart: c.onRepeatedStart,
	})
	go standin.ServeListener(c.network.Listen("cloud:1"), c.cloud.Server(""))
	return c
}

// shutDown kills all controllers and machines and removes all hosts from the network. It then waits
// until pending requests have timed out.
func (c *cluster) shutDown() {
	for _, name := range c.nodeNames {
		c.killController(name)
	}
	for _, name := range c.cloud.MachineNames() {
		c.cloud.KillMachine(name)
	}
	for _, host := range append([]string{"cloud", "users", "copies"}, c.nodeNames...) {
		c.network.RemoveHost(host)
		c.network.RemoveHost("state-" + host)
	}
	time.Sleep(2 * time.Minute)
}

// logOutput returns the destination of the logs: standard error if QUILLSHUNT_LOG is set, else none.
func logOutput() io.Writer {
	if os.Getenv("QUILLSHUNT_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

// elapsed returns the time since the start of the cluster.
func (c *cluster) elapsed() time.Duration { return time.Since(c.startedAt) }

// settingsOf returns the settings of the named controller.
func (c *cluster) settingsOf(name string) *config.Settings {
	settings := &config.Settings{
		NodeName: name,
		Zone:     "a",
		External: config.External{Cloud: "cloud:1", State: "state-" + name + ":1"},
		Deployment: config.Deployment{
			Zones:          c.zones,
			Teams:          teams,
			Workers:        c.times,
			State:          c.options.state.LowerOfCurrentAndNext(),
			Cloud:          config.CloudLimits{RPS: 5, ListLagS: 2},
			MachineLimits:  config.MachineLimits{CoreShare: 0.2, MemoryMB: 100, MaxSockets: c.options.maxSockets},
			MaxClockSkewMs: 100,
		},
	}
	for i, other := range c.nodeNames {
		if other != name {
			settings.Members = append(settings.Members,
				config.Member{NodeName: other, Zone: c.zones[i%len(c.zones)], Address: other + ":8081"})
		}
	}
	return settings
}

// startController starts the named controller's process if it is not running.
func (c *cluster) startController(name string) {
	if c.processes[name] != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	log := slog.New(&errorRecorder{Handler: c.log.Handler(), cluster: c, node: name}).With("node", name)
	controller, err := New(c.settingsOf(name), config.DefaultOptions(), c.network.Dialer(name), log)
	if err != nil {
		c.t.Fatal(err)
	}
	p := &process{cancel: cancel, controller: controller, failed: make(chan error, 1)}
	c.processes[name] = p
	controller.start(ctx, p.failed)
	go standin.ServeListener(c.network.Listen(name+":8080"), controller.clientServer)
	peerListener := c.network.Listen(name + ":8081")
	p.peerServerDone.Go(func() { _ = controller.peerServer.Serve(ctx, peerListener) })
}

// killController ends a controller's process as kill -9 would: its host is removed from the network
// first, so that nothing that the process still does has an effect on other hosts. It does nothing if
// the controller is not running.
func (c *cluster) killController(name string) {
	p := c.processes[name]
	if p == nil {
		return
	}
	c.network.RemoveHost(name)
	p.cancel()
	p.peerServerDone.Wait()
	p.controller.peers.Close()
	c.mu.Lock()
	delete(c.processes, name)
	c.mu.Unlock()
	c.log.Info("controller killed", "node", name)
}

// restartController kills a controller and starts it again after the downtime.
func (c *cluster) restartController(name string, downtime time.Duration) {
	c.killController(name)
	time.Sleep(downtime)
	c.startController(name)
}

// isEntitled reports whether a controller is running and currently entitled to act as the leader.
func (c *cluster) isEntitled(name string) bool {
	p := c.processes[name]
	return p != nil && p.controller.dispatcher.IsEntitled()
}

// waitForLeader waits until exactly one controller is entitled to act as the leader, and returns its
// name. After a minute it fails the test and returns the first controller's name.
func (c *cluster) waitForLeader() string {
	for range 600 {
		var leaders []string
		for _, name := range c.nodeNames {
			if c.isEntitled(name) {
				leaders = append(leaders, name)
			}
		}
		if len(leaders) == 1 {
			return leaders[0]
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Error("at no time within a minute was exactly one controller entitled")
	return c.nodeNames[0]
}

// otherController returns the name of the first controller that is not excluded, or "" if all are.
func (c *cluster) otherController(excluded ...string) string {
	for _, name := range c.nodeNames {
		if !slices.Contains(excluded, name) {
			return name
		}
	}
	return ""
}

// currentTerm returns the number of the latest term, as stored in the state service.
func (c *cluster) currentTerm() uint64 {
	key, _ := c.state.Get(storage.KeyLeaderHeartbeat)
	var record storage.LeaderHeartbeat
	if key.Version != 0 && protocol.Decode(key.Value, &record) != nil {
		c.t.Fatal("cannot decode the leader heartbeat of the state service")
	}
	return record.Term
}

// waitForLeaderAfterTerm waits until a term later than the given one has begun and has a leader, and
// returns the leader's name. If no later term begins within a minute, it fails the test and returns the
// first controller's name.
func (c *cluster) waitForLeaderAfterTerm(term uint64) string {
	for range 600 {
		if c.currentTerm() > term {
			return c.waitForLeader()
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Errorf("no term after term %d within a minute", term)
	return c.nodeNames[0]
}
