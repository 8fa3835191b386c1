package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
)

// rig is a small deployment: controllers as processes, everything else in this process.
type rig struct {
	ctx         context.Context
	stop        context.CancelFunc
	dir         string
	record      *record
	state       *stateService
	stateAddr   string
	cloud       *standin.Cloud
	types       []protocol.MachineType
	controllers []*controller

	gateCloud bool          // whether the cloud may refuse rentals
	gate      *capacityGate // nil unless gateCloud is set

	mu          sync.Mutex
	specs       map[string]protocol.Spec
	taskStarted bool
}

// controller is one controller process.
type controller struct {
	name, client, peer, settings string
	process                      *exec.Cmd
	ended                        chan struct{}
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// unavailable ends a case that could not run.
type unavailable struct{ reason string }

func must(err error) {
	if err != nil {
		panic(unavailable{err.Error()})
	}
}

// newRig starts the state service and the cloud. The controllers are started by startControllers.
func newRig(recordFile string, limits stateLimits, types []protocol.MachineType) *rig {
	file, err := os.Create(recordFile)
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	ctx, stop := context.WithCancel(context.Background())
	g := &rig{
		ctx: ctx, stop: stop, dir: dir, types: types,
		record: &record{file: file, start: time.Now()}, state: newStateService(limits), specs: map[string]protocol.Spec{},
	}
	ln, err := listen()
	must(err)
	g.stateAddr = ln.Addr().String()
	go g.state.serve(ln)
	return g
}

// close ends all processes that the rig has started.
func (g *rig) close() {
	for _, c := range g.controllers {
		g.kill(c)
	}
	g.stop()
	answers, tooLarge, ledger := g.state.stats()
	g.record.add("state service: answers by status %v, values too large by key %v, ledger %d", answers, tooLarge, ledger)
	_ = os.RemoveAll(g.dir)
}

// facts are the settings that all controllers share.
type facts map[string]any

// siteFacts returns the settings of the site brindle-hollow-ops-next, for fewer controllers.
func siteFacts(controllers int) facts {
	return facts{
		"initial_size": controllers,
		"zones":        []string{"trent-vale"},
		"teams": []facts{
			{"name": "fieldops", "cpus": 1000.0, "cpus_max": 2500.0, "gpus": 0.0, "gpus_max": 0.0},
			{"name": "billing-desk", "cpus": 1800.0, "cpus_max": 6000.0, "gpus": 0.0, "gpus_max": 0.0},
		},
		"objectives": []facts{},
		"workers": facts{
			"report_s": 1.5, "lease_s": 14.0, "gang_wait_s": 40.0, "gang_peer_s": 8.0, "cancel_s": 34.0,
		},
		"state": facts{
			"rps": 150.0, "write_rps": 20.0, "value_kb": 4.0, "txn_ops": 8,
			"next": facts{"write_rps": 15.0, "value_kb": 2.0, "txn_ops": 4},
		},
		"cloud":          facts{"rps": 3.0, "list_lag_s": 4.0},
		"machine_limits": facts{"core_share": 0.144, "memory_mb": 98.0, "max_sockets": 900},
		"skew_ms":        100.0,
	}
}

// startControllers starts the cloud and the controllers with the run command of the deploy file.
func (g *rig) startControllers(count int, settings facts) {
	for i := range count {
		client, err := freeAddress()
		must(err)
		peer, err := freeAddress()
		must(err)
		g.controllers = append(g.controllers, &controller{name: fmt.Sprintf("rig-%d", i), client: client, peer: peer})
	}
	addresses := map[string]string{}
	for _, c := range g.controllers {
		addresses[c.name] = c.client
	}
	g.cloud = standin.NewCloud(g.ctx, standin.CloudOptions{
		MachineTypes: g.types, Controllers: addresses, Log: slog.New(slog.DiscardHandler), JobSpec: g.spec,
		OnTaskChange: func(machine, task string, runs bool) {
			g.record.add("machine %s: task %s on it: %v", machine, task, runs)
			g.mu.Lock()
			g.taskStarted = g.taskStarted || runs
			g.mu.Unlock()
		},
		WorkerTimes: workerTimes(settings),
	})
	cloudAddr := g.startCloud()
	if g.gateCloud {
		g.gate = newCapacityGate(g.record, cloudAddr)
		ln, err := listen()
		must(err)
		cloudAddr = ln.Addr().String()
		go func() { _ = (&http.Server{Handler: g.gate}).Serve(ln) }()
	}
	for _, c := range g.controllers {
		members := []facts{}
		for _, other := range g.controllers {
			if other != c {
				members = append(members, facts{"node_name": other.name, "zone": "trent-vale", "address": other.peer})
			}
		}
		text, err := json.Marshal(facts{
			"node_name": c.name, "zone": "trent-vale", "client_listen": c.client, "peer_bind": c.peer,
			"members": members, "external": facts{"cloud": cloudAddr, "state": g.stateAddr}, "facts": settings,
		})
		must(err)
		c.settings = filepath.Join(g.dir, c.name+".json")
		must(os.WriteFile(c.settings, text, 0o644))
		g.start(c)
	}
}

// workerTimes returns the times of the settings for the workers.
func workerTimes(settings facts) config.WorkerTimes {
	text, err := json.Marshal(settings["workers"])
	must(err)
	var times config.WorkerTimes
	must(json.Unmarshal(text, &times))
	return times
}

// startCloud starts the server of the cloud and returns its address once it answers.
func (g *rig) startCloud() string {
	for range 5 {
		addr, err := freeAddress()
		must(err)
		go func() { _ = g.cloud.Server(addr).Run(g.ctx) }()
		for range 10 {
			if status, _ := call("GET", addr, "/machine_types", nil, time.Second); status == http.StatusOK {
				return addr
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	panic(unavailable{"the stand-in of the cloud does not answer"})
}

// started reports whether any task was started.
func (g *rig) started() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.taskStarted
}

func (g *rig) spec(job string) (protocol.Spec, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	spec, ok := g.specs[job]
	return spec, ok
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// start starts a controller's process.
func (g *rig) start(c *controller) {
	deploy, err := os.ReadFile("deploy/service.toml")
	must(err)
	found := runLine.FindSubmatch(deploy)
	if found == nil {
		panic(unavailable{"deploy/service.toml has no run line"})
	}
	command := append(strings.Fields(string(found[1])), c.settings)
	log, err := os.OpenFile(filepath.Join(g.dir, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	must(err)
	defer log.Close()
	c.process = exec.Command(command[0], command[1:]...)
	c.process.Stderr = log
	c.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(c.process.Start())
	c.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		g.record.add("process %s has ended", c.name)
		close(ended)
	}(c.process, c.ended)
	g.record.add("process %s started", c.name)
}

// kill ends a controller's process, as a crash would.
func (g *rig) kill(c *controller) {
	if c.process == nil {
		return
	}
	_ = c.process.Process.Kill()
	<-c.ended
	c.process = nil
}

// waitHealthy waits until all controllers pass the health check of the load balancer.
func (g *rig) waitHealthy() {
	for deadline := time.Now().Add(20 * time.Second); ; {
		healthy := 0
		for _, c := range g.controllers {
			if status, _ := call("GET", c.client, "/healthz", nil, time.Second); status == 200 {
				healthy++
			}
		}
		if healthy == len(g.controllers) {
			return
		}
		if time.Now().After(deadline) {
			panic(unavailable{"the controllers do not become healthy"})
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// submission returns the body of a submission in the form of the page: amounts are decimal numbers, counts integers.
func submission(spec protocol.Spec) []byte {
	orNull := func(s string) any {
		if s == "" {
			return nil
		}
		return s
	}
	var types any
	if spec.MachineTypes != nil {
		types = spec.MachineTypes
	}
	return encode(map[string]any{
		"NameId": spec.ID, "Docket": spec.Class, "Crew": spec.Team, "Shape": string(spec.Shape), "Urgency": spec.Priority,
		"Pieces": spec.Tasks, "Vcpus": spec.CPUs, "Accelerators": spec.Accelerators, "RamGb": spec.MemoryGB,
		"Bundle": spec.Image, "SizeGb": spec.ImageGB, "Rigkinds": types, "Yard": orNull(spec.Zone),
		"Together": spec.SameZone, "Scatter": spec.SpreadZones, "Lendable": spec.Spot, "ReckonS": spec.EstimateS,
		"BookmarkS": spec.CheckpointS, "StashS": spec.SaveS, "DueS": spec.DeadlineS,
	})
}

// submitOnce sends a submission once to one controller.
func (g *rig) submitOnce(c *controller, spec protocol.Spec) int {
	g.mu.Lock()
	g.specs[spec.ID] = spec
	g.mu.Unlock()
	status, reply := call("POST", c.client, "/v2/runs", submission(spec), 5*time.Second)
	g.record.add("POST /v2/runs %s to %s: %d %v", spec.ID, c.name, status, reply)
	return status
}

// submit repeats a submission as a user does, for up to 60 s, and returns the last status.
func (g *rig) submit(spec protocol.Spec) (status int) {
	for attempt, start := 0, time.Now(); time.Since(start) < 60*time.Second; attempt++ {
		status = g.submitOnce(g.controllers[attempt%len(g.controllers)], spec)
		switch status {
		case 200, 201, 400, 422:
			return status
		}
		time.Sleep(time.Second)
	}
	return status
}

// poll asks once about a job.
func (g *rig) poll(c *controller, id string) (int, string) {
	status, reply := call("GET", c.client, "/v2/runs/"+id, nil, 2*time.Second)
	g.record.add("GET /v2/runs/%s to %s: %d %v", id, c.name, status, reply)
	standing, _ := reply["Standing"].(string)
	return status, standing
}
