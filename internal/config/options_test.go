package config

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestParseOptions checks that options which are not set keep their defaults, and that an error names
// the line or the key at fault.
func TestParseOptions(t *testing.T) {
	o, warnings, err := ParseOptions([]byte("[fleet]\nmax_machines = 12\nidle_timeout = \"40s\"\n"))
	if err != nil || len(warnings) != 0 || o.Fleet.MaxMachines != 12 ||
		time.Duration(o.Fleet.IdleTimeout) != 40*time.Second || o.Leadership != DefaultOptions().Leadership {
		t.Fatalf("parsed options %+v, warnings %q, error %v; want 12 machines, 40s until idle machines are returned "+
			"and no warning", o, warnings, err)
	}
	for in, want := range map[string]string{
		"[fleet]\nmax_machine = 12\n":                   "line 2: unknown key fleet.max_machine",
		"[flet]\n":                                      "unknown key flet",
		"[fleet]\n\nslack_share = \"x\"\n":              "line 3",
		"[fleet]\nidle_return = \"soon\"\n":             "line 2",
		"[leadership]\nhold_life = \"1s\"\n":            "leadership.hold_life",
		"[fleet]\nslack_share = nan\n":                  "fleet.slack_share",
		"[leadership]\nleader_lease = \"1s\"\n":         "leadership.leader_lease",
		"[fleet]\n\nplanned_wait_slack_ratio = \"x\"\n": "line 3",
		"[fleet]\nplanned_wait_slack_ratio = nan\n":     "fleet.planned_wait_slack_ratio",
		"[fleet]\nidle_timeout = \"soon\"\n":            "line 2",
		"[fleet]\ndear = 2\n":                           "line 2: unknown key fleet.dear",
		"[leadership]\nmax_machines = 2\n":              "line 2: unknown key leadership.max_machines",
		"[fleet\n":                                      "line 1",
	} {
		if _, _, err := ParseOptions([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one that contains %q", in, err, want)
		}
	}
}

// TestExampleOptions checks that the documented example is valid and sets every option to its default.
func TestExampleOptions(t *testing.T) {
	b, err := os.ReadFile("../../docs/options.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	o, warnings, err := ParseOptions(b)
	if err != nil || len(warnings) != 0 || o != DefaultOptions() {
		t.Fatalf("example sets %+v, warnings %q, error %v; defaults are %+v", o, warnings, err, DefaultOptions())
	}
}

// TestOldOptions checks that an options file with the names of the previous version sets the same
// values, and gives one warning for each old name, which also names the new one.
func TestOldOptions(t *testing.T) {
	o, warnings, err := ParseOptions([]byte(`
[leadership]
hold_life = "50s"
[preemption]
slack = "7s"
restart_weight = 5.0
[fleet]
max_machines = 9
longest_wait = "14s"
slack_share = 0.5
idle_return = "16s"
headroom = 0.3
dear_ratio = 3.5
dear_slack = "61s"
`))
	if err != nil {
		t.Fatal(err)
	}
	want := Options{
		Leadership: LeadershipOptions{LeaderLease: Duration(50 * time.Second)},
		Preemption: PreemptionOptions{Slack: Duration(7 * time.Second), RestartWeight: 5},
		Fleet: FleetOptions{
			MaxMachines: 9, MaxPlannedWait: Duration(14 * time.Second), PlannedWaitSlackRatio: 0.5,
			IdleTimeout: Duration(16 * time.Second), Headroom: 0.3,
			ExpensivePoolRatio: 3.5, ExpensivePoolSlack: Duration(61 * time.Second),
		},
	}
	if o != want {
		t.Errorf("options %+v, want %+v", o, want)
	}
	names := []struct{ oldName, newName string }{
		{"leadership.hold_life", "leadership.leader_lease"},
		{"fleet.longest_wait", "fleet.max_planned_wait"},
		{"fleet.slack_share", "fleet.planned_wait_slack_ratio"},
		{"fleet.idle_return", "fleet.idle_timeout"},
		{"fleet.dear_ratio", "fleet.expensive_pool_ratio"},
		{"fleet.dear_slack", "fleet.expensive_pool_slack"},
	}
	if len(warnings) != len(names) {
		t.Fatalf("%d warnings, want %d: %q", len(warnings), len(names), warnings)
	}
	for i, n := range names {
		if !strings.Contains(warnings[i], n.oldName) || !strings.Contains(warnings[i], n.newName) {
			t.Errorf("warning %q does not name both %s and %s", warnings[i], n.oldName, n.newName)
		}
	}
}

// TestOptionGivenByBothNames checks that setting an option by both its names is an error that contains
// both names, in every TOML notation.
func TestOptionGivenByBothNames(t *testing.T) {
	for name, in := range map[string]string{
		"table":         "[fleet]\ndear_ratio = 3.0\nexpensive_pool_ratio = 3.0\n",
		"dotted keys":   "fleet.expensive_pool_ratio = 2.5\nfleet.dear_ratio = 3.0\n",
		"inline table":  "fleet = {dear_ratio = 3.0, expensive_pool_ratio = 2.5}\n",
		"capital words": "[Fleet]\nDear_Ratio = 3.0\nExpensive_Pool_Ratio = 3.0\n",
	} {
		_, _, err := ParseOptions([]byte(in))
		if err == nil || !strings.Contains(err.Error(), "fleet.dear_ratio") ||
			!strings.Contains(err.Error(), "fleet.expensive_pool_ratio") {
			t.Errorf("%s: error %v, want one that contains both names", name, err)
		}
	}
}
