package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// clientSide holds the metrics of what users, machines and the load balancer see of a controller.
type clientSide struct {
	connections   *prometheus.GaugeVec
	refused       prometheus.Counter
	loopDelay     prometheus.Gauge
	timerDelay    prometheus.Gauge
	healthChecks  *prometheus.CounterVec
	reads         *prometheus.CounterVec
	readKeys      prometheus.Counter
	readBytes     prometheus.Counter
	oldestWaiting prometheus.Gauge
}

// newClientSide returns the metrics, all zero.
func newClientSide() clientSide {
	return clientSide{
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "connections", Help: "Open inbound connections by kind.",
		}, []string{"kind"}),
		refused:    newCounter("connections_refused_total", "Inbound connections closed at once for lack of sockets."),
		loopDelay:  newGauge("event_loop_delay_seconds", "Longest wait for the event loop in the last interval."),
		timerDelay: newGauge("timer_delay_seconds", "Longest delay of a timer in the last interval."),
		healthChecks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "health_checks_total", Help: "Health checks answered, by status.",
		}, []string{"status"}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "user_reads_total", Help: "Reads for users, of one key or of a page.",
		}, []string{"kind"}),
		readKeys:      newCounter("user_read_keys_total", "Keys that reads for users have answered."),
		readBytes:     newCounter("user_read_bytes_total", "Bytes of the replies to reads for users."),
		oldestWaiting: newGauge("user_read_oldest_seconds", "Age of the oldest question whose read waits."),
	}
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func (c *clientSide) collectors() []prometheus.Collector {
	return []prometheus.Collector{
		c.connections, c.refused, c.loopDelay, c.timerDelay, c.healthChecks, c.reads, c.readKeys, c.readBytes,
		c.oldestWaiting,
	}
}

// Connections are the inbound connections of a controller and the delays that its clients have met.
type Connections struct {
	Machines, Users, Silent int // open, by kind; silent ones have sent no request
	Refused                 int // since the last record
	LoopDelay, TimerDelay   time.Duration
}

// RecordConnections records the state of the inbound connections.
func (m *Metrics) RecordConnections(c Connections) {
	if m == nil {
		return
	}
	m.clientSide.connections.WithLabelValues("machine").Set(float64(c.Machines))
	m.clientSide.connections.WithLabelValues("user").Set(float64(c.Users))
	m.clientSide.connections.WithLabelValues("silent").Set(float64(c.Silent))
	m.clientSide.refused.Add(float64(c.Refused))
	m.clientSide.loopDelay.Set(c.LoopDelay.Seconds())
	m.clientSide.timerDelay.Set(c.TimerDelay.Seconds())
}

// CountHealthCheck counts a health check by the HTTP status of its answer.
func (m *Metrics) CountHealthCheck(status int) {
	if m != nil {
		m.clientSide.healthChecks.WithLabelValues(strconv.Itoa(status)).Inc()
	}
}

// CountUserRead counts a read for users: whether it read a page, how many keys it has answered, and the bytes of
// its reply.
func (m *Metrics) CountUserRead(isPage bool, keys, bytes int) {
	if m == nil {
		return
	}
	kind := "key"
	if isPage {
		kind = "page"
	}
	m.clientSide.reads.WithLabelValues(kind).Inc()
	m.clientSide.readKeys.Add(float64(keys))
	m.clientSide.readBytes.Add(float64(bytes))
}

// SetOldestRead records the age of the oldest question whose read waits.
func (m *Metrics) SetOldestRead(age time.Duration) {
	if m != nil {
		m.clientSide.oldestWaiting.Set(age.Seconds())
	}
}
