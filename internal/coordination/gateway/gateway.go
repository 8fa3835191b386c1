// Package gateway handles the HTTP requests of users and workers. It answers users' requests from the
// records in the state service. Workers' heartbeats are processed here if this process leads; otherwise
// they are relayed to the leader, or the worker is redirected.
package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/leader"
	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/limits"
	"quillshunt/internal/metrics"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// Options are the settings and dependencies of a Gateway.
type Options struct {
	Node       string // name of this controller
	Settings   *config.Settings
	Store      *storage.Store // the one for users' requests, see storage.Store.ForUserRequests
	Reader     *storage.BatchReader
	Dispatcher *leader.Dispatcher
	Peers      *peer.Peers
	LeaderName func() string             // returns the name of the leading controller, or "" if none is known
	UserSlots  int                       // maximum number of submissions and cancellations handled at once
	PollSlots  int                       // maximum number of polls handled at once
	Activity   func() transport.Activity // returns the activity of the server since the last call; or nil
	Metrics    *metrics.Metrics          // or nil
	Log        *slog.Logger
}

// Gateway handles the requests that the HTTP server passes to Handle. Handle runs on the server's event
// loop and never blocks: each user request and each relayed heartbeat is handled in a goroutine, and the
// numbers of these goroutines are bounded.
type Gateway struct {
	node       string
	settings   *config.Settings
	store      *storage.Store
	reader     *storage.BatchReader // for all reads of jobs, which take turns by age
	dispatcher *leader.Dispatcher
	peers      *peer.Peers
	leaderName func() string
	metrics    *metrics.Metrics // or nil
	log        *slog.Logger
	summary    requestSummary
	activity   func() transport.Activity
	checks     healthCheckCounts
	service    serviceWatch // used by logSummaries only

	ctx context.Context // ends all work on requests; set by Start, because Handle has no context

	userSlots    chan struct{} // semaphore for submissions and cancellations in progress
	pollSlots    chan struct{} // semaphore for polls in progress
	countSlots   chan struct{} // semaphore for requests of task counts in progress
	questions    *questionAges
	machineTypes atomic.Pointer[[]protocol.MachineType] // nil until they have been read
	finalStates  *finalStateCache

	relaySlots             chan struct{} // semaphore for heartbeats being relayed
	leaderUnreachableUntil atomic.Int64  // no heartbeats are relayed before this time, in Unix nanoseconds

	isolated          atomic.Bool // another controller can reach the state service and this one cannot
	checkingIsolation atomic.Bool // checkIsolation is running
}

// New returns a Gateway. Start must be called before it handles requests.
func New(o Options) *Gateway {
	return &Gateway{
		node:        o.Node,
		settings:    o.Settings,
		store:       o.Store,
		reader:      o.Reader,
		dispatcher:  o.Dispatcher,
		peers:       o.Peers,
		leaderName:  o.LeaderName,
		activity:    o.Activity,
		metrics:     o.Metrics,
		log:         o.Log,
		userSlots:   make(chan struct{}, o.UserSlots),
		pollSlots:   make(chan struct{}, o.PollSlots),
		countSlots:  make(chan struct{}, o.UserSlots),
		questions:   newQuestionAges(),
		relaySlots:  make(chan struct{}, limits.RelaySlots),
		finalStates: newFinalStateCache(),
	}
}

// Start starts the reads of jobs, the periodic refresh of the machine types and the periodic log entries. All
// work of the Gateway ends with the context.
func (g *Gateway) Start(ctx context.Context) {
	g.ctx = ctx
	go g.reader.Run(ctx)
	go g.logSummaries(ctx)
	go g.refreshMachineTypes(ctx)
}
