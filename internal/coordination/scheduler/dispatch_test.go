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
	b := newSchedulerFixture(t, machines)
	b.scheduler.jobs.teams["red"].cfg.CPUsMax = 8 * machines
	for range 2 { // the second proves that answers arrive
		for i := range machines {
			b.report(i)
		}
	}
	starts := map[string]int{}
	var under []SendDirectCommands
	take := func(effects []Effect) {
		for _, e := range effects {
			var orders []protocol.Command
			switch e := e.(type) {
			case SendDirectCommands:
				under = append(under, e)
				orders = e.Commands
			case HeartbeatReply:
				orders = e.Commands
			}
			for _, o := range orders {
				if o.Verb == protocol.CommandStart {
					starts[o.Task]++
				}
			}
		}
		if len(under) > limits.MaxDirectCommands {
			t.Fatalf("%d direct commands are on their way", len(under))
		}
	}
	b.job("job-1", "red", "standard", machines, 8, 0)
	take(b.effects)
	if len(under) != limits.MaxDirectCommands {
		t.Fatalf("%d direct commands for %d machines", len(under), machines)
	}
	b.sequence++
	last := b.machine(machines - 1)
	take(b.step(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: &protocol.Heartbeat{Machine: last, Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: b.sequence, FencingToken: 3}}))
	if len(starts) != limits.MaxDirectCommands+1 {
		t.Errorf("%d tasks started, want one more by the answer to a report", len(starts))
	}
	for len(under) > 0 {
		d := under[0]
		under = under[1:]
		b.sequence++
		r := &protocol.Heartbeat{Machine: d.Machine, Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: b.sequence, FencingToken: 3}
		for _, o := range d.Commands {
			r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: protocol.Running})
		}
		b.now -= 9 * time.Millisecond // all within the time in which these machines are fresh
		take(b.step(DirectCommandsDone{ID: d.ID, Machine: d.Machine, Heartbeat: r}))
	}
	if len(starts) != machines {
		t.Errorf("%d tasks started, want %d", len(starts), machines)
	}
	for piece, n := range starts {
		if n != 1 {
			t.Errorf("%s was started %d times", piece, n)
		}
	}
}
