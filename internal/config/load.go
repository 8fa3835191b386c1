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
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse reads and checks settings. The error is one line that names the field at fault.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(b, &s); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return nil, fmt.Errorf("settings: %s: must be %s, got %s", typeErr.Field, typeErr.Type, typeErr.Value)
		}
		return nil, fmt.Errorf("settings: not JSON: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s.Deployment.State = s.Deployment.State.Lowest()
	return &s, nil
}

// Warnings returns a line for each setting that a controller can run with, but hardly serve with.
func (s *Settings) Warnings() []string {
	var lines []string
	warnLow := func(field string, v, recommended float64) {
		lines = append(lines, fmt.Sprintf("facts.machine_limits.%s: %v is little; a leader of a few machines needs %v",
			field, v, recommended))
	}
	m := s.Deployment.MachineLimits
	if m.MemoryMB < limits.LowMemoryMB {
		warnLow("memory_mb", m.MemoryMB, limits.LowMemoryMB)
	}
	if m.CoreShare > 0 && m.CoreShare < limits.LowCoreShare {
		warnLow("core_share", m.CoreShare, limits.LowCoreShare)
	}
	return lines
}
