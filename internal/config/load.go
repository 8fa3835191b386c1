package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"quillshunt/internal/limits"
)

// Load reads and checks the settings file at path.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(b)
}

// Parse decodes and checks settings. Its error is a single line and names the invalid field if the
// text is valid JSON.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(b, &s); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return nil, fmt.Errorf("settings: %s: must be %s, got %s", typeErr.Field, typeErr.Type, typeErr.Value)
		}
		return nil, fmt.Errorf("settings: invalid JSON: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s.Deployment.State = s.Deployment.State.LowerOfCurrentAndNext()
	return &s, nil
}

// Warnings returns one line for each setting with which a controller starts although it cannot do all that
// is expected of it: a machine limit that is too low for the leader, or a time limit for cancelled tasks
// that is below the worker lease.
func (s *Settings) Warnings() []string {
	var lines []string
	warnLow := func(field string, v, recommended float64) {
		lines = append(lines, fmt.Sprintf(
			"facts.machine_limits.%s: %v is low; the leader of a small cluster needs at least %v",
			field, v, recommended))
	}
	m := s.Deployment.MachineLimits
	if m.MemoryMB < limits.LowMemoryMB {
		warnLow("memory_mb", m.MemoryMB, limits.LowMemoryMB)
	}
	if m.CoreShare > 0 && m.CoreShare < limits.LowCoreShare {
		warnLow("core_share", m.CoreShare, limits.LowCoreShare)
	}
	lines = append(lines, s.heartbeatWarnings()...)
	w := s.Deployment.Workers
	if needed := limits.LeaseExpiredAfter(limits.Seconds(w.LeaseS)); limits.Seconds(w.CancelWithinS) < needed {
		lines = append(lines, fmt.Sprintf(
			"facts.workers.cancel_s: %v is too short for the lease_s of %v: on a machine that is cut off, tasks of a "+
				"cancelled job may run for longer; a cancel_s of %.2f would do",
			w.CancelWithinS, w.LeaseS, needed.Seconds()))
	}
	return lines
}

// heartbeatWarnings returns a warning if the leader's share of a core is small for the heartbeats of as many machines
// as its sockets allow.
func (s *Settings) heartbeatWarnings() []string {
	m, interval := s.Deployment.MachineLimits, s.Deployment.Workers.HeartbeatIntervalS
	if m.CoreShare <= 0 || interval <= 0 {
		return nil
	}
	machines := limits.DivideSockets(m.MaxSockets, len(s.Members)).MaxMachines
	supported := limits.Whole(m.CoreShare*limits.MaxHeartbeatsPerCore*interval, machines)
	if machines <= supported {
		return nil
	}
	return []string{fmt.Sprintf(
		"facts.machine_limits.core_share: %v is enough for the heartbeats of about %d machines, and max_sockets of %d "+
			"allows %d; with more than the core_share is enough for, users and machines wait",
		m.CoreShare, supported, m.MaxSockets, machines)}
}
