package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// Deployment is three controllers with their surroundings, one zone each.
type Deployment struct {
	Record *Record
	State  *State
	Cloud  *Cloud
	Fleet  *Fleet
	Nodes  []string
	Zones  map[string]string           // by node
	Peers  map[string]map[string]*Gate // links between controllers: from, to

	Limit float64 // CPUs that the team rolls-team may use

	folder   string
	run      []string
	settings map[string]string
	mu       sync.Mutex
	running  map[string]*exec.Cmd
}

// Zones of the deployment, as in the smaller of the two sites with zones.
var zones = []string{"jongno", "daegu-annex", "busan-vault"}

// freePort returns an address whose port is free. It is below the ports that the system gives to outgoing
// connections, as one of them could take it before the controller listens.
func freePort() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000)))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String(), nil
	}
	return "", errors.New("no free port")
}

// NewDeployment prepares a deployment with settings like those of the site hanbit-dongmun-grid, and
// starts its controllers. The environment names the run command of the deploy file in RUN.
func NewDeployment(record *Record) (*Deployment, error) {
	return NewLimitedDeployment(record, 384)
}

// NewLimitedDeployment is NewDeployment with another limit of the team rolls-team.
func NewLimitedDeployment(record *Record, limit float64) (*Deployment, error) {
	run := strings.Fields(os.Getenv("RUN"))
	if len(run) == 0 {
		return nil, errors.New("RUN is not set")
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		Record: record, Nodes: []string{"rig-0", "rig-1", "rig-2"}, Zones: map[string]string{},
		Peers: map[string]map[string]*Gate{}, Limit: limit, folder: folder, run: run,
		settings: map[string]string{}, running: map[string]*exec.Cmd{},
	}
	d.endInTime()
	times := Times{Report: 3 * time.Second, Lease: 27 * time.Second, Cancel: 47 * time.Second}
	d.Fleet = NewFleet(record, times)
	d.Fleet.Nodes = d.Nodes
	types := []protocol.MachineType{{
		Name: "sarang-8", CPUs: 8, MemoryGB: 32, CacheGB: 60, FetchGBPerS: 0.2, Price: 0.6, SpotPrice: 0.12,
		BootS: 2, Zones: zones,
	}}
	if d.State, err = NewState(record, d.Nodes); err != nil {
		return nil, err
	}
	if d.Cloud, err = NewCloud(record, d.Nodes, types, 3*time.Second, d.Fleet); err != nil {
		return nil, err
	}
	if err := d.writeSettings(times); err != nil {
		return nil, err
	}
	for _, node := range d.Nodes {
		if err := d.Start(node); err != nil {
			return nil, err
		}
	}
	for _, node := range d.Nodes {
		if !Await(10*time.Second, func() bool { return d.isHealthy(node) }) {
			d.Unable("controller " + node + " does not answer")
		}
	}
	return d, nil
}

// endInTime ends the program, with its controllers, on a signal or before two minutes are over.
func (d *Deployment) endInTime() {
	limit := 116 * time.Second
	if d, err := time.ParseDuration(os.Getenv("LIMIT")); err == nil {
		limit = d // for trials by hand
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case s := <-signals:
			d.Unable("signal " + s.String())
		case <-time.After(limit):
			d.Unable("time is over")
		}
	}()
}

func (d *Deployment) writeSettings(times Times) error {
	peerAddr := map[string]string{}
	for i, node := range d.Nodes {
		d.Zones[node] = zones[i]
		client, err := freePort()
		if err != nil {
			return err
		}
		peer, err := freePort()
		if err != nil {
			return err
		}
		d.Fleet.Controllers[node], peerAddr[node] = client, peer
	}
	for _, node := range d.Nodes {
		s := config.Settings{
			NodeName: node, Zone: d.Zones[node], ClientListen: d.Fleet.Controllers[node], PeerBind: peerAddr[node],
			External: config.External{Cloud: d.Cloud.Gates[node].Address(), State: d.State.Gates[node].Address()},
			Deployment: config.Deployment{
				InitialSize: len(d.Nodes), Zones: zones,
				Teams: []config.Team{
					{Name: "rolls-team", GuaranteedCPUs: min(128, d.Limit), MaxCPUs: d.Limit},
					{Name: "donor-care", GuaranteedCPUs: 128, MaxCPUs: 384},
				},
				Objectives: []config.Objective{},
				Workers: config.WorkerTimes{
					HeartbeatIntervalS: times.Report.Seconds(), LeaseS: times.Lease.Seconds(), CancelWithinS: times.Cancel.Seconds(),
				},
				State:          config.StateLimits{RPS: 150, WriteRPS: 15, ValueKB: 8, TxnOps: 8},
				Cloud:          config.CloudLimits{RPS: 6, ListLagS: 3},
				MachineLimits:  config.MachineLimits{CoreShare: 0.24, MemoryMB: 234, MaxSockets: 2500},
				MaxClockSkewMs: 100,
			},
		}
		d.Peers[node] = map[string]*Gate{}
		for _, other := range d.Nodes {
			if other == node {
				continue
			}
			g, err := NewGate()
			if err != nil {
				return err
			}
			Link(g, peerAddr[other])
			d.Peers[node][other] = g
			s.Members = append(s.Members, config.Member{NodeName: other, Zone: d.Zones[other], Address: g.Address()})
		}
		b, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			return err
		}
		d.settings[node] = filepath.Join(d.folder, node+".json")
		if err := os.WriteFile(d.settings[node], b, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process of a controller.
func (d *Deployment) Start(node string) error {
	log, err := os.OpenFile(filepath.Join(d.folder, node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	args := append(append([]string{}, d.run[1:]...), d.settings[node])
	cmd := exec.Command(d.run[0], args...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[node] = cmd
	d.Record.Logf("controller %s started, process %d", node, cmd.Process.Pid)
	return nil
}

// Kill ends the process of a controller without a warning.
func (d *Deployment) Kill(node string) {
	d.mu.Lock()
	cmd := d.running[node]
	delete(d.running, node)
	d.mu.Unlock()
	if cmd != nil {
		d.Record.Logf("TROUBLE controller %s killed, process %d", node, cmd.Process.Pid)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// Signal sends a signal to a controller.
func (d *Deployment) Signal(node string, s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cmd := d.running[node]; cmd != nil {
		d.Record.Logf("TROUBLE controller %s gets %v", node, s)
		_ = cmd.Process.Signal(s)
	}
}

// Close ends all controllers. It keeps their logs beside the record if KEEP_LOGS names a folder.
func (d *Deployment) Close() {
	for _, node := range d.Nodes {
		d.mu.Lock()
		cmd := d.running[node]
		delete(d.running, node)
		d.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	if to := os.Getenv("KEEP_LOGS"); to != "" {
		for _, node := range d.Nodes {
			if b, err := os.ReadFile(filepath.Join(d.folder, node+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(to, node+".log"), b, 0o644)
			}
		}
	}
	_ = os.RemoveAll(d.folder)
}

// isHealthy asks a controller whether it is healthy.
func (d *Deployment) isHealthy(node string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	client := newHTTP()
	defer client.CloseIdleConnections()
	status, _ := post(ctx, client, "http://"+d.Fleet.Controllers[node]+"/healthz", nil)
	return status == http.StatusOK
}

// CutPeers cuts the links between two controllers in both directions, or heals them.
func (d *Deployment) CutPeers(a, b string, cut bool) {
	d.Peers[a][b].SetCut(cut)
	d.Peers[b][a].SetCut(cut)
	d.Record.Logf("TROUBLE network between %s and %s cut: %v", a, b, cut)
}

// Leader returns the name in the leader key and the term, or "".
func (d *Deployment) Leader() (string, uint64) {
	var l storage.LeaderRecord
	kv := d.State.Get(storage.KeyLeader)
	if kv.Version == 0 || protocol.Decode(kv.Value, &l) != nil {
		return "", 0
	}
	return l.Node, l.Term
}

// Others returns the other controllers.
func (d *Deployment) Others(node string) []string {
	var names []string
	for _, n := range d.Nodes {
		if n != node {
			names = append(names, n)
		}
	}
	return names
}

// Await waits until a condition holds, or reports false after the limit.
func Await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// User asks a controller as a user does and decodes the answer. The status is 0 without an answer.
func (d *Deployment) User(node, method, path string, body any) (int, protocol.JobStatus) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	client := newHTTP()
	defer client.CloseIdleConnections()
	var encoded []byte
	if method == http.MethodPost {
		encoded = []byte{}
		if body != nil {
			encoded = protocol.Encode(body)
		}
	}
	status, reply := post(ctx, client, "http://"+d.Fleet.Controllers[node]+path, encoded)
	var s protocol.JobStatus
	_ = protocol.Decode(reply, &s)
	d.Record.Logf("user: %s %s to %s -> %d %s%s", method, path, node, status, s.State, countText(s))
	return status, s
}

func countText(s protocol.JobStatus) string {
	if s.Done == nil || s.Running == nil {
		return ""
	}
	return fmt.Sprintf(" done=%d running=%d", *s.Done, *s.Running)
}

// Submit submits a job, with retries as a user makes them.
func (d *Deployment) Submit(node string, spec protocol.Spec) bool {
	d.Fleet.AddSpec(spec)
	for range 20 {
		status, _ := d.User(node, http.MethodPost, "/v2/runs", Submission(spec))
		if status == http.StatusCreated || status == http.StatusOK {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// Submission returns the body of a submission.
func Submission(s protocol.Spec) map[string]any {
	m := map[string]any{
		"NameId": s.ID, "Docket": s.Class, "Crew": s.Team, "Shape": string(s.Shape), "Urgency": s.Priority,
		"Pieces": s.Tasks, "Vcpus": s.CPUs, "Accelerators": s.Accelerators, "RamGb": s.MemoryGB,
		"Rigkinds": nil, "Yard": nil, "Together": s.SameZone, "Scatter": s.SpreadZones, "Lendable": s.Spot,
		"Bundle": s.Image, "SizeGb": s.ImageGB, "ReckonS": s.EstimateS, "BookmarkS": s.CheckpointS,
		"StashS": s.SaveS, "DueS": nil,
	}
	if s.Zone != "" {
		m["Yard"] = s.Zone
	}
	return m
}

// Finish writes the result and ends the program: 1 if a rule was broken, 0 if not.
func (d *Deployment) Finish() {
	broken := d.Fleet.Broken()
	d.Close()
	if len(broken) > 0 {
		d.Record.Logf("RESULT broken: %s", broken[0])
		fmt.Println("broken:", broken[0])
		os.Exit(1)
	}
	d.Record.Logf("RESULT held")
	fmt.Println("held")
	os.Exit(0)
}

// Unable ends the program with 2, because the case couldn't run.
func (d *Deployment) Unable(reason string) {
	d.Close()
	d.Record.Logf("RESULT not run: %s", reason)
	fmt.Println("not run:", reason)
	os.Exit(2)
}
