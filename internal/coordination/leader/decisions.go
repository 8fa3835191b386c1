package leader

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/metrics"
	"quillshunt/internal/protocol"
)

// decisionCounts counts what a leader did with heartbeats and commands since the last summary entry of its log.
// The keys are of the form KIND/OUTCOME.
type decisionCounts map[string]int

// add counts a decision.
func (d decisionCounts) add(kind, outcome string, count int) { d[kind+"/"+outcome] += count }

// take returns the counts as text such as "heartbeat/accepted=40 start/direct=3", in alphabetical order, and
// sets them to 0.
func (d decisionCounts) take() string {
	texts := make([]string, 0, len(d))
	for _, key := range slices.Sorted(maps.Keys(d)) {
		texts = append(texts, key+"="+strconv.Itoa(d[key]))
	}
	clear(d)
	return strings.Join(texts, " ")
}

// countHeartbeat counts what became of a worker's heartbeat.
func (t *termActor) countHeartbeat(outcome string) {
	t.decisions.add("heartbeat", outcome, 1)
	t.dispatcher.metrics.CountHeartbeat(outcome)
}

// countCommands counts commands that are sent to a worker.
func (t *termActor) countCommands(channel metrics.CommandChannel, commands []protocol.Command) {
	for i := range commands {
		verb := string(commands[i].Verb)
		t.decisions.add(verb, string(channel), 1)
		t.dispatcher.metrics.CountCommand(verb, channel)
	}
}

// countWithheld counts commands that the scheduler could not send, by reason.
func (t *termActor) countWithheld(withheld scheduler.CommandsWithheld) {
	for reason, count := range withheld.Counts {
		t.decisions.add("withheld", string(reason), count)
		t.dispatcher.metrics.CountWithheld(string(reason), count)
	}
}
