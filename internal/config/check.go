package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"quillshunt/internal/limits"
)

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
