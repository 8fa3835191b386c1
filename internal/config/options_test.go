package config

import (
	"os"
	"strings"
	"testing"
	"time"
)

func TestOptions(t *testing.T) {
	o, err := ParseOptions([]byte("[fleet]\nmax_machines = 12\nidle_return = \"40s\"\n"))
	if err != nil || o.Fleet.MaxMachines != 12 || time.Duration(o.Fleet.IdleTimeout) != 40*time.Second ||
		o.Leadership != DefaultOptions().Leadership {
		t.Fatalf("%+v %v", o, err)
	}
	for in, want := range map[string]string{
		"[fleet]\nmax_machine = 12\n":        "line 2: unknown key fleet.max_machine",
		"[flet]\n":                           "unknown key flet",
		"[fleet]\n\nslack_share = \"x\"\n":   "line 3",
		"[fleet]\nidle_return = \"soon\"\n":  "line 2",
		"[leadership]\nhold_life = \"1s\"\n": "leadership.hold_life",
		"[fleet]\nslack_share = nan\n":       "fleet.slack_share",
		"[fleet\n":                           "line 1",
	} {
		if _, err := ParseOptions([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", in, err, want)
		}
	}
}

// TestExampleOptions: the example is complete, checked, and says the defaults.
func TestExampleOptions(t *testing.T) {
	b, err := os.ReadFile("../../docs/options.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOptions(b)
	if err != nil || o != DefaultOptions() {
		t.Fatalf("%+v %v, defaults %+v", o, err, DefaultOptions())
	}
}
