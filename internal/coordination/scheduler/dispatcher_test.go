package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// startCounter counts the starts that are sent, and collects the direct commands in flight.
type startCounter struct {
	t        *testing.T
	starts   map[string]int // by task
	inFlight []SendDirectCommands
}

// collect counts the starts among the effects. The test fails if too many direct commands are in flight.
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
		c.t.Fatalf("%d direct commands in flight, want at most %d", len(c.inFlight), limits.MaxDirectCommands)
	}
}

func (c *startCounter) count(commands []protocol.Command) {
	for _, command := range commands {
		if command.Verb == protocol.CommandStart {
			c.starts[command.Task]++
		}
	}
}

// takeOldest removes and returns the oldest direct command in flight.
func (c *startCounter) takeOldest() SendDirectCommands {
	direct := c.inFlight[0]
	c.inFlight = c.inFlight[1:]
	return direct
}

// TestDirectCommandsAreBounded checks that the number of direct commands in flight is bounded when many
// machines get tasks at once. The other machines get their starts in the replies to their next heartbeats, or
// directly once earlier commands are answered. Each start is sent once.
func TestDirectCommandsAreBounded(t *testing.T) {
	const machines = 3 * limits.MaxDirectCommands
	f := newSchedulerFixture(t, machines)
	f.scheduler.jobs.teams["red"].cfg.MaxCPUs = 8 * machines
	for range 2 { // the second heartbeat verifies the machine
		for i := range machines {
			f.sendHeartbeat(i)
		}
	}
	counter := &startCounter{t: t, starts: map[string]int{}}
	f.submitJob("job-1", "red", "standard", machines, 8, 0)
	counter.collect(f.effects)
	if len(counter.inFlight) != limits.MaxDirectCommands {
		t.Fatalf("%d direct commands in flight for %d machines, want %d",
			len(counter.inFlight), machines, limits.MaxDirectCommands)
	}
	last := HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: f.heartbeat(f.machine(machines - 1))}
	counter.collect(f.step(last))
	if len(counter.starts) != limits.MaxDirectCommands+1 {
		t.Errorf("%d tasks started after a heartbeat reply, want %d", len(counter.starts), limits.MaxDirectCommands+1)
	}
	for len(counter.inFlight) > 0 {
		direct := counter.takeOldest()
		heartbeat := f.heartbeat(direct.Machine)
		for _, start := range direct.Commands {
			heartbeat.Tasks = append(heartbeat.Tasks, runningStatus(start))
		}
		f.now -= 9 * time.Millisecond // all replies arrive before these machines are stale
		counter.collect(f.step(DirectCommandsDone{ID: direct.ID, Machine: direct.Machine, Heartbeat: heartbeat}))
	}
	if len(counter.starts) != machines {
		t.Errorf("%d tasks started, want %d", len(counter.starts), machines)
	}
	for task, n := range counter.starts {
		if n != 1 {
			t.Errorf("task %s was started %d times, want once", task, n)
		}
	}
}
