package scheduler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestMain fixes the seed, so that a run has the same verdict every time. Longer runs with other seeds are
// made by hand: QUILLSHUNT_RANDOM=1 go test ./internal/coordination/scheduler -rapid.checks=2000
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("QUILLSHUNT_RANDOM") == "" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// world is a small stand-in for everything around the scheduler: workers, cloud, state service, and a network
// that loses, delays and repeats. It checks the protocol's rules as they are seen from outside.
type world struct {
	t   interface{ Fatalf(string, ...any) }
	r   *rand.Rand
	now time.Duration

	calm      bool // no more faults
	trace     bool
	keys      map[string]pairOf
	ledger    uint64
	term      uint64
	leaders   []*controller
	rigs      map[string]*rig
	rigSeq    int
	hired     map[string][]string
	types     []protocol.MachineType
	teams     []config.Team
	workers   config.Workers
	jobs      map[string]*jobTruth
	jobSeq    int
	mail      []letter
	failEvery map[string]bool // jobs that fail everywhere
	gangs     map[string]*gangTruth
	seen      *gangEvents
}

type pairOf struct {
	stamp uint64
	data  protocol.Raw
}

type jobTruth struct {
	spec      protocol.Spec
	done      map[int]bool
	cancelled time.Duration // when the user was told, or 0
}

type controller struct {
	term  uint64
	s     *Scheduler
	base  time.Duration
	until time.Duration // entitled before this
	dead  bool
	ends  time.Duration
}

type rig struct {
	protocol.Machine
	bootAt   time.Duration
	never    bool
	gone     bool
	sick     bool
	hungTill time.Duration
	cutTill  time.Duration
	deafTill time.Duration // its reports arrive, answers and commands don't reach it
	stayed   *controller   // that answered its last report 200; it reports there again on the same connection
	shift    uint64
	tally    uint64
	baton    uint64
	lease    time.Duration // start of the lease
	inFlight time.Duration // when the report in flight was sent, or -1
	nextRep  time.Duration
	warn     time.Duration
	tasks    []*rigTask
}

type rigTask struct {
	piece    string
	try      uint64
	standing string
	cause    string
	ready    time.Duration // fetch ends
	end      time.Duration
	saveEnd  time.Duration

	gatherEnd time.Duration // of a gang's task: when it has waited for too long
	told      bool          // of a gang's task: it was told to stop, and saves
}

type letter struct {
	at time.Duration
	do func()
}

func (w *world) later(d time.Duration, f func()) {
	w.mail = append(w.mail, letter{w.now + d, f})
}

func (w *world) chance(p float64) bool { return w.r.Float64() < p }

func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.r.Int64N(int64(b-a)+1))
}

// transit is how long a message takes; the second result is false if it is lost.
func (w *world) transit(g *rig) (time.Duration, bool) {
	if w.now < g.cutTill {
		if w.chance(0.5) {
			return g.cutTill - w.now + w.between(0, time.Second), true // held and delivered late
		}
		return 0, false
	}
	if !w.calm && w.chance(0.04) {
		if w.chance(0.5) {
			return w.between(time.Second, 30*time.Second), true
		}
		return 0, false
	}
	return w.between(time.Millisecond, 30*time.Millisecond), true
}

func newWorld(t interface{ Fatalf(string, ...any) }, seed uint64) *world {
	w := &world{t: t, r: rand.New(rand.NewPCG(seed, 7)), keys: map[string]pairOf{}, rigs: map[string]*rig{},
		hired: map[string][]string{}, jobs: map[string]*jobTruth{}, failEvery: map[string]bool{}, gangs: map[string]*gangTruth{}, seen: &gangEvents{},
		teams:   []config.Team{{Name: "red", CPUs: 12, CPUsMax: 32}, {Name: "blue", CPUs: 12, CPUsMax: 20}},
		workers: config.Workers{ReportS: 2, LeaseS: 14, CancelS: 34, GangWaitS: seconds(20), GangPeerS: seconds(4)},
		types: []protocol.MachineType{
			{Name: "s4", CPUs: 4, MemoryGB: 16, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 8, Zones: []string{"a", "b"}},
			{Name: "b8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 2, SpotPrice: 0.8, BootS: 12, Zones: []string{"a", "b"}},
		}}
	return w
}

func seconds(v float64) *float64 { return &v }

func (w *world) settings() Config {
	return Config{Term: w.term, Teams: w.teams, Workers: w.workers,
		State: config.State{RPS: 100, WriteRPS: 20, ValueKB: 4, TxnOps: 8}, ListLag: 3 * time.Second, Options: config.DefaultOptions()}
}

// takeOver elects a new leader. The one before is entitled no longer, but may go on for a while without knowing.
func (w *world) takeOver() {
	for _, c := range w.leaders {
		if !c.dead {
			c.until = min(c.until, w.now)
			c.ends = min(c.ends, w.now+w.between(0, 8*time.Second))
			if w.chance(0.6) {
				c.dead = true
			}
		}
	}
	w.term++
	c := &controller{term: w.term, s: New(w.settings(), 0), base: w.now, until: time.Hour * 10, ends: time.Hour * 10}
	w.leaders = append(w.leaders, c)
	for _, k := range w.sortedKeys("open/") {
		w.jobEvent(c, k)
	}
	for _, k := range w.sortedKeys("fin/") {
		var f storage.Fin
		w.must(protocol.Decode(w.keys[k].data, &f))
		id, _, _ := storage.ParseFinKey(k)
		w.step(c, FinishedLoaded{ID: id, Version: w.keys[k].stamp, Rec: f})
	}
	for _, k := range w.sortedKeys("hire/") {
		var h storage.Rental
		w.must(protocol.Decode(w.keys[k].data, &h))
		w.step(c, RentalLoaded{Name: k[len("hire/"):], Version: w.keys[k].stamp, Rec: h})
	}
	for _, k := range w.sortedKeys("up/") {
		var u storage.Ups
		w.must(protocol.Decode(w.keys[k].data, &u))
		w.step(c, RegistrationLoaded{Name: k[len("up/"):], Version: w.keys[k].stamp, Rec: u})
	}
	w.step(c, Loaded{})
}

func (w *world) must(err error) {
	if err != nil {
		w.t.Fatalf("%v", err)
	}
}

func (w *world) sortedKeys(prefix string) []string {
	var out []string
	for k := range w.keys {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

func (w *world) jobEvent(c *controller, key string) {
	var o storage.Open
	w.must(protocol.Decode(w.keys[key].data, &o))
	e := JobSeen{ID: key[len("open/"):], Version: w.keys[key].stamp, Rec: o}
	if o.Cancelled {
		e.CancelAge = w.now - time.Duration(o.CancelMs)*time.Millisecond
	}
	w.step(c, e)
}

// put is a write by a controller that takes users' requests; the leader's watch brings it.
func (w *world) put(key string, v any) {
	w.ledger++
	w.keys[key] = pairOf{w.ledger, protocol.Encode(v)}
	for _, c := range w.leaders {
		if c.dead {
			continue
		}
		w.later(w.between(time.Millisecond, 500*time.Millisecond), func() {
			if _, ok := w.keys[key]; ok && !c.dead {
				w.jobEvent(c, key)
			}
		})
	}
}

func (w *world) step(c *controller, e Event) {
	if c.dead {
		return
	}
	for _, eff := range c.s.Step(e, w.now-c.base) {
		w.effect(c, eff)
	}
}

func (w *world) effect(c *controller, eff Effect) {
	if w.trace {
		fmt.Printf("%v term %d: %T %+v\n", w.now, c.term, eff, eff)
	}
	entitled := w.now < c.until
	switch eff := eff.(type) {
	case ReplyOut:
		ref := eff.Ref.(func(*protocol.ReportReply))
		if !eff.OK || !entitled {
			ref(nil)
			return
		}
		ref(&protocol.ReportReply{Token: c.term, Commands: eff.Commands})
	case DirectOut:
		w.direct(c, eff)
	case ProbeOut:
		g := w.rigs[eff.Machine]
		if g == nil || g.gone || w.now < g.hungTill || w.now < g.cutTill || w.now < g.deafTill || w.now < g.bootAt {
			return
		}
		if d, ok := w.transit(g); ok && d < time.Second && c.term >= g.baton {
			g.baton = c.term
			r := w.report(g)
			w.later(d, func() { w.step(c, ProbeDone{Machine: eff.Machine, Report: r}) })
		}
	case WriteOut:
		w.later(w.between(5*time.Millisecond, 300*time.Millisecond), func() { w.txn(c, eff) })
	case RentOut:
		w.hire(c, eff.Request)
	case DeleteOut:
		w.later(w.between(50*time.Millisecond, time.Second), func() {
			ok := !w.chance(0.2) // else the answer is lost, or the request
			done := ok || w.chance(0.5)
			for _, n := range eff.Machines {
				if !done {
					break
				}
				if g := w.rigs[n]; g != nil {
					g.gone = true
					g.tasks = nil
				}
			}
			w.step(c, DeleteDone{Machines: eff.Machines, OK: ok})
		})
	case ListOut:
		var list []protocol.Machine
		for _, n := range w.rigNames() {
			g := w.rigs[n]
			if !g.gone {
				x := g.Machine
				x.State = protocol.MachineRunning
				if w.now < g.bootAt {
					x.State = protocol.MachineBooting
				}
				x.AgeS = 20
				list = append(list, x)
			}
		}
		w.later(w.between(time.Second, 6*time.Second), func() { w.step(c, ListDone{Machines: list, OK: true}) })
	case TypesOut:
		w.later(100*time.Millisecond, func() { w.step(c, TypesDone{Types: w.types, OK: true}) })
	}
}

func (w *world) rigNames() []string {
	var out []string
	for n := range w.rigs {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

func (w *world) txn(c *controller, o WriteOut) {
	if c.term != w.term {
		c.dead = true // the guard on the leader key fails; the term is over
		return
	}
	for _, g := range o.Conditions {
		if w.keys[g.Key].stamp != g.Version {
			w.step(c, WriteDone{ID: o.ID})
			return
		}
	}
	w.ledger++
	for _, op := range o.Ops {
		if op.Delete != "" {
			delete(w.keys, op.Delete)
			continue
		}
		w.keys[op.Put] = pairOf{w.ledger, op.Value}
		if len(op.Put) > 6 && op.Put[:6] == "final/" {
			w.final(op.Put[6:], op.Value)
		}
	}
	rev := w.ledger
	w.later(5*time.Millisecond, func() { w.step(c, WriteDone{ID: o.ID, OK: true, Version: rev}) })
}

// final checks that a job is called done only when all of its tasks are, and cancelled only by its user.
func (w *world) final(id string, data protocol.Raw) {
	var f storage.Final
	w.must(protocol.Decode(data, &f))
	j := w.jobs[id]
	switch {
	case j == nil:
		w.t.Fatalf("invented: %s", id)
	case f.State == protocol.Done && len(j.done) < j.spec.Tasks:
		w.t.Fatalf("not_done: %s with %d of %d", id, len(j.done), j.spec.Tasks)
	case f.State == protocol.Aborted && j.cancelled == 0:
		w.t.Fatalf("went_back: %s cancelled by nobody", id)
	case f.State == protocol.Done && j.cancelled != 0:
		w.t.Fatalf("went_back: %s done after it was cancelled", id)
	}
}

func (w *world) hire(c *controller, req protocol.RentalRequest) {
	w.later(w.between(50*time.Millisecond, 2*time.Second), func() {
		names, known := w.hired[req.Name]
		if !known {
			if w.chance(0.2) {
				w.step(c, RentalDone{Name: req.Name, NoCapacity: true})
				return
			}
			for range min(req.Count, 4) {
				w.rigSeq++
				n := fmt.Sprintf("m-%06d", w.rigSeq)
				names = append(names, n)
				g := &rig{Machine: protocol.Machine{Name: n, Address: n + ":1", MachineType: req.MachineType, Zone: req.Zone, Spot: req.Spot},
					bootAt: w.now + w.between(time.Second, 15*time.Second), inFlight: -1}
				g.never = w.chance(0.05)
				g.sick = w.chance(0.08)
				g.lease, g.shift, g.nextRep = g.bootAt, 1, g.bootAt
				w.rigs[n] = g
			}
			w.hired[req.Name] = names
		}
		if w.chance(0.1) && !w.calm { // the answer is lost; the request is repeated
			w.later(time.Second, func() { w.hire(c, req) })
			return
		}
		w.step(c, RentalDone{Name: req.Name, Machines: names, OK: true})
	})
}

// direct delivers a direct command, perhaps very late, and times out for the sender.
func (w *world) direct(c *controller, d DirectOut) {
	answered := false
	finish := func(e DirectDone) {
		if !answered {
			answered = true
			e.ID, e.Machine = d.ID, d.Machine
			w.step(c, e)
		}
	}
	g := w.rigs[d.Machine]
	if g == nil || g.gone || w.now >= c.until {
		w.later(time.Millisecond, func() { finish(DirectDone{Refused: true}) })
		return
	}
	w.later(2*time.Second, func() { finish(DirectDone{}) })
	delay, ok := w.transit(g)
	if !ok || w.now < g.deafTill {
		return
	}
	w.later(delay, func() { w.arrive(g, c, d, finish) })
}

func (w *world) arrive(g *rig, c *controller, d DirectOut, finish func(DirectDone)) {
	if g.gone {
		return
	}
	if w.now < g.hungTill {
		w.later(g.hungTill-w.now, func() { w.arrive(g, c, d, finish) })
		return
	}
	w.expire(g)
	var e DirectDone
	if c.term < g.baton || d.Session != g.shift {
		e.Refused = true
	} else {
		g.baton = c.term
		w.execute(g, d.Commands)
		e.Report = w.report(g)
	}
	if back, ok := w.transit(g); ok {
		w.later(back, func() { finish(e) })
	}
}

// report makes the worker's report, with the next tally.
func (w *world) report(g *rig) *protocol.Report {
	g.tally++
	r := &protocol.Report{Machine: g.Name, Address: g.Address, MachineType: g.MachineType, Zone: g.Zone, Spot: g.Spot,
		Session: g.shift, Sequence: g.tally, Token: g.baton}
	if g.warn != 0 {
		left := (g.warn - w.now).Seconds()
		r.NoticeS = &left
	}
	for _, t := range g.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: t.piece, Attempt: t.try, State: t.standing, Reason: t.cause})
	}
	return r
}

// expire ends the worker's session when its lease is over.
func (w *world) expire(g *rig) {
	if w.now > g.lease+time.Duration(w.workers.LeaseS*float64(time.Second)) {
		g.tasks = nil
		g.shift++
		g.lease = w.now
		g.inFlight = -1
	}
}

// run lets a worker live until now.
func (w *world) run(g *rig) {
	if g.gone || g.never || w.now < g.bootAt {
		return
	}
	if g.warn != 0 && w.now >= g.warn {
		g.gone, g.tasks = true, nil
		return
	}
	w.expire(g) // a hanging machine goes on within its lease or not at all (docs/questions.md)
	if w.now < g.hungTill {
		return
	}
	for _, t := range g.tasks {
		switch t.standing {
		case protocol.Fetching:
			if w.now >= t.ready {
				if w.gangOf(t) != nil {
					w.gather(g, t)
					continue
				}
				w.begin(g, t)
			}
		case protocol.Running:
			if w.now >= t.end && w.gangOf(t) == nil {
				t.standing, t.cause = protocol.Ended, protocol.ReasonDone
				id, idx, _ := protocol.ParseTaskName(t.piece)
				if g.sick || w.failEvery[id] {
					t.cause = protocol.ReasonError
				} else {
					w.jobs[id].done[idx] = true
				}
				g.nextRep = min(g.nextRep, w.now+500*time.Millisecond)
			}
		case protocol.Saving:
			if w.now >= t.saveEnd {
				t.standing, t.cause = protocol.Ended, protocol.ReasonHalted
				g.nextRep = min(g.nextRep, w.now+500*time.Millisecond)
			}
		}
	}
	if g.inFlight >= 0 && w.now >= g.inFlight+4*time.Second {
		g.inFlight = -1
		g.nextRep = w.now + time.Second
	}
	if g.inFlight < 0 && w.now >= g.nextRep {
		w.sendReport(g)
	}
}

func (w *world) sendReport(g *rig) {
	r := w.report(g)
	sent := w.now
	g.inFlight, g.nextRep = sent, sent+w.between(1500*time.Millisecond, 2500*time.Millisecond)
	stayed := g.stayed
	g.stayed = nil
	if w.chance(0.05) { // a copy, from before the original to well over a lease later, by any route
		w.later(w.between(0, 40*time.Second), func() {
			if to := w.leading(); to != nil {
				w.step(to, ReportIn{Report: r, Entitled: w.now < to.until, Relayed: w.chance(0.5), Ref: func(*protocol.ReportReply) {}})
			}
		})
	}
	delay, ok := w.transit(g)
	if !ok {
		return
	}
	// It reaches the controller that leads when it arrives, or an old one that still thinks so.
	w.later(delay, func() {
		to := w.leading()
		if to == nil {
			return
		}
		w.step(to, ReportIn{Report: r, Entitled: w.now < to.until, Stayed: to == stayed, Relayed: w.chance(0.1), Ref: func(reply *protocol.ReportReply) {
			back, ok := w.transit(g)
			if !ok || w.now < g.deafTill {
				return
			}
			w.later(back, func() {
				if w.response(g, r, sent, reply) {
					g.stayed = to
				}
			})
		}})
	})
}

// leading is a controller that a report may reach.
func (w *world) leading() *controller {
	var to *controller
	for _, c := range w.leaders {
		if !c.dead && (to == nil || w.chance(0.7)) {
			to = c
		}
	}
	return to
}

// response takes the answer to a report; it tells whether the worker got a 200 that it may use.
func (w *world) response(g *rig, r *protocol.Report, sent time.Duration, reply *protocol.ReportReply) bool {
	if g.gone || w.now < g.hungTill || g.inFlight != sent || r.Session != g.shift {
		return false
	}
	w.expire(g)
	if r.Session != g.shift {
		return false
	}
	g.inFlight = -1
	if reply == nil || reply.Token < g.baton {
		g.nextRep = min(g.nextRep, w.now+time.Second)
		return false
	}
	if reply.Token > g.baton {
		g.baton = reply.Token
		g.nextRep = min(g.nextRep, w.now+500*time.Millisecond)
	}
	g.lease = sent
	if w.execute(g, reply.Commands) {
		g.nextRep = min(g.nextRep, w.now+500*time.Millisecond)
	}
	return true
}

func (w *world) execute(g *rig, orders []protocol.Command) bool {
	changed := false
	for _, o := range orders {
		changed = true
		var here *rigTask
		other := false
		for _, t := range g.tasks {
			if t.piece == o.Task && t.try == o.Attempt {
				here = t
			} else if t.piece == o.Task && t.standing != protocol.Ended {
				other = true
			}
		}
		switch o.Verb {
		case protocol.CommandStart:
			if here != nil {
				continue
			}
			t := &rigTask{piece: o.Task, try: o.Attempt, standing: protocol.Fetching, ready: w.now + w.between(0, 3*time.Second)}
			g.tasks = append(g.tasks, t)
			id, idx, _ := protocol.ParseTaskName(o.Task)
			j := w.jobs[id]
			used := 0.0
			for _, x := range g.tasks {
				if x != t && x.standing != protocol.Ended {
					xid, _, _ := protocol.ParseTaskName(x.piece)
					used += w.jobs[xid].spec.CPUs
				}
			}
			switch {
			case other:
				t.standing, t.cause = protocol.Ended, protocol.ReasonBusy
			case used+j.spec.CPUs > w.size(g)+1e-9:
				t.standing, t.cause = protocol.Ended, protocol.ReasonNoRoom
			case j.done[idx]:
				t.end = t.ready // the result is kept
			}
		case protocol.CommandStop:
			if here == nil || here.standing == protocol.Ended {
				continue
			}
			id, _, _ := protocol.ParseTaskName(o.Task)
			if w.gangOf(here) != nil {
				w.stopGangTask(g, here, *o.GraceS)
				continue
			}
			if sp := w.jobs[id].spec; here.standing == protocol.Running && sp.CheckpointS > 0 && o.GraceS != nil && *o.GraceS >= sp.SaveS {
				here.standing, here.saveEnd = protocol.Saving, w.now+time.Duration(sp.SaveS*float64(time.Second))
			} else if here.standing != protocol.Saving || *o.GraceS == 0 {
				here.standing, here.cause = protocol.Ended, protocol.ReasonHalted
			}
		case protocol.CommandForget:
			for i, t := range g.tasks {
				if t == here && t.standing == protocol.Ended {
					g.tasks = append(g.tasks[:i], g.tasks[i+1:]...)
					break
				}
			}
		}
	}
	return changed
}

func (w *world) size(g *rig) float64 {
	for _, t := range w.types {
		if t.Name == g.MachineType {
			return t.CPUs
		}
	}
	return 0
}

// begin is the moment at which a task starts on its machine; here the rules are checked.
func (w *world) begin(g *rig, t *rigTask) {
	t.standing = protocol.Running
	if t.end == 0 {
		t.end = w.now + w.between(2*time.Second, 12*time.Second)
	}
	g.nextRep = min(g.nextRep, w.now+500*time.Millisecond)
	id, _, _ := protocol.ParseTaskName(t.piece)
	j := w.jobs[id]
	where := fmt.Sprintf("at %v: %s try %x on %s", w.now, t.piece, t.try, g.Name)
	if j.spec.Spot != true && g.Spot {
		w.t.Fatalf("wrong_place: spot: %s", where)
	}
	if j.spec.Zone != "" && j.spec.Zone != g.Zone {
		w.t.Fatalf("wrong_place: zone: %s", where)
	}
	if len(j.spec.MachineTypes) > 0 && j.spec.MachineTypes[0] != g.MachineType {
		w.t.Fatalf("wrong_place: type: %s", where)
	}
	var busy []string
	used, zones := map[string]float64{}, map[string]int{}
	for _, n := range w.rigNames() {
		o := w.rigs[n]
		if o.gone {
			continue
		}
		for _, x := range o.tasks {
			if !x.onMachine() {
				continue
			}
			xid, _, _ := protocol.ParseTaskName(x.piece)
			used[w.jobs[xid].spec.Team] += w.jobs[xid].spec.CPUs
			busy = append(busy, fmt.Sprintf("%s:%s#%x*%v", n, x.piece, x.try, w.jobs[xid].spec.CPUs))
			if xid == id {
				zones[o.Zone]++
			}
			if x.piece == t.piece && x != t {
				w.t.Fatalf("ran_twice: %s, and on %s try %x", where, n, x.try)
			}
		}
	}
	for _, tm := range w.teams {
		if used[tm.Name] > tm.CPUsMax+1e-9 {
			w.t.Fatalf("quota: %s uses %v: %s; running: %v", tm.Name, used[tm.Name], where, busy)
		}
	}
	if j.spec.SameZone && len(zones) > 1 {
		w.t.Fatalf("wrong_place: together: %s", where)
	}
	if j.spec.SpreadZones && zones[g.Zone] > (j.spec.Tasks+1)/2 {
		w.t.Fatalf("wrong_place: scatter: %s", where)
	}
	w.checkCancelled(j, where)
}

func (w *world) checkCancelled(j *jobTruth, where string) {
	if j.cancelled != 0 && w.now > j.cancelled+time.Duration(w.workers.CancelS*float64(time.Second)) {
		w.t.Fatalf("ran_cancelled: %s", where)
	}
}

func (w *world) submit() {
	w.jobSeq++
	id := fmt.Sprintf("job-%06d", w.jobSeq)
	pick := func(s ...string) string { return s[w.r.IntN(len(s))] }
	sp := protocol.Spec{ID: id, Class: pick("x", "y"), Team: pick("red", "blue"), Shape: "sweep",
		Priority: pick("low", "standard", "high", "production"), Tasks: 1 + w.r.IntN(8), CPUs: float64(1 + w.r.IntN(4)), MemoryGB: 1,
		Zone: pick("", "", "", "a"), SameZone: w.chance(0.2), SpreadZones: w.chance(0.2), Spot: w.chance(0.6),
		Image: pick("i", "k"), ImageGB: 1, EstimateS: 6}
	if sp.SameZone {
		sp.SpreadZones = false
	}
	if sp.SpreadZones {
		sp.Zone = "" // half of the tasks could never be placed at once
	}
	if w.chance(0.2) {
		sp.MachineTypes = []string{"b8"}
	}
	if w.chance(0.3) {
		sp.CheckpointS, sp.SaveS = 2, 1
	}
	if w.chance(0.4) {
		sp.DeadlineS = 20
	}
	if w.chance(0.3) {
		sp.Shape = protocol.ShapeGang
		sp.Tasks = 1 + w.r.IntN(min(5, int(20/sp.CPUs))) // all together fit into the lower of the teams' limits
	}
	w.jobs[id] = &jobTruth{spec: sp, done: map[int]bool{}}
	w.put("open/"+id, storage.Open{Spec: sp})
	if w.chance(0.08) {
		w.failEvery[id] = true
	}
}

func (w *world) cancel() {
	open := w.sortedKeys("open/")
	if len(open) == 0 {
		return
	}
	w.cancelJob(open[w.r.IntN(len(open))])
}

func (w *world) cancelJob(key string) {
	var o storage.Open
	w.must(protocol.Decode(w.keys[key].data, &o))
	if o.Cancelled {
		return
	}
	o.Cancelled, o.CancelMs = true, w.now.Milliseconds()
	w.jobs[key[len("open/"):]].cancelled = w.now
	w.put(key, o)
}

// fault is something going wrong.
func (w *world) fault() {
	names := w.rigNames()
	if len(names) == 0 {
		return
	}
	struck := []*rig{w.rigs[names[w.r.IntN(len(names))]]}
	switch w.r.IntN(8) {
	case 0: // a zone
		yard := struck[0].Zone
		struck = nil
		for _, n := range names {
			if w.rigs[n].Zone == yard {
				struck = append(struck, w.rigs[n])
			}
		}
	case 1: // a fifth of the fleet
		struck = nil
		for _, n := range names {
			if w.chance(0.2) {
				struck = append(struck, w.rigs[n])
			}
		}
	}
	kind := w.r.IntN(6)
	long := func(most time.Duration) time.Duration { return w.now + w.between(time.Second, most) }
	hung, cut, warned, deaf := long(40*time.Second), long(30*time.Second), long(15*time.Second), long(60*time.Second)
	for _, g := range struck {
		switch kind {
		case 0:
			g.hungTill = hung
		case 1:
			g.cutTill = cut
		case 2:
			g.never, g.bootAt = true, time.Hour*10 // dies and stays listed
			g.tasks = nil
		case 3:
			if g.Spot {
				g.warn = warned
			}
		case 4:
			g.gone, g.tasks = true, nil
		case 5:
			g.deafTill = deaf
		}
	}
	if len(struck) > 1 && w.chance(0.3) { // and all controllers in the same seconds
		w.takeOver()
	}
}

const worldStep = 50 * time.Millisecond

func (w *world) advance() {
	w.now += worldStep
	for {
		// Letters due are delivered in order of time; equals in the order in which they were sent.
		next := -1
		for i := range w.mail {
			if w.mail[i].at <= w.now && (next < 0 || w.mail[i].at < w.mail[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		l := w.mail[next]
		w.mail = append(w.mail[:next], w.mail[next+1:]...)
		l.do()
	}
	for _, n := range w.rigNames() {
		g := w.rigs[n]
		w.run(g)
		if w.now%time.Second == 0 {
			for _, t := range g.tasks {
				if t.onMachine() {
					id, _, _ := protocol.ParseTaskName(t.piece)
					w.checkCancelled(w.jobs[id], fmt.Sprintf("at %v: %s still on %s", w.now, t.piece, n))
				}
			}
		}
	}
	w.runGangs()
	if w.now%(500*time.Millisecond) == 0 {
		for _, c := range w.leaders {
			if !c.dead && w.now >= c.ends {
				c.dead = true
			}
			w.step(c, Tick{Entitled: w.now < c.until})
		}
	}
}

// explain tells why a job waits.
func (w *world) explain(id string) string {
	s := w.leaders[len(w.leaders)-1].s
	out := fmt.Sprintf("spec %+v\n", w.jobs[id].spec)
	if j := s.jobs[id]; j != nil {
		out += fmt.Sprintf("free %d done %d resume %v now %v fails %v cancelled %v finishing %v settled %v\n",
			j.free(), j.doneCount, j.resume, s.now, j.failOn, j.cancelled, j.finishing, s.recovered)
		for _, b := range j.sortedBound() {
			out += fmt.Sprintf("bound %d on %s phase %d direct %d unclear %v stop %v\n", b.index, b.machine.name, b.phase, b.direct, b.unclear, b.stop)
		}
	}
	for _, t := range w.teams {
		out += fmt.Sprintf("team %s used %+v\n", t.Name, s.teams[t.Name].used)
	}
	for _, m := range s.fleet {
		out += fmt.Sprintf("%s %s %s spot %v seen %v fenced %v mark %d usable %v deleting %v sick %v heard %v shift %d dead %d binds %d used %+v free %+v\n", m.name, m.kind, m.zone, m.spot,
			m.seen, m.fenced, m.registration, s.usable(m), m.deleting, m.sick(), m.heard, m.session, m.endedSession, len(m.bindings), m.used, m.freeRoom())
	}
	return out
}

// TestRules plays days with faults of every kind against the protocol's rules, and then a calm end in which all work must get done.
func TestRules(t *testing.T) {
	seen := &gangEvents{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"))
		w.seen = seen
		playDay(w)
	})
	seen.check(t)
}

func playDay(w *world) {
	w.takeOver()
	for w.now < 150*time.Second {
		switch {
		case w.chance(0.02):
			w.submit()
		case w.chance(0.003):
			w.cancel()
		case w.chance(0.006):
			w.fault()
		case w.chance(0.002):
			for range 1 + w.r.IntN(3) { // leaders that are back, or replaced, within a fraction of a second
				w.takeOver()
				for range w.r.IntN(8) {
					w.advance()
				}
			}
		}
		w.advance()
	}
	w.calm = true
	for _, g := range w.rigs {
		g.cutTill, g.deafTill, g.hungTill = 0, 0, min(g.hungTill, w.now+time.Second)
	}
	for _, key := range w.sortedKeys("open/") {
		if w.failEvery[key[len("open/"):]] {
			w.cancelJob(key)
		}
	}
	end := w.now + 600*time.Second
	for w.now < end && len(w.sortedKeys("open/")) > 0 {
		w.advance()
	}
	if left := w.sortedKeys("open/"); len(left) > 0 {
		w.t.Fatalf("not finished after a calm end: %v\n%s", left, w.explain(left[0][len("open/"):]))
	}
}

// TestReplay plays one day with everything that the scheduler does, to understand a failure:
// QUILLSHUNT_SEED=0x7ec8 go test ./internal/coordination/scheduler -run TestReplay
func TestReplay(t *testing.T) {
	text := os.Getenv("QUILLSHUNT_SEED")
	if text == "" {
		t.Skip("QUILLSHUNT_SEED is not set")
	}
	seed, err := strconv.ParseUint(text, 0, 64)
	if err != nil {
		t.Fatal(err)
	}
	w := newWorld(t, seed)
	w.trace = true
	playDay(w)
}
