package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"quillshunt/internal/storage"
)

// throttlePeriod is the period in which a throttled controller runs once.
const throttlePeriod = 100 * time.Millisecond

// throttle lets a controller run for a share of the time only, as on a machine with a small share of a core, until
// the context ends.
func (d *deployment) throttle(ctx context.Context, c *controller, share float64) {
	running := time.Duration(share * float64(throttlePeriod))
	for ctx.Err() == nil {
		d.signal(c, syscall.SIGCONT)
		time.Sleep(running)
		d.signal(c, syscall.SIGSTOP)
		time.Sleep(throttlePeriod - running)
	}
	d.signal(c, syscall.SIGCONT)
}

// signal sends a signal to the process of a controller unless it is paused or does not run.
func (d *deployment) signal(c *controller, signal syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command != nil && !c.paused {
		_ = c.command.Process.Signal(signal)
	}
}

// playSlowLeader makes a controller stand still again and again for fractions of a second.
func (d *deployment) playSlowLeader(f fault, c *controller, random *rand.Rand) {
	for end := d.since() + f.For; d.since() < end && d.ctx.Err() == nil; {
		d.pause(c, true)
		storage.SleepContext(d.ctx, time.Duration(100+random.IntN(400))*time.Millisecond)
		d.pause(c, false)
		storage.SleepContext(d.ctx, time.Duration(20+random.IntN(80))*time.Millisecond)
	}
}

// playIdleConnections opens as many connections to a controller as it has sockets. Half of them send nothing, the
// others half a request.
func (d *deployment) playIdleConnections(duration time.Duration, c *controller) {
	var opened []net.Conn
	for i := range d.size.sockets {
		conn, err := net.DialTimeout("tcp", c.client, time.Second)
		if err != nil {
			break
		}
		if i%2 == 0 {
			_, _ = conn.Write([]byte("GET /v2/runs/job-0"))
		}
		opened = append(opened, conn)
	}
	storage.SleepContext(d.ctx, duration)
	for _, conn := range opened {
		_ = conn.Close()
	}
}
