package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDivideSockets checks the exact division of sockets, from the least number with which a controller
// starts to more than any deployment has had.
func TestDivideSockets(t *testing.T) {
	for _, c := range []struct {
		name                      string
		sockets, otherControllers int
		want                      SocketShares
		heartbeatQueueSize        int
	}{
		{"fewest", MinSockets, 2, SocketShares{20, 1, 18, 16, 14, 4, 4}, MailboxSize},
		{"small", 333, 2, SocketShares{232, 13, 213, 188, 169, 46, 49}, MailboxSize},
		{"usual", 900, 2, SocketShares{784, 47, 714, 629, 566, 156, UserSlots}, 629},
		{"large", 5002, 4, SocketShares{4882, 292, 4444, 3911, 3519, MaxProbes, UserSlots}, 3911},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := DivideSockets(c.sockets, c.otherControllers)
			if got != c.want {
				t.Errorf("DivideSockets(%d, %d) = %+v, want %+v", c.sockets, c.otherControllers, got, c.want)
			}
			if size := HeartbeatQueueSize(got); size != c.heartbeatQueueSize {
				t.Errorf("heartbeat queue size %d, want %d", size, c.heartbeatQueueSize)
			}
		})
	}
}

// TestLeaseValidityBounds checks that a process stops relying on its own lease earlier than the lease's
// duration, and treats another process's lease as expired only later than that, by twice the clock drift
// plus a margin in both cases.
func TestLeaseValidityBounds(t *testing.T) {
	lease := 20 * time.Second
	if got, want := LeaseValidFor(lease), lease-20*time.Millisecond-LeaseValidityMargin; got != want {
		t.Errorf("LeaseValidFor(%v) = %v, want %v", lease, got, want)
	}
	if got, want := LeaseExpiredAfter(lease), lease+20*time.Millisecond+LeaseExpiryMargin; got != want {
		t.Errorf("LeaseExpiredAfter(%v) = %v, want %v", lease, got, want)
	}
}

// TestCancelWindowKeepsTimeLimit checks for many worker leases and time limits that a task of a cancelled job
// ends in time if the last heartbeat that is accepted was sent at the end of CancelHeartbeatWindow: the lease
// runs from then on, on a clock that is slow by the largest drift, while the clock of the leader was slow too.
func TestCancelWindowKeepsTimeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		milliseconds := rapid.Int64Range(100, 600_000)
		lease := time.Duration(milliseconds.Draw(t, "lease in ms")) * time.Millisecond
		cancelWithin := time.Duration(milliseconds.Draw(t, "cancel_s in ms")) * time.Millisecond
		window := CancelHeartbeatWindow(cancelWithin, lease)
		if window == 0 {
			if spare := cancelWithin - LeaseExpiredAfter(lease); spare > 0 {
				t.Fatalf("no heartbeat is accepted although the lease ends %v before the limit", spare)
			}
			return
		}
		slow := func(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + ClockDriftRatio)) }
		if end := slow(window) + slow(lease); end > cancelWithin {
			t.Fatalf("a task ends %v after the cancellation, limit %v", end, cancelWithin)
		}
	})
}

// TestRetryAfterSeconds checks that the Retry-After value grows with the length of an outage of the state
// service, between its minimum and maximum.
func TestRetryAfterSeconds(t *testing.T) {
	for failingFor, want := range map[time.Duration]int{
		0: 1, RetryAfterStep - 1: 1, RetryAfterStep: 2, 3 * RetryAfterStep: 4, time.Hour: MaxRetryAfterSeconds,
	} {
		if got := RetryAfterSeconds(failingFor); got != want {
			t.Errorf("RetryAfterSeconds(%v) = %d, want %d", failingFor, got, want)
		}
	}
}

// TestTurnStalledTicks checks that a scheduler counts as stalled only after a worker lease without a reply.
func TestTurnStalledTicks(t *testing.T) {
	for lease, want := range map[time.Duration]int{
		time.Second: MinTurnStalledTicks, 14 * time.Second: 7, 15 * time.Second: 8, 16 * time.Second: 8,
	} {
		if got := TurnStalledTicks(lease); got != want {
			t.Errorf("%d ticks with a worker lease of %v, want %d", got, lease, want)
		}
	}
}
