package metrics

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestServedMetrics checks that what was counted is served, with the units in the names.
func TestServedMetrics(t *testing.T) {
	m := New()
	m.CountRequest(ActionPoll, OutcomeCache, time.Millisecond)
	m.CountRequest(ActionPoll, OutcomeNoSlot, 0)
	m.CountStateCall("users", CallGivenUp)
	m.SetTerm(7)
	m.SetMailbox(3, 1500*time.Millisecond)
	m.CountHeartbeat(HeartbeatAccepted)
	m.CountCommand("start", ChannelDirect)
	m.CountWithheld("recovery", 3)
	m.CountViolation(InvariantAnswerAge)
	server := httptest.NewServer(m.Handler())
	defer server.Close()
	response, err := server.Client().Get(server.URL + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`quillshunt_user_requests_total{action="poll",outcome="cache"} 1`,
		`quillshunt_user_requests_total{action="poll",outcome="no_slot"} 1`,
		`quillshunt_user_request_seconds_count{action="poll"} 2`,
		`quillshunt_state_calls_total{result="given_up",share="users"} 1`,
		`quillshunt_fencing_token 7`,
		`quillshunt_leading 1`,
		`quillshunt_leader_mailbox_messages 3`,
		`quillshunt_leader_mailbox_age_seconds 1.5`,
		`quillshunt_heartbeats_total{outcome="accepted"} 1`,
		`quillshunt_commands_total{channel="direct",verb="start"} 1`,
		`quillshunt_commands_withheld_total{reason="recovery"} 3`,
		`quillshunt_invariant_violations_total{invariant="answer_age"} 1`,
	} {
		if !strings.Contains(string(body), want) {
			t.Errorf("metrics lack %q", want)
		}
	}
}

// TestNilMetrics checks that parts without metrics can be used.
func TestNilMetrics(*testing.T) {
	var m *Metrics
	m.CountRequest(ActionPoll, OutcomeState, 0)
	m.CountRateWait("users", 0)
	m.CountStateCall("users", CallReplied)
	m.SetObservedRevision(1)
	m.SetTerm(1)
	m.SetMailbox(1, 0)
	m.EndTerm()
	m.CountHeartbeat(HeartbeatRedirected)
	m.CountCommand("stop", ChannelHeartbeat)
	m.CountWithheld("gang", 1)
	m.CountViolation(InvariantAnswerAge)
}

// TestCountsAsText checks that counts are written in alphabetical order, first of the kinds.
func TestCountsAsText(t *testing.T) {
	counts := Counts{{"poll", "state"}: 40, {"cancel", "state"}: 2, {"poll", "cache"}: 3}
	if text := counts.String(); text != "cancel/state=2 poll/cache=3 poll/state=40" {
		t.Errorf("counts are %q", text)
	}
}

// TestMetricsAddressInUse checks that an address that is taken is an error at once.
func TestMetricsAddressInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err = New().Run(ctx, taken.Addr().String())
	if err == nil || !strings.Contains(err.Error(), "listen for requests of metrics") {
		t.Errorf("error %v, want one that says that it cannot listen", err)
	}
}
