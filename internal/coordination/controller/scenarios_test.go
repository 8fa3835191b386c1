package controller

import (
	"fmt"
	"math/rand/v2"
	"os"
	"quillshunt/internal/protocol"
	"slices"
	"strconv"
	"testing"
	"time"
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
	for _, m := range slices.Concat(meetings, cancellationMeetings, failoverMeetings, workerMeetings, gangMeetings) {
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
