package leader

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// TestSendDirectCommands checks that the result shows whether the worker executed the commands, rejected
// them, or may have executed them.
func TestSendDirectCommands(t *testing.T) {
	after := protocol.Heartbeat{Machine: "m-1", Address: "a:1", Incarnation: 3, FencingToken: 9}
	for _, c := range []struct {
		name     string
		status   int
		body     any
		err      string
		rejected bool
	}{
		{"executed", http.StatusOK, after, "", false},
		{"rejected", http.StatusConflict, after, "worker: send commands: status 409: no command executed", true},
		{
			"unexpected status", http.StatusInternalServerError, nil,
			"worker: send commands: unexpected status 500", false,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			worker := startWorker(t, c.status, c.body)
			heartbeat, err := sendDirectCommands(context.Background(), worker, protocol.DirectCommands{})
			if got := errorText(err); got != c.err {
				t.Errorf("error %q, want %q", got, c.err)
			}
			var rejected *commandsRejectedError
			if errors.As(err, &rejected) != c.rejected {
				t.Errorf("error %v is a commandsRejectedError: %v, want %v", err, !c.rejected, c.rejected)
			}
			if c.rejected {
				heartbeat = rejected.heartbeat
			}
			if c.body != nil && heartbeat.FencingToken != after.FencingToken {
				t.Errorf("heartbeat %+v, want %+v", heartbeat, after)
			}
		})
	}
}

// TestExecuteDirectCommands checks that the outcome is sent to the scheduler. The fencing token of a worker is no
// reason to end the term while the leader is entitled.
func TestExecuteDirectCommands(t *testing.T) {
	heartbeat := func(token uint64) protocol.Heartbeat {
		return protocol.Heartbeat{Machine: "m-1", Address: "a:1", FencingToken: token}
	}
	unreachable := transport.NewClient("127.0.0.1:1", 1, limits.MaxBodyBytes)
	for _, c := range []struct {
		name        string
		worker      *transport.Client
		entitled    bool
		notExecuted bool
		heartbeat   bool
		termLost    bool
	}{
		{"executed", startWorker(t, http.StatusOK, heartbeat(1)), true, false, true, false},
		{"rejected", startWorker(t, http.StatusConflict, heartbeat(1)), true, true, false, false},
		{
			"rejected with a token that is not reserved", startWorker(t, http.StatusConflict, heartbeat(1<<40)),
			true, true, false, false,
		},
		{"outcome unknown", startWorker(t, http.StatusInternalServerError, nil), true, false, false, false},
		{"not sent", unreachable, true, true, false, false},
		{"leader not entitled", startWorker(t, http.StatusOK, heartbeat(1)), false, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			termLost := false
			until := time.Now().Add(time.Hour)
			if !c.entitled {
				until = time.Now()
			}
			actor := newTestActor(election.NewLeadership(1, 1, until))
			actor.dispatcher.onTermLost = func(uint64) { termLost = true }
			effect := scheduler.SendDirectCommands{ID: 5, Machine: "m-1"}
			actor.executeDirectCommands(context.Background(), effect, c.worker)
			done := (<-actor.mailbox).(eventMessage).event.(scheduler.DirectCommandsDone)
			if done.ID != 5 || done.Machine != "m-1" {
				t.Errorf("outcome for ID %d on machine %q, want ID 5 on m-1", done.ID, done.Machine)
			}
			if done.NotExecuted != c.notExecuted || (done.Heartbeat != nil) != c.heartbeat || termLost != c.termLost {
				t.Errorf("outcome %+v, term reported as lost: %v; want not executed %v, heartbeat %v, lost %v",
					done, termLost, c.notExecuted, c.heartbeat, c.termLost)
			}
		})
	}
}

// TestLaterLeaderEndsTerm guards against a replaced leader that ignores the fencing token of its successor.
func TestLaterLeaderEndsTerm(t *testing.T) {
	last := election.NewLeadership(1, 1, time.Now()).LastFencingToken()
	for _, c := range []struct {
		token    uint64
		termLost bool
	}{
		{last, false},
		{last + 1, true},
	} {
		leadership := election.NewLeadership(1, 1, time.Now().Add(time.Second))
		rejectLate := func(_ *transport.Message, rsp *transport.Responder) {
			go func() {
				for leadership.IsEntitled() {
					time.Sleep(10 * time.Millisecond)
				}
				heartbeat := protocol.Heartbeat{Machine: "m-1", Address: "a:1", FencingToken: c.token}
				rsp.Respond(http.StatusConflict, protocol.Encode(heartbeat), 0)
			}()
		}
		worker := transport.NewClient(startServer(t, rejectLate), 1, limits.MaxBodyBytes)
		termLost := false
		actor := newTestActor(leadership)
		actor.dispatcher.onTermLost = func(uint64) { termLost = true }
		actor.executeDirectCommands(context.Background(), scheduler.SendDirectCommands{ID: 5, Machine: "m-1"}, worker)
		worker.CloseIdleConnections()
		if termLost != c.termLost {
			t.Errorf("worker with token %d: term reported as lost: %v, want %v", c.token, termLost, c.termLost)
		}
	}
}
