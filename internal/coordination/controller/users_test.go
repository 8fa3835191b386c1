package controller

import (
	"context"
	"fmt"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
	"slices"
	"testing"
	"time"
)

type job struct {
	spec     protocol.Spec
	accepted time.Time
	asked    time.Time // first cancellation asked for
	told     time.Time // that it is cancelled
	said     string    // last final standing that the user was told
}

func (s *service) spec(id string) (protocol.Spec, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil {
		return protocol.Spec{}, false
	}
	return j.spec, true
}

// request makes one user's request at a controller, over a connection of its own.
func (s *service) request(node, method, target string, body []byte, limit time.Duration) (*transport.Message, error) {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	return transport.NewClient(node+":8080", 0, limits.MaxBodyBytes).WithDialer(s.net.Dialer("users")).Do(ctx, method, target, body)
}

// call makes one user's request at a controller; status 0 is no answer.
func (s *service) call(node, method, target string, body []byte, limit time.Duration) (int, string) {
	m, err := s.request(node, method, target, body, limit)
	if err != nil {
		return 0, ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var st protocol.JobStatus
	if m.Status < 300 && len(m.Body) > 0 {
		if err := protocol.Decode(m.Body, &st); err != nil {
			s.fault("%s %s: %v", method, target, err)
		}
	}
	return m.Status, st.State
}

// sendsAway tells whether a controller refuses a question and ends the connection, so that the
// user's next try comes to another.
func (s *service) sendsAway(node string, j *job) bool {
	m, err := s.request(node, "GET", "/v2/runs/"+j.spec.ID, nil, 2*time.Second)
	return err == nil && m.Status == 503 && m.RetryAfter > 0 && m.Close
}

// submit brings in a job and waits until it is accepted, as a user does.
func (s *service) submit(change func(*protocol.Spec)) *job {
	s.mu.Lock()
	s.seq++
	j := &job{spec: protocol.Spec{ID: fmt.Sprintf("job-%06d", s.seq), Class: "x", Team: teams[s.seq%2].Name, Shape: "sweep",
		Priority: []string{"low", "standard", "high"}[s.seq%3], Tasks: 3, CPUs: 2, MemoryGB: 1, Spot: true, Image: "i", ImageGB: 0, EstimateS: 15}}
	if change != nil {
		change(&j.spec)
	}
	s.jobs[j.spec.ID] = j
	s.mu.Unlock()
	body := protocol.Encode(submission(s.t, j.spec))
	s.until(60*time.Second, s.names, func(node string) bool {
		sent := time.Now()
		status, standing := s.call(node, "POST", "/v2/runs", body, 5*time.Second)
		s.hear(j, status, standing, sent)
		return status == 200 || status == 201
	})
	return j
}

// submission is a job as a user sends it: what may be left out and is not set, is.
func submission(t *testing.T, spec protocol.Spec) map[string]any {
	m := map[string]any{}
	if err := protocol.Decode(protocol.Encode(spec), &m); err != nil {
		t.Fatal(err)
	}
	for name, set := range map[string]bool{"Rigkinds": len(spec.MachineTypes) > 0, "Yard": spec.Zone != "", "DueS": spec.DeadlineS > 0} {
		if !set {
			delete(m, name)
		}
	}
	return m
}

// until tries at one healthy controller after the other, as a load balancer spreads a user's requests.
func (s *service) until(limit time.Duration, nodes []string, try func(node string) bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		s.mu.Lock()
		node := nodes[s.r.IntN(len(nodes))]
		s.mu.Unlock()
		if status, _ := s.call(node, "GET", "/healthz", nil, time.Second); status == 200 && try(node) {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// cancel calls a job off, at the controllers named or at all of them, until the user is told what
// became of it.
func (s *service) cancel(j *job, nodes ...string) bool {
	if len(nodes) == 0 {
		nodes = s.names
	}
	return s.until(60*time.Second, nodes, func(node string) bool { return s.ask(j, node) })
}

// ask asks one controller once to cancel a job, and tells whether its user got an answer.
func (s *service) ask(j *job, node string) bool {
	s.mu.Lock()
	if j.asked.IsZero() {
		j.asked = time.Now()
	}
	s.mu.Unlock()
	sent := time.Now()
	status, standing := s.call(node, "POST", "/v2/runs/"+j.spec.ID+"/cancel", nil, 5*time.Second)
	s.hear(j, status, standing, sent)
	return status == 200
}

// poll asks about a job at every controller, all at the same moment.
func (s *service) poll(j *job) {
	for _, node := range s.names {
		s.users.Go(func() {
			sent := time.Now()
			status, standing := s.call(node, "GET", "/v2/runs/"+j.spec.ID, nil, 2*time.Second)
			s.hear(j, status, standing, sent)
		})
	}
}

// crowd goes on asking about all jobs until the time is over, and submits one now and then.
func (s *service) crowd(d time.Duration, every time.Duration, change func(*protocol.Spec)) {
	s.users.Go(func() {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(every) {
			s.users.Go(func() { s.submit(change) })
			for _, j := range s.known() {
				s.poll(j)
			}
		}
	})
}

// known are the jobs that were accepted.
func (s *service) known() []*job {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*job
	for _, j := range s.jobs {
		if !j.accepted.IsZero() {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return int(a.accepted.Sub(b.accepted)) })
	return out
}

// running are the jobs of which a task runs, in the order in which they were accepted.
func (s *service) running() []*job {
	s.mu.Lock()
	on := map[string]bool{}
	for p := range s.runs {
		on[owner(p)] = true
	}
	s.mu.Unlock()
	return slices.DeleteFunc(s.known(), func(j *job) bool { return !on[j.spec.ID] || !j.asked.IsZero() })
}

// pick waits until so many jobs run, and returns them.
func (s *service) pick(n int) []*job {
	for range 60 {
		if jobs := s.running(); len(jobs) >= n {
			return jobs[:n:n]
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.t.Fatalf("fewer than %d jobs run", n)
	return nil
}

// warm waits until there are machines at work.
func (s *service) warm(jobs int, change func(*protocol.Spec)) {
	s.leader()
	for range jobs {
		s.submit(change)
	}
	for range 60 {
		time.Sleep(time.Second)
		s.mu.Lock()
		n := len(s.runs)
		s.mu.Unlock()
		if n >= jobs {
			return
		}
	}
	s.t.Error("the fleet does not come up")
}

// waits tells whether a job that is not over has no task on a machine although its team is under
// its limit.
func (s *service) waits(j *job) bool {
	if s.on(j) > 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, team := range teams {
		if team.Name == j.spec.Team && s.used(team.Name)+j.spec.CPUs > team.CPUsMax {
			return false
		}
	}
	return j.said == "" && j.asked.IsZero()
}

// calm ends a day: with all troubles over, every job that was not cancelled gets done and is told
// to be, and the cancelled ones stay so. None waits for long that could run.
func (s *service) calm() {
	deadline := time.Now().Add(4 * time.Minute)
	since := map[*job]time.Time{}
	for time.Now().Before(deadline) {
		for _, j := range s.known() {
			if !s.waits(j) {
				delete(since, j)
			} else if since[j].IsZero() {
				since[j] = time.Now()
			} else if time.Since(since[j]) > 90*time.Second {
				s.mu.Lock()
				s.fault("%s waits for 90 s", j.spec.ID)
				s.mu.Unlock()
				since[j] = time.Now()
			}
		}
		open := 0
		for _, j := range s.known() {
			s.mu.Lock()
			over := j.said != ""
			s.mu.Unlock()
			if !over {
				open++
				s.poll(j)
			}
		}
		if open == 0 {
			break
		}
		time.Sleep(3 * time.Second)
	}
	for _, j := range s.known() {
		s.poll(j)
	}
	s.users.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if !j.accepted.IsZero() && j.said == "" {
			s.fault("%s is not over four minutes after the last trouble (cancellation asked: %v)", j.spec.ID, !j.asked.IsZero())
		}
	}
}

// together cancels jobs at the same moment, each at its own user.
func (s *service) together(jobs []*job) {
	for _, j := range jobs {
		s.users.Go(func() { s.cancel(j) })
	}
}

// told is how many of the jobs' users were told that they are cancelled.
func (s *service) told(jobs []*job) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, j := range jobs {
		if j.said == protocol.JobAborted {
			n++
		}
	}
	return n
}
