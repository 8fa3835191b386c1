package transport

import (
	"sync"
	"time"
)

// Activity describes a server's connections, and how long its clients had to wait for its event loop.
type Activity struct {
	Machines     int           // open connections of machines
	Users        int           // open connections on which other requests have arrived
	Silent       int           // open connections on which no request has arrived
	OldestSilent time.Duration // age of the oldest silent connection
	Refused      int           // connections closed at once for lack of sockets, since the last call of TakeActivity
	LoopDelay    time.Duration // longest wait for the event loop, since the last call of TakeActivity
	LeastDelay   time.Duration // shortest such wait; 0 if the event loop was not waited for
	TimerDelay   time.Duration // longest delay of a timer, since the last call of TakeActivity
}

// activityRecorder collects an Activity. It is safe for concurrent use.
type activityRecorder struct {
	mu      sync.Mutex
	current Activity
}

// TakeActivity returns the server's activity. The connections are those of the last check for idle ones.
func (s *Server) TakeActivity() Activity {
	r := &s.activity
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.current
	r.current.Refused, r.current.LoopDelay, r.current.LeastDelay, r.current.TimerDelay = 0, 0, 0, 0
	return taken
}

// recordRefused records that a connection was closed at once.
func (r *activityRecorder) recordRefused() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current.Refused++
}

// recordDelays records how long a turn of the event loop was waited for, and how late the timer was that asked
// for it.
func (r *activityRecorder) recordDelays(loop, timer time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.LoopDelay == 0 || loop < r.current.LeastDelay {
		r.current.LeastDelay = loop
	}
	r.current.LoopDelay = max(r.current.LoopDelay, loop)
	r.current.TimerDelay = max(r.current.TimerDelay, timer)
}

// recordConnections replaces the counts of connections.
func (r *activityRecorder) recordConnections(counted Activity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current.Machines, r.current.Users = counted.Machines, counted.Users
	r.current.Silent, r.current.OldestSilent = counted.Silent, counted.OldestSilent
}

// count adds a connection to an activity.
func (a *Activity) count(c *serverConn, now time.Time) {
	switch {
	case c.fromMachine:
		a.Machines++
	case c.hasRequested:
		a.Users++
	default:
		a.Silent++
		a.OldestSilent = max(a.OldestSilent, now.Sub(c.openedAt))
	}
}
