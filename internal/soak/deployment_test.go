package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/transport"
)

// zone is the only zone of the deployment.
const zone = "a"

// machineCPUs is the size of a machine.
const machineCPUs = 4

// team is the only team. Its limit never binds.
var team = config.Team{Name: "red", GuaranteedCPUs: 100, MaxCPUs: 1e6}

// workerTimes are short, so that leases expire and machines are fenced within a run.
var workerTimes = config.WorkerTimes{HeartbeatIntervalS: 1, LeaseS: 8, CancelWithinS: 25}

// options are the operators' options of the controllers.
const options = "[fleet]\nidle_timeout = \"4s\"\n"

// controller is a controller process.
type controller struct {
	name     string
	client   string // address for users
	peer     string // address for other controllers
	settings string // path of the settings file

	mu      sync.Mutex
	command *exec.Cmd     // nil while the process does not run
	ended   chan struct{} // closed when the process has ended
	paused  bool
}

// deployment is a set of controller processes with stand-ins for everything else. All its servers listen on
// the loopback interface.
type deployment struct {
	t           *testing.T
	size        size
	binary      string
	directory   string
	ctx         context.Context
	startedAt   time.Time
	state       *standin.StateService
	cloud       *standin.Cloud
	controllers []*controller
	links       map[string]*link // by linkName
	recorder    *recorder
	balancer    *standin.LoadBalancer // of the users

	cancelNow chan struct{} // closed when some users cancel their jobs at the same time
	closeOnce sync.Once     // closes cancelNow
}

// linkName returns the name of the link between two ends.
func linkName(from, to string) string { return from + ">" + to }

// Ends of links that are not controllers.
const (
	stateEnd   = "state"
	cloudEnd   = "cloud"
	workersEnd = "workers"
)

// newDeployment starts the stand-ins and the controllers. Everything ends with the test.
func newDeployment(t *testing.T, binary, directory string, size size) *deployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := &deployment{
		t: t, size: size, binary: binary, directory: directory, ctx: ctx, startedAt: time.Now(),
		state: standin.NewStateService(), links: map[string]*link{}, recorder: newRecorder(),
		cancelNow: make(chan struct{}),
	}
	d.state.SetRates(size.stateRPS, size.stateWriteRPS)
	for i := range size.controllers {
		d.controllers = append(d.controllers, &controller{
			name: fmt.Sprintf("controller-%d", i), client: d.freeAddress(), peer: d.freeAddress(),
		})
	}
	addresses := map[string]string{}
	for _, c := range d.controllers {
		addresses[c.name] = c.client
	}
	d.balancer = standin.NewLoadBalancer(addresses, nil, uint64(size.sockets))
	d.startStandins()
	if err := os.WriteFile(d.path("options.toml"), []byte(options), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range d.controllers {
		d.writeSettings(c)
		d.start(c)
		t.Cleanup(func() { d.kill(c) })
	}
	return d
}

func (d *deployment) path(name string) string { return filepath.Join(d.directory, name) }

// since returns the time since the start of the run.
func (d *deployment) since() time.Duration { return time.Since(d.startedAt) }

// Ports of servers are below those that the system gives to outgoing connections, so that a controller finds its
// port free when it returns.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// nextPort is the next port to be tried in this process. The first depends on the process, so that runs in
// other processes try others.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 997) }

// freeAddress returns an address on which nothing listens, and which it has not returned before.
func (d *deployment) freeAddress() string {
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String()
		}
	}
	d.t.Fatal("no port is free")
	return ""
}

// startStandins starts the state service, the cloud and all links.
func (d *deployment) startStandins() {
	log := slog.New(slog.DiscardHandler)
	workerAddresses := map[string]string{}
	cloudAddress := d.freeAddress()
	for _, c := range d.controllers {
		stateAddress := d.freeAddress()
		d.serve(d.state.ServerFor(c.name, stateAddress, log))
		d.addLink(linkName(c.name, stateEnd), stateAddress)
		d.addLink(linkName(c.name, cloudEnd), cloudAddress)
		workerAddresses[c.name] = d.addLink(linkName(workersEnd, c.name), c.client)
		for _, other := range d.controllers {
			if other != c {
				d.addLink(linkName(c.name, other.name), other.peer)
			}
		}
	}
	d.cloud = standin.NewCloud(d.ctx, standin.CloudOptions{
		MachineTypes: []protocol.MachineType{{
			Name: "c4", CPUs: machineCPUs, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 1,
			Price: 1, SpotPrice: 0.4, BootS: 1, Zones: []string{zone},
		}},
		State: d.state, Controllers: workerAddresses, Log: log, WorkerTimes: workerTimes,
		JobSpec: d.recorder.spec, OnTaskChange: d.recordTaskChange, OnCommands: d.recordExecution,
		OnRepeatedStart: d.recorder.addRepeatedStart,
	})
	d.serve(d.cloud.Server(cloudAddress))
}

// serve runs a server of a stand-in until the test ends.
func (d *deployment) serve(server *transport.Server) {
	go func() {
		if err := server.Run(d.ctx); err != nil && d.ctx.Err() == nil {
			d.t.Errorf("server of a stand-in: %v", err)
		}
	}()
}

// addLink adds a link to a server and returns its address.
func (d *deployment) addLink(name, upstream string) string {
	l, err := newLink(upstream)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(l.close)
	d.links[name] = l
	return l.addr()
}

// writeSettings writes the settings file of a controller.
func (d *deployment) writeSettings(c *controller) {
	settings := config.Settings{
		NodeName: c.name, Zone: zone, ClientListen: c.client, PeerBind: c.peer,
		External: config.External{
			Cloud: d.links[linkName(c.name, cloudEnd)].addr(),
			State: d.links[linkName(c.name, stateEnd)].addr(),
		},
		Deployment: config.Deployment{
			InitialSize: len(d.controllers), Zones: []string{zone}, Teams: []config.Team{team},
			Objectives: []config.Objective{}, Workers: workerTimes,
			State: config.StateLimits{
				RPS: d.size.stateRPS, WriteRPS: d.size.stateWriteRPS, ValueKB: 4, TxnOps: 8,
			},
			Cloud: config.CloudLimits{RPS: 20, ListLagS: 1},
			MachineLimits: config.MachineLimits{
				CoreShare: d.size.coreShare, MemoryMB: 300, MaxSockets: d.size.sockets,
			},
			MaxClockSkewMs: 50,
		},
	}
	for _, other := range d.controllers {
		if other != c {
			settings.Members = append(settings.Members, config.Member{
				NodeName: other.name, Zone: zone, Address: d.links[linkName(c.name, other.name)].addr(),
			})
		}
	}
	encoded, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		d.t.Fatal(err)
	}
	c.settings = d.path(c.name + ".json")
	if err := os.WriteFile(c.settings, encoded, 0o644); err != nil {
		d.t.Fatal(err)
	}
}

// start starts the process of a controller if it does not run. Its log is appended to a file.
func (d *deployment) start(c *controller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command != nil || d.ctx.Err() != nil {
		return
	}
	log, err := os.OpenFile(d.path(c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		d.t.Error(err)
		return
	}
	defer log.Close()
	command := exec.Command(d.binary, "--config", c.settings, "--options", d.path("options.toml"))
	command.Env = append(os.Environ(), "LOG_LEVEL=info")
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		d.t.Errorf("start %s: %v", c.name, err)
		return
	}
	ended := make(chan struct{})
	c.command, c.ended, c.paused = command, ended, false
	go func() {
		_ = command.Wait()
		c.mu.Lock()
		if c.command == command {
			c.command = nil
			d.recorder.addEndedByItself(fmt.Sprintf("%s at %v", c.name, d.since()))
		}
		c.mu.Unlock()
		close(ended)
	}()
}

// kill ends the process of a controller, as a crash would, and waits until it has ended.
func (d *deployment) kill(c *controller) {
	c.mu.Lock()
	command, ended := c.command, c.ended
	c.command = nil
	c.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

// pause stops the process of a controller, or lets it go on.
func (d *deployment) pause(c *controller, paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command == nil || c.paused == paused {
		return
	}
	c.paused = paused
	signal := syscall.SIGCONT
	if paused {
		signal = syscall.SIGSTOP
	}
	_ = c.command.Process.Signal(signal)
}

// isErrorLine reports whether a line of a log is of level ERROR or tells of a crash.
func isErrorLine(line string) bool {
	return strings.Contains(line, "level=ERROR") || strings.HasPrefix(line, "panic:") ||
		strings.HasPrefix(line, "fatal error:")
}

// errorLines returns the lines of level ERROR in the logs of the controllers.
func (d *deployment) errorLines() []string {
	var lines []string
	for _, c := range d.controllers {
		text, err := os.ReadFile(d.path(c.name + ".log"))
		if err != nil {
			d.t.Error(err)
		}
		for line := range strings.Lines(string(text)) {
			if isErrorLine(line) {
				lines = append(lines, strings.TrimSpace(line))
			}
		}
	}
	return lines
}
