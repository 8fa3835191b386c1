// Package leader runs a term: the actor that owns the scheduler, and the actors that carry
// out what it decides. Everything reaches it as a message and nothing in it blocks on I/O.
package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// Reply answers a worker's report: 200 with a body, or another status.
type Reply func(status int, body []byte)

// Runner is where messages for the present term are left. It outlives terms.
type Runner struct {
	settings *config.Settings
	options  config.Options
	store    *storage.Store
	cloud    *Cloud
	sockets  *transport.Sockets // or nil
	log      *slog.Logger
	lost     func(term uint64)
	dialer   transport.Dialer // to workers
	term     atomic.Pointer[term]
}

// NewRunner returns a Runner.
func NewRunner(settings *config.Settings, options config.Options, store *storage.Store, cloud *Cloud, sockets *transport.Sockets, log *slog.Logger) *Runner {
	return &Runner{settings: settings, options: options, store: store, cloud: cloud, sockets: sockets, log: log, lost: func(uint64) {}}
}

// Over makes it dial workers another way. It is called before the first use.
func (d *Runner) Over(dialer transport.Dialer) *Runner {
	d.dialer = dialer
	return d
}

// OnLost sets who is told that a term was found to be over.
func (d *Runner) OnLost(f func(term uint64)) { d.lost = f }

// term is one term's actor.
type term struct {
	runner     *Runner
	leadership *election.Leadership
	mailbox    chan any
	start      time.Time
	scheduler  *scheduler.Scheduler
	writes     chan scheduler.WriteOut
	log        *slog.Logger
	pending    []scheduler.WriteOut
	bulk       []scheduler.WriteOut         // those that can wait for all others
	workers    map[string]*transport.Client // by address
	clients    int                          // most of these
	probes     chan struct{}                // probes under way; a take-over asks all machines at once
	longest    time.Duration                // longest wait of a report in the mailbox since the last summary
	late       atomic.Int64                 // when a report was last taken that had waited for longer than BusyWait, in nanoseconds of the term
	usage      usage
}

type reportMsg struct {
	body    []byte // as it came: the actor decodes all reports, those relayed included
	reply   Reply
	arrived time.Time
	relayed bool
	stayed  bool
}

// seenMsg comes after all changes of open jobs up to a revision.
type seenMsg uint64

type countsMsg struct {
	job   string
	reply chan scheduler.CountsOut
}

type confirmMsg struct {
	seen  scheduler.JobSeen
	reply chan bool
}

type inspectMsg struct {
	job   string
	reply chan scheduler.Snapshot
}

// Leads tells whether this process leads.
func (d *Runner) Leads() bool { return d.term.Load() != nil }

// Entitled tells whether it is surely the leader at this moment.
func (d *Runner) Entitled() bool {
	t := d.term.Load()
	return t != nil && t.leadership.Entitled()
}

// Report hands a report to the term; stayed tells that the worker got a 200 before on its connection. It is answered 503 at once if
// nobody leads here
// or the mailbox is full.
func (d *Runner) Report(body []byte, stayed bool, reply Reply) {
	d.take(reportMsg{body: body, reply: reply, stayed: stayed})
}

// Relayed takes a report that came through another controller.
func (d *Runner) Relayed(ctx context.Context, body []byte, stayed bool) (int, []byte) {
	type answer struct {
		status int
		body   []byte
	}
	got := make(chan answer, 1)
	d.take(reportMsg{body: body, reply: func(status int, body []byte) { got <- answer{status, body} }, relayed: true, stayed: stayed})
	select {
	case a := <-got:
		return a.status, a.body
	case <-ctx.Done():
		return 503, nil
	}
}

func (d *Runner) take(msg reportMsg) {
	t := d.term.Load()
	if t == nil {
		msg.reply(503, nil)
		return
	}
	msg.arrived = time.Now()
	select {
	case t.mailbox <- msg:
	default:
		msg.reply(503, nil)
	}
}

// ask leaves a question for the actor and waits for the answer.
func ask[T any](ctx context.Context, t *term, msg any, reply <-chan T) (answer T, ok bool) {
	select {
	case t.mailbox <- msg:
	case <-ctx.Done():
		return answer, false
	}
	select {
	case answer = <-reply:
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}

// Counts returns a job's counts if this process leads.
func (d *Runner) Counts(ctx context.Context, job string) (peer.Counts, bool) {
	t := d.term.Load()
	if t == nil {
		return peer.Counts{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, limits.PeerTimeout)
	defer cancel()
	reply := make(chan scheduler.CountsOut, 1)
	c, ok := ask(ctx, t, countsMsg{job: job, reply: reply}, reply)
	return peer.Counts{Done: c.Done, Running: c.Running}, ok && c.Known
}

// Confirm takes the record of a cancelled job from the controller that is about to tell the user. It tells whether we were entitled
// after the
// scheduler had taken it: then no other controller was, and whoever leads later reads it in the state service. Our own watch may be silent
// long after, when the state service refuses us or everybody.
func (d *Runner) Confirm(ctx context.Context, job string, stamp uint64, record []byte) bool {
	t := d.term.Load()
	if t == nil {
		return false
	}
	seen, err := t.jobSeen(storage.OpenKey(job), record, stamp)
	if err != nil || !seen.Rec.Cancelled {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, limits.ConfirmTimeout)
	defer cancel()
	reply := make(chan bool, 1)
	known, ok := ask(ctx, t, confirmMsg{seen: seen, reply: reply}, reply)
	return ok && known
}

// Inspect returns how the term stands if this process leads, and why a job waits if one is named.
func (d *Runner) Inspect(ctx context.Context, job string) (*peerpb.StatusReply, bool) {
	t := d.term.Load()
	if t == nil {
		return nil, false
	}
	reply := make(chan scheduler.Snapshot, 1)
	v, ok := ask(ctx, t, inspectMsg{job: job, reply: reply}, reply)
	if !ok {
		return nil, false
	}
	r := &peerpb.StatusReply{Leader: d.settings.NodeName, Term: v.Term, Entitled: t.leadership.Entitled(), Rebuilt: v.Rebuilt, Why: v.Why}
	for _, m := range v.Machines {
		r.Machines = append(r.Machines, &peerpb.Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot, State: m.State,
			Cpus: m.Cpus, Used: m.Used, Tasks: int64(m.Tasks), SilentS: m.Silent.Seconds()})
	}
	for _, tv := range v.Teams {
		r.Teams = append(r.Teams, &peerpb.Team{Name: tv.Name, Used: tv.Used, Guaranteed: tv.Guar, Most: tv.Most,
			Jobs: int64(tv.Jobs), Bound: int64(tv.Bound), Waiting: int64(tv.Waiting)})
	}
	return r, true
}

// Lead runs a term until its context ends.
func (d *Runner) Lead(ctx context.Context, m *election.Leadership) {
	f := &d.settings.Facts
	shares := limits.ShareSockets(f.Machine.MaxSockets, len(d.settings.Members))
	t := &term{
		runner: d, leadership: m,
		mailbox: make(chan any, limits.Mailbox(shares)),
		start:   time.Now(),
		writes:  make(chan scheduler.WriteOut),

		workers: map[string]*transport.Client{},
		clients: shares.Machines,
		probes:  make(chan struct{}, shares.Probes),
		log:     d.log.With("term", m.Term),
	}
	options := d.options
	if options.Fleet.MaxMachines == 0 {
		options.Fleet.MaxMachines = shares.Machines
	}
	t.scheduler = scheduler.New(scheduler.Config{
		Term: m.Term, Teams: f.Teams, Objectives: f.Objectives, Workers: f.Workers, State: f.State,
		ListLag: limits.Seconds(f.Cloud.ListLagS), CloudRPS: f.Cloud.RPS * limits.CloudShare, CoreShare: f.Machine.CoreShare, Options: options,
	}, 0)
	d.term.Store(t)
	defer d.term.Store(nil)
	defer t.drain()
	defer t.closeConnections()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ledger, ok := t.load(ctx)
	if !ok {
		return
	}
	w := &writer{t: t}
	go w.run(ctx)
	go t.watch(ctx, ledger)
	t.run(ctx)
}

// drain answers what is left in the mailbox.
func (t *term) drain() {
	for {
		select {
		case msg := <-t.mailbox:
			if r, ok := msg.(reportMsg); ok {
				r.reply(503, nil)
			}
		default:
			return
		}
	}
}

func (t *term) now() time.Duration { return time.Since(t.start) }

// load reads what earlier terms left behind: open jobs, their finished tasks, rentals.
func (t *term) load(ctx context.Context) (uint64, bool) {
	var back storage.Backoff
	for {
		ledger, evs, err := t.read(ctx)
		if err == nil {
			for _, e := range evs {
				t.step(ctx, e)
			}
			t.step(ctx, scheduler.Loaded{})
			t.leadership.Saw(ledger)
			return ledger, true
		}
		t.log.Warn("cannot load jobs", "err", err)
		if !back.Wait(ctx) {
			return 0, false
		}
	}
}

func (t *term) read(ctx context.Context) (uint64, []scheduler.Event, error) {
	ledger, evs, err := t.readOpen(ctx)
	if err != nil {
		return 0, nil, err
	}
	err = listRecords(ctx, t.runner.store, storage.PrefixFin, func(p protocol.Pair, f storage.Fin) {
		if id, _, ok := storage.ParseFinKey(p.Key); ok {
			evs = append(evs, scheduler.FinishedLoaded{ID: id, Version: p.Version, Rec: f})
		}
	})
	if err != nil {
		return 0, nil, err
	}
	err = listRecords(ctx, t.runner.store, storage.PrefixRental, func(p protocol.Pair, h storage.Rental) {
		evs = append(evs, scheduler.RentalLoaded{Name: strings.TrimPrefix(p.Key, storage.PrefixRental), Version: p.Version, Rec: h})
	})
	if err != nil {
		return 0, nil, err
	}
	err = listRecords(ctx, t.runner.store, storage.PrefixUp, func(p protocol.Pair, u storage.Ups) {
		evs = append(evs, scheduler.RegistrationLoaded{Name: strings.TrimPrefix(p.Key, storage.PrefixUp), Version: p.Version, Rec: u})
	})
	return ledger, evs, err
}

// listRecords reads all records of one kind.
func listRecords[T any](ctx context.Context, store *storage.Store, prefix string, each func(protocol.Pair, T)) error {
	_, err := store.List(ctx, prefix, func(p protocol.Pair) error {
		var rec T
		if err := protocol.Decode(p.Value, &rec); err != nil {
			return fmt.Errorf("%s: %w", p.Key, err)
		}
		each(p, rec)
		return nil
	})
	return err
}

func (t *term) readOpen(ctx context.Context) (uint64, []scheduler.Event, error) {
	var evs []scheduler.Event
	ledger, err := t.runner.store.List(ctx, storage.PrefixOpen, func(p protocol.Pair) error {
		e, err := t.jobSeen(p.Key, p.Value, p.Version)
		if err != nil {
			return err
		}
		evs = append(evs, e)
		return nil
	})
	return ledger, evs, err
}

func (t *term) jobSeen(path string, data protocol.Raw, stamp uint64) (scheduler.JobSeen, error) {
	var o storage.Open
	if err := protocol.Decode(data, &o); err != nil {
		return scheduler.JobSeen{}, fmt.Errorf("%s: %w", path, err)
	}
	e := scheduler.JobSeen{ID: strings.TrimPrefix(path, storage.PrefixOpen), Version: stamp, Rec: o, Age: max(age(o.AtMs), 0)}
	if o.CancelMs != 0 {
		// The clock that it was noted by and ours may differ by the bound of both.
		e.CancelAge = max(age(o.CancelMs)+2*limits.Seconds(t.runner.settings.Facts.SkewMs/1000), 0)
	}
	return e, nil
}

// age is how long ago a time of day was.
func age(ms int64) time.Duration { return time.Duration(time.Now().UnixMilli()-ms) * time.Millisecond }

// watch follows the open jobs.
func (t *term) watch(ctx context.Context, since uint64) {
	var back storage.Backoff
	for ctx.Err() == nil {
		r, err := t.runner.store.Watch(ctx, storage.PrefixOpen, since)
		switch {
		case errors.Is(err, storage.ErrGone):
			ledger, evs, rerr := t.readOpen(ctx)
			if rerr != nil {
				back.Wait(ctx)
				continue
			}
			for _, e := range evs {
				t.post(ctx, e)
			}
			since = ledger
			t.post(ctx, seenMsg(since))
			continue
		case err != nil:
			t.log.Debug("watch", "err", err)
			if !back.Wait(ctx) {
				return
			}
			continue
		}
		back.Reset()
		for _, c := range r.Changes {
			if c.Delete != "" {
				t.post(ctx, scheduler.JobLeft{ID: strings.TrimPrefix(c.Delete, storage.PrefixOpen), Version: c.Version})
				continue
			}
			e, err := t.jobSeen(c.Put, c.Value, c.Version)
			if err != nil {
				t.log.Error("bad job record", "err", err)
				continue
			}
			t.post(ctx, e)
		}
		since = max(since, r.Revision)
		t.post(ctx, seenMsg(since))
	}
}

// post leaves a message for the actor; it waits while the mailbox is full.
func (t *term) post(ctx context.Context, msg any) {
	select {
	case t.mailbox <- msg:
	case <-ctx.Done():
	}
}

// run is the actor's loop.
func (t *term) run(ctx context.Context) {
	tick := time.NewTicker(limits.TickEvery)
	defer tick.Stop()
	for {
		var writes chan scheduler.WriteOut
		var next scheduler.WriteOut
		queue := &t.pending
		if len(t.pending) == 0 {
			queue = &t.bulk
		}
		if len(*queue) > 0 {
			writes, next = t.writes, (*queue)[0]
		}
		select {
		case <-ctx.Done():
			return
		case writes <- next:
			*queue = (*queue)[1:]
		case <-tick.C:
			t.makeRoom()
			t.step(ctx, scheduler.Tick{Entitled: t.leadership.Entitled()})
		case msg := <-t.mailbox:
			switch msg := msg.(type) {
			case reportMsg:
				t.report(ctx, msg)
			case countsMsg:
				t.step(ctx, scheduler.CountsIn{ID: msg.job, Ref: msg.reply})
			case confirmMsg:
				t.step(ctx, msg.seen)
				msg.reply <- t.leadership.Entitled()
			case seenMsg:
				t.leadership.Saw(uint64(msg))
			case inspectMsg:
				t.step(ctx, scheduler.InspectIn{Job: msg.job, Ref: msg.reply})
			case scheduler.Event:
				t.step(ctx, msg)
			}
		}
	}
}

// report takes a worker's report.
func (t *term) report(ctx context.Context, msg reportMsg) {
	wait := time.Since(msg.arrived)
	t.longest = max(t.longest, wait)
	if wait > limits.BusyWait {
		t.late.Store(int64(t.now()))
	}
	var r protocol.Report
	if err := protocol.Decode(msg.body, &r); err != nil || !r.Valid() {
		msg.reply(400, nil)
		return
	}
	if r.Token > t.leadership.Term {
		t.runner.lost(t.leadership.Term) // the worker has seen a later leader
	}
	entitled := wait < limits.StaleReport && t.leadership.Entitled()
	t.step(ctx, scheduler.ReportIn{Report: &r, Ref: msg.reply, Entitled: entitled, Relayed: msg.relayed, Stayed: msg.stayed})
}

// step takes an event through the scheduler and carries out the effects.
func (t *term) step(ctx context.Context, e scheduler.Event) {
	for _, eff := range t.scheduler.Step(e, t.now()) {
		switch eff := eff.(type) {
		case scheduler.ReplyOut:
			reply := eff.Ref.(Reply)
			if eff.Redirect {
				reply(421, protocol.Encode(protocol.Redirect{Leader: t.runner.settings.NodeName}))
				continue
			}
			if !eff.OK || !t.leadership.Entitled() {
				reply(503, nil)
				continue
			}
			reply(200, protocol.Encode(protocol.ReportReply{Token: t.leadership.Term, Commands: eff.Commands}))
		case scheduler.WriteOut:
			if eff.Bulk {
				t.bulk = append(t.bulk, eff)
			} else {
				t.pending = append(t.pending, eff)
			}
		case scheduler.DirectOut:
			go t.send(ctx, eff, t.worker(eff.Address))
		case scheduler.ProbeOut:
			go t.probe(ctx, eff)
		case scheduler.RentOut:
			go t.rent(ctx, eff.Request)
		case scheduler.DeleteOut:
			go t.remove(ctx, eff.Machines)
		case scheduler.ListOut:
			go t.list(ctx)
		case scheduler.TypesOut:
			go t.types(ctx)
		case scheduler.CountsOut:
			eff.Ref.(chan scheduler.CountsOut) <- eff
		case scheduler.InspectOut:
			eff.Ref.(chan scheduler.Snapshot) <- eff.Snapshot
		case scheduler.Note:
			if eff.Msg == scheduler.MsgSummary {
				eff.Args = append(eff.Args, t.resourceUsage()...)
			}
			t.log.Log(ctx, eff.Level, eff.Msg, eff.Args...)
		}
	}
}
