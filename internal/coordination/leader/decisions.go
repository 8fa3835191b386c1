package leader

import (
	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/metrics"
	"quillshunt/internal/protocol"
)

// takeDecisions returns what became of heartbeats and commands since the last call, as text.
func (t *termActor) takeDecisions() string {
	text := t.decisions.String()
	clear(t.decisions)
	return text
}

// countHeartbeat counts what became of a worker's heartbeat.
func (t *termActor) countHeartbeat(outcome string) {
	t.decisions[metrics.CountKey{Kind: "heartbeat", Outcome: outcome}]++
	t.dispatcher.metrics.CountHeartbeat(outcome)
}

// countCommands counts commands that are sent to a worker.
func (t *termActor) countCommands(channel metrics.CommandChannel, commands []protocol.Command) {
	for i := range commands {
		verb := string(commands[i].Verb)
		t.decisions[metrics.CountKey{Kind: verb, Outcome: string(channel)}]++
		t.dispatcher.metrics.CountCommand(verb, channel)
	}
}

// countWithheld counts commands that the scheduler could not send, by reason.
func (t *termActor) countWithheld(withheld scheduler.CommandsWithheld) {
	for reason, count := range withheld.Counts {
		t.decisions[metrics.CountKey{Kind: "withheld", Outcome: string(reason)}] += count
		t.dispatcher.metrics.CountWithheld(string(reason), count)
	}
}
