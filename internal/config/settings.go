// Package config reads and checks the two files that a controller is started with: the settings file
// (JSON), which the platform writes, and the options file (TOML), which operators may add.
package config

// Settings are the contents of the settings file. Fields that this version does not define are ignored.
type Settings struct {
	NodeName     string     `json:"node_name"`
	Zone         string     `json:"zone"`
	ClientListen string     `json:"client_listen"` // address on which users and workers connect
	PeerBind     string     `json:"peer_bind"`     // address on which the other controllers connect
	Members      []Member   `json:"members"`       // the other controllers of the deployment
	External     External   `json:"external"`
	Deployment   Deployment `json:"facts"`
}

// Member is one of the other controllers.
type Member struct {
	NodeName string `json:"node_name"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
}

// External holds the addresses of the cloud API and the state service.
type External struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Deployment describes what all controllers of a deployment have in common: its teams, service-level
// objectives, timings and limits.
type Deployment struct {
	InitialSize    int           `json:"initial_size"`
	Zones          []string      `json:"zones"`
	Teams          []Team        `json:"teams"`
	Objectives     []Objective   `json:"objectives"`
	Workers        WorkerTimes   `json:"workers"`
	State          StateLimits   `json:"state"`
	Cloud          CloudLimits   `json:"cloud"`
	MachineLimits  MachineLimits `json:"machine_limits"`
	MaxClockSkewMs float64       `json:"skew_ms"`
}

// Team is a tenant with guaranteed resources and a limit on what its tasks may use. A guarantee of 0
// reserves nothing, and a limit of 0 allows no use.
type Team struct {
	Name           string  `json:"name"`
	GuaranteedCPUs float64 `json:"cpus"`
	MaxCPUs        float64 `json:"cpus_max"`
	GuaranteedGPUs float64 `json:"gpus"`
	MaxGPUs        float64 `json:"gpus_max"`
}

// Objective is a service-level objective for the jobs of a class. Kind selects what must happen within the
// allowed time.
type Objective struct {
	Kind             string  `json:"kind"`
	Class            string  `json:"class"`
	WithinS          float64 `json:"within_s"` // time from the submission of a job
	Share            float64 `json:"share"`    // share of the jobs that must meet the objective
	DeadlineMultiple float64 `json:"times"`    // allowed time as a multiple of the job's own deadline
}

// WorkerTimes are the intervals and timeouts that workers keep to, in seconds. A worker lease expires when
// the last answered heartbeat of the worker was sent LeaseS ago; the worker then kills its tasks. A
// deployment without the two times for gangs does not support gangs.
type WorkerTimes struct {
	HeartbeatIntervalS float64  `json:"report_s"`    // interval between heartbeats; the actual one is within 25 % of it
	LeaseS             float64  `json:"lease_s"`     // duration of a worker lease
	CancelWithinS      float64  `json:"cancel_s"`    // time after a cancellation by which the job's tasks must be gone
	GangWaitTimeoutS   *float64 `json:"gang_wait_s"` // how long a task of a gang waits for the others
	GangPeerDetectionS *float64 `json:"gang_peer_s"` // time until a gang's tasks detect that one is gone or stopped
}

// SupportsGangs reports whether the workers of the deployment can run gangs.
func (w *WorkerTimes) SupportsGangs() bool {
	return w.GangWaitTimeoutS != nil && w.GangPeerDetectionS != nil
}

// StateLimits are the rate and size limits of the state service.
type StateLimits struct {
	RPS      float64          `json:"rps"`       // requests per second, reads and writes
	WriteRPS float64          `json:"write_rps"` // operations in transactions per second
	ValueKB  float64          `json:"value_kb"`  // size of a value, in KiB of its JSON form
	TxnOps   int              `json:"txn_ops"`   // operations per transaction
	Next     *NextStateLimits `json:"next"`
}

// NextStateLimits are limits that the state service will apply from an unannounced time on. A limit
// that is missing here does not change.
type NextStateLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// LowerOfCurrentAndNext returns the lower of the current and the announced value of each limit. As all requests keep
// to these from the start, it does not matter when the change takes effect.
func (s StateLimits) LowerOfCurrentAndNext() StateLimits {
	if s.Next == nil {
		return s
	}
	lowerToAnnounced(&s.RPS, s.Next.RPS)
	lowerToAnnounced(&s.WriteRPS, s.Next.WriteRPS)
	lowerToAnnounced(&s.ValueKB, s.Next.ValueKB)
	lowerToAnnounced(&s.TxnOps, s.Next.TxnOps)
	s.Next = nil
	return s
}

// lowerToAnnounced lowers a limit to the announced value, if one is announced and it is lower.
func lowerToAnnounced[T int | float64](limit, announced *T) {
	if announced != nil {
		*limit = min(*limit, *announced)
	}
}

// CloudLimits describe the cloud API.
type CloudLimits struct {
	RPS      float64 `json:"rps"`        // requests per second
	ListLagS float64 `json:"list_lag_s"` // usual delay until a change appears in the machine list
}

// MachineLimits are the resources of the machine that a controller runs on.
type MachineLimits struct {
	CoreShare  float64 `json:"core_share"` // fraction of one core; 0: unknown
	MemoryMB   float64 `json:"memory_mb"`
	MaxSockets int     `json:"max_sockets"`
}
