// Package metrics counts what a controller does, for operators. Labels have small fixed sets of values and
// never hold the name of a job or a machine.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// namespace is the prefix of all metric names.
const namespace = "quillshunt"

// Metrics holds the metrics of one controller. It is safe for concurrent use. A nil *Metrics is valid and
// counts nothing.
type Metrics struct {
	registry      *prometheus.Registry
	requests      *prometheus.CounterVec
	latency       *prometheus.HistogramVec
	rateWait      *prometheus.HistogramVec
	stateCalls    *prometheus.CounterVec
	stateRevision prometheus.Gauge
	leading       prometheus.Gauge
	fencingToken  prometheus.Gauge
	mailbox       prometheus.Gauge
	mailboxAge    prometheus.Gauge
	heartbeats    *prometheus.CounterVec
	commands      *prometheus.CounterVec
	withheld      *prometheus.CounterVec
	violations    *prometheus.CounterVec
	clientSide    clientSide
}

// Action is the kind of a user request.
type Action string

// The kinds of user requests.
const (
	ActionSubmit Action = "submit"
	ActionPoll   Action = "poll"
	ActionCancel Action = "cancel"
)

// Outcome says how a user request ended: what it was answered from, or why it was not.
type Outcome string

// The outcomes of user requests.
const (
	OutcomeCache                   Outcome = "cache"                    // answered from memory
	OutcomeState                   Outcome = "state"                    // answered from the state service
	OutcomeRejected                Outcome = "rejected"                 // 400, 404 or 422
	OutcomeNoSlot                  Outcome = "no_slot"                  // too many requests in progress
	OutcomeRateLimitHere           Outcome = "rate_limit_here"          // this controller's share is used up
	OutcomeRateLimitState          Outcome = "rate_limit_state"         // the state service replied 429
	OutcomeStateFailing            Outcome = "state_failing"            // the state service rejects or does not reply
	OutcomeCancellationUnconfirmed Outcome = "cancellation_unconfirmed" // stored, but no leader is certain to act on it
	OutcomeTimeout                 Outcome = "timeout"                  // the time for the request was over
	OutcomeLate                    Outcome = "late"                     // answered after the user had given up
	OutcomeAbandoned               Outcome = "abandoned"                // the connection ended before the response
	OutcomeOther                   Outcome = "other"
)

// CallResult is the result of a call to the state service.
type CallResult string

// The results of calls to the state service.
const (
	CallReplied     CallResult = "replied"
	CallRateLimited CallResult = "rate_limited"
	CallRejected    CallResult = "rejected"
	CallNoReply     CallResult = "no_reply"
	CallGivenUp     CallResult = "given_up" // ended by its own caller
)

// Outcomes of heartbeats that have a lease or a redirect in their reply. The other outcomes are the reasons of
// the scheduler.
const (
	HeartbeatAccepted   = "accepted"
	HeartbeatRedirected = "redirected"
)

// CommandChannel is how commands reach a worker.
type CommandChannel string

// The channels of commands.
const (
	ChannelHeartbeat CommandChannel = "reply" // in the reply to a heartbeat
	ChannelDirect    CommandChannel = "direct"
)

// Invariant is a condition that is checked at run time.
type Invariant string

// InvariantAnswerAge is that the questions about a job do not all stay unanswered for limits.MaxUnansweredAge
// while this controller reaches the state service.
const InvariantAnswerAge Invariant = "answer_age"

// Invariants of the client side, each for limits.MaxUnansweredAge.
const (
	// InvariantReadInTime is that some requests wait unread for a shorter time than a health check may take.
	InvariantReadInTime Invariant = "read_in_time"
	// InvariantAcceptsConnections is that connections are not refused all the time for lack of sockets.
	InvariantAcceptsConnections Invariant = "accepts_connections"
)

// InvariantAttemptEndsOnce is that an attempt of a task does not run again after it has ended.
const InvariantAttemptEndsOnce Invariant = "attempt_ends_once"

// Upper bounds of the histograms' buckets, in seconds.
var (
	latencyBuckets  = []float64{0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8}
	rateWaitBuckets = []float64{0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2}
)

// New returns the metrics of a controller, all zero.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "user_requests_total", Help: "User requests by action and outcome.",
		}, []string{"action", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "user_request_seconds", Help: "Time until a user request was answered.",
			Buckets: latencyBuckets,
		}, []string{"action"}),
		rateWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "state_rate_wait_seconds",
			Help: "Wait for this controller's share of the state service's rate limits.", Buckets: rateWaitBuckets,
		}, []string{"share"}),
		stateCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "state_calls_total", Help: "Calls to the state service by share and result.",
		}, []string{"share", "result"}),
		stateRevision: newGauge("state_revision", "Revision up to which the leader has observed the open jobs."),
		leading:       newGauge("leading", "1 while this controller runs a term, otherwise 0."),
		fencingToken:  newGauge("fencing_token", "Lowest fencing token of the last term of this controller."),
		mailbox:       newGauge("leader_mailbox_messages", "Messages that wait for the leader's actor."),
		mailboxAge: newGauge("leader_mailbox_age_seconds",
			"Wait of the heartbeat that the leader's actor handled last."),
		heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "heartbeats_total", Help: "Heartbeats that the leader answered, by outcome.",
		}, []string{"outcome"}),
		commands: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "commands_total", Help: "Commands sent to workers.",
		}, []string{"verb", "channel"}),
		withheld: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "commands_withheld_total", Help: "Commands not sent at once, by reason.",
		}, []string{"reason"}),
		violations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "invariant_violations_total", Help: "Violations of invariants; must stay 0.",
		}, []string{"invariant"}),
		clientSide: newClientSide(),
	}
	m.registry.MustRegister(m.requests, m.latency, m.rateWait, m.stateCalls, m.stateRevision, m.leading,
		m.fencingToken, m.mailbox, m.mailboxAge, m.heartbeats, m.commands, m.withheld, m.violations)
	m.registry.MustRegister(m.clientSide.collectors()...)
	return m
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// CountRequest counts a user request and the time that it took.
func (m *Metrics) CountRequest(action Action, outcome Outcome, duration time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(string(action), string(outcome)).Inc()
	m.latency.WithLabelValues(string(action)).Observe(duration.Seconds())
}

// CountRateWait counts a wait for a share of the state service's rate limits.
func (m *Metrics) CountRateWait(share string, wait time.Duration) {
	if m != nil {
		m.rateWait.WithLabelValues(share).Observe(wait.Seconds())
	}
}

// CountStateCall counts a call to the state service.
func (m *Metrics) CountStateCall(share string, result CallResult) {
	if m != nil {
		m.stateCalls.WithLabelValues(share, string(result)).Inc()
	}
}

// SetObservedRevision records up to which revision the leader has observed the open jobs.
func (m *Metrics) SetObservedRevision(revision uint64) {
	if m != nil {
		m.stateRevision.Set(float64(revision))
	}
}

// SetTerm records that this controller begins to lead under a fencing token.
func (m *Metrics) SetTerm(fencingToken uint64) {
	if m != nil {
		m.leading.Set(1)
		m.fencingToken.Set(float64(fencingToken))
	}
}

// EndTerm records that this controller does not lead any more.
func (m *Metrics) EndTerm() {
	if m != nil {
		m.leading.Set(0)
		m.mailbox.Set(0)
		m.mailboxAge.Set(0)
	}
}

// SetMailbox records how many messages wait for the leader's actor, and how long the last heartbeat waited.
func (m *Metrics) SetMailbox(messages int, age time.Duration) {
	if m != nil {
		m.mailbox.Set(float64(messages))
		m.mailboxAge.Set(age.Seconds())
	}
}

// CountHeartbeat counts a heartbeat that the leader has answered.
func (m *Metrics) CountHeartbeat(outcome string) {
	if m != nil {
		m.heartbeats.WithLabelValues(outcome).Inc()
	}
}

// CountCommand counts a command that is sent to a worker.
func (m *Metrics) CountCommand(verb string, channel CommandChannel) {
	if m != nil {
		m.commands.WithLabelValues(verb, string(channel)).Inc()
	}
}

// CountWithheld counts commands that the leader could not send at once.
func (m *Metrics) CountWithheld(reason string, count int) {
	if m != nil {
		m.withheld.WithLabelValues(reason).Add(float64(count))
	}
}

// CountViolation counts a violation of an invariant.
func (m *Metrics) CountViolation(invariant Invariant) {
	if m != nil {
		m.violations.WithLabelValues(string(invariant)).Inc()
	}
}
