package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// startCounter counts the starts that machines get, and keeps the direct commands in flight.
type startCounter struct {
	t        *testing.T
	starts   map[string]int // by task
	inFlight []SendDirectCommands
}

// collect counts the starts among the effects. It fails if too many direct commands are in flight.
func (c *startCounter) collect(effects []Effect) {
	c.t.Helper()
	for _, effect := range effects {
		switch e := effect.(type) {
		case SendDirectCommands:
			c.inFlight = append(c.inFlight, e)
			c.count(e.Commands)
		case HeartbeatReply:
			c.count(e.Commands)
		}
	}
	if len(c.inFlight) > limits.MaxDirectCommands {
		c.t.Fatalf("%d direct commands in flight", len(c.inFlight))
	}
}

func (c *startCounter) count(commands []protocol.Command) {
	for _, command := range commands {
		if command.Verb == protocol.CommandStart {
			c.starts[command.Task]++
		}
	}
}

// next takes the oldest direct command that is in flight.
func (c *startCounter) next() SendDirectCommands {
	direct := c.inFlight[0]
	c.inFlight = c.inFlight[1:]
	return direct
}

// TestDirectCommandsAreBounded: however many machines get tasks at once, the number of direct commands
// in flight is bounded. The other machines get their starts with the answers to their next heartbeats,
// or directly once earlier commands are answered; each start goes out once.
func TestDirectCommandsAreBounded(t *testing.T) {
	const machines = 3 * limits.MaxDirectCommands
	f := newSchedulerFixture(t, machines)
	f.scheduler.jobs.teams["red"].cfg.MaxCPUs = 8 * machines
	for range 2 { // the second verifies the machines
		for i := range machines {
			f.report(i)
		}
	}
	counter := &startCounter{t: t, starts: map[string]int{}}
	f.job("job-1", "red", "standard", machines, 8, 0)
	counter.collect(f.effects)
	if len(counter.inFlight) != limits.MaxDirectCommands {
		t.Fatalf("%d direct commands for %d machines", len(counter.inFlight), machines)
	}
	last := HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: f.heartbeat(f.machine(machines - 1))}
	counter.collect(f.step(last))
	if len(counter.starts) != limits.MaxDirectCommands+1 {
		t.Errorf("%d tasks started, not one more by the answer to a heartbeat", len(counter.starts))
	}
	for len(counter.inFlight) > 0 {
		direct := counter.next()
		heartbeat := f.heartbeat(direct.Machine)
		for _, start := range direct.Commands {
			heartbeat.Tasks = append(heartbeat.Tasks, running(start))
		}
		f.now -= 9 * time.Millisecond // all within the time in which these machines are not stale
		counter.collect(f.step(DirectCommandsDone{ID: direct.ID, Machine: direct.Machine, Heartbeat: heartbeat}))
	}
	if len(counter.starts) != machines {
		t.Errorf("%d tasks started, not %d", len(counter.starts), machines)
	}
	for task, n := range counter.starts {
		if n != 1 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
}
