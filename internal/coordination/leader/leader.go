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

// HeartbeatResponder answers a worker's report: 200 with a body, or another status.
type HeartbeatResponder func(status int, body []byte)

// Dispatcher is where messages for the present term are left. It outlives terms.
type Dispatcher struct {
	settings *config.Settings
	options  config.Options
	store    *storage.Store
	cloud    *Cloud
	sockets  *transport.SocketBudget // or nil
	log      *slog.Logger
	termLost func(term uint64)
	dialer   transport.Dialer // to workers
	term     atomic.Pointer[term]
}

// NewDispatcher returns a Dispatcher.
func NewDispatcher(settings *config.Settings, options config.Options, store *storage.Store, cloud *Cloud, sockets *transport.SocketBudget, log *slog.Logger) *Dispatcher {
	return &Dispatcher{settings: settings, options: options, store: store, cloud: cloud, sockets: sockets, log: log, termLost: func(uint64) {}}
}

// WithDialer makes it dial workers another way. It is called before the first use.
func (d *Dispatcher) WithDialer(dialer transport.Dialer) *Dispatcher {
	d.dialer = dialer
	return d
}

// OnTermLost sets who is told that a term was found to be over.
func (d *Dispatcher) OnTermLost(f func(term uint64)) { d.termLost = f }

// term is one term's actor.
type term struct {
	dispatcher          *Dispatcher
	leadership          *election.Leadership
	mailbox             chan any
	startedAt           time.Time
	scheduler           *scheduler.Scheduler
	writes              chan scheduler.WriteRecords
	log                 *slog.Logger
	urgentWrites        []scheduler.WriteRecords
	bulkWrites          []scheduler.WriteRecords     // those that can wait for all others
	workerClients       map[string]*transport.Client // by address
	maxWorkerClients    int                          // most of these
	probeSlots          chan struct{}                // probes under way; a take-over asks all machines at once
	longestWait         time.Duration                // longest wait of a report in the mailbox since the last summary
	lastSlowHeartbeatAt atomic.Int64                 // when a report was last taken that had waited for longer than BusyWait, in nanoseconds of the term
	lastCounters        resourceCounters
}

type heartbeatMessage struct {
	body           []byte // as it came: the actor decodes all reports, those relayed included
	reply          HeartbeatResponder
	arrived        time.Time
	relayed        bool
	sameConnection bool
}

// observedRevisionMessage comes after all changes of open jobs up to a revision.
type observedRevisionMessage uint64

type taskCountsMessage struct {
	job   string
	reply chan scheduler.TaskCounts
}

type cancellationMessage struct {
	change scheduler.JobChanged
	reply  chan bool
}

type inspectMessage struct {
	job   string
	reply chan scheduler.Snapshot
}

// IsLeader tells whether this process leads.
func (d *Dispatcher) IsLeader() bool { return d.term.Load() != nil }

// Entitled tells whether it is surely the leader at this moment.
func (d *Dispatcher) Entitled() bool {
	t := d.term.Load()
	return t != nil && t.leadership.Entitled()
}

// Heartbeat hands a report to the term; stayed tells that the worker got a 200 before on its
// connection. It is answered 503 at once if nobody leads here or the mailbox is full.
func (d *Dispatcher) Heartbeat(body []byte, stayed bool, reply HeartbeatResponder) {
	d.enqueue(heartbeatMessage{body: body, reply: reply, sameConnection: stayed})
}

// RelayedHeartbeat takes a report that came through another controller.
func (d *Dispatcher) RelayedHeartbeat(ctx context.Context, body []byte, stayed bool) (int, []byte) {
	type answer struct {
		status int
		body   []byte
	}
	got := make(chan answer, 1)
	d.enqueue(heartbeatMessage{body: body, reply: func(status int, body []byte) { got <- answer{status, body} }, relayed: true, sameConnection: stayed})
	select {
	case a := <-got:
		return a.status, a.body
	case <-ctx.Done():
		return 503, nil
	}
}

func (d *Dispatcher) enqueue(msg heartbeatMessage) {
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

// request leaves a question for the actor and waits for the answer.
func request[T any](ctx context.Context, t *term, msg any, reply <-chan T) (answer T, ok bool) {
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

// TaskCounts returns a job's counts if this process leads.
func (d *Dispatcher) TaskCounts(ctx context.Context, job string) (peer.TaskCounts, bool) {
	t := d.term.Load()
	if t == nil {
		return peer.TaskCounts{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, limits.TaskCountsTimeout)
	defer cancel()
	reply := make(chan scheduler.TaskCounts, 1)
	c, ok := request(ctx, t, taskCountsMessage{job: job, reply: reply}, reply)
	return peer.TaskCounts{Done: c.Done, Running: c.Running}, ok && c.Known
}

// ConfirmCancellation takes the record of a cancelled job from the controller that is about to tell
// the user. It tells whether we were entitled after the scheduler had taken it: then no other
// controller was, and whoever leads later reads it in the state service. Our own watch may be
// silent long after, when the state service refuses us or everybody.
func (d *Dispatcher) ConfirmCancellation(ctx context.Context, job string, stamp uint64, record []byte) bool {
	t := d.term.Load()
	if t == nil {
		return false
	}
	seen, err := t.decodeOpenJob(storage.OpenJobKey(job), record, stamp)
	if err != nil || !seen.Record.Cancelled {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, limits.CancelConfirmTimeout)
	defer cancel()
	reply := make(chan bool, 1)
	known, ok := request(ctx, t, cancellationMessage{change: seen, reply: reply}, reply)
	return ok && known
}

// Inspect returns how the term stands if this process leads, and why a job waits if one is named.
func (d *Dispatcher) Inspect(ctx context.Context, job string) (*peerpb.StatusReply, bool) {
	t := d.term.Load()
	if t == nil {
		return nil, false
	}
	reply := make(chan scheduler.Snapshot, 1)
	v, ok := request(ctx, t, inspectMessage{job: job, reply: reply}, reply)
	if !ok {
		return nil, false
	}
	r := &peerpb.StatusReply{Leader: d.settings.NodeName, Term: v.Term, Entitled: t.leadership.Entitled(), Recovered: v.Recovered, Explanation: v.Explanation}
	for _, m := range v.Machines {
		r.Machines = append(r.Machines, &peerpb.Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot, State: m.State,
			Cpus: m.CPUs, UsedCpus: m.UsedCPUs, Tasks: int64(m.Tasks), HeartbeatAgeS: m.SilentFor.Seconds()})
	}
	for _, tv := range v.Teams {
		r.Teams = append(r.Teams, &peerpb.Team{Name: tv.Name, UsedCpus: tv.UsedCPUs, GuaranteedCpus: tv.GuaranteedCPUs, MaxCpus: tv.MaxCPUs,
			Jobs: int64(tv.Jobs), AssignedTasks: int64(tv.AssignedTasks), WaitingTasks: int64(tv.WaitingTasks)})
	}
	return r, true
}

// RunTerm runs a term until its context ends.
func (d *Dispatcher) RunTerm(ctx context.Context, m *election.Leadership) {
	f := &d.settings.Facts
	shares := limits.DivideSockets(f.Machine.MaxSockets, len(d.settings.Members))
	t := &term{
		dispatcher: d, leadership: m,
		mailbox:   make(chan any, limits.MailboxSize(shares)),
		startedAt: time.Now(),
		writes:    make(chan scheduler.WriteRecords),

		workerClients:    map[string]*transport.Client{},
		maxWorkerClients: shares.MaxMachines,
		probeSlots:       make(chan struct{}, shares.Probes),
		log:              d.log.With("term", m.Term),
	}
	options := d.options
	if options.Fleet.MaxMachines == 0 {
		options.Fleet.MaxMachines = shares.MaxMachines
	}
	t.scheduler = scheduler.New(scheduler.Config{
		Term: m.Term, Teams: f.Teams, Objectives: f.Objectives, Workers: f.Workers, State: f.State,
		ListLag: limits.Seconds(f.Cloud.ListLagS), CloudRPS: f.Cloud.RPS * limits.CloudRateShare, CoreShare: f.Machine.CoreShare, Options: options,
	}, 0)
	d.term.Store(t)
	defer d.term.Store(nil)
	defer t.drain()
	defer t.closeAllWorkerClients()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ledger, ok := t.load(ctx)
	if !ok {
		return
	}
	w := &writer{term: t}
	go w.run(ctx)
	go t.watchOpenJobs(ctx, ledger)
	t.run(ctx)
}

// drain answers what is left in the mailbox.
func (t *term) drain() {
	for {
		select {
		case msg := <-t.mailbox:
			if r, ok := msg.(heartbeatMessage); ok {
				r.reply(503, nil)
			}
		default:
			return
		}
	}
}

func (t *term) now() time.Duration { return time.Since(t.startedAt) }

// load reads what earlier terms left behind: open jobs, their finished tasks, rentals.
func (t *term) load(ctx context.Context) (uint64, bool) {
	var back storage.Backoff
	for {
		ledger, evs, err := t.readRecords(ctx)
		if err == nil {
			for _, e := range evs {
				t.step(ctx, e)
			}
			t.step(ctx, scheduler.StateLoaded{})
			t.leadership.Observe(ledger)
			return ledger, true
		}
		t.log.Warn("cannot load jobs", "err", err)
		if !back.Wait(ctx) {
			return 0, false
		}
	}
}

func (t *term) readRecords(ctx context.Context) (uint64, []scheduler.Event, error) {
	ledger, evs, err := t.readOpenJobs(ctx)
	if err != nil {
		return 0, nil, err
	}
	err = listRecords(ctx, t.dispatcher.store, storage.PrefixFinishedTasks, func(p protocol.KeyValue, f storage.FinishedTasks) {
		if id, _, ok := storage.ParseFinishedTasksKey(p.Key); ok {
			evs = append(evs, scheduler.FinishedTasksLoaded{JobID: id, Version: p.Version, Record: f})
		}
	})
	if err != nil {
		return 0, nil, err
	}
	err = listRecords(ctx, t.dispatcher.store, storage.PrefixRental, func(p protocol.KeyValue, h storage.Rental) {
		evs = append(evs, scheduler.RentalLoaded{Name: strings.TrimPrefix(p.Key, storage.PrefixRental), Version: p.Version, Record: h})
	})
	if err != nil {
		return 0, nil, err
	}
	err = listRecords(ctx, t.dispatcher.store, storage.PrefixRegistryPage, func(p protocol.KeyValue, u storage.RegistryPage) {
		evs = append(evs, scheduler.RegistryPageLoaded{Name: strings.TrimPrefix(p.Key, storage.PrefixRegistryPage), Version: p.Version, Record: u})
	})
	return ledger, evs, err
}

// listRecords reads all records of one kind.
func listRecords[T any](ctx context.Context, store *storage.Store, prefix string, each func(protocol.KeyValue, T)) error {
	_, err := store.List(ctx, prefix, func(p protocol.KeyValue) error {
		var rec T
		if err := protocol.Decode(p.Value, &rec); err != nil {
			return fmt.Errorf("%s: %w", p.Key, err)
		}
		each(p, rec)
		return nil
	})
	return err
}

func (t *term) readOpenJobs(ctx context.Context) (uint64, []scheduler.Event, error) {
	var evs []scheduler.Event
	ledger, err := t.dispatcher.store.List(ctx, storage.PrefixOpenJob, func(p protocol.KeyValue) error {
		e, err := t.decodeOpenJob(p.Key, p.Value, p.Version)
		if err != nil {
			return err
		}
		evs = append(evs, e)
		return nil
	})
	return ledger, evs, err
}

func (t *term) decodeOpenJob(path string, data protocol.Raw, stamp uint64) (scheduler.JobChanged, error) {
	var o storage.OpenJob
	if err := protocol.Decode(data, &o); err != nil {
		return scheduler.JobChanged{}, fmt.Errorf("%s: %w", path, err)
	}
	e := scheduler.JobChanged{JobID: strings.TrimPrefix(path, storage.PrefixOpenJob), Version: stamp, Record: o, SinceSubmission: max(age(o.SubmittedAtMs), 0)}
	if o.CancelledAtMs != 0 {
		// The clock that it was noted by and ours may differ by the bound of both.
		e.SinceCancellation = max(age(o.CancelledAtMs)+2*limits.Seconds(t.dispatcher.settings.Facts.SkewMs/1000), 0)
	}
	return e, nil
}

// age is how long ago a time of day was.
func age(ms int64) time.Duration { return time.Duration(time.Now().UnixMilli()-ms) * time.Millisecond }

// watchOpenJobs follows the open jobs.
func (t *term) watchOpenJobs(ctx context.Context, since uint64) {
	var back storage.Backoff
	for ctx.Err() == nil {
		r, err := t.dispatcher.store.Watch(ctx, storage.PrefixOpenJob, since)
		switch {
		case errors.Is(err, storage.ErrCompacted):
			ledger, evs, rerr := t.readOpenJobs(ctx)
			if rerr != nil {
				back.Wait(ctx)
				continue
			}
			for _, e := range evs {
				t.send(ctx, e)
			}
			since = ledger
			t.send(ctx, observedRevisionMessage(since))
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
				t.send(ctx, scheduler.JobRemoved{JobID: strings.TrimPrefix(c.Delete, storage.PrefixOpenJob), Version: c.Version})
				continue
			}
			e, err := t.decodeOpenJob(c.Put, c.Value, c.Version)
			if err != nil {
				t.log.Error("bad job record", "err", err)
				continue
			}
			t.send(ctx, e)
		}
		since = max(since, r.Revision)
		t.send(ctx, observedRevisionMessage(since))
	}
}

// send leaves a message for the actor; it waits while the mailbox is full.
func (t *term) send(ctx context.Context, msg any) {
	select {
	case t.mailbox <- msg:
	case <-ctx.Done():
	}
}

// run is the actor's loop.
func (t *term) run(ctx context.Context) {
	tick := time.NewTicker(limits.TickInterval)
	defer tick.Stop()
	for {
		var writes chan scheduler.WriteRecords
		var next scheduler.WriteRecords
		queue := &t.urgentWrites
		if len(t.urgentWrites) == 0 {
			queue = &t.bulkWrites
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
			t.releaseSockets()
			t.step(ctx, scheduler.Tick{Entitled: t.leadership.Entitled()})
		case msg := <-t.mailbox:
			switch msg := msg.(type) {
			case heartbeatMessage:
				t.handleHeartbeat(ctx, msg)
			case taskCountsMessage:
				t.step(ctx, scheduler.TaskCountsRequested{ID: msg.job, ReplyTo: msg.reply})
			case cancellationMessage:
				t.step(ctx, msg.change)
				msg.reply <- t.leadership.Entitled()
			case observedRevisionMessage:
				t.leadership.Observe(uint64(msg))
			case inspectMessage:
				t.step(ctx, scheduler.SnapshotRequested{Job: msg.job, ReplyTo: msg.reply})
			case scheduler.Event:
				t.step(ctx, msg)
			}
		}
	}
}

// handleHeartbeat takes a worker's report.
func (t *term) handleHeartbeat(ctx context.Context, msg heartbeatMessage) {
	wait := time.Since(msg.arrived)
	t.longestWait = max(t.longestWait, wait)
	if wait > limits.SlowHeartbeatWait {
		t.lastSlowHeartbeatAt.Store(int64(t.now()))
	}
	var r protocol.Heartbeat
	if err := protocol.Decode(msg.body, &r); err != nil || !r.Valid() {
		msg.reply(400, nil)
		return
	}
	if r.FencingToken > t.leadership.Term {
		t.dispatcher.termLost(t.leadership.Term) // the worker has seen a later leader
	}
	entitled := wait < limits.HeartbeatAnswerTimeout && t.leadership.Entitled()
	t.step(ctx, scheduler.HeartbeatReceived{Heartbeat: &r, ReplyTo: msg.reply, Entitled: entitled, Relayed: msg.relayed, SameConnection: msg.sameConnection})
}

// step takes an event through the scheduler and carries out the effects.
func (t *term) step(ctx context.Context, e scheduler.Event) {
	for _, eff := range t.scheduler.Step(e, t.now()) {
		switch eff := eff.(type) {
		case scheduler.HeartbeatReply:
			reply := eff.ReplyTo.(HeartbeatResponder)
			if eff.Redirect {
				reply(421, protocol.Encode(protocol.Redirect{Leader: t.dispatcher.settings.NodeName}))
				continue
			}
			if !eff.Accepted || !t.leadership.Entitled() {
				reply(503, nil)
				continue
			}
			reply(200, protocol.Encode(protocol.HeartbeatReply{FencingToken: t.leadership.Term, Commands: eff.Commands}))
		case scheduler.WriteRecords:
			if eff.Bulk {
				t.bulkWrites = append(t.bulkWrites, eff)
			} else {
				t.urgentWrites = append(t.urgentWrites, eff)
			}
		case scheduler.SendDirectCommands:
			go t.executeDirectCommands(ctx, eff, t.workerClient(eff.Address))
		case scheduler.ProbeMachine:
			go t.executeProbe(ctx, eff)
		case scheduler.RentMachines:
			go t.executeRental(ctx, eff.Request)
		case scheduler.DeleteMachines:
			go t.executeDeletion(ctx, eff.Machines)
		case scheduler.ListMachines:
			go t.listMachines(ctx)
		case scheduler.FetchMachineTypes:
			go t.refreshMachineTypes(ctx)
		case scheduler.TaskCounts:
			eff.ReplyTo.(chan scheduler.TaskCounts) <- eff
		case scheduler.SnapshotTaken:
			eff.ReplyTo.(chan scheduler.Snapshot) <- eff.Snapshot
		case scheduler.LogEntry:
			if eff.Message == scheduler.SummaryMessage {
				eff.Args = append(eff.Args, t.resourceUsage()...)
			}
			t.log.Log(ctx, eff.Level, eff.Message, eff.Args...)
		}
	}
}
