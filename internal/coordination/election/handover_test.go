package election

import (
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/standin"
)

// TestHandOver: a leader that alone is refused by the state service is replaced long before its
// hold ends, and one that is refused like all others is not.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStateService()
		nodes := newNodes(s, 2, 2)
		nodes[0].start(t)
		time.Sleep(3 * time.Second)
		nodes[1].start(t)
		time.Sleep(3 * time.Second)
		s.SetUnavailable(true)
		time.Sleep(limits.LeaderLease / 2)
		if nodes[0].entitled() == nil {
			t.Fatal("gave up in an outage for all")
		}
		s.SetUnavailable(false)
		time.Sleep(5 * time.Second)
		nodes[0].refuse(time.Now().Add(time.Hour))
		old := nodes[0].entitled()
		time.Sleep(limits.LeaderLease / 2)
		if old == nil || old.Entitled() {
			t.Fatal("still entitled after handing over")
		}
		if nodes[0].entitled() != nil || nodes[1].entitled() == nil {
			t.Fatal("not handed over")
		}
		for _, n := range nodes {
			n.crash()
		}
	})
}

// TestBusyLeader: a leader that gets no answers because it is itself behind does not hand over; one
// that is in time and gets none does.
func TestBusyLeader(t *testing.T) {
	for _, busy := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := standin.NewStateService()
			nodes := newNodes(s, 2, 2)
			for _, n := range nodes {
				n.start(t)
				time.Sleep(3 * time.Second)
			}
			if busy {
				nodes[0].setBusy()
			}
			nodes[0].silence(time.Now().Add(15 * time.Second))
			time.Sleep(20 * time.Second)
			if kept := nodes[0].entitled() != nil; kept != busy {
				t.Errorf("busy: %v, still leads: %v", busy, kept)
			}
			for _, n := range nodes {
				n.crash()
			}
		})
	}
}
