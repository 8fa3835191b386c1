package election

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/standin"
)

// TestOneEntitledLeader: at no time are two controllers entitled, terms rise, and after the trouble
// there is a leader again.
func TestOneEntitledLeader(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			s := standin.NewStateService()
			var nodes []*node
			size := 3 + int(seed/2)%2*2
			for i := range size {
				n := &node{name: fmt.Sprintf("rig-%d", i), store: &unreliableStore{s: s, r: rand.New(rand.NewPCG(seed, uint64(10+i))), lossy: 0.1}, others: &nodes,
					life: time.Duration(10+25*(seed%3)) * time.Second, mute: seed%4 == 0}
				nodes = append(nodes, n)
			}
			for _, n := range nodes {
				n.start(t)
			}
			var top uint64
			terms := map[uint64]*Leadership{}
			check := func() {
				var who []string
				for _, n := range nodes {
					if m := n.entitled(); m != nil {
						who = append(who, fmt.Sprintf("%s in term %d", n.name, m.Term))
						if m.Term < top {
							t.Fatalf("seed %d: term %d after %d", seed, m.Term, top)
						}
						top = m.Term
						if terms[m.Term] == nil {
							terms[m.Term] = m
						}
						if terms[m.Term] != m {
							t.Fatalf("seed %d: term %d used twice", seed, m.Term)
						}
					}
				}
				if len(who) > 1 {
					t.Fatalf("seed %d: entitled at once: %v", seed, who)
				}
			}
			run := func(d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); {
					time.Sleep(50 * time.Millisecond)
					check()
				}
			}
			for range 25 {
				n := nodes[r.IntN(size)]
				if r.IntN(2) == 0 { // the leader, if there is one
					if i := leading(nodes); i >= 0 {
						n = nodes[i]
					}
				}
				d := time.Duration(r.IntN(60)) * time.Second
				switch r.IntN(7) {
				case 0:
					n.crash()
					run(time.Duration(r.IntN(9000)) * time.Millisecond)
					n.start(t)
				case 4: // back at once, also in the middle of an election
					for range 1 + r.IntN(4) {
						n.crash()
						n.start(t)
						run(time.Duration(r.IntN(400)) * time.Millisecond)
					}
				case 5: // alone with its workers
					n.refuse(time.Now().Add(d))
					fallthrough
				case 6: // the others don't hear of it
					n.sever(time.Now().Add(d))
				case 1:
					s.SetUnavailable(true)
					run(time.Duration(r.IntN(50)) * time.Second)
					s.SetUnavailable(false)
				case 2:
					n.refuse(time.Now().Add(time.Duration(r.IntN(60)) * time.Second))
				}
				run(time.Duration(r.IntN(20)) * time.Second)
			}
			for _, n := range nodes {
				n.store.mu.Lock()
				n.store.alone, n.store.lossy = time.Time{}, 0
				n.store.mu.Unlock()
				n.sever(time.Time{})
			}
			run(2 * limits.LeaderLease)
			led := false
			for _, n := range nodes {
				led = led || n.entitled() != nil
			}
			if !led {
				t.Fatalf("seed %d: no leader after the trouble", seed)
			}
			for _, n := range nodes {
				n.crash()
			}
			time.Sleep(2 * time.Minute) // late transactions
		})
	}
}

// TestRestartTakesOver: a controller that comes back under the leader's name does not wait for the
// hold to end.
func TestRestartTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStateService()
		n := &node{name: "rig-0", store: &unreliableStore{s: s, r: rand.New(rand.NewPCG(1, 1))}, others: &[]*node{}, life: limits.LeaderLease}
		n.start(t)
		time.Sleep(3 * time.Second)
		first := n.entitled()
		if first == nil {
			t.Fatal("no leader")
		}
		n.crash()
		n.start(t)
		time.Sleep(3 * time.Second)
		if m := n.entitled(); m == nil || m.Term != first.Term+1 {
			t.Fatalf("after a restart: %+v", m)
		}
		n.crash()
	})
}

// TestCutLeader: a leader that is cut off from the state service and the other controllers, but not
// from its workers, stops being entitled, and another leads long before the end of its hold. One
// that is cut off from the others alone goes on by its heartbeats.
func TestCutLeader(t *testing.T) {
	for i := range 12 {
		alone, phase := i%2 == 0, time.Duration(i/2)*limits.WatchDuration/6 // wherever the others' watches of the leader key end by themselves
		synctest.Test(t, func(t *testing.T) {
			s := standin.NewStateService()
			nodes := newNodes(s, 5, 3)
			for _, n := range nodes {
				n.start(t)
				time.Sleep(time.Second / 10)
			}
			time.Sleep(10*time.Second + phase)
			i := leading(nodes)
			if i < 0 {
				t.Fatal("no leader")
			}
			leader, old := nodes[i], nodes[i].entitled()
			leader.sever(time.Now().Add(time.Hour))
			if alone {
				leader.refuse(time.Now().Add(time.Hour))
			}
			time.Sleep(2*limits.VoteLeaseMin + 3*time.Second)
			others := false
			for _, n := range nodes {
				others = others || (n != leader && n.entitled() != nil)
			}
			if old.Entitled() == alone || others != alone {
				t.Errorf("cut off from the state service too: %v; old one entitled: %v, another: %v", alone, old.Entitled(), others)
			}
			for _, n := range nodes {
				n.crash()
			}
		})
	}
}

// TestLateReplacement: a transaction that was to replace a silent leader comes late, when that
// leader is heard of again and entitled. It fails.
func TestLateReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStateService()
		nodes := newNodes(s, 5, 4)
		for _, n := range nodes {
			n.start(t)
		}
		time.Sleep(15 * time.Second)
		i := leading(nodes)
		if i < 0 {
			t.Fatal("no leader")
		}
		cut := func(until time.Time) {
			nodes[i].sever(until)
			nodes[i].refuse(until)
		}
		for _, n := range nodes {
			n.store.mu.Lock()
			n.store.keep = true
			n.store.mu.Unlock()
		}
		cut(time.Now().Add(time.Hour))
		time.Sleep(2*limits.VoteLeaseMin + time.Second)
		cut(time.Time{})
		time.Sleep(limits.VoteLeaseMin)
		if nodes[i].entitled() == nil {
			t.Error("the leader is not entitled again")
		}
		late := 0
		for _, n := range nodes {
			n.store.mu.Lock()
			for _, x := range n.store.kept {
				late++
				if status, _ := s.CompareAndSwap(x); status == 200 {
					t.Error("a late campaign replaced an entitled leader")
				}
			}
			n.store.keep = false
			n.store.mu.Unlock()
		}
		if late == 0 {
			t.Error("nobody tried")
		}
		for _, n := range nodes {
			n.crash()
		}
	})
}
