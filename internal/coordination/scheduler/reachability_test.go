package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestRelayedHeartbeats: a worker whose heartbeats come through another controller is told once to come
// itself, unless it is known that it cannot reach us or we it, and again after RelayRetryAfter.
func TestRelayedHeartbeats(t *testing.T) {
	type heartbeat struct {
		after      time.Duration
		relayed    bool
		redirected bool
	}
	for _, c := range []struct {
		name       string
		missed     bool // a probe was not answered before
		heartbeats []heartbeat
	}{
		{"never reached us", false, []heartbeat{
			{0, true, true}, {time.Second, true, false}, {time.Second, true, false},
			{limits.RelayDuration, true, true}, {time.Second, true, false},
		}},
		{"reached us before", false, []heartbeat{
			{0, false, false}, {time.Second, true, false}, {limits.RelayDuration + time.Second, true, true},
		}},
		{"not reached by a probe", true, []heartbeat{{0, true, false}}},
		{"comes itself again", false, []heartbeat{
			{0, true, true}, {time.Second, true, false}, {time.Second, false, false}, {time.Second, true, false},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newSchedulerFixture(t, 1)
			if c.missed {
				f.step(ProbeDone{Machine: f.machine(0)})
			}
			for i, h := range c.heartbeats {
				f.now += h.after
				received := HeartbeatReceived{Entitled: true, Relayed: h.relayed, Heartbeat: f.heartbeat(f.machine(0))}
				if reply := f.reply(received); reply.Redirect != h.redirected || reply.Accepted == h.redirected {
					t.Errorf("heartbeat %d: %+v", i, reply)
				}
			}
		})
	}
}

// TestLeaseExpiry: the tasks of a machine that sends no more heartbeats are released once its worker's
// lease is surely over, and not before.
func TestLeaseExpiry(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.report(0)
	f.job("job-1", "red", "standard", 1, 1, 0)
	f.report(0, running(f.direct()[0].Commands[0]))
	m := f.scheduler.inventory.find(f.machine(0))
	expires := m.leaseRenewedAt + limits.LeaseExpiredAfter(f.scheduler.workerLease)
	f.now = expires - 10*time.Millisecond - 1 // a step takes 10 ms
	f.tick()
	if len(m.assignments) != 1 || !m.hasLiveIncarnation() {
		t.Fatal("released before the lease is over")
	}
	f.now = expires - 10*time.Millisecond
	f.tick()
	if len(m.assignments) != 0 || m.hasLiveIncarnation() {
		t.Fatal("not released although the lease is over")
	}
}

// TestOutdatedMessages: a message of an earlier incarnation, or one that is not newer than the newest of
// its incarnation, is outdated.
func TestOutdatedMessages(t *testing.T) {
	reported := &machine{machineReachability: machineReachability{hasReported: true, incarnation: 3}}
	expired := &machine{
		machineReachability: machineReachability{hasReported: true, incarnation: 3},
		leaseState:          leaseState{endedIncarnation: 3},
	}
	for _, c := range []struct {
		name                  string
		machine               *machine
		incarnation, sequence uint64
		outdated              bool
	}{
		{"first message", &machine{}, 1, 1, false},
		{"newer", reported, 3, 8, false},
		{"repeated", reported, 3, 7, true},
		{"older", reported, 3, 6, true},
		{"earlier incarnation", reported, 2, 8, true},
		{"later incarnation", reported, 4, 1, false},
		{"newer, lease expired", expired, 3, 8, true},
		{"later incarnation, lease expired", expired, 4, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			heartbeat := &protocol.Heartbeat{Incarnation: c.incarnation, Sequence: c.sequence}
			if got := c.machine.isOutdated(heartbeat, 7); got != c.outdated {
				t.Errorf("outdated %v", got)
			}
		})
	}
}
