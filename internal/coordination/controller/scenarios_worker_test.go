package controller

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"time"
)

// workerMeetings are troubles of machines and of the ways to them.
var workerMeetings = []meeting{
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
}
