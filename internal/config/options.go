package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"quillshunt/internal/limits"
)

// Options are set by the operators in a TOML file, beside the settings file that the platform writes.
// An option that the file does not set keeps its default. docs/options.example.toml explains each one.
// The slack of a job, to which some options refer, is how long it can still wait and meet its next
// deadline.
type Options struct {
	Leadership LeadershipOptions `toml:"leadership"`
	Preemption PreemptionOptions `toml:"preemption"`
	Fleet      FleetOptions      `toml:"fleet"`
	Metrics    MetricsOptions    `toml:"metrics"`
}

// MetricsOptions configure the metrics.
type MetricsOptions struct {
	// Listen is the TCP address, such as 127.0.0.1:9100, on which the metrics are served over HTTP. If it is
	// empty, they are not served.
	Listen string `toml:"listen"`
}

// LeadershipOptions configure the leader lease.
type LeadershipOptions struct {
	LeaderLease Duration `toml:"leader_lease"` // time from its last renewal until it expires
}

// PreemptionOptions configure when running tasks are stopped to free resources for other jobs.
type PreemptionOptions struct {
	Slack         Duration `toml:"slack"`          // only jobs with less slack than this preempt others
	RestartWeight float64  `toml:"restart_weight"` // preemption cost per earlier stop, as a multiple of the base cost
}

// FleetOptions configure how machines are rented (scaling out) and returned (scaling in). A pool is
// the machines of one type in one zone, spot or not.
type FleetOptions struct {
	// MaxMachines limits how many machines are rented at the same time. With 0, the limit follows from
	// the number of sockets that the controller may open.
	MaxMachines int `toml:"max_machines"`
	// MaxPlannedWait is the longest time that a job's tasks are planned to wait for existing machines.
	// Machines are rented for tasks that would wait longer.
	MaxPlannedWait Duration `toml:"max_planned_wait"`
	// PlannedWaitSlackRatio limits the same wait to this part of the job's slack.
	PlannedWaitSlackRatio float64 `toml:"planned_wait_slack_ratio"`
	// IdleTimeout is how long a machine is idle before it is returned.
	IdleTimeout Duration `toml:"idle_timeout"`
	// Headroom is how many CPUs are kept free when machines are drained, as a fraction of the CPUs of all
	// running and waiting tasks.
	Headroom float64 `toml:"headroom"`
	// ExpensivePoolRatio is the multiple of a task's cost in the cheapest pool above which a pool counts as
	// expensive.
	ExpensivePoolRatio float64 `toml:"expensive_pool_ratio"`
	// ExpensivePoolSlack is the slack up to which a job may use expensive pools.
	ExpensivePoolSlack Duration `toml:"expensive_pool_slack"`
}

// Duration is a time.Duration that is written in TOML as a string such as "25s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 25s", b)
	}
	*d = Duration(v)
	return nil
}

// DefaultOptions returns the defaults of all options.
func DefaultOptions() Options {
	return Options{
		Leadership: LeadershipOptions{LeaderLease: Duration(limits.LeaderLease)},
		Preemption: PreemptionOptions{
			Slack:         Duration(limits.PreemptSlack),
			RestartWeight: limits.RestartWeight,
		},
		Fleet: FleetOptions{
			MaxPlannedWait:        Duration(limits.MaxPlannedWait),
			PlannedWaitSlackRatio: limits.PlannedWaitSlackRatio,
			IdleTimeout:           Duration(limits.IdleTimeout),
			Headroom:              limits.DrainHeadroom,
			ExpensivePoolRatio:    limits.ExpensivePoolRatio,
			ExpensivePoolSlack:    Duration(limits.ExpensivePoolSlack),
		},
	}
}

// LoadOptions reads and checks the options file at path. If path is empty, it returns the defaults.
// There is one warning, a line of text, for each option that is set by its deprecated name.
func LoadOptions(path string) (options Options, warnings []string, err error) {
	if path == "" {
		return DefaultOptions(), nil, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return Options{}, nil, fmt.Errorf("read options: %w", err)
	}
	options, warnings, err = ParseOptions(b)
	if err != nil {
		return Options{}, nil, fmt.Errorf("options: %s: %w", path, err)
	}
	return options, warnings, nil
}

// ParseOptions decodes and checks options. An unknown key is an error that names the key and its line.
// There is one warning, a line of text, for each option that is set by its deprecated name.
func ParseOptions(b []byte) (options Options, warnings []string, err error) {
	file := optionsFile{}
	file.setDefaults(DefaultOptions())
	decoder := toml.NewDecoder(strings.NewReader(string(b)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return DefaultOptions(), nil, describeDecodeError(err)
	}
	old, err := file.applyOldNames(b)
	if err != nil {
		return DefaultOptions(), nil, err
	}
	options = file.options()
	return options, old.warnings(), options.check(old)
}

// describeDecodeError adds the line and the key at which decoding failed to a TOML error that has
// them. Other errors are returned unchanged.
func describeDecodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		line, _ := strict.Errors[0].Position()
		return fmt.Errorf("line %d: unknown key %s", line, strings.Join(strict.Errors[0].Key(), "."))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return fmt.Errorf("line %d: %s: %w", line, strings.Join(decode.Key(), "."), err)
	}
	return err
}

// check checks that all options are within their ranges. Its error text has one line for each option
// that is not, under the name by which the file sets it.
func (o *Options) check(old oldNames) error {
	checkNumber := func(key string, v, lo, hi float64) error {
		if !(v >= lo && v <= hi) { // negated so that NaN is rejected
			return fmt.Errorf("%s: must be between %v and %v, got %v", old.nameInFile(key), lo, hi, v)
		}
		return nil
	}
	checkDuration := func(key string, d Duration, lo, hi time.Duration) error {
		if v := time.Duration(d); v < lo || v > hi {
			return fmt.Errorf("%s: must be between %v and %v, got %v", old.nameInFile(key), lo, hi, v)
		}
		return nil
	}
	return errors.Join(
		o.Metrics.check(),
		checkDuration("leadership.leader_lease", o.Leadership.LeaderLease,
			limits.LeaderLeaseMin, limits.LeaderLeaseMax),
		checkDuration("preemption.slack", o.Preemption.Slack, 0, time.Hour),
		checkNumber("preemption.restart_weight", o.Preemption.RestartWeight, 0, 1000),
		checkNumber("fleet.max_machines", float64(o.Fleet.MaxMachines), 0, 100_000),
		checkDuration("fleet.max_planned_wait", o.Fleet.MaxPlannedWait, 0, time.Hour),
		checkNumber("fleet.planned_wait_slack_ratio", o.Fleet.PlannedWaitSlackRatio, 0, 1),
		checkDuration("fleet.idle_timeout", o.Fleet.IdleTimeout, 0, 24*time.Hour),
		checkNumber("fleet.headroom", o.Fleet.Headroom, 0, 100),
		checkNumber("fleet.expensive_pool_ratio", o.Fleet.ExpensivePoolRatio, 1, 1e6),
		checkDuration("fleet.expensive_pool_slack", o.Fleet.ExpensivePoolSlack, 0, 24*time.Hour),
	)
}

// check checks that the address of the metrics is empty, or an IP address with a port.
func (m *MetricsOptions) check() error {
	if m.Listen == "" {
		return nil
	}
	return checkAddress("metrics.listen", m.Listen)
}
