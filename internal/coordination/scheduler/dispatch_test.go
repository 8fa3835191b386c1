package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestDirectCommandsAreBounded: however many machines get tasks at once, only so many direct
// commands are on their way. The other machines get their starts with the answers to their next
// reports, or directly once earlier commands are answered; each start goes out once.
func TestDirectCommandsAreBounded(t *testing.T) {
	const machines = 3 * limits.MaxDirectCommands
	f := newSchedulerFixture(t, machines)
	f.scheduler.jobs.teams["red"].cfg.CPUsMax = 8 * machines
	for range 2 { // the second proves that answers arrive
		for i := range machines {
			f.report(i)
		}
	}
	starts := map[string]int{}
	var inFlight []SendDirectCommands
	take := func(effects []Effect) {
		for _, e := range effects {
			var commands []protocol.Command
			switch e := e.(type) {
			case SendDirectCommands:
				inFlight = append(inFlight, e)
				commands = e.Commands
			case HeartbeatReply:
				commands = e.Commands
			}
			for _, command := range commands {
				if command.Verb == protocol.CommandStart {
					starts[command.Task]++
				}
			}
		}
		if len(inFlight) > limits.MaxDirectCommands {
			t.Fatalf("%d direct commands are on their way", len(inFlight))
		}
	}
	f.job("job-1", "red", "standard", machines, 8, 0)
	take(f.effects)
	if len(inFlight) != limits.MaxDirectCommands {
		t.Fatalf("%d direct commands for %d machines", len(inFlight), machines)
	}
	f.sequence++
	last := f.machine(machines - 1)
	take(f.step(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: &protocol.Heartbeat{Machine: last, Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: f.sequence, FencingToken: 3}}))
	if len(starts) != limits.MaxDirectCommands+1 {
		t.Errorf("%d tasks started, want one more by the answer to a report", len(starts))
	}
	for len(inFlight) > 0 {
		d := inFlight[0]
		inFlight = inFlight[1:]
		f.sequence++
		heartbeat := &protocol.Heartbeat{Machine: d.Machine, Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: f.sequence, FencingToken: 3}
		for _, command := range d.Commands {
			heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: protocol.TaskRunning})
		}
		f.now -= 9 * time.Millisecond // all within the time in which these machines are fresh
		take(f.step(DirectCommandsDone{ID: d.ID, Machine: d.Machine, Heartbeat: heartbeat}))
	}
	if len(starts) != machines {
		t.Errorf("%d tasks started, want %d", len(starts), machines)
	}
	for task, n := range starts {
		if n != 1 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
}
