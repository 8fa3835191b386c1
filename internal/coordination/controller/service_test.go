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
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
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

type job struct {
	spec     protocol.Spec
	accepted time.Time
	asked    time.Time // first cancellation asked for
	told     time.Time // that it is cancelled
	said     string    // last final standing that the user was told
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

func (s *service) fault(format string, args ...any) {
	s.log.Error("RULE BROKEN: " + fmt.Sprintf(format, args...))
	s.faults = append(s.faults, fmt.Sprintf("%v: ", s.now())+fmt.Sprintf(format, args...))
}

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

func (s *service) spec(id string) (protocol.Spec, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil {
		return protocol.Spec{}, false
	}
	return j.spec, true
}

// trouble is the cloud's status in place of an answer, or 0.
func (s *service) trouble(req *transport.Message) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stuck && req.Path == "/rentals/delete" {
		return 503
	}
	return 0
}

// noDeletions makes the cloud delete nothing for a while.
func (s *service) noDeletions(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuck = on
}

// watch is told by the workers what begins and ends to run.
func (s *service) watch(rig, piece string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[owner(piece)]
	if !on {
		if s.runs[piece] == rig {
			delete(s.runs, piece)
		}
		return
	}
	s.starts++
	if other, ok := s.runs[piece]; ok && other != rig {
		s.fault("ran_twice: %s starts on %s while on %s", piece, rig, other)
	}
	if j == nil {
		s.fault("invented: %s", piece)
		return
	}
	s.runs[piece] = rig
	if !j.told.IsZero() && time.Since(j.told) > limits.Seconds(cancelS) {
		s.fault("ran_cancelled: %s starts on %s %v after the word to the user", piece, rig, time.Since(j.told))
	}
	if j.spec.SameZone {
		for p, on := range s.runs {
			if owner(p) == j.spec.ID && s.cloud.Zone(on) != s.cloud.Zone(rig) && s.cloud.Zone(on) != "" && s.cloud.Zone(rig) != "" {
				s.fault("wrong_place: %s in %s, %s in %s", piece, s.cloud.Zone(rig), p, s.cloud.Zone(on))
			}
		}
	}
	for _, team := range teams {
		if used := s.used(team.Name); used > team.CPUsMax {
			s.fault("quota: %s uses %v", team.Name, used)
		}
	}
}

// owner is the id of a task's job.
func owner(piece string) string {
	id, _, _ := protocol.ParseTaskName(piece)
	return id
}

// used is what a team's tasks use; the caller has the lock.
func (s *service) used(team string) (cpus float64) {
	for p := range s.runs {
		if sp := s.jobs[owner(p)].spec; sp.Team == team {
			cpus += sp.CPUs
		}
	}
	return cpus
}

// inspect looks at what only time breaks.
func (s *service) inspect() {
	for s.ctx.Err() == nil {
		late := map[string]string{}
		s.mu.Lock()
		entitled := ""
		for name, p := range s.nodes {
			if p.c.dispatcher.Entitled() {
				if entitled != "" {
					s.fault("%s and %s are entitled at once", entitled, name)
				}
				entitled = name
			}
		}
		for piece, rig := range s.runs {
			if j := s.jobs[owner(piece)]; !j.told.IsZero() && time.Since(j.told) > limits.Seconds(cancelS) {
				late[piece] = rig
			}
		}
		s.mu.Unlock()
		for piece, rig := range late {
			if !s.cloud.LeaseExpired(rig) {
				s.mu.Lock()
				s.fault("ran_cancelled: %s is on %s longer than cancel_s after the word to the user", piece, rig)
				delete(s.runs, piece)
				s.mu.Unlock()
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// request makes one user's request at a controller, over a connection of its own.
func (s *service) request(node, method, target string, body []byte, limit time.Duration) (*transport.Message, error) {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	return transport.NewClient(node+":8080", 0, limits.MaxBodyBytes).WithDialer(s.net.Dialer("users")).Do(ctx, method, target, body)
}

// call makes one user's request at a controller; status 0 is no answer.
func (s *service) call(node, method, target string, body []byte, limit time.Duration) (int, string) {
	m, err := s.request(node, method, target, body, limit)
	if err != nil {
		return 0, ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var st protocol.JobStatus
	if m.Status < 300 && len(m.Body) > 0 {
		if err := protocol.Decode(m.Body, &st); err != nil {
			s.fault("%s %s: %v", method, target, err)
		}
	}
	return m.Status, st.State
}

// sendsAway tells whether a controller refuses a question and ends the connection, so that the
// user's next try comes to another.
func (s *service) sendsAway(node string, j *job) bool {
	m, err := s.request(node, "GET", "/v2/runs/"+j.spec.ID, nil, 2*time.Second)
	return err == nil && m.Status == 503 && m.RetryAfter > 0 && m.Close
}

// hear takes what a user was told about a job, and checks it against what was told before.
func (s *service) hear(j *job, status int, standing string, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := j.spec.ID
	switch {
	case status == 404 && !j.accepted.IsZero() && sent.After(j.accepted):
		s.fault("forgotten: %s", id)
		return
	case (status == 400 || status == 422) && !j.accepted.IsZero():
		s.fault("forgotten: %s: submission answered %d", id, status)
		return
	case status != 200 && status != 201:
		return
	}
	if j.accepted.IsZero() {
		j.accepted = time.Now()
	}
	if j.said != "" && standing != j.said && sent.After(j.told) {
		s.fault("went_back: %s was %s, is %s", id, j.said, standing)
	}
	switch standing {
	case protocol.Aborted:
		if j.asked.IsZero() {
			s.fault("went_back: %s is cancelled, which nobody asked for", id)
		}
		if j.said == "" {
			j.said, j.told = standing, time.Now()
		}
	case protocol.Done:
		if j.said == "" {
			j.said = standing // told stays zero: only cancelled jobs have a time to be gone by
			for i := range j.spec.Tasks {
				if !s.cloud.TaskDone(fmt.Sprintf("%s/%d", id, i)) {
					s.fault("not_done: %s/%d", id, i)
				}
			}
		}
	}
}

// submit brings in a job and waits until it is accepted, as a user does.
func (s *service) submit(change func(*protocol.Spec)) *job {
	s.mu.Lock()
	s.seq++
	j := &job{spec: protocol.Spec{ID: fmt.Sprintf("job-%06d", s.seq), Class: "x", Team: teams[s.seq%2].Name, Shape: "sweep",
		Priority: []string{"low", "standard", "high"}[s.seq%3], Tasks: 3, CPUs: 2, MemoryGB: 1, Spot: true, Image: "i", ImageGB: 0, EstimateS: 15}}
	if change != nil {
		change(&j.spec)
	}
	s.jobs[j.spec.ID] = j
	s.mu.Unlock()
	body := protocol.Encode(submission(s.t, j.spec))
	s.until(60*time.Second, s.names, func(node string) bool {
		sent := time.Now()
		status, standing := s.call(node, "POST", "/v2/runs", body, 5*time.Second)
		s.hear(j, status, standing, sent)
		return status == 200 || status == 201
	})
	return j
}

// submission is a job as a user sends it: what may be left out and is not set, is.
func submission(t *testing.T, spec protocol.Spec) map[string]any {
	m := map[string]any{}
	if err := protocol.Decode(protocol.Encode(spec), &m); err != nil {
		t.Fatal(err)
	}
	for name, set := range map[string]bool{"Rigkinds": len(spec.MachineTypes) > 0, "Yard": spec.Zone != "", "DueS": spec.DeadlineS > 0} {
		if !set {
			delete(m, name)
		}
	}
	return m
}

// until tries at one healthy controller after the other, as a load balancer spreads a user's requests.
func (s *service) until(limit time.Duration, nodes []string, try func(node string) bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		s.mu.Lock()
		node := nodes[s.r.IntN(len(nodes))]
		s.mu.Unlock()
		if status, _ := s.call(node, "GET", "/healthz", nil, time.Second); status == 200 && try(node) {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// cancel calls a job off, at the controllers named or at all of them, until the user is told what
// became of it.
func (s *service) cancel(j *job, nodes ...string) bool {
	if len(nodes) == 0 {
		nodes = s.names
	}
	return s.until(60*time.Second, nodes, func(node string) bool { return s.ask(j, node) })
}

// ask asks one controller once to cancel a job, and tells whether its user got an answer.
func (s *service) ask(j *job, node string) bool {
	s.mu.Lock()
	if j.asked.IsZero() {
		j.asked = time.Now()
	}
	s.mu.Unlock()
	sent := time.Now()
	status, standing := s.call(node, "POST", "/v2/runs/"+j.spec.ID+"/cancel", nil, 5*time.Second)
	s.hear(j, status, standing, sent)
	return status == 200
}

// poll asks about a job at every controller, all at the same moment.
func (s *service) poll(j *job) {
	for _, node := range s.names {
		s.users.Go(func() {
			sent := time.Now()
			status, standing := s.call(node, "GET", "/v2/runs/"+j.spec.ID, nil, 2*time.Second)
			s.hear(j, status, standing, sent)
		})
	}
}

// crowd goes on asking about all jobs until the time is over, and submits one now and then.
func (s *service) crowd(d time.Duration, every time.Duration, change func(*protocol.Spec)) {
	s.users.Go(func() {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(every) {
			s.users.Go(func() { s.submit(change) })
			for _, j := range s.known() {
				s.poll(j)
			}
		}
	})
}

// known are the jobs that were accepted.
func (s *service) known() []*job {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*job
	for _, j := range s.jobs {
		if !j.accepted.IsZero() {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return int(a.accepted.Sub(b.accepted)) })
	return out
}

// running are the jobs of which a task runs, in the order in which they were accepted.
func (s *service) running() []*job {
	s.mu.Lock()
	on := map[string]bool{}
	for p := range s.runs {
		on[owner(p)] = true
	}
	s.mu.Unlock()
	return slices.DeleteFunc(s.known(), func(j *job) bool { return !on[j.spec.ID] || !j.asked.IsZero() })
}

// pick waits until so many jobs run, and returns them.
func (s *service) pick(n int) []*job {
	for range 60 {
		if jobs := s.running(); len(jobs) >= n {
			return jobs[:n:n]
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.t.Fatalf("fewer than %d jobs run", n)
	return nil
}

// machines are the names of those that run tasks of a job, or of any.
func (s *service) machines(of *job) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for p, rig := range s.runs {
		if (of == nil || owner(p) == of.spec.ID) && !slices.Contains(out, rig) {
			out = append(out, rig)
		}
	}
	slices.Sort(out)
	return out
}

// waits tells whether a job that is not over has no task on a machine although its team is under
// its limit.
func (s *service) waits(j *job) bool {
	if s.on(j) > 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, team := range teams {
		if team.Name == j.spec.Team && s.used(team.Name)+j.spec.CPUs > team.CPUsMax {
			return false
		}
	}
	return j.said == "" && j.asked.IsZero()
}

// calm ends a day: with all troubles over, every job that was not cancelled gets done and is told
// to be, and the cancelled ones stay so. None waits for long that could run.
func (s *service) calm() {
	deadline := time.Now().Add(4 * time.Minute)
	since := map[*job]time.Time{}
	for time.Now().Before(deadline) {
		for _, j := range s.known() {
			if !s.waits(j) {
				delete(since, j)
			} else if since[j].IsZero() {
				since[j] = time.Now()
			} else if time.Since(since[j]) > 90*time.Second {
				s.mu.Lock()
				s.fault("%s waits for 90 s", j.spec.ID)
				s.mu.Unlock()
				since[j] = time.Now()
			}
		}
		open := 0
		for _, j := range s.known() {
			s.mu.Lock()
			over := j.said != ""
			s.mu.Unlock()
			if !over {
				open++
				s.poll(j)
			}
		}
		if open == 0 {
			break
		}
		time.Sleep(3 * time.Second)
	}
	for _, j := range s.known() {
		s.poll(j)
	}
	s.users.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if !j.accepted.IsZero() && j.said == "" {
			s.fault("%s is not over four minutes after the last trouble (cancellation asked: %v)", j.spec.ID, !j.asked.IsZero())
		}
	}
}

// warm waits until there are machines at work.
func (s *service) warm(jobs int, change func(*protocol.Spec)) {
	s.leader()
	for range jobs {
		s.submit(change)
	}
	for range 60 {
		time.Sleep(time.Second)
		s.mu.Lock()
		n := len(s.runs)
		s.mu.Unlock()
		if n >= jobs {
			return
		}
	}
	s.t.Error("the fleet does not come up")
}

// some are at most n machines that run tasks.
func (s *service) some(n int) []string {
	all := s.machines(nil)
	return all[:min(n, len(all)):min(n, len(all))]
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

// together cancels jobs at the same moment, each at its own user.
func (s *service) together(jobs []*job) {
	for _, j := range jobs {
		s.users.Go(func() { s.cancel(j) })
	}
}

// told is how many of the jobs' users were told that they are cancelled.
func (s *service) told(jobs []*job) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, j := range jobs {
		if j.said == protocol.Aborted {
			n++
		}
	}
	return n
}

// on is how many tasks of the jobs are on machines.
func (s *service) on(jobs ...*job) int {
	n := 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.runs {
		if slices.ContainsFunc(jobs, func(j *job) bool { return j.spec.ID == owner(p) }) {
			n++
		}
	}
	return n
}

// reach cuts the ways between controllers and machines, in one direction each.
func (s *service) reach(machines []string, to, from standin.LinkState) {
	for _, m := range machines {
		for _, n := range s.names {
			s.net.SetLink(n, m, to)
			s.net.SetLink(m, n, from)
		}
	}
}

// outage is one of the state service, for all.
func (s *service) outage(d time.Duration) {
	s.state.SetUnavailable(true)
	time.Sleep(d)
	s.state.SetUnavailable(false)
}

// apart cuts a controller from the others, both ways.
func (s *service) apart(node string, cut standin.LinkState) {
	for _, n := range s.names {
		if n != node {
			s.net.SetLinkBothWays(n, node, cut)
		}
	}
}
