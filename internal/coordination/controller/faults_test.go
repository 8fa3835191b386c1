package controller

import (
	"quillshunt/internal/standin"
	"quillshunt/internal/transport"
	"time"
)

// trouble is the cloud's status in place of an answer, or 0.
func (s *service) trouble(req *transport.Message) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stuck && req.Path == "/rentals/delete" {
		return 503
	}
	return 0
}

// noDeletions makes the cloud delete nothing for a while.
func (s *service) noDeletions(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuck = on
}

// reach cuts the ways between controllers and machines, in one direction each.
func (s *service) reach(machines []string, to, from standin.LinkState) {
	for _, m := range machines {
		for _, n := range s.names {
			s.net.SetLink(n, m, to)
			s.net.SetLink(m, n, from)
		}
	}
}

// outage is one of the state service, for all.
func (s *service) outage(d time.Duration) {
	s.state.SetUnavailable(true)
	time.Sleep(d)
	s.state.SetUnavailable(false)
}

// apart cuts a controller from the others, both ways.
func (s *service) apart(node string, cut standin.LinkState) {
	for _, n := range s.names {
		if n != node {
			s.net.SetLinkBothWays(n, node, cut)
		}
	}
}
