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

// cluster is the whole service in one process and in virtual time: real controllers, and stand-ins
// of everything around them, over a network in memory. It checks the rules of the protocol by the
// answers that users get and by the tasks that machines run.
type cluster struct {
	t         *testing.T
	random    *rand.Rand
	ctx       context.Context
	startedAt time.Time
	network   *standin.Network
	state     *standin.StateService
	cloud     *standin.Cloud
	processes map[string]*process // controllers that run, by node name
	nodeNames []string            // of all controllers
	log       *slog.Logger
	zones     []string // of the controllers, in their order

	mu            sync.Mutex
	violations    []string          // of the rules
	jobs          map[string]*job   // by ID
	runningTasks  map[string]string // machine by task
	taskStarts    int
	submissions   int
	deletionsFail bool           // the cloud deletes no machines
	users         sync.WaitGroup // requests of users under way; not guarded by mu
}

// process is the process of a controller that runs.
type process struct {
	cancel     context.CancelFunc
	done       sync.WaitGroup
	controller *Controller
}

const (
	reportS  = 2.0
	leaseS   = 16.0
	cancelS  = 40.0
	capacity = 8.0 // CPUs of a machine
)

var (
	gangWaitS = 20.0
	gangPeerS = 5.0
	workers   = config.Workers{
		ReportS: reportS, LeaseS: leaseS, CancelS: cancelS, GangWaitS: &gangWaitS, GangPeerS: &gangPeerS,
	}
)

var (
	nextValueKB = 2.0
	nextTxnOps  = 4
	stateLimits = config.State{
		RPS: 300, WriteRPS: 60, ValueKB: 4, TxnOps: 8,
		Next: &config.NextState{ValueKB: &nextValueKB, TxnOps: &nextTxnOps},
	}
)

var teams = []config.Team{
	{Name: "red", CPUs: 16, CPUsMax: 32},
	{Name: "blue", CPUs: 16, CPUsMax: 48},
}

// runScenario starts a cluster in a bubble of virtual time, runs a scenario in it, and fails the test
// for every rule that was broken.
func runScenario(t *testing.T, seed uint64, scenario func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(ctx, t, seed)
		for _, name := range c.nodeNames {
			c.startController(name)
		}
		go c.checkContinuously()
		scenario(c)
		c.users.Wait()
		c.reportViolations()
		cancel()
		c.shutDown()
	})
}

// newCluster starts the stand-ins of the services around the controllers. The context ends whatever
// runs in the cluster.
func newCluster(ctx context.Context, t *testing.T, seed uint64) *cluster {
	c := &cluster{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 11)),
		ctx:          ctx,
		startedAt:    time.Now(),
		network:      standin.NewNetwork(time.Millisecond),
		state:        standin.NewStateService(),
		processes:    map[string]*process{},
		zones:        []string{"a", "b", "c"},
		log:          slog.New(slog.NewTextHandler(logOutput(), &slog.HandlerOptions{Level: slog.LevelDebug})),
		jobs:         map[string]*job{},
		runningTasks: map[string]string{},
	}
	controllers := map[string]string{}
	for i := range 3 {
		name := fmt.Sprintf("controller-%d", i)
		c.nodeNames = append(c.nodeNames, name)
		controllers[name] = name + ":8080"
		go standin.ServeListener(c.network.Listen("state-"+name+":1"), c.state.ServerFor(name, "", c.log))
	}
	c.cloud = standin.NewCloud(ctx, standin.CloudOptions{
		MachineTypes: []protocol.MachineType{{
			Name: "c8", CPUs: capacity, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 1,
			Price: 1, SpotPrice: 0.4, BootS: 4, Zones: c.zones,
		}},
		State: c.state, Controllers: controllers, Log: c.log, Network: c.network, WorkerTimes: workers,
		JobSpec: c.jobSpec, OnTaskChange: c.observeTask, InjectFault: c.cloudFault,
	})
	go standin.ServeListener(c.network.Listen("cloud:1"), c.cloud.Server(""))
	return c
}

// shutDown ends all processes and removes all hosts, and waits until nothing waits for an answer
// any more.
func (c *cluster) shutDown() {
	for _, name := range c.nodeNames {
		c.killController(name)
	}
	for _, name := range c.cloud.Machines() {
		c.cloud.Kill(name)
	}
	for _, host := range append([]string{"cloud", "users", "copies"}, c.nodeNames...) {
		c.network.RemoveHost(host)
		c.network.RemoveHost("state-" + host)
	}
	time.Sleep(2 * time.Minute)
}

// logOutput returns where the logs go: QUILLSHUNT_LOG=1 prints them.
func logOutput() io.Writer {
	if os.Getenv("QUILLSHUNT_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

// now returns the time since the start of the cluster.
func (c *cluster) now() time.Duration { return time.Since(c.startedAt) }

// settingsOf returns the settings of a controller.
func (c *cluster) settingsOf(name string) *config.Settings {
	settings := &config.Settings{
		NodeName: name,
		Zone:     "a",
		External: config.External{Cloud: "cloud:1", State: "state-" + name + ":1"},
		Facts: config.Facts{
			Zones:   c.zones,
			Teams:   teams,
			Workers: workers,
			State:   stateLimits.Lowest(),
			Cloud:   config.Cloud{RPS: 5, ListLagS: 2},
			Machine: config.MachineLimits{CoreShare: 0.2, MemoryMB: 100, MaxSockets: 500},
			SkewMs:  100,
		},
	}
	for i, other := range c.nodeNames {
		if other != name {
			settings.Members = append(settings.Members,
				config.Member{NodeName: other, Zone: c.zones[i], Address: other + ":8081"})
		}
	}
	return settings
}

// startController starts a controller's process, unless it runs.
func (c *cluster) startController(name string) {
	if c.processes[name] != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	log := c.log.With("node", name)
	controller, err := New(c.settingsOf(name), config.DefaultOptions(), c.network.Dialer(name), log)
	if err != nil {
		c.t.Fatal(err)
	}
	p := &process{cancel: cancel, controller: controller}
	c.processes[name] = p
	controller.start(ctx)
	go standin.ServeListener(c.network.Listen(name+":8080"), controller.clientServer)
	peerListener := c.network.Listen(name + ":8081")
	p.done.Go(func() { _ = controller.peerServer.Serve(ctx, peerListener) })
}

// killController ends a controller's process as if it were killed: nothing that it does from now on
// reaches anybody.
func (c *cluster) killController(name string) {
	p := c.processes[name]
	if p == nil {
		return
	}
	c.network.RemoveHost(name)
	p.cancel()
	p.done.Wait()
	p.controller.peers.Close()
	c.mu.Lock()
	delete(c.processes, name)
	c.mu.Unlock()
	c.log.Info("killed", "node", name)
}

// restartController kills a controller and starts it again after a while.
func (c *cluster) restartController(name string, after time.Duration) {
	c.killController(name)
	time.Sleep(after)
	c.startController(name)
}

// entitled reports whether a controller runs and is entitled to act as the leader.
func (c *cluster) entitled(name string) bool {
	p := c.processes[name]
	return p != nil && p.controller.dispatcher.Entitled()
}

// waitForLeader waits until exactly one controller is entitled, and returns its name.
func (c *cluster) waitForLeader() string {
	for range 600 {
		var leaders []string
		for _, name := range c.nodeNames {
			if c.entitled(name) {
				leaders = append(leaders, name)
			}
		}
		if len(leaders) == 1 {
			return leaders[0]
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Error("no controller leads for a minute")
	return c.nodeNames[0]
}

// otherThan returns the first controller that is not among those named.
func (c *cluster) otherThan(excluded ...string) string {
	for _, name := range c.nodeNames {
		if !slices.Contains(excluded, name) {
			return name
		}
	}
	return ""
}

// currentTerm returns the highest term so far.
func (c *cluster) currentTerm() uint64 {
	key, _ := c.state.Get(storage.KeyTerm)
	var record storage.TermRecord
	if key.Version != 0 && protocol.Decode(key.Value, &record) != nil {
		c.t.Fatal("the term record cannot be decoded")
	}
	return record.Term
}

// waitForTermAfter waits until there is a leader of a later term, and returns its name.
func (c *cluster) waitForTermAfter(term uint64) string {
	for range 600 {
		if c.currentTerm() > term {
			return c.waitForLeader()
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Error("no later term within a minute")
	return c.nodeNames[0]
}
