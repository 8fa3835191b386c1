// Command beat plays a case of ran_twice: a leader that was replaced becomes entitled again, because it
// takes the heartbeat record of its successor for its own.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/review/testdata/rig"
)

const (
	job      = "job-000001" // its task is on the machine beside the old leader
	otherJob = "job-000002" // short; another machine is rented for it
	slow     = 700 * time.Millisecond
)

// script is the course of the trouble, as the state service sees it.
type script struct {
	d   *rig.Deployment
	old string // the leader at the beginning

	mu        sync.Mutex
	stage     int
	withdrawn map[string]bool
	successor string
	changed   chan struct{} // closed at each change of the stage
}

const (
	calm      = iota
	isolated  // the old leader loses the other controllers
	written   // its heartbeat record is written, the answer is lost, the state service is cut off from it
	replacing // a majority has withdrawn; the state service is reachable again, and slow
	refused   // the old leader has learned that its heartbeat record had been written
	replaced  // the successor has the leader key
)

func (s *script) setStage(n int) {
	s.stage = n
	close(s.changed)
	s.changed = make(chan struct{})
	s.d.Record.Logf("stage %d", n)
}

func (s *script) get() (int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stage, s.changed
}

// hold waits while the stage is below n, but not longer than the limit.
func (s *script) hold(n int, limit time.Duration) {
	end := time.After(limit)
	for {
		stage, changed := s.get()
		if stage >= n {
			return
		}
		select {
		case <-changed:
		case <-end:
			return
		}
	}
}

// before delays requests to the state service while it is slow.
func (s *script) before(r *rig.Request) {
	stage, _ := s.get()
	if stage == written && r.Writes("let/") != "" {
		s.mu.Lock()
		s.withdrawn[r.Caller] = true
		if len(s.withdrawn) == 2 && s.stage == written {
			s.d.State.Gates[s.old].SetCut(false)
			s.d.Record.Logf("TROUBLE network between %s and the state service cut: false; the state service is slow", s.old)
			s.setStage(replacing)
		}
		s.mu.Unlock()
		stage, _ = s.get()
	}
	switch {
	case stage == replacing && r.Caller != s.old:
		s.hold(refused, slow)
	case stage == refused && r.Caller == s.old && r.Path == "/kv/beat":
		s.d.Record.Logf("state: %s asks for beat", s.old)
		s.hold(replaced, slow)
	}
}

// after loses the answer to the old leader's heartbeat record, and follows the replacement.
func (s *script) after(r *rig.Request, status int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stage == isolated && r.Caller == s.old && r.Writes("beat") != "" && status == 200:
		s.d.Record.Logf("TROUBLE answer lost; network between %s and the state service cut: true", s.old)
		s.d.State.Gates[s.old].SetCut(true)
		s.setStage(written)
		return false
	case s.stage == replacing && r.Caller == s.old && r.Writes("beat") != "" && status == 409:
		s.setStage(refused)
	case s.stage >= written && r.Caller != s.old && r.Writes("leader") != "" && status == 200:
		if s.stage == refused {
			s.successor = r.Caller
			s.setStage(replaced)
		} else {
			s.d.Record.Logf("the leader was replaced at another moment; no case")
			s.successor = r.Caller
		}
	}
	return true
}

func main() {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println("not run:", err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := rig.NewDeployment(record)
	if err != nil {
		fmt.Println("not run:", err)
		os.Exit(2)
	}
	if !rig.Await(20*time.Second, func() bool { n, _ := d.Leader(); return n != "" }) {
		d.Unable("no leader")
	}
	old, term := d.Leader()
	others := d.Others(old)
	s := &script{d: d, old: old, withdrawn: map[string]bool{}, changed: make(chan struct{})}
	d.State.Before, d.State.After = s.before, s.after
	d.Cloud.After = func(caller, _, path string, status int) {
		if stage, _ := s.get(); stage == replaced && caller == s.successor && path == "/machine_types" && status == 200 {
			d.Cloud.SetOutage(true)
		}
	}
	time.Sleep(time.Second)

	// One machine beside the leader runs the task, another one elsewhere has room for it.
	d.Cloud.SetCapacity(d.Zones[old], 1)
	spec := protocol.Spec{
		ID: job, Class: "roll-merge", Team: "rolls-team", Shape: protocol.ShapeArray, Priority: "standard",
		Tasks: 1, CPUs: 4, MemoryGB: 8, Image: "rolls", ImageGB: 0.1, EstimateS: 300,
	}
	if !d.Submit(old, spec) || !rig.Await(30*time.Second, func() bool { return len(d.Fleet.On(job+"/0")) == 1 }) {
		d.Unable("first task not started")
	}
	d.Cloud.SetCapacity(d.Zones[others[0]], 1)
	spec.ID, spec.CPUs, spec.Zone, spec.EstimateS = otherJob, 3, d.Zones[others[0]], 3
	if !d.Submit(old, spec) || !rig.Await(40*time.Second, func() bool { return len(d.Fleet.On(otherJob+"/0")) == 1 }) {
		d.Unable("second task not started")
	}
	near, far := d.Fleet.Find(d.Fleet.On(job + "/0")[0]), d.Fleet.Find(d.Fleet.On(otherJob + "/0")[0])
	if !rig.Await(20*time.Second, func() bool { return d.State.Get("final/"+otherJob).Version != 0 }) {
		d.Unable("second job not done")
	}
	time.Sleep(2 * time.Second)
	if now, t := d.Leader(); now != old || t != term {
		d.Unable("the leader has changed before the trouble")
	}
	if !trouble {
		time.Sleep(60 * time.Second)
		d.Finish()
	}

	// The leader and the machine beside it lose the other controllers, the other machine loses the leader.
	s.mu.Lock()
	s.setStage(isolated)
	s.mu.Unlock()
	for _, other := range others {
		d.CutPeers(old, other, true)
	}
	near.CutFrom(true, others...)
	near.CutDirect(true)
	far.CutFrom(true, old)
	if !rig.Await(40*time.Second, func() bool { stage, _ := s.get(); return stage == replaced || s.successor != "" }) {
		d.Unable("the leader was not replaced")
	}
	if stage, _ := s.get(); stage != replaced {
		d.Unable("the leader was replaced at another moment")
	}
	// The controllers reach each other again. The cloud has an outage since the successor has read the
	// machine types.
	for _, other := range others {
		d.CutPeers(old, other, false)
	}
	end := time.Now().Add(45 * time.Second)
	for time.Now().Before(end) && len(d.Fleet.Broken()) == 0 && record.Since() < 112*time.Second {
		time.Sleep(100 * time.Millisecond)
	}
	d.Finish()
}
