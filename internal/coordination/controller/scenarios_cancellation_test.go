package controller

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"time"
)

// cancellationMeetings are troubles that meet cancellations.
var cancellationMeetings = []meeting{
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
}
