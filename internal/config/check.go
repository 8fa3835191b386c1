package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"quillshunt/internal/limits"
)

// check returns an error for the first invalid field of the settings, or nil if all are valid. The
// error text begins with the JSON path of the field.
func (s *Settings) check() error {
	return firstError(
		checkPresent("node_name", s.NodeName),
		checkAddress("client_listen", s.ClientListen),
		checkAddress("peer_bind", s.PeerBind),
		checkAddress("external.cloud", s.External.Cloud),
		checkAddress("external.state", s.External.State),
		s.Deployment.Workers.check(),
		s.Deployment.State.check(),
		checkPositive("facts.cloud.rps", s.Deployment.Cloud.RPS),
		s.Deployment.MachineLimits.check(),
		checkNotNegative("facts.cloud.list_lag_s", s.Deployment.Cloud.ListLagS),
		s.checkMembers(),
		checkTeams(s.Deployment.Teams),
	)
}

func (w *WorkerTimes) check() error {
	times := firstError(
		checkPositive("facts.workers.report_s", w.HeartbeatIntervalS),
		checkPositive("facts.workers.lease_s", w.LeaseS),
		checkPositive("facts.workers.cancel_s", w.CancelWithinS),
	)
	if times != nil || (w.GangWaitTimeoutS == nil && w.GangPeerDetectionS == nil) {
		return times
	}
	return firstError(
		checkGangTime("facts.workers.gang_wait_s", w.GangWaitTimeoutS),
		checkGangTime("facts.workers.gang_peer_s", w.GangPeerDetectionS),
	)
}

func checkGangTime(field string, v *float64) error {
	if v == nil {
		return fmt.Errorf("%s: missing; the two times for gangs must be set together", field)
	}
	return checkPositive(field, *v)
}

func (s *StateLimits) check() error {
	return firstError(
		checkPositive("facts.state.rps", s.RPS),
		checkPositive("facts.state.write_rps", s.WriteRPS),
		checkValueSize("facts.state.value_kb", s.ValueKB),
		checkTransactionSize("facts.state.txn_ops", s.TxnOps),
		s.Next.check(),
	)
}

func (n *NextStateLimits) check() error {
	if n == nil {
		return nil
	}
	return firstError(
		checkIfSet(checkPositive, "facts.state.next.rps", n.RPS),
		checkIfSet(checkPositive, "facts.state.next.write_rps", n.WriteRPS),
		checkIfSet(checkValueSize, "facts.state.next.value_kb", n.ValueKB),
		checkIfSet(checkTransactionSize, "facts.state.next.txn_ops", n.TxnOps),
	)
}

func (m *MachineLimits) check() error {
	if !(m.MemoryMB >= limits.MinMemoryMB) {
		return fmt.Errorf("facts.machine_limits.memory_mb: must be at least %v, got %v", limits.MinMemoryMB, m.MemoryMB)
	}
	if err := checkNotNegative("facts.machine_limits.core_share", m.CoreShare); err != nil {
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
		if err := checkUniqueName(field+".node_name", m.NodeName, names); err != nil {
			return err
		}
		if err := checkAddress(field+".address", m.Address); err != nil {
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
		err := firstError(
			checkUniqueName(field+".name", t.Name, names),
			checkNotNegative(field+".cpus", t.GuaranteedCPUs),
			checkNotNegative(field+".cpus_max", t.MaxCPUs),
			checkNotNegative(field+".gpus", t.GuaranteedGPUs),
			checkNotNegative(field+".gpus_max", t.MaxGPUs),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

// firstError returns the first error that is not nil, or nil if there is none.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkIfSet applies check to an optional field. A missing field is valid.
func checkIfSet[T any](check func(string, T) error, field string, v *T) error {
	if v == nil {
		return nil
	}
	return check(field, *v)
}

func checkPresent(field, v string) error {
	if v == "" {
		return fmt.Errorf("%s: missing", field)
	}
	return nil
}

// checkUniqueName checks that a name is neither empty nor in names, and adds it to names.
func checkUniqueName(field, name string, names map[string]bool) error {
	if err := checkPresent(field, name); err != nil {
		return err
	}
	if names[name] {
		return fmt.Errorf("%s: %q appears twice", field, name)
	}
	names[name] = true
	return nil
}

func checkAddress(field, v string) error {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return fmt.Errorf("%s: %q is not an IP address with a port, such as 10.0.0.1:8080", field, v)
	}
	return nil
}

// The comparisons of floating-point values below are negated so that they reject NaN.

func checkPositive(field string, v float64) error {
	if !(v > 0) || math.IsInf(v, 0) {
		return fmt.Errorf("%s: must be greater than 0, got %v", field, v)
	}
	return nil
}

func checkNotNegative(field string, v float64) error {
	if !(v >= 0) {
		return fmt.Errorf("%s: must not be negative, got %v", field, v)
	}
	return nil
}

func checkValueSize(field string, valueKB float64) error {
	if !(valueKB >= limits.MinValueKB) || math.IsInf(valueKB, 0) {
		return fmt.Errorf("%s: must be at least %v, got %v", field, limits.MinValueKB, valueKB)
	}
	return nil
}

func checkTransactionSize(field string, ops int) error {
	if ops < limits.MinTransactionOps {
		return fmt.Errorf("%s: must be at least %d, got %d", field, limits.MinTransactionOps, ops)
	}
	return nil
}
