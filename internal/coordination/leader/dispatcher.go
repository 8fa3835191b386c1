// Package leader runs a term: the actor that owns the scheduler, and the actors that carry
// out what it decides. Everything reaches it as a message and nothing in it blocks on I/O.
package leader

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
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
