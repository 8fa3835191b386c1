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

// Options are the operators' own settings, beyond the platform's file. They are read from TOML;
// what is not set keeps its default. docs/options.example.toml explains each.
type Options struct {
	Leadership LeadershipOptions `toml:"leadership"`
	Preemption PreemptionOptions `toml:"preemption"`
	Fleet      FleetOptions      `toml:"fleet"`
}

// LeadershipOptions are about the leader's lease.
type LeadershipOptions struct {
	LeaderLease Duration `toml:"leader_lease"` // time after which it expires without a renewal
}

// PreemptionOptions are about stopping tasks for other tasks.
type PreemptionOptions struct {
	Slack         Duration `toml:"slack"`          // a job with more time than this left does not preempt
	RestartWeight float64  `toml:"restart_weight"` // added cost of a task for each time it was stopped before
}

// FleetOptions are about scaling out and in.
type FleetOptions struct {
	MaxMachines           int      `toml:"max_machines"`             // most machines rented at once; 0: by the sockets
	MaxPlannedWait        Duration `toml:"max_planned_wait"`         // longest planned wait for room
	PlannedWaitSlackRatio float64  `toml:"planned_wait_slack_ratio"` // part of a job's slack that it may wait
	IdleTimeout           Duration `toml:"idle_timeout"`             // idle time before a machine is returned
	Headroom              float64  `toml:"headroom"`                 // free part kept before machines are drained
	ExpensivePoolRatio    float64  `toml:"expensive_pool_ratio"`     // multiple of the lowest price
	ExpensivePoolSlack    Duration `toml:"expensive_pool_slack"`     // jobs with more slack do not get expensive pools
}

// Duration is written as text like "25s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration like 25s", b)
	}
	*d = Duration(v)
	return nil
}

// DefaultOptions returns the options that are in force where an operator sets nothing.
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

// LoadOptions reads and checks the file at path; with an empty path it returns the defaults. The
// warnings, a line each, name options that are given by an old name.
func LoadOptions(path string) (options Options, warnings []string, err error) {
	if path == "" {
		return DefaultOptions(), nil, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return Options{}, nil, fmt.Errorf("options: %w", err)
	}
	options, warnings, err = ParseOptions(b)
	if err != nil {
		return Options{}, nil, fmt.Errorf("options: %s: %w", path, err)
	}
	return options, warnings, nil
}

// ParseOptions reads and checks options. Unknown keys are refused with their line. The warnings, a
// line each, name options that are given by an old name.
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

// describeDecodeError returns an error that names the line and the key at fault, as far as they are
// known.
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

// check checks the ranges. Its errors name an option as the operator wrote it.
func (o *Options) check(old oldNames) error {
	number := func(key string, v, lo, hi float64) error {
		if !(v >= lo && v <= hi) { // written so that NaN fails
			return fmt.Errorf("%s: must be between %v and %v, got %v", old.nameInFile(key), lo, hi, v)
		}
		return nil
	}
	duration := func(key string, d Duration, lo, hi time.Duration) error {
		if v := time.Duration(d); v < lo || v > hi {
			return fmt.Errorf("%s: must be between %v and %v, got %v", old.nameInFile(key), lo, hi, v)
		}
		return nil
	}
	return errors.Join(
		duration("leadership.leader_lease", o.Leadership.LeaderLease, limits.LeaderLeaseMin, limits.LeaderLeaseMax),
		duration("preemption.slack", o.Preemption.Slack, 0, time.Hour),
		number("preemption.restart_weight", o.Preemption.RestartWeight, 0, 1000),
		number("fleet.max_machines", float64(o.Fleet.MaxMachines), 0, 100_000),
		duration("fleet.max_planned_wait", o.Fleet.MaxPlannedWait, 0, time.Hour),
		number("fleet.planned_wait_slack_ratio", o.Fleet.PlannedWaitSlackRatio, 0, 1),
		duration("fleet.idle_timeout", o.Fleet.IdleTimeout, 0, 24*time.Hour),
		number("fleet.headroom", o.Fleet.Headroom, 0, 100),
		number("fleet.expensive_pool_ratio", o.Fleet.ExpensivePoolRatio, 1, 1e6),
		duration("fleet.expensive_pool_slack", o.Fleet.ExpensivePoolSlack, 0, 24*time.Hour),
	)
}
