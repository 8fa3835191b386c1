// Package config reads and checks the settings file that the platform hands over.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"

	"quillshunt/internal/limits"
)

// Settings are a controller's settings. Fields we do not know are ignored.
type Settings struct {
	NodeName     string   `json:"node_name"`
	Zone         string   `json:"zone"`
	ClientListen string   `json:"client_listen"`
	PeerBind     string   `json:"peer_bind"`
	Members      []Member `json:"members"`
	External     External `json:"external"`
	Facts        Facts    `json:"facts"`
}

// Member is another controller.
type Member struct {
	NodeName string `json:"node_name"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
}

// External names the services that we depend on.
type External struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Facts describe the deployment.
type Facts struct {
	InitialSize int           `json:"initial_size"`
	Zones       []string      `json:"zones"`
	Teams       []Team        `json:"teams"`
	Objectives  []Objective   `json:"objectives"`
	Workers     Workers       `json:"workers"`
	State       State         `json:"state"`
	Cloud       Cloud         `json:"cloud"`
	Machine     MachineLimits `json:"machine_limits"`
	SkewMs      float64       `json:"skew_ms"`
}

// Team has a guarantee and a limit. Zero means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is an aim for a class of jobs.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
}

// Workers are the times that workers keep. A deployment without the two times of gangs has no gangs.
type Workers struct {
	ReportS   float64  `json:"report_s"`
	LeaseS    float64  `json:"lease_s"`
	CancelS   float64  `json:"cancel_s"`
	GangWaitS *float64 `json:"gang_wait_s"` // how long a gang's task waits for the others
	GangPeerS *float64 `json:"gang_peer_s"` // how long the other tasks take to notice that one is gone or was told to stop
}

// Gangs tells whether the workers of the deployment know gangs.
func (w *Workers) Gangs() bool { return w.GangWaitS != nil && w.GangPeerS != nil }

// State are the limits of the state service.
type State struct {
	RPS      float64    `json:"rps"`
	WriteRPS float64    `json:"write_rps"`
	ValueKB  float64    `json:"value_kb"`
	TxnOps   int        `json:"txn_ops"`
	Next     *NextState `json:"next"`
}

// NextState are the limits that the state service will have from an unknown moment on. What is
// missing stays as it is.
type NextState struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Lowest returns the limits that hold both now and after the announced change: for each limit the
// lower one. All requests keep to these from the start, so that the moment of the change does not
// matter.
func (s State) Lowest() State {
	if s.Next == nil {
		return s
	}
	lower(&s.RPS, s.Next.RPS)
	lower(&s.WriteRPS, s.Next.WriteRPS)
	lower(&s.ValueKB, s.Next.ValueKB)
	lower(&s.TxnOps, s.Next.TxnOps)
	s.Next = nil
	return s
}

func lower[T int | float64](limit, next *T) {
	if next != nil {
		*limit = min(*limit, *next)
	}
}

// Cloud are the limits of the cloud.
type Cloud struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// MachineLimits are the limits of the machine that a controller runs on.
type MachineLimits struct {
	CoreShare  float64 `json:"core_share"`
	MemoryMB   float64 `json:"memory_mb"`
	MaxSockets int     `json:"max_sockets"`
}

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

func present(field, v string) error {
	if v == "" {
		return fmt.Errorf("%s: missing", field)
	}
	return nil
}

func address(field, v string) error {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return fmt.Errorf("%s: %q is not an address like 10.0.0.1:8080", field, v)
	}
	return nil
}

func positive(field string, v float64) error {
	if !(v > 0) || math.IsInf(v, 0) {
		return fmt.Errorf("%s: must be above 0, got %v", field, v)
	}
	return nil
}

func (w *Workers) check() error {
	errs := []error{
		positive("facts.workers.report_s", w.ReportS),
		positive("facts.workers.lease_s", w.LeaseS),
		positive("facts.workers.cancel_s", w.CancelS),
	}
	if w.GangWaitS != nil || w.GangPeerS != nil {
		errs = append(errs,
			positiveIfPresent("facts.workers.gang_wait_s", w.GangWaitS),
			positiveIfPresent("facts.workers.gang_peer_s", w.GangPeerS))
	}
	return first(errs)
}

func positiveIfPresent(field string, v *float64) error {
	if v == nil {
		return fmt.Errorf("%s: missing; the two times of gangs are given together or not at all", field)
	}
	return positive(field, *v)
}

func (s *State) check() error {
	errs := []error{
		positive("facts.state.rps", s.RPS),
		positive("facts.state.write_rps", s.WriteRPS),
		valueSize("facts.state.value_kb", s.ValueKB),
		transactionSize("facts.state.txn_ops", s.TxnOps),
	}
	if n := s.Next; n != nil {
		if n.RPS != nil {
			errs = append(errs, positive("facts.state.next.rps", *n.RPS))
		}
		if n.WriteRPS != nil {
			errs = append(errs, positive("facts.state.next.write_rps", *n.WriteRPS))
		}
		if n.ValueKB != nil {
			errs = append(errs, valueSize("facts.state.next.value_kb", *n.ValueKB))
		}
		if n.TxnOps != nil {
			errs = append(errs, transactionSize("facts.state.next.txn_ops", *n.TxnOps))
		}
	}
	return first(errs)
}

func valueSize(field string, kb float64) error {
	if !(kb >= limits.MinValueKB) || math.IsInf(kb, 0) {
		return fmt.Errorf("%s: must be at least %v, got %v", field, limits.MinValueKB, kb)
	}
	return nil
}

func transactionSize(field string, ops int) error {
	if ops < limits.MinTransactionOps {
		return fmt.Errorf("%s: must be at least %d, got %d", field, limits.MinTransactionOps, ops)
	}
	return nil
}

// first returns the first error that is one.
func first(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) check() error {
	errs := []error{
		present("node_name", s.NodeName),
		address("client_listen", s.ClientListen),
		address("peer_bind", s.PeerBind),
		address("external.cloud", s.External.Cloud),
		address("external.state", s.External.State),
		s.Facts.Workers.check(),
		s.Facts.State.check(),
		positive("facts.cloud.rps", s.Facts.Cloud.RPS),
	}
	if err := first(errs); err != nil {
		return err
	}
	if !(s.Facts.Machine.MemoryMB >= limits.MinMemoryMB) {
		return fmt.Errorf("facts.machine_limits.memory_mb: must be at least %v, got %v", limits.MinMemoryMB, s.Facts.Machine.MemoryMB)
	}
	if !(s.Facts.Machine.CoreShare >= 0) {
		return fmt.Errorf("facts.machine_limits.core_share: must not be negative, got %v", s.Facts.Machine.CoreShare)
	}
	if s.Facts.Machine.MaxSockets < 32 {
		return fmt.Errorf("facts.machine_limits.max_sockets: must be at least 32, got %d", s.Facts.Machine.MaxSockets)
	}
	if !(s.Facts.Cloud.ListLagS >= 0) {
		return fmt.Errorf("facts.cloud.list_lag_s: must not be negative")
	}
	names := map[string]bool{s.NodeName: true}
	for i, m := range s.Members {
		if err := present(fmt.Sprintf("members[%d].node_name", i), m.NodeName); err != nil {
			return err
		}
		if names[m.NodeName] {
			return fmt.Errorf("members[%d].node_name: %q appears twice", i, m.NodeName)
		}
		names[m.NodeName] = true
		if err := address(fmt.Sprintf("members[%d].address", i), m.Address); err != nil {
			return err
		}
	}
	if len(s.Facts.Teams) == 0 {
		return errors.New("facts.teams: missing")
	}
	teams := map[string]bool{}
	for i, t := range s.Facts.Teams {
		if err := present(fmt.Sprintf("facts.teams[%d].name", i), t.Name); err != nil {
			return err
		}
		if teams[t.Name] {
			return fmt.Errorf("facts.teams[%d].name: %q appears twice", i, t.Name)
		}
		teams[t.Name] = true
		for f, v := range map[string]float64{"cpus": t.CPUs, "cpus_max": t.CPUsMax, "gpus": t.GPUs, "gpus_max": t.GPUsMax} {
			if !(v >= 0) {
				return fmt.Errorf("facts.teams[%d].%s: must not be negative", i, f)
			}
		}
	}
	return nil
}
