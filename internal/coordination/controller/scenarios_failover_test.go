package controller

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"slices"
	"time"
)

// failoverMeetings are troubles that meet a change of leaders.
var failoverMeetings = []meeting{
	{"a report is held back until a new leader has acted, and then arrives there", func(s *service) {
		s.warm(6, long)
		lead, before := s.leader(), s.term()
		held := s.some(2)
		s.reach(held, standin.Delay, standin.Delay)
		s.cloud.SetRepeatedHeartbeats(func(rig string) (time.Duration, bool) { return 20 * time.Second, slices.Contains(held, rig) })
		time.Sleep(3 * time.Second)
		s.stop(lead)
		next := s.takenOver(before)
		time.Sleep(10 * time.Second)
		s.reach(held, standin.Open, standin.Open)
		time.Sleep(20 * time.Second)
		s.met(next != lead, "another leader")
		s.start(lead)
	}},
	{"transactions get no answer and are carried out late, after newer ones, while jobs end and are cancelled and leaders change", func(s *service) {
		s.warm(4, nil)
		late := 0
		s.state.SetDelayedTransactions(func() (time.Duration, bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.r.Float64() > 0.25 {
				return 0, false
			}
			late++
			return time.Duration(2000+s.r.IntN(10000)) * time.Millisecond, true
		})
		s.crowd(60*time.Second, 4*time.Second, nil)
		for range 6 {
			time.Sleep(8 * time.Second)
			if jobs := s.running(); len(jobs) > 0 {
				s.together(jobs[:1])
			}
			s.restart(s.leader(), 500*time.Millisecond)
		}
		s.state.SetDelayedTransactions(nil)
		s.mu.Lock()
		s.met(late > 5, "late transactions: %d", late)
		s.mu.Unlock()
		time.Sleep(15 * time.Second)
	}},
	{"all controllers are away for longer than lease_s", func(s *service) {
		s.warm(6, long)
		jobs := s.pick(2)
		s.together(jobs)
		time.Sleep(200 * time.Millisecond)
		s.met(s.on(s.running()...) > 0, "tasks on machines")
		for _, n := range s.names {
			s.stop(n)
		}
		time.Sleep(limits.Seconds(leaseS + 4))
		for _, n := range s.names {
			s.start(n)
		}
		time.Sleep(20 * time.Second)
	}},
	{"a new leader greets machines late in their lease and hears no more of them, while the cloud deletes nothing", func(s *service) {
		s.warm(6, func(sp *protocol.Spec) { sp.EstimateS = 60 })
		lead, before := s.leader(), s.term()
		all := s.cloud.Machines()
		for _, m := range all {
			s.net.StopListening(m + ":9000") // so that they can't be asked
		}
		s.stop(lead)
		s.reach(all, standin.Delay, standin.Delay)
		s.noDeletions(true)
		s.takenOver(before)
		time.Sleep(4 * time.Second)
		s.reach(all, standin.Open, standin.Open)
		time.Sleep(1900 * time.Millisecond) // they find the leader, but their next reports are held
		s.reach(all, standin.Delay, standin.Delay)
		time.Sleep(limits.Seconds(leaseS - 3))
		s.reach(all, standin.Open, standin.Open)
		s.noDeletions(false)
		s.start(lead)
	}},
	{"leaders change ten times in two minutes, also inside an outage", func(s *service) {
		s.warm(4, long)
		first := s.term()
		s.crowd(100*time.Second, 10*time.Second, nil)
		for i := range 10 {
			if i == 5 {
				s.state.SetUnavailable(true)
			}
			if i == 7 {
				s.state.SetUnavailable(false)
			}
			if jobs := s.running(); len(jobs) > 0 {
				s.together(jobs[:1])
			}
			var lead string
			for _, n := range s.names {
				if p := s.nodes[n]; p != nil && p.c.dispatcher.Entitled() {
					lead = n
				}
			}
			if lead != "" {
				s.restart(lead, time.Duration(i%3)*400*time.Millisecond)
			}
			time.Sleep(10 * time.Second)
		}
		s.met(s.term() >= first+7, "changes of the leader: %d", s.term()-first)
	}},
	{"a team is at its limit when the leader changes, some of its machines can't be asked, and a cancellation falls into that spell", func(s *service) {
		s.warm(2, func(sp *protocol.Spec) { sp.Team, sp.Tasks, sp.EstimateS = "red", 8, 150 })
		for end := time.Now().Add(time.Minute); s.on(s.running()...) < 16 && time.Now().Before(end); {
			time.Sleep(500 * time.Millisecond)
		}
		s.met(s.on(s.running()...) == 16, "the team at its limit: %d", s.on(s.running()...))
		more := s.submit(func(sp *protocol.Spec) { sp.Team, sp.Tasks, sp.Priority = "red", 8, "production" })
		j := s.pick(1)[0]
		some := s.machines(j)[:1]
		s.reach(some, standin.Delay, standin.Delay)
		before := s.term()
		s.restart(s.leader(), 200*time.Millisecond)
		s.together([]*job{j})
		s.takenOver(before)
		time.Sleep(5 * time.Second)
		s.reach(some, standin.Open, standin.Open)
		time.Sleep(40 * time.Second)
		s.met(s.told([]*job{j}) == 1, "a cancellation")
		_ = more
	}},
	{"jobs of two or three tasks end far apart across a change of leader", func(s *service) {
		s.warm(5, func(sp *protocol.Spec) { sp.Tasks = 2 + s.seq%2 })
		// Machines go one after the other while the last tasks of jobs run: what was done must stay
		// done.
		for i := range 5 {
			time.Sleep(5 * time.Second)
			if ms := s.machines(nil); len(ms) > 0 {
				s.cloud.Kill(ms[0])
			}
			if i%2 == 1 {
				s.restart(s.leader(), time.Second)
			}
		}
		s.met(s.term() >= 3, "changes of the leader")
	}},
	{"a zone with workers and a controller is cut off for longer than lease_s", func(s *service) {
		s.warm(8, long)
		lead, before := s.leader(), s.term()
		zone := s.zones[slices.Index(s.names, lead)]
		var in, out []string
		for _, m := range s.cloud.Machines() {
			if s.cloud.Zone(m) == zone {
				in = append(in, m)
			} else {
				out = append(out, m)
			}
		}
		jobs := s.pick(4)
		s.apart(lead, standin.Delay)
		s.net.SetLinkBothWays(lead, "state-"+lead, standin.Delay)
		for _, m := range out {
			s.net.SetLinkBothWays(lead, m, standin.Delay)
		}
		for _, m := range in {
			for _, n := range s.names {
				if n != lead {
					s.net.SetLinkBothWays(n, m, standin.Delay)
				}
			}
		}
		s.met(len(out) > 0, "machines outside the zone")
		s.together(jobs)
		s.takenOver(before)
		time.Sleep(limits.Seconds(leaseS + 10))
		s.apart(lead, standin.Open)
		s.net.SetLinkBothWays(lead, "state-"+lead, standin.Open)
		for _, m := range append(in, out...) {
			for _, n := range s.names {
				s.net.SetLinkBothWays(n, m, standin.Open)
			}
		}
	}},
	{"a leader ends while machines with long tasks can't be reached, or don't hear the new leader's answer", func(s *service) {
		s.warm(8, long)
		lead, before := s.leader(), s.term()
		ms := s.machines(nil)
		s.reach(ms[:1], standin.Delay, standin.Delay) // can't be reached
		s.reach(ms[1:2], standin.Drop, standin.Open)  // doesn't hear
		jobs := s.pick(3)
		s.stop(lead)
		s.together(jobs)
		s.takenOver(before)
		time.Sleep(12 * time.Second)
		s.reach(ms[:2], standin.Open, standin.Open)
		time.Sleep(20 * time.Second)
		s.start(lead)
		s.met(s.told(jobs) == 3, "cancellations")
	}},
	{"controllers hand over and back, all end, and one returns, also within a second", func(s *service) {
		s.warm(6, long)
		first := s.term()
		for range 2 {
			lead, before := s.leader(), s.term()
			s.state.SetRejectedCaller(lead, true)
			s.takenOver(before)
			s.state.SetRejectedCaller(lead, false)
		}
		s.met(s.term() >= first+2, "handed over and back")
		jobs := s.pick(2)
		s.together(jobs)
		time.Sleep(100 * time.Millisecond)
		for _, n := range s.names {
			s.stop(n)
		}
		time.Sleep(300 * time.Millisecond)
		s.start(s.names[0])
		time.Sleep(20 * time.Second)
		s.start(s.names[1])
		s.start(s.names[2])
	}},
}
