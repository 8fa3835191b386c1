package controller

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
)

func long(sp *protocol.Spec) { sp.EstimateS = 150 }

// met fails a day that did not come into the situation it is there for.
func (s *service) met(ok bool, what string, args ...any) {
	s.t.Helper()
	if !ok {
		s.t.Errorf("the day did not meet: "+what, args...)
	}
}

// meeting is a day on which troubles meet. It brings its meeting about, shows that it did, and ends
// calm.
type meeting struct {
	name string
	day  func(s *service)
}

var meetings = []meeting{
	{"a quiet day", func(s *service) {
		s.warm(4, nil)
		s.met(s.cancel(s.pick(1)[0]), "a cancellation")
		s.crowd(30*time.Second, 3*time.Second, nil)
		time.Sleep(35 * time.Second)
		s.met(s.term() == 1, "one term only")
	}},
	{"the state service refuses the leader alone, then everybody for longer than cancel_s, while users cancel and ask", func(s *service) {
		s.warm(6, long)
		lead := s.leader()
		jobs := s.pick(4)
		s.state.SetRejectedCaller(lead, true)
		time.Sleep(500 * time.Millisecond)
		for _, j := range jobs {
			s.users.Go(func() { s.cancel(j) })
		}
		time.Sleep(time.Second)
		s.met(s.told(jobs) > 0 && s.nodes[lead].c.dispatcher.Entitled(), "confirmed cancellations while the leader is refused: %d", s.told(jobs))
		s.state.SetUnavailable(true)
		for range 10 {
			time.Sleep(5 * time.Second)
			for _, j := range jobs {
				s.poll(j)
			}
		}
		s.met(s.term() == 1, "the same leader all the while")
		s.state.SetUnavailable(false)
		s.state.SetRejectedCaller(lead, false)
	}},
	{"the same with a silent watch in place of a refusal, and answers to the leader that come late", func(s *service) {
		s.warm(6, long)
		lead := s.leader()
		jobs := s.pick(4)
		s.net.SetLinkBothWays(lead, "state-"+lead, standin.Delay)
		time.Sleep(500 * time.Millisecond)
		for _, j := range jobs {
			s.users.Go(func() {
				s.ask(j, s.other(lead))
				s.cancel(j)
			})
		}
		time.Sleep(1500 * time.Millisecond)
		s.state.SetUnavailable(true)
		time.Sleep(time.Second)
		s.net.SetLinkBothWays(lead, "state-"+lead, standin.Open)
		time.Sleep(50 * time.Second)
		s.met(s.told(jobs) > 0, "confirmed cancellations")
		s.state.SetUnavailable(false)
	}},
	{"jobs are cancelled at the moment of the refusal, the leader is killed in the outage and returns", func(s *service) {
		s.warm(6, long)
		lead := s.leader()
		jobs := s.pick(4)
		s.together(jobs)
		s.state.SetRejectedCaller(lead, true)
		time.Sleep(time.Second)
		s.state.SetUnavailable(true)
		time.Sleep(5 * time.Second)
		s.restart(lead, 3*time.Second)
		time.Sleep(45 * time.Second)
		s.met(s.told(jobs) > 0, "confirmed cancellations")
		s.state.SetUnavailable(false)
		s.state.SetRejectedCaller(lead, false)
	}},
	{"controllers refuse each other and the state service the leader; cancellations are confirmed by the beat", func(s *service) {
		s.warm(6, long)
		lead := s.leader()
		for _, n := range s.names {
			s.apart(n, standin.Refuse)
		}
		time.Sleep(10 * time.Second)
		jobs := s.running()
		before := s.term()
		s.users.Go(func() {
			s.met(s.cancel(jobs[0], s.other(lead)), "a cancellation confirmed by a controller that can't reach the leader")
		})
		time.Sleep(15 * time.Second)
		s.met(s.told(jobs[:1]) == 1 && s.term() == before, "confirmed in the same term")
		s.state.SetRejectedCaller(lead, true)
		s.together(jobs[1:4])
		s.takenOver(before)
		s.outage(45 * time.Second)
		for _, n := range s.names {
			s.apart(n, standin.Open)
		}
		s.state.SetRejectedCaller(lead, false)
	}},
	{"a start is held up for longer than a report, its job is cancelled, and the machine goes on", func(s *service) {
		s.warm(4, long)
		all := s.cloud.Machines()
		// What goes to the machines directly is held; their reports and the answers to them as well.
		for _, m := range all {
			s.net.SetLink(s.leader(), m, standin.Delay)
		}
		j := s.submit(func(sp *protocol.Spec) { sp.Tasks, sp.Priority = 4, "production" })
		time.Sleep(time.Second)
		s.met(s.cancel(j), "a cancellation")
		time.Sleep(2 * time.Second)
		for _, m := range all[:len(all)/2] {
			s.net.SetLink(s.leader(), m, standin.Open)
		}
		time.Sleep(9 * time.Second)
		for _, m := range all {
			s.net.SetLink(s.leader(), m, standin.Open)
		}
		time.Sleep(45 * time.Second)
		s.met(s.on(j) == 0, "nothing of the job")
	}},
	{"machines hang with cancelled tasks and go on within their lease", func(s *service) {
		s.warm(6, long)
		jobs := s.pick(3)
		for i, j := range jobs {
			for _, m := range s.machines(j) {
				s.cloud.Hang(m, time.Duration(8+3*i)*time.Second)
			}
		}
		s.together(jobs)
		time.Sleep(time.Second)
		s.met(s.told(jobs) == 3 && s.on(jobs...) > 0, "cancelled tasks on hanging machines")
		time.Sleep(45 * time.Second)
	}},
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
	{"old reports arrive after newer ones, also from an earlier session or attempt", func(s *service) {
		s.warm(4, nil)
		n := 0
		s.cloud.SetRepeatedHeartbeats(func(string) (time.Duration, bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			n++
			return time.Duration(2000+s.r.IntN(30000)) * time.Millisecond, s.r.Float64() < 0.4
		})
		s.crowd(70*time.Second, 5*time.Second, nil)
		for i := range 3 {
			some := s.some(2)
			s.reach(some, standin.Drop, standin.Drop)
			time.Sleep(limits.Seconds(leaseS + 2))
			s.reach(some, standin.Open, standin.Open)
			if i == 1 {
				s.restart(s.leader(), time.Second)
			}
			time.Sleep(5 * time.Second)
		}
		s.cloud.SetRepeatedHeartbeats(nil)
		s.mu.Lock()
		s.met(n > 50, "copies")
		s.mu.Unlock()
	}},
	{"a leader is cut from the state service and the other controllers, not from workers and users; jobs are cancelled through the new one", func(s *service) {
		s.warm(6, long)
		lead, before := s.leader(), s.term()
		jobs := s.pick(4)
		s.net.SetLinkBothWays(lead, "state-"+lead, standin.Refuse)
		s.apart(lead, standin.Delay)
		for i, node := range []string{lead, s.other(lead)} {
			s.users.Go(func() {
				s.met(!s.ask(jobs[i], node), "a cancellation that can't be confirmed")
				s.cancel(jobs[i])
			})
		}
		time.Sleep(2 * time.Second)
		s.met(s.nodes[lead].c.dispatcher.Entitled(), "the old leader still there")
		time.Sleep(limits.IsolatedAfter)
		s.met(s.sendsAway(lead, jobs[0]) && !s.sendsAway(s.other(lead), jobs[0]), "users sent away by the one that is cut off, and only there")
		for s.term() == before {
			time.Sleep(100 * time.Millisecond)
		}
		s.together(jobs[2:])
		time.Sleep(50 * time.Second)
		s.met(s.told(jobs) == 4, "all four cancelled: %d", s.told(jobs))
		s.net.SetLinkBothWays(lead, "state-"+lead, standin.Open)
		s.apart(lead, standin.Open)
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
	{"more work than room, urgent and not, over slow links", func(s *service) {
		s.net.SetLatency(150 * time.Millisecond)
		s.warm(4, nil)
		s.crowd(60*time.Second, 2*time.Second, func(sp *protocol.Spec) { sp.Tasks = 6 })
		time.Sleep(30 * time.Second)
		s.together(s.pick(2))
		s.restart(s.leader(), 2*time.Second)
		time.Sleep(30 * time.Second)
		s.net.SetLatency(time.Millisecond)
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
	{"answers take about as long as a worker waits for them, while leaders change", func(s *service) {
		s.warm(6, func(sp *protocol.Spec) { sp.EstimateS = 60 })
		first := s.term()
		for i := range 6 {
			// A report and its answer take 1.6 to 4.8 s together; a worker waits for 4 s, a
			// controller takes a report for fresh for 3 s.
			for _, m := range s.cloud.Machines() {
				s.net.SetExtraLatency(m, time.Duration(800+s.r.IntN(1600))*time.Millisecond)
			}
			if i%2 == 1 {
				s.restart(s.leader(), 300*time.Millisecond)
			}
			time.Sleep(time.Duration(6+s.r.IntN(8)) * time.Second)
			for _, m := range s.cloud.Machines() {
				s.net.SetExtraLatency(m, time.Duration(s.r.IntN(300))*time.Millisecond)
			}
			time.Sleep(time.Duration(1+s.r.IntN(6)) * time.Second)
		}
		for _, m := range s.cloud.Machines() {
			s.net.SetExtraLatency(m, 0)
		}
		s.met(s.term() > first, "changes of the leader")
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
	{"a cancellation, a question or a repeated submission meets the end of a job's last task", func(s *service) {
		s.warm(2, nil)
		for i := range 20 {
			s.users.Go(func() {
				j := s.submit(func(sp *protocol.Spec) { sp.Tasks, sp.EstimateS, sp.Priority = 1, 3, "production" })
				for s.on(j) == 0 {
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(3*time.Second + time.Duration(i)*100*time.Millisecond) // its end is reported within these two seconds
				s.users.Go(func() { s.cancel(j) })
				for range 5 {
					s.poll(j)
					time.Sleep(20 * time.Millisecond)
				}
				body := protocol.Encode(submission(s.t, j.spec))
				for _, n := range s.names {
					sent := time.Now()
					status, standing := s.call(n, "POST", "/v2/runs", body, 5*time.Second)
					s.hear(j, status, standing, sent)
				}
			})
			time.Sleep(700 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		jobs := s.known()
		n := s.told(jobs)
		s.met(n > 0 && n < len(jobs)-2, "both outcomes: %d of %d cancelled", n, len(jobs))
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
	{"workers can't open connections to any controller, while direct commands still reach them", func(s *service) {
		s.warm(6, long)
		ms := s.machines(nil)
		ms = ms[:len(ms)/2]
		for _, m := range ms {
			for _, n := range s.names {
				s.net.SetLink(m, n, standin.Refuse)
			}
		}
		jobs := s.pick(3)
		s.together(jobs)
		time.Sleep(3 * time.Second)
		before := s.term()
		s.restart(s.leader(), time.Second)
		s.takenOver(before)
		time.Sleep(limits.Seconds(leaseS + 5))
		s.reach(ms, standin.Open, standin.Open)
		s.met(s.told(jobs) == 3, "cancellations")
	}},
	{"jobs bound to one zone, arrays too, lose machines", func(s *service) {
		s.warm(4, func(sp *protocol.Spec) {
			sp.EstimateS, sp.SameZone, sp.Tasks = 20, s.seq%2 == 0, 5
			if s.seq%2 == 1 {
				sp.Zone = "b"
			}
		})
		for i := range 4 {
			for _, m := range s.some(2) {
				if i%2 == 0 {
					s.cloud.Kill(m)
				} else {
					s.cloud.Hang(m, 25*time.Second)
				}
			}
			time.Sleep(12 * time.Second)
		}
	}},
	{"users repeat submissions, cancel what is done, and send what can't run or lacks a field, also in an outage", func(s *service) {
		s.warm(4, nil)
		time.Sleep(25 * time.Second)
		good := protocol.Spec{ID: "job-900000", Class: "x", Team: "red", Shape: "sweep", Priority: "low", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 1}
		odd := func() {
			for name := range submission(s.t, good) {
				m := submission(s.t, good)
				delete(m, name)
				if status, _ := s.call(s.names[0], "POST", "/v2/runs", protocol.Encode(m), 5*time.Second); status != 400 {
					s.t.Errorf("without %s: %d", name, status)
				}
			}
			for what, v := range map[string]any{"Vcpus": 99.0, "Crew": "nobody", "Yard": "z"} {
				m := submission(s.t, good)
				m[what] = v
				// Whether it was accepted before cannot be told in an outage.
				if status, _ := s.call(s.names[1], "POST", "/v2/runs", protocol.Encode(m), 5*time.Second); status != 422 && !(s.state.Unavailable() && status == 503) {
					s.t.Errorf("%s %v: %d", what, v, status)
				}
			}
			if status, _ := s.call(s.names[2], "GET", "/v2/runs/job-900000", nil, 2*time.Second); status != 404 && !(s.state.Unavailable() && status == 503) {
				s.t.Errorf("a job that nobody submitted: %d", status)
			}
		}
		odd()
		for _, j := range s.known() {
			s.poll(j)
		}
		time.Sleep(time.Second)
		for _, j := range s.known() {
			s.cancel(j)
		}
		s.state.SetUnavailable(true)
		time.Sleep(2 * time.Second)
		odd()
		s.state.SetUnavailable(false)
	}},
}

// TestMeetings plays each meeting of troubles, with fixed seeds. QUILLSHUNT_RANDOM=n plays n random
// seeds of each.
func TestMeetings(t *testing.T) {
	seeds := []uint64{1}
	if n, err := strconv.Atoi(os.Getenv("QUILLSHUNT_RANDOM")); err == nil {
		seeds = nil
		for range n {
			seeds = append(seeds, rand.Uint64()%1e6)
		}
	}
	for _, m := range slices.Concat(meetings, gangMeetings) {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%s/%d", m.name, seed), func(t *testing.T) {
				t.Parallel()
				play(t, seed, func(s *service) {
					m.day(s)
					s.calm()
				})
			})
		}
	}
}
