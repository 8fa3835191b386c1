package controller

import (
	"fmt"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
)

// asGang makes a job a gang of four tasks in one zone, that fills two machines.
func asGang(sp *protocol.Spec) {
	sp.Shape, sp.Tasks, sp.CPUs, sp.SameZone, sp.EstimateS, sp.CheckpointS, sp.SaveS = protocol.ShapeGang, 4, 4, true, 30, 10, 2
}

// seen waits until a job shows some number of tasks on machines.
func (s *service) seen(j *job, tasks int) bool {
	for range 400 {
		if s.on(j) == tasks {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// stored brings in a job as an earlier version has stored it, perhaps larger than a value may be later.
func (s *service) stored(change func(*protocol.Spec)) *job {
	s.mu.Lock()
	s.seq++
	j := &job{accepted: time.Now(), spec: protocol.Spec{ID: fmt.Sprintf("job-%06d", s.seq), Class: "x", Team: "red", Shape: protocol.ShapeArray,
		Priority: "standard", Tasks: 2, CPUs: 1, MemoryGB: 1, Spot: true, Image: "i", EstimateS: 15}}
	change(&j.spec)
	s.jobs[j.spec.ID] = j
	s.mu.Unlock()
	record := protocol.Encode(storage.OpenJob{Spec: j.spec, SubmittedAtMs: time.Now().UnixMilli()})
	s.state.CompareAndSwap(protocol.Transaction{Operations: []protocol.Operation{{Put: storage.OpenJobKey(j.spec.ID), Value: record}}})
	return j
}

// gangMeetings are troubles that meet gangs: a change of leaders in each state of a gang, lost and
// silent machines, late commands.
var gangMeetings = []meeting{
	{"a leader ends while a gang gathers, as one machine was not reached", func(s *service) {
		s.warm(4, long)
		lead, before := s.leader(), s.term()
		held := s.cloud.Machines()[0]
		s.net.SetLink(lead, held, standin.Delay)
		s.net.SetLink(held, lead, standin.Delay)
		gangs := []*job{s.submit(asGang), s.submit(asGang), s.submit(asGang)}
		time.Sleep(3 * time.Second)
		s.stop(lead)
		s.takenOver(before)
		s.net.SetLink(lead, held, standin.Open)
		s.net.SetLink(held, lead, standin.Open)
		for _, g := range gangs {
			s.met(s.seen(g, 4), "a gang that runs under the new leader")
		}
		s.start(lead)
	}},
	{"a leader ends while a gang is being stopped for urgent work", func(s *service) {
		s.warm(2, nil)
		gangs := []*job{}
		for range 4 {
			gangs = append(gangs, s.submit(func(sp *protocol.Spec) { asGang(sp); sp.Team, sp.Priority, sp.EstimateS = "red", "low", 60 }))
		}
		s.met(s.seen(gangs[0], 4), "a gang that runs")
		lead, before := s.leader(), s.term()
		s.submit(func(sp *protocol.Spec) {
			sp.Team, sp.Priority, sp.Tasks, sp.CPUs, sp.EstimateS, sp.DeadlineS = "red", "production", 4, 8, 15, 17
		})
		time.Sleep(500 * time.Millisecond)
		s.stop(lead)
		s.takenOver(before)
		s.start(lead)
		time.Sleep(30 * time.Second)
	}},
	{"a gang's machine is silent for longer than its lease, and the leader changes meanwhile", func(s *service) {
		s.warm(2, nil)
		g := s.submit(asGang)
		s.met(s.seen(g, 4), "a gang that runs")
		lost := s.machines(g)[:1]
		s.reach(lost, standin.Delay, standin.Delay)
		time.Sleep(2 * time.Second)
		before := s.term()
		s.restart(s.leader(), 3*time.Second)
		s.takenOver(before)
		time.Sleep(limits.Seconds(leaseS + 4))
		s.reach(lost, standin.Open, standin.Open)
	}},
	{"machines with gangs hang, die, and are replaced, again and again", func(s *service) {
		s.warm(2, nil)
		for i := range 6 {
			g := s.submit(asGang)
			s.met(s.seen(g, 4), "a gang that runs")
			ms := s.machines(g)
			if i%2 == 0 {
				s.cloud.Kill(ms[0])
			} else {
				s.cloud.Hang(ms[0], time.Duration(4+4*i)*time.Second)
			}
			time.Sleep(5 * time.Second)
		}
	}},
	{"starts of a gang are held up, the gang is cancelled, and the starts arrive", func(s *service) {
		s.warm(4, long)
		all := s.cloud.Machines()
		for _, m := range all[:len(all)/2] {
			s.net.SetLink(s.leader(), m, standin.Delay)
		}
		g := s.submit(asGang)
		time.Sleep(2 * time.Second)
		s.met(s.cancel(g), "a cancellation")
		time.Sleep(4 * time.Second)
		for _, m := range all {
			s.net.SetLink(s.leader(), m, standin.Open)
		}
		time.Sleep(limits.Seconds(cancelS))
		s.met(s.on(g) == 0, "nothing of the gang")
	}},
	{"old reports of gangs arrive after newer ones, with leaders that change", func(s *service) {
		s.warm(2, nil)
		s.cloud.SetRepeatedHeartbeats(func(string) (time.Duration, bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			return time.Duration(2000+s.r.IntN(30000)) * time.Millisecond, s.r.Float64() < 0.4
		})
		for range 4 {
			g := s.submit(asGang)
			s.met(s.seen(g, 4), "a gang that runs")
			s.cloud.Kill(s.machines(g)[0])
			time.Sleep(4 * time.Second)
			s.restart(s.leader(), 500*time.Millisecond)
		}
		s.cloud.SetRepeatedHeartbeats(nil)
	}},
	{"two gangs each need the room that the other may have, and the team's limit holds one", func(s *service) {
		s.warm(1, nil)
		large := func(sp *protocol.Spec) { asGang(sp); sp.Team, sp.Tasks, sp.EstimateS = "red", 5, 10 }
		a, b := s.submit(large), s.submit(large) // 20 CPUs each, of 32
		s.met(s.seen(a, 5) || s.seen(b, 5), "one of them runs")
		time.Sleep(60 * time.Second)
	}},
	{"the limits of the state service fall while leaders change; a record that was stored before can still be cancelled", func(s *service) {
		s.warm(4, nil)
		large := s.stored(func(sp *protocol.Spec) {
			for range 100 {
				sp.MachineTypes = append(sp.MachineTypes, "another-type-with-a-long-name")
			}
			sp.MachineTypes[0], sp.EstimateS = "c8", 200
		})
		s.met(s.seen(large, large.spec.Tasks), "the large job runs")
		s.state.SetLimits(standin.StateLimits{ValueBytes: int(nextValueKB * 1024), TxnOps: nextTxnOps})
		s.crowd(40*time.Second, 3*time.Second, asGang)
		for range 3 {
			s.restart(s.leader(), time.Second)
			time.Sleep(8 * time.Second)
		}
		s.met(s.cancel(large), "a cancellation")
		time.Sleep(20 * time.Second)
		s.met(s.state.OversizedTransactions() == 0, "no transaction over the limits: %d", s.state.OversizedTransactions())
	}},
	{"the state service is down while gangs run, lose a machine and start again", func(s *service) {
		s.warm(2, nil)
		g := s.submit(asGang)
		s.met(s.seen(g, 4), "a gang that runs")
		s.state.SetUnavailable(true)
		s.cloud.Kill(s.machines(g)[0])
		time.Sleep(25 * time.Second)
		s.state.SetUnavailable(false)
	}},
}
