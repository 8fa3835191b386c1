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
// what is not set keeps its default.
type Options struct {
	Leadership LeadershipOptions `toml:"leadership"`
	Preemption PreemptionOptions `toml:"preemption"`
	Fleet      FleetOptions      `toml:"fleet"`
}

// LeadershipOptions are about the leader's hold.
type LeadershipOptions struct {
	LeaderLease Duration `toml:"hold_life"`
}

// PreemptionOptions are about stopping tasks for others.
type PreemptionOptions struct {
	Slack         Duration `toml:"slack"`
	RestartWeight float64  `toml:"restart_weight"`
}

// FleetOptions are about renting and returning machines.
type FleetOptions struct {
	MaxMachines           int      `toml:"max_machines"`
	MaxPlannedWait        Duration `toml:"longest_wait"`
	PlannedWaitSlackRatio float64  `toml:"slack_share"`
	IdleTimeout           Duration `toml:"idle_return"`
	Headroom              float64  `toml:"headroom"`
	ExpensivePoolRatio    float64  `toml:"dear_ratio"`
	ExpensivePoolSlack    Duration `toml:"dear_slack"`
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

// DefaultOptions are in force where an operator sets nothing.
func DefaultOptions() Options {
	return Options{
		Leadership: LeadershipOptions{LeaderLease: Duration(limits.LeaderLease)},
		Preemption: PreemptionOptions{Slack: Duration(limits.PreemptSlack), RestartWeight: limits.RestartWeight},
		Fleet: FleetOptions{
			MaxPlannedWait: Duration(limits.MaxPlannedWait), PlannedWaitSlackRatio: limits.PlannedWaitSlackRatio,
			IdleTimeout: Duration(limits.IdleTimeout), Headroom: limits.DrainHeadroom,
			ExpensivePoolRatio: limits.ExpensivePoolRatio, ExpensivePoolSlack: Duration(limits.ExpensivePoolSlack),
		},
	}
}

// LoadOptions reads and checks the file at path; with an empty path it returns the defaults.
func LoadOptions(path string) (Options, error) {
	if path == "" {
		return DefaultOptions(), nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return Options{}, fmt.Errorf("options: %w", err)
	}
	o, err := ParseOptions(b)
	if err != nil {
		return Options{}, fmt.Errorf("options: %s: %w", path, err)
	}
	return o, nil
}

// ParseOptions reads and checks options. Unknown keys are refused, with their line.
func ParseOptions(b []byte) (Options, error) {
	o := DefaultOptions()
	dec := toml.NewDecoder(strings.NewReader(string(b)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&o); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			line, _ := strict.Errors[0].Position()
			return o, fmt.Errorf("line %d: unknown key %s", line, strings.Join(strict.Errors[0].Key(), "."))
		}
		var bad *toml.DecodeError
		if errors.As(err, &bad) {
			line, _ := bad.Position()
			return o, fmt.Errorf("line %d: %s: %s", line, strings.Join(bad.Key(), "."), bad.Error())
		}
		return o, err
	}
	return o, o.check()
}

func (o *Options) check() error {
	between := func(key string, v, lo, hi float64) error {
		if !(v >= lo && v <= hi) {
			return fmt.Errorf("%s: must be between %v and %v, got %v", key, lo, hi, v)
		}
		return nil
	}
	span := func(key string, v Duration, lo, hi time.Duration) error {
		if time.Duration(v) < lo || time.Duration(v) > hi {
			return fmt.Errorf("%s: must be between %v and %v, got %v", key, lo, hi, time.Duration(v))
		}
		return nil
	}
	return errors.Join(
		span("leadership.hold_life", o.Leadership.LeaderLease, limits.LeaderLeaseMin, limits.LeaderLeaseMax),
		span("preemption.slack", o.Preemption.Slack, 0, time.Hour),
		between("preemption.restart_weight", o.Preemption.RestartWeight, 0, 1000),
		between("fleet.max_machines", float64(o.Fleet.MaxMachines), 0, 100_000),
		span("fleet.longest_wait", o.Fleet.MaxPlannedWait, 0, time.Hour),
		between("fleet.slack_share", o.Fleet.PlannedWaitSlackRatio, 0, 1),
		span("fleet.idle_return", o.Fleet.IdleTimeout, 0, 24*time.Hour),
		between("fleet.headroom", o.Fleet.Headroom, 0, 100),
		between("fleet.dear_ratio", o.Fleet.ExpensivePoolRatio, 1, 1e6),
		span("fleet.dear_slack", o.Fleet.ExpensivePoolSlack, 0, 24*time.Hour),
	)
}
