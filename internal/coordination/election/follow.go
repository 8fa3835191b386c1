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

// follow waits until the leader key no longer has that version. It campaigns at once if the leader
// offers its leadership or may be replaced as unreachable.
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
	e.suspicion.follow(leaderVersion)
	tick := time.NewTicker(limits.SuspicionCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if e.needsVotes() && e.mayReplaceLeader(ctx, &e.suspicion) {
				e.options.Log.Warn("leader sends no heartbeats, replacing it", "leader", e.Leader())
				return stopWatchAndCampaign(unchanged(storage.KeyLeader, leaderVersion),
					unchanged(storage.KeyLeaderHeartbeat, e.suspicion.heartbeat))
			}
		case err := <-watchEnded:
			if err != nil && !errors.Is(err, storage.ErrCompacted) {
				return fmt.Errorf("watch leader: %w", err)
			}
			return nil
		case offered := <-e.offers:
			if offered == leaderVersion {
				return stopWatchAndCampaign(unchanged(storage.KeyLeader, leaderVersion))
			}
		}
	}
}

// mayReplaceLeader goes one step further towards the replacement of the leader that is followed, and
// reports whether a campaign may replace it, under the condition that its heartbeat is unchanged.
// It waits until the leader is suspected, until the heartbeat has stayed the same for longer than a
// vote is live, and until a majority, this controller included, has withdrawn its votes.
func (e *Elector) mayReplaceLeader(ctx context.Context, s *suspicion) bool {
	if !e.voter.requestOverdue(s.followedAt) {
		s.clear()
		return false
	}
	if s.suspected() && !s.lastedFor(limits.LeaseExpiredAfter(e.voter.lease)) {
		return false
	}
	key, err := e.options.Store.Get(ctx, storage.KeyLeaderHeartbeat)
	if err != nil {
		return false
	}
	if !s.confirmedBy(key.Version) {
		s.begin(key.Version)
		return false
	}
	if !e.voter.withdraw(s.heartbeat) || !e.recordWithdrawal(ctx, s) {
		return false
	}
	return e.majorityWithdrew(ctx, s.heartbeat)
}

// recordWithdrawal puts on record in the state service that this controller has withdrawn its vote,
// and reports whether it is on record.
func (e *Elector) recordWithdrawal(ctx context.Context, s *suspicion) bool {
	if s.withdrawn {
		return true
	}
	_, err := e.options.Store.CompareAndSwap(ctx, protocol.Transaction{Operations: []protocol.Operation{{
		Put:   storage.VoteWithdrawalKey(e.options.Node),
		Value: protocol.Encode(storage.VoteWithdrawal{HeartbeatVersion: s.heartbeat}),
	}}})
	s.withdrawn = err == nil
	return s.withdrawn
}

// majorityWithdrew reports whether a majority of the controllers has put on record that it has
// withdrawn its votes under the heartbeat with that version. It reports false if that can't be read.
func (e *Elector) majorityWithdrew(ctx context.Context, heartbeat uint64) bool {
	withdrawals := 0
	_, err := e.options.Store.List(ctx, storage.PrefixVoteWithdrawal, func(key protocol.KeyValue) error {
		var w storage.VoteWithdrawal
		if err := protocol.Decode(key.Value, &w); err != nil {
			return err
		}
		if w.HeartbeatVersion >= heartbeat {
			withdrawals++
		}
		return nil
	})
	return err == nil && withdrawals >= e.quorum()
}
