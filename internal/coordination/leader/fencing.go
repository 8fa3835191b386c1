package leader

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/metrics"
	"quillshunt/internal/protocol"
)

// checkFencingToken notifies the elector that the term is over if a worker has received the fencing token of a later
// leader. While this leader is entitled, there is none, so that the token of the worker is invalid.
func (t *termActor) checkFencingToken(heartbeat *protocol.Heartbeat) {
	if heartbeat.FencingToken > t.lastFencingToken.Load() && !t.leadership.IsEntitled() {
		t.reportTermLost()
	}
}

// logDirectCommands logs direct commands and their outcome; err is that of sendDirectCommands.
func (t *termActor) logDirectCommands(sent scheduler.SendDirectCommands, err error) {
	if !t.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	outcome := "executed"
	if err != nil {
		outcome = err.Error()
	}
	t.log.Debug("direct commands", "machine", sent.Machine, "token", sent.FencingToken,
		"incarnation", sent.Incarnation, "commands", describeCommands(sent.Commands), "outcome", outcome)
}

// logForgets logs the attempts that a worker is instructed to forget, and why that is allowed: the reply has a higher
// fencing token than all direct commands with starts.
func (t *termActor) logForgets(reply scheduler.HeartbeatReply) {
	if !t.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	var forgets []protocol.Command
	for _, command := range reply.Commands {
		if command.Verb == protocol.CommandForget {
			forgets = append(forgets, command)
		}
	}
	if len(forgets) > 0 {
		t.log.Debug("attempts to be forgotten", "machine", reply.Machine, "token", reply.FencingToken,
			"direct_start_token", reply.DirectStartToken, "commands", describeCommands(forgets))
	}
}

// describeCommands returns commands as text for the log.
func describeCommands(commands []protocol.Command) string {
	var text strings.Builder
	for i, command := range commands {
		if i > 0 {
			text.WriteString(", ")
		}
		fmt.Fprintf(&text, "%s %s@%d", command.Verb, command.Task, command.Attempt)
	}
	return text.String()
}

// reportRestartedAttempt logs and counts an attempt that runs again after it has ended.
func (t *termActor) reportRestartedAttempt(restarted scheduler.AttemptRestarted) {
	t.dispatcher.metrics.CountViolation(metrics.InvariantAttemptEndsOnce)
	t.log.Error("an attempt runs again after its end", "invariant", metrics.InvariantAttemptEndsOnce,
		"machine", restarted.Machine, "incarnation", restarted.Incarnation, "task", restarted.Task,
		"attempt", restarted.Attempt, "token", restarted.FencingToken)
}
