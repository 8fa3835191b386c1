package config

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// optionsFile is the structure of an options file: all options, and in addition the old names of
// those that were renamed.
type optionsFile struct {
	Leadership struct {
		LeadershipOptions
		HoldLife *Duration `toml:"hold_life"`
	} `toml:"leadership"`
	Preemption PreemptionOptions `toml:"preemption"`
	Fleet      struct {
		FleetOptions
		LongestWait *Duration `toml:"longest_wait"`
		SlackShare  *float64  `toml:"slack_share"`
		IdleReturn  *Duration `toml:"idle_return"`
		DearRatio   *float64  `toml:"dear_ratio"`
		DearSlack   *Duration `toml:"dear_slack"`
	} `toml:"fleet"`
	Metrics MetricsOptions `toml:"metrics"`
}

func (f *optionsFile) setDefaults(o Options) {
	f.Leadership.LeadershipOptions = o.Leadership
	f.Preemption = o.Preemption
	f.Fleet.FleetOptions = o.Fleet
	f.Metrics = o.Metrics
}

func (f *optionsFile) options() Options {
	return Options{
		Leadership: f.Leadership.LeadershipOptions,
		Preemption: f.Preemption,
		Fleet:      f.Fleet.FleetOptions,
		Metrics:    f.Metrics,
	}
}

// renamedOption is an option that can also be set by its old name. Both names include the TOML table.
type renamedOption struct {
	oldName, newName string
	apply            func() bool // copies a value set by the old name to the option; reports whether there is one
}

func (f *optionsFile) renamedOptions() []renamedOption {
	fleet := &f.Fleet
	return []renamedOption{
		{"leadership.hold_life", "leadership.leader_lease",
			setIfGiven(&f.Leadership.LeaderLease, f.Leadership.HoldLife)},
		{"fleet.longest_wait", "fleet.max_planned_wait", setIfGiven(&fleet.MaxPlannedWait, fleet.LongestWait)},
		{"fleet.slack_share", "fleet.planned_wait_slack_ratio",
			setIfGiven(&fleet.PlannedWaitSlackRatio, fleet.SlackShare)},
		{"fleet.idle_return", "fleet.idle_timeout", setIfGiven(&fleet.IdleTimeout, fleet.IdleReturn)},
		{"fleet.dear_ratio", "fleet.expensive_pool_ratio", setIfGiven(&fleet.ExpensivePoolRatio, fleet.DearRatio)},
		{"fleet.dear_slack", "fleet.expensive_pool_slack", setIfGiven(&fleet.ExpensivePoolSlack, fleet.DearSlack)},
	}
}

// setIfGiven returns a function that copies old to option, unless old is nil. The function reports whether
// it has copied.
func setIfGiven[T any](option, old *T) func() bool {
	return func() bool {
		if old == nil {
			return false
		}
		*option = *old
		return true
	}
}

// applyOldNames sets the options that the file sets by their old names and returns them. b is the
// text of the file, which has been decoded into f already. Setting an option by both names is an
// error, as one of the values would have no effect.
func (f *optionsFile) applyOldNames(b []byte) (oldNames, error) {
	var document map[string]any
	if err := toml.Unmarshal(b, &document); err != nil {
		return nil, describeDecodeError(err)
	}
	var old oldNames
	for _, r := range f.renamedOptions() {
		if !r.apply() {
			continue
		}
		if containsKey(document, r.newName) {
			return nil, fmt.Errorf("%s and %s set the same option; remove %[1]s, its old name",
				r.oldName, r.newName)
		}
		old = append(old, r)
	}
	return old, nil
}

// containsKey reports whether a TOML document has a key, given as TABLE.KEY. Like the decoder of
// structs, it ignores letter case.
func containsKey(document map[string]any, name string) bool {
	table, key, _ := strings.Cut(name, ".")
	for t, v := range document {
		keys, _ := v.(map[string]any)
		for k := range keys {
			if strings.EqualFold(t, table) && strings.EqualFold(k, key) {
				return true
			}
		}
	}
	return false
}

// oldNames are the options that a file sets by their old names.
type oldNames []renamedOption

// warnings returns a line for each of these options.
func (o oldNames) warnings() []string {
	var lines []string
	for _, r := range o {
		lines = append(lines, fmt.Sprintf("%s is deprecated; use %s instead", r.oldName, r.newName))
	}
	return lines
}

// nameInFile returns the name by which the file sets an option. After an old name it also gives the
// current one.
func (o oldNames) nameInFile(name string) string {
	for _, r := range o {
		if r.newName == name {
			return fmt.Sprintf("%s (now %s)", r.oldName, r.newName)
		}
	}
	return name
}
