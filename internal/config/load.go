package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"quillshunt/internal/limits"
)

// Load reads and checks the file at path.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse reads and checks settings. The error names the field at fault.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(b, &s); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("settings: %s: must be %s, got %s", te.Field, te.Type, te.Value)
		}
		return nil, fmt.Errorf("settings: not JSON: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s.Facts.State = s.Facts.State.Lowest()
	return &s, nil
}

// Warnings tells, a line each, what a controller can run with, but hardly serve with.
func (s *Settings) Warnings() []string {
	var out []string
	m := s.Facts.Machine
	if m.MemoryMB < limits.LowMemoryMB {
		out = append(out, fmt.Sprintf("facts.machine_limits.memory_mb: %v is little; a leader of a few machines needs %v", m.MemoryMB, limits.LowMemoryMB))
	}
	if m.CoreShare > 0 && m.CoreShare < limits.LowCoreShare {
		out = append(out, fmt.Sprintf("facts.machine_limits.core_share: %v is little; a leader of a few machines needs %v", m.CoreShare, limits.LowCoreShare))
	}
	return out
}
