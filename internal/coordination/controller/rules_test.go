package controller

import (
	"fmt"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"slices"
	"time"
)

func (s *service) fault(format string, args ...any) {
	s.log.Error("RULE BROKEN: " + fmt.Sprintf(format, args...))
	s.faults = append(s.faults, fmt.Sprintf("%v: ", s.now())+fmt.Sprintf(format, args...))
}

// watch is told by the workers what begins and ends to run.
func (s *service) watch(rig, piece string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[owner(piece)]
	if !on {
		if s.runs[piece] == rig {
			delete(s.runs, piece)
		}
		return
	}
	s.starts++
	if other, ok := s.runs[piece]; ok && other != rig {
		s.fault("ran_twice: %s starts on %s while on %s", piece, rig, other)
	}
	if j == nil {
		s.fault("invented: %s", piece)
		return
	}
	s.runs[piece] = rig
	if !j.told.IsZero() && time.Since(j.told) > limits.Seconds(cancelS) {
		s.fault("ran_cancelled: %s starts on %s %v after the word to the user", piece, rig, time.Since(j.told))
	}
	if j.spec.SameZone {
		for p, on := range s.runs {
			if owner(p) == j.spec.ID && s.cloud.Zone(on) != s.cloud.Zone(rig) && s.cloud.Zone(on) != "" && s.cloud.Zone(rig) != "" {
				s.fault("wrong_place: %s in %s, %s in %s", piece, s.cloud.Zone(rig), p, s.cloud.Zone(on))
			}
		}
	}
	for _, team := range teams {
		if used := s.used(team.Name); used > team.CPUsMax {
			s.fault("quota: %s uses %v", team.Name, used)
		}
	}
}

// owner is the id of a task's job.
func owner(piece string) string {
	id, _, _ := protocol.ParseTaskName(piece)
	return id
}

// used is what a team's tasks use; the caller has the lock.
func (s *service) used(team string) (cpus float64) {
	for p := range s.runs {
		if sp := s.jobs[owner(p)].spec; sp.Team == team {
			cpus += sp.CPUs
		}
	}
	return cpus
}

// inspect looks at what only time breaks.
func (s *service) inspect() {
	for s.ctx.Err() == nil {
		late := map[string]string{}
		s.mu.Lock()
		entitled := ""
		for name, p := range s.nodes {
			if p.c.dispatcher.Entitled() {
				if entitled != "" {
					s.fault("%s and %s are entitled at once", entitled, name)
				}
				entitled = name
			}
		}
		for piece, rig := range s.runs {
			if j := s.jobs[owner(piece)]; !j.told.IsZero() && time.Since(j.told) > limits.Seconds(cancelS) {
				late[piece] = rig
			}
		}
		s.mu.Unlock()
		for piece, rig := range late {
			if !s.cloud.LeaseExpired(rig) {
				s.mu.Lock()
				s.fault("ran_cancelled: %s is on %s longer than cancel_s after the word to the user", piece, rig)
				delete(s.runs, piece)
				s.mu.Unlock()
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// hear takes what a user was told about a job, and checks it against what was told before.
func (s *service) hear(j *job, status int, standing string, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := j.spec.ID
	switch {
	case status == 404 && !j.accepted.IsZero() && sent.After(j.accepted):
		s.fault("forgotten: %s", id)
		return
	case (status == 400 || status == 422) && !j.accepted.IsZero():
		s.fault("forgotten: %s: submission answered %d", id, status)
		return
	case status != 200 && status != 201:
		return
	}
	if j.accepted.IsZero() {
		j.accepted = time.Now()
	}
	if j.said != "" && standing != j.said && sent.After(j.told) {
		s.fault("went_back: %s was %s, is %s", id, j.said, standing)
	}
	switch standing {
	case protocol.JobAborted:
		if j.asked.IsZero() {
			s.fault("went_back: %s is cancelled, which nobody asked for", id)
		}
		if j.said == "" {
			j.said, j.told = standing, time.Now()
		}
	case protocol.JobDone:
		if j.said == "" {
			j.said = standing // told stays zero: only cancelled jobs have a time to be gone by
			for i := range j.spec.Tasks {
				if !s.cloud.TaskDone(fmt.Sprintf("%s/%d", id, i)) {
					s.fault("not_done: %s/%d", id, i)
				}
			}
		}
	}
}

// machines are the names of those that run tasks of a job, or of any.
func (s *service) machines(of *job) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for p, rig := range s.runs {
		if (of == nil || owner(p) == of.spec.ID) && !slices.Contains(out, rig) {
			out = append(out, rig)
		}
	}
	slices.Sort(out)
	return out
}

// some are at most n machines that run tasks.
func (s *service) some(n int) []string {
	all := s.machines(nil)
	return all[:min(n, len(all)):min(n, len(all))]
}

// on is how many tasks of the jobs are on machines.
func (s *service) on(jobs ...*job) int {
	n := 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.runs {
		if slices.ContainsFunc(jobs, func(j *job) bool { return j.spec.ID == owner(p) }) {
			n++
		}
	}
	return n
}
