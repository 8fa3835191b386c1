package config

import (
	"encoding/json"
	"strings"
	"testing"
)

// validSettings are complete settings with an additional field, "future", that no version defines.
const validSettings = `{"node_name":"node-0","zone":"z","client_listen":"10.0.0.1:8080","peer_bind":"10.0.0.1:8081",
"future":{"a":1},
"members":[{"node_name":"node-1","zone":"z","address":"10.0.0.2:8081"}],
"external":{"cloud":"10.2.0.2:1","state":"10.2.0.1:2"},
"facts":{"initial_size":2,"zones":["z"],"teams":[{"name":"t","cpus":1,"cpus_max":2,"gpus":0,"gpus_max":0}],
"objectives":[{"kind":"finished","class":"c","within_s":10,"share":0.9}],
"workers":{"report_s":1.5,"lease_s":14,"cancel_s":34},"state":{"rps":150,"write_rps":20,"value_kb":4,"txn_ops":8},
"cloud":{"rps":3,"list_lag_s":4},"machine_limits":{"core_share":0.1,"memory_mb":98,"max_sockets":900},"skew_ms":100}}`

// TestParseIgnoresUnknownFields checks that valid settings are decoded and unknown fields are ignored.
func TestParseIgnoresUnknownFields(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil || s.NodeName != "node-0" || s.Deployment.Teams[0].MaxCPUs != 2 ||
		s.Deployment.MachineLimits.MaxSockets != 900 {
		t.Fatalf("parsed settings %+v, error %v; want the values of validSettings and no error", s, err)
	}
}

// TestUnsuitableSettingsWarn checks that low machine limits, and a time limit for cancelled tasks that cannot
// hold, are accepted with a warning that names the field.
func TestUnsuitableSettingsWarn(t *testing.T) {
	for _, c := range []struct{ from, to, field string }{
		{`"core_share":0.1`, `"core_share":0.1`, ""},
		{`"core_share":0.1`, `"core_share":0.005`, "core_share"},
		{`"max_sockets":900`, `"max_sockets":9000`, "core_share: 0.1 is enough for the heartbeats of about 1500"},
		{`"memory_mb":98`, `"memory_mb":20`, "memory_mb"},
		{`"cancel_s":34`, `"cancel_s":15`, ""},
		{`"cancel_s":34`, `"cancel_s":14.5`, "cancel_s: 14.5 is too short for the lease_s of 14"},
	} {
		s, err := Parse([]byte(strings.Replace(validSettings, c.from, c.to, 1)))
		if err != nil {
			t.Fatalf("%s: %v", c.to, err)
		}
		w := s.Warnings()
		if (c.field == "") != (len(w) == 0) || (len(w) > 0 && !strings.Contains(w[0], c.field)) {
			t.Errorf("%s: warnings %q, want one that names %q, or none if that is empty", c.to, w, c.field)
		}
	}
}

// TestAnnouncedLimitsApplyFromStart checks that each announced limit of the state service is in force
// from the start if it is lower than the current limit.
func TestAnnouncedLimitsApplyFromStart(t *testing.T) {
	withNext := `"txn_ops":8,"next":{"write_rps":15,"value_kb":8,"txn_ops":4}}`
	s, err := Parse([]byte(strings.Replace(validSettings, `"txn_ops":8}`, withNext, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Deployment.State, (StateLimits{RPS: 150, WriteRPS: 15, ValueKB: 4, TxnOps: 4}); got != want {
		t.Errorf("limits in force are %+v, want %+v", got, want)
	}
}

// TestGangTimesGivenTogether checks that the two times for gangs must be set together, and that a
// deployment without them does not support gangs.
func TestGangTimesGivenTogether(t *testing.T) {
	for _, c := range []struct {
		fields, faulty string // JSON added to the workers' times, and the field that the error must name
		gangs          bool
	}{
		{"", "", false},
		{`,"gang_wait_s":40,"gang_peer_s":8`, "", true},
		{`,"gang_wait_s":40`, "gang_peer_s", false},
		{`,"gang_peer_s":8`, "gang_wait_s", false},
		{`,"gang_wait_s":0,"gang_peer_s":8`, "gang_wait_s", false},
		{`,"gang_wait_s":40,"gang_peer_s":-1`, "gang_peer_s", false},
		{`,"gang_wait_s":"long","gang_peer_s":8`, "gang_wait_s", false},
	} {
		s, err := Parse([]byte(strings.Replace(validSettings, `"cancel_s":34`, `"cancel_s":34`+c.fields, 1)))
		switch {
		case c.faulty != "":
			if err == nil || !strings.Contains(err.Error(), c.faulty) {
				t.Errorf("%s: error %v, want one that names %s", c.fields, err, c.faulty)
			}
		case err != nil || s.Deployment.Workers.SupportsGangs() != c.gangs:
			t.Errorf("%s: error %v, want none and SupportsGangs() = %v", c.fields, err, c.gangs)
		}
	}
}

// TestErrorNamesField checks that an invalid value in any field gives a one-line error that names the
// field, and that malformed JSON and duplicate node names are rejected.
func TestErrorNamesField(t *testing.T) {
	withNext := strings.Replace(validSettings, `"txn_ops":8}`, `"txn_ops":8,"next":{}}`, 1)
	for field, value := range map[string]any{
		"facts.state.next.rps": -1, "facts.state.next.write_rps": 0,
		"facts.state.next.value_kb": 0.1, "facts.state.next.txn_ops": 3,
		"node_name": "", "client_listen": "here", "peer_bind": 7, "external.cloud": "", "external.state": "x:y",
		"facts.workers.lease_s": 0, "facts.workers.report_s": -1, "facts.workers.cancel_s": "soon",
		"facts.state.rps": 0, "facts.state.write_rps": nil, "facts.state.value_kb": 0, "facts.state.txn_ops": 1,
		"facts.cloud.rps": 0, "facts.cloud.list_lag_s": -1,
		"facts.machine_limits.memory_mb": 7, "facts.machine_limits.core_share": -1,
		"facts.machine_limits.max_sockets": 3, "facts.teams": []any{},
	} {
		var doc map[string]any
		if err := json.Unmarshal([]byte(withNext), &doc); err != nil {
			t.Fatal(err)
		}
		parent := doc
		path := strings.Split(field, ".")
		for _, p := range path[:len(path)-1] {
			parent = parent[p].(map[string]any)
		}
		parent[path[len(path)-1]] = value
		b, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		_, err = Parse(b)
		if err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s = %v: error %v, want one line that names the field", field, value, err)
		}
	}
	for _, b := range []string{"", "[]", "{", strings.Replace(validSettings, "node-1", "node-0", 1)} {
		if _, err := Parse([]byte(b)); err == nil {
			t.Errorf("invalid settings that begin with %.20q were accepted", b)
		}
	}
}
