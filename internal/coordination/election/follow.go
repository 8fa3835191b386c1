package election

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// follow waits until the leader key no longer has the given version. It campaigns at once if the
// leader offers its leadership, or if the leader is unreachable and may be replaced.
func (e *Elector) follow(ctx context.Context, leaderVersion uint64) error {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchEnded := make(chan error, 1)
	go func() {
		_, err := e.options.Store.Watch(watchCtx, storage.KeyLeader, leaderVersion)
		watchEnded <- err
	}()
	stopWatchAndCampaign := func(conditions ...protocol.Condition) error {
		cancel()
		<-watchEnded
		return e.campaign(ctx, conditions...)
	}
	e.suspicion.trackLeader(leaderVersion)
	ticker := time.NewTicker(limits.SuspicionCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if e.needsVotes() && e.advanceReplacement(ctx, &e.suspicion) {
				e.options.Log.Warn("campaigning to replace the leader", "leader", e.Leader(),
					"reason", "no vote requests and no new heartbeat record")
				return stopWatchAndCampaign(versionCondition(storage.KeyLeader, leaderVersion),
					versionCondition(storage.KeyLeaderHeartbeat, e.suspicion.heartbeatVersion))
			}
		case err := <-watchEnded:
			if err != nil && !errors.Is(err, storage.ErrCompacted) {
				return fmt.Errorf("watch the leader key: %w", err)
			}
			return nil
		case offered := <-e.offers:
			if offered == leaderVersion {
				return stopWatchAndCampaign(versionCondition(storage.KeyLeader, leaderVersion))
			}
		}
	}
}

// advanceReplacement takes the next step towards replacing the leader that is followed. It reports
// whether a campaign may replace the leader now, under the condition that the heartbeat record is
// unchanged. The steps are:
//
//   - Suspect the leader once it has requested no vote for too long.
//   - Wait until the heartbeat record has kept its version for longer than a vote is valid.
//   - Withdraw the vote of this controller.
//   - Wait until a majority of the controllers, this one included, has recorded its withdrawal.
func (e *Elector) advanceReplacement(ctx context.Context, s *suspicion) bool {
	if !e.voter.isVoteRequestOverdue(s.followedAt) {
		s.clear()
		return false
	}
	if s.isActive() && !s.isOlderThan(limits.LeaseExpiredAfter(e.voter.voteLease)) {
		return false
	}
	key, err := e.options.Store.Get(ctx, storage.KeyLeaderHeartbeat)
	if err != nil {
		return false
	}
	if !s.matchesHeartbeat(key.Version) {
		s.begin(key.Version)
		return false
	}
	if !e.voter.withdraw(s.heartbeatVersion) || !e.recordWithdrawal(ctx, s) {
		return false
	}
	return e.hasMajorityWithdrawn(ctx, s.heartbeatVersion)
}

// recordWithdrawal writes to the state service that this controller has withdrawn its vote, and
// reports whether the state service has confirmed it.
func (e *Elector) recordWithdrawal(ctx context.Context, s *suspicion) bool {
	if s.withdrawalRecorded {
		return true
	}
	_, err := e.options.Store.CompareAndSwap(ctx, protocol.Transaction{Operations: []protocol.Operation{{
		Put:   storage.VoteWithdrawalKey(e.options.Node),
		Value: protocol.Encode(storage.VoteWithdrawal{HeartbeatVersion: s.heartbeatVersion}),
	}}})
	s.withdrawalRecorded = err == nil
	return s.withdrawalRecorded
}

// hasMajorityWithdrawn reports whether a majority of the controllers has recorded the withdrawal of its
// votes for the given heartbeat version. It returns false if the records cannot be read.
func (e *Elector) hasMajorityWithdrawn(ctx context.Context, heartbeatVersion uint64) bool {
	withdrawals := 0
	_, err := e.options.Store.List(ctx, storage.PrefixVoteWithdrawal, func(key protocol.KeyValue) error {
		var w storage.VoteWithdrawal
		if err := protocol.Decode(key.Value, &w); err != nil {
			return err
		}
		if w.HeartbeatVersion >= heartbeatVersion {
			withdrawals++
		}
		return nil
	})
	return err == nil && withdrawals >= e.quorumSize()
}
