package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestRelayedHeartbeats checks that a worker whose heartbeats are relayed is redirected to the leader once,
// and again after RelayDuration. The first redirect is skipped if the worker has reported directly before
// or has missed a probe.
func TestRelayedHeartbeats(t *testing.T) {
	type heartbeat struct {
		after      time.Duration
		relayed    bool
		redirected bool
	}
	for _, c := range []struct {
		name       string
		missed     bool // the worker has missed a probe before
		heartbeats []heartbeat
	}{
		{"has never reported directly", false, []heartbeat{
			{0, true, true}, {time.Second, true, false}, {time.Second, true, false},
			{limits.RelayDuration, true, true}, {time.Second, true, false},
		}},
		{"has reported directly before", false, []heartbeat{
			{0, false, false}, {time.Second, true, false}, {limits.RelayDuration + time.Second, true, true},
		}},
		{"has missed a probe", true, []heartbeat{{0, true, false}}},
		{"reports directly again", false, []heartbeat{
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
				if reply := f.replyTo(received); reply.Redirect != h.redirected || reply.Accepted == h.redirected {
					t.Errorf("heartbeat %d: reply %+v, want redirected = %v", i, reply, h.redirected)
				}
			}
		})
	}
}

// TestLeaseExpiry checks that the tasks of a machine that has stopped sending heartbeats are released once
// its worker's lease has expired on both clocks, and not before.
func TestLeaseExpiry(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	f.sendHeartbeat(0, runningStatus(f.directCommands()[0].Commands[0]))
	m := f.scheduler.inventory.find(f.machine(0))
	expires := m.leaseRenewedAt + limits.LeaseExpiredAfter(f.scheduler.workerLease)
	f.now = expires - 10*time.Millisecond - 1 // a step takes 10 ms
	f.tick()
	if len(m.assignments) != 1 || !m.hasLiveIncarnation() {
		t.Fatal("task released before the lease has expired")
	}
	f.now = expires - 10*time.Millisecond
	f.tick()
	if len(m.assignments) != 0 || m.hasLiveIncarnation() {
		t.Fatal("task not released although the lease has expired")
	}
}

// TestOutdatedMessages checks that a message is outdated if its incarnation has ended or was replaced, or
// if its sequence number is not above the newest one of the incarnation.
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
				t.Errorf("isOutdated = %v, want %v", got, c.outdated)
			}
		})
	}
}
