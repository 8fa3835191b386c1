// Package config reads and checks what a controller is started with: the settings file (JSON), which
// the platform writes, and the options file (TOML), which the operators may add.
package config

// Settings are a controller's settings. Fields that this version does not know are ignored.
type Settings struct {
	NodeName     string     `json:"node_name"`
	Zone         string     `json:"zone"`
	ClientListen string     `json:"client_listen"` // address for users and workers
	PeerBind     string     `json:"peer_bind"`     // address for the other controllers
	Members      []Member   `json:"members"`       // the other controllers
	External     External   `json:"external"`
	Deployment   Deployment `json:"facts"`
}

// Member is another controller.
type Member struct {
	NodeName string `json:"node_name"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
}

// External has the addresses of the services that a controller depends on.
type External struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Deployment describes the deployment.
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

// Team has a guarantee (CPUs, GPUs) and a limit (CPUsMax, GPUsMax). Zero means none.
type Team struct {
	Name           string  `json:"name"`
	GuaranteedCPUs float64 `json:"cpus"`
	MaxCPUs        float64 `json:"cpus_max"`
	GuaranteedGPUs float64 `json:"gpus"`
	MaxGPUs        float64 `json:"gpus_max"`
}

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	Kind             string  `json:"kind"`
	Class            string  `json:"class"`
	WithinS          float64 `json:"within_s"` // time that a job has
	Share            float64 `json:"share"`    // share of the jobs that must keep to it
	DeadlineMultiple float64 `json:"times"`    // for deadlines: how often the time up to the deadline a job has
}

// WorkerTimes are the times that workers keep to, in seconds. A deployment without the two times of
// gangs has no gangs.
type WorkerTimes struct {
	HeartbeatIntervalS float64  `json:"report_s"`    // interval of heartbeats, give or take a quarter
	LeaseS             float64  `json:"lease_s"`     // age of its last answered heartbeat when a worker kills its tasks
	CancelWithinS      float64  `json:"cancel_s"`    // the tasks of a cancelled job must be gone after this
	GangWaitTimeoutS   *float64 `json:"gang_wait_s"` // how long a gang's task waits for the others
	GangPeerDetectionS *float64 `json:"gang_peer_s"` // how soon the others notice that one is gone or stopped
}

// SupportsGangs reports whether the workers of the deployment know gangs.
func (w *WorkerTimes) SupportsGangs() bool {
	return w.GangWaitTimeoutS != nil && w.GangPeerDetectionS != nil
}

// StateLimits are the limits of the state service.
type StateLimits struct {
	RPS      float64          `json:"rps"`       // requests a second, reads and writes
	WriteRPS float64          `json:"write_rps"` // operations of transactions a second
	ValueKB  float64          `json:"value_kb"`  // size of a value, in KiB of JSON
	TxnOps   int              `json:"txn_ops"`   // operations of one transaction
	Next     *NextStateLimits `json:"next"`
}

// NextStateLimits are the limits that the state service will have from an unknown moment on. What is
// missing stays as it is.
type NextStateLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Lowest returns the limits that hold both now and after the announced change: for each limit the
// lower one. All requests keep to these from the start, so that the moment of the change does not
// matter.
func (s StateLimits) Lowest() StateLimits {
	if s.Next == nil {
		return s
	}
	lowerTo(&s.RPS, s.Next.RPS)
	lowerTo(&s.WriteRPS, s.Next.WriteRPS)
	lowerTo(&s.ValueKB, s.Next.ValueKB)
	lowerTo(&s.TxnOps, s.Next.TxnOps)
	s.Next = nil
	return s
}

func lowerTo[T int | float64](limit, announced *T) {
	if announced != nil {
		*limit = min(*limit, *announced)
	}
}

// CloudLimits are the limits of the cloud.
type CloudLimits struct {
	RPS      float64 `json:"rps"`        // requests a second
	ListLagS float64 `json:"list_lag_s"` // usual lag of the list of machines
}

// MachineLimits are the limits of the machine that a controller runs on.
type MachineLimits struct {
	CoreShare  float64 `json:"core_share"` // part of one core; 0: unknown
	MemoryMB   float64 `json:"memory_mb"`
	MaxSockets int     `json:"max_sockets"`
}
