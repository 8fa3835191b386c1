package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"quillshunt/internal/limits"
)

// check returns the first fault of the settings. Each error begins with the path of the field.
func (s *Settings) check() error {
	return first(
		present("node_name", s.NodeName),
		address("client_listen", s.ClientListen),
		address("peer_bind", s.PeerBind),
		address("external.cloud", s.External.Cloud),
		address("external.state", s.External.State),
		s.Facts.Workers.check(),
		s.Facts.State.check(),
		positive("facts.cloud.rps", s.Facts.Cloud.RPS),
		s.Facts.Machine.check(),
		notNegative("facts.cloud.list_lag_s", s.Facts.Cloud.ListLagS),
		s.checkMembers(),
		checkTeams(s.Facts.Teams),
	)
}

func (w *Workers) check() error {
	times := first(
		positive("facts.workers.report_s", w.ReportS),
		positive("facts.workers.lease_s", w.LeaseS),
		positive("facts.workers.cancel_s", w.CancelS),
	)
	if times != nil || (w.GangWaitS == nil && w.GangPeerS == nil) {
		return times
	}
	return first(
		gangTime("facts.workers.gang_wait_s", w.GangWaitS),
		gangTime("facts.workers.gang_peer_s", w.GangPeerS),
	)
}

func gangTime(field string, v *float64) error {
	if v == nil {
		return fmt.Errorf("%s: missing; the two times of gangs are given together or not at all", field)
	}
	return positive(field, *v)
}

func (s *State) check() error {
	return first(
		positive("facts.state.rps", s.RPS),
		positive("facts.state.write_rps", s.WriteRPS),
		valueSize("facts.state.value_kb", s.ValueKB),
		transactionSize("facts.state.txn_ops", s.TxnOps),
		s.Next.check(),
	)
}

func (n *NextState) check() error {
	if n == nil {
		return nil
	}
	return first(
		ifGiven(positive, "facts.state.next.rps", n.RPS),
		ifGiven(positive, "facts.state.next.write_rps", n.WriteRPS),
		ifGiven(valueSize, "facts.state.next.value_kb", n.ValueKB),
		ifGiven(transactionSize, "facts.state.next.txn_ops", n.TxnOps),
	)
}

func (m *MachineLimits) check() error {
	if !(m.MemoryMB >= limits.MinMemoryMB) {
		return fmt.Errorf("facts.machine_limits.memory_mb: must be at least %v, got %v", limits.MinMemoryMB, m.MemoryMB)
	}
	if err := notNegative("facts.machine_limits.core_share", m.CoreShare); err != nil {
		return err
	}
	if m.MaxSockets < limits.MinSockets {
		return fmt.Errorf("facts.machine_limits.max_sockets: must be at least %d, got %d",
			limits.MinSockets, m.MaxSockets)
	}
	return nil
}

func (s *Settings) checkMembers() error {
	names := map[string]bool{s.NodeName: true}
	for i, m := range s.Members {
		field := fmt.Sprintf("members[%d]", i)
		if err := unused(field+".node_name", m.NodeName, names); err != nil {
			return err
		}
		if err := address(field+".address", m.Address); err != nil {
			return err
		}
	}
	return nil
}

func checkTeams(teams []Team) error {
	if len(teams) == 0 {
		return errors.New("facts.teams: missing")
	}
	names := map[string]bool{}
	for i, t := range teams {
		field := fmt.Sprintf("facts.teams[%d]", i)
		err := first(
			unused(field+".name", t.Name, names),
			notNegative(field+".cpus", t.CPUs),
			notNegative(field+".cpus_max", t.CPUsMax),
			notNegative(field+".gpus", t.GPUs),
			notNegative(field+".gpus_max", t.GPUsMax),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// first returns the first of some errors that is not nil.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// ifGiven checks a field that may be missing.
func ifGiven[T any](check func(string, T) error, field string, v *T) error {
	if v == nil {
		return nil
	}
	return check(field, *v)
}

func present(field, v string) error {
	if v == "" {
		return fmt.Errorf("%s: missing", field)
	}
	return nil
}

// unused checks that a name is there and not among those of others, and adds it to them.
func unused(field, name string, names map[string]bool) error {
	if err := present(field, name); err != nil {
		return err
	}
	if names[name] {
		return fmt.Errorf("%s: %q appears twice", field, name)
	}
	names[name] = true
	return nil
}

func address(field, v string) error {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return fmt.Errorf("%s: %q is not an address like 10.0.0.1:8080", field, v)
	}
	return nil
}

// The comparisons below are written so that NaN fails.

func positive(field string, v float64) error {
	if !(v > 0) || math.IsInf(v, 0) {
		return fmt.Errorf("%s: must be above 0, got %v", field, v)
	}
	return nil
}

func notNegative(field string, v float64) error {
	if !(v >= 0) {
		return fmt.Errorf("%s: must not be negative, got %v", field, v)
	}
	return nil
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
