package limits

import (
	"testing"
	"time"
)

// TestDivideSockets pins the division of sockets, from the fewest that a controller starts with to
// more than any deployment has had.
func TestDivideSockets(t *testing.T) {
	for _, c := range []struct {
		name            string
		sockets, others int
		want            SocketShares
		mailboxSize     int
	}{
		{"fewest", MinSockets, 2, SocketShares{20, 1, 18, 16, 14, 4, 4}, MinMailboxSize},
		{"small", 333, 2, SocketShares{232, 13, 213, 188, 169, 46, 49}, MinMailboxSize},
		{"usual", 900, 2, SocketShares{784, 47, 714, 629, 566, 156, UserSlots}, 629},
		{"large", 5002, 4, SocketShares{4882, 292, 4444, 3911, 3519, MaxProbes, UserSlots}, 3911},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := DivideSockets(c.sockets, c.others)
			if got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
			if size := MailboxSize(got); size != c.mailboxSize {
				t.Errorf("mailbox of %d, want %d", size, c.mailboxSize)
			}
		})
	}
}

// TestLeaseValidityBounds: a lease is not used for as long as it may last, and counts as over only after it
// is, by twice the drift and the margin.
func TestLeaseValidityBounds(t *testing.T) {
	lease := 20 * time.Second
	if got, want := LeaseValidFor(lease), lease-20*time.Millisecond-LeaseValidityMargin; got != want {
		t.Errorf("valid for %v, want %v", got, want)
	}
	if got, want := LeaseExpiredAfter(lease), lease+20*time.Millisecond+LeaseExpiryMargin; got != want {
		t.Errorf("expired after %v, want %v", got, want)
	}
}

// TestRetryAfterSeconds: users retry the later the longer the state service has failed, within
// bounds.
func TestRetryAfterSeconds(t *testing.T) {
	for failingFor, want := range map[time.Duration]int{
		0: 1, RetryAfterStep - 1: 1, RetryAfterStep: 2, 3 * RetryAfterStep: 4, time.Hour: RetryAfterMax,
	} {
		if got := RetryAfterSeconds(failingFor); got != want {
			t.Errorf("failing for %v: %d s, want %d s", failingFor, got, want)
		}
	}
}
