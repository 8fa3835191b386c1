package controller

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// service is the whole service in one process and in virtual time: real controllers, and stand-ins
// of everything around them, over a network in memory. It checks the rules of the protocol by what
// users are told and what runs where.
type service struct {
	t     *testing.T
	r     *rand.Rand
	ctx   context.Context
	begun time.Time
	net   *standin.Network
	state *standin.StateService
	cloud *standin.Cloud
	nodes map[string]*process
	names []string
	log   *slog.Logger
	zones []string

	mu     sync.Mutex
	faults []string
	jobs   map[string]*job
	runs   map[string]string // task -> machine
	starts int
	seq    int
	users  sync.WaitGroup
	stuck  bool // the cloud deletes nothing
}

// process is a controller's process, if it runs.
type process struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	c      *Controller
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
	workers   = config.Workers{ReportS: reportS, LeaseS: leaseS, CancelS: cancelS, GangWaitS: &gangWaitS, GangPeerS: &gangPeerS}
)

var (
	nextValueKB = 2.0
	nextTxnOps  = 4
	stateLimits = config.State{RPS: 300, WriteRPS: 60, ValueKB: 4, TxnOps: 8, Next: &config.NextState{ValueKB: &nextValueKB, TxnOps: &nextTxnOps}}
)

var teams = []config.Team{{Name: "red", CPUs: 16, CPUsMax: 32}, {Name: "blue", CPUs: 16, CPUsMax: 48}}

// play runs a day of the service in a bubble of virtual time.
func play(t *testing.T, seed uint64, day func(s *service)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &service{t: t, r: rand.New(rand.NewPCG(seed, 11)), ctx: ctx, begun: time.Now(), net: standin.NewNetwork(time.Millisecond), state: standin.NewStateService(),
			nodes: map[string]*process{}, jobs: map[string]*job{}, runs: map[string]string{}, zones: []string{"a", "b", "c"}}
		s.log = slog.New(slog.NewTextHandler(logTo(), &slog.HandlerOptions{Level: slog.LevelDebug}))
		controllers := map[string]string{}
		for i := range 3 {
			name := fmt.Sprintf("rig-%d", i)
			s.names = append(s.names, name)
			controllers[name] = name + ":8080"
			go standin.ServeListener(s.net.Listen("state-"+name+":1"), s.state.ServerFor(name, "", s.log))
		}
		s.cloud = standin.NewCloud(ctx, standin.CloudOptions{
			Types: []protocol.MachineType{{
				Name: "c8", CPUs: capacity, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 1,
				Price: 1, SpotPrice: 0.4, BootS: 4, Zones: s.zones,
			}},
			State: s.state, Controllers: controllers, Log: s.log, Network: s.net, WorkerTimes: workers,
			JobSpec: s.spec, OnTaskChange: s.watch, InjectFault: s.trouble,
		})
		go standin.ServeListener(s.net.Listen("cloud:1"), s.cloud.Server(""))
		for _, name := range s.names {
			s.start(name)
		}
		go s.inspect()
		day(s)
		s.users.Wait()
		s.mu.Lock()
		faults := slices.Clone(s.faults)
		s.mu.Unlock()
		for _, f := range faults {
			t.Error(f)
		}
		if s.starts == 0 {
			t.Error("nothing_ran")
		}
		cancel()
		for _, name := range s.names {
			s.stop(name)
		}
		for _, name := range s.cloud.Machines() {
			s.cloud.Kill(name)
		}
		for _, h := range append([]string{"cloud", "users", "copies"}, s.names...) {
			s.net.RemoveHost(h)
			s.net.RemoveHost("state-" + h)
		}
		time.Sleep(2 * time.Minute) // whatever still waits for an answer gives up
	})
}

// logTo is where the logs of a day go: QUILLSHUNT_LOG=1 prints them.
func logTo() io.Writer {
	if os.Getenv("QUILLSHUNT_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

func (s *service) now() time.Duration { return time.Since(s.begun) }

func (s *service) settings(name string) *config.Settings {
	set := &config.Settings{NodeName: name, Zone: "a", External: config.External{Cloud: "cloud:1", State: "state-" + name + ":1"}}
	for i, other := range s.names {
		if other != name {
			set.Members = append(set.Members, config.Member{NodeName: other, Zone: s.zones[i], Address: other + ":8081"})
		}
	}
	set.Facts = config.Facts{Zones: s.zones, Teams: teams, Workers: workers,
		State: stateLimits.Lowest(), Cloud: config.Cloud{RPS: 5, ListLagS: 2},
		Machine: config.MachineLimits{CoreShare: 0.2, MemoryMB: 100, MaxSockets: 500}, SkewMs: 100}
	return set
}

// start starts a controller's process.
func (s *service) start(name string) {
	if s.nodes[name] != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	c, err := New(s.settings(name), config.DefaultOptions(), s.net.Dialer(name), s.log.With("node", name))
	if err != nil {
		s.t.Fatal(err)
	}
	p := &process{cancel: cancel, c: c}
	s.nodes[name] = p
	c.start(ctx)
	go standin.ServeListener(s.net.Listen(name+":8080"), c.clientServer)
	ln := s.net.Listen(name + ":8081")
	p.done.Go(func() { _ = c.peerServer.Serve(ctx, ln) })
}

// stop ends a controller's process as if it were killed: nothing that it does from now on gets anywhere.
func (s *service) stop(name string) {
	p := s.nodes[name]
	if p == nil {
		return
	}
	s.net.RemoveHost(name)
	p.cancel()
	p.done.Wait()
	p.c.peers.Close()
	s.mu.Lock()
	delete(s.nodes, name)
	s.mu.Unlock()
	s.log.Info("killed", "node", name)
}

// restart ends a controller and starts it again.
func (s *service) restart(name string, after time.Duration) {
	s.stop(name)
	time.Sleep(after)
	s.start(name)
}

// leader waits until exactly one controller leads, and is its name.
func (s *service) leader() string {
	for range 600 {
		var leads []string
		for _, n := range s.names {
			if p := s.nodes[n]; p != nil && p.c.dispatcher.Entitled() {
				leads = append(leads, n)
			}
		}
		if len(leads) == 1 {
			return leads[0]
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Error("no controller leads for a minute")
	return s.names[0]
}

// other is a controller that is not the one named.
func (s *service) other(than ...string) string {
	for _, n := range s.names {
		if !slices.Contains(than, n) {
			return n
		}
	}
	return ""
}

// term is the highest term so far.
func (s *service) term() uint64 {
	p, _ := s.state.Get(storage.KeyTerm)
	var t storage.TermRecord
	if p.Version != 0 && protocol.Decode(p.Value, &t) != nil {
		s.t.Fatal("term record")
	}
	return t.Term
}

// takenOver waits until a controller of a later term leads, and is its name.
func (s *service) takenOver(since uint64) string {
	for range 600 {
		if s.term() > since {
			return s.leader()
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Error("no later term within a minute")
	return s.names[0]
}
