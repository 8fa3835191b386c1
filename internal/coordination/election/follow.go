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

// follow waits until the leader key changes, the leader gives up and offers the lead to us, or it
// is surely not entitled any more.
func (e *Elector) follow(ctx context.Context, stamp uint64) error {
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := make(chan error, 1)
	go func() {
		_, err := e.Store.Watch(wctx, storage.KeyLeader, stamp)
		changed <- err
	}()
	win := func(guards ...protocol.Condition) error {
		cancel()
		<-changed
		return e.campaign(ctx, guards...)
	}
	if e.suspicion.leaderVersion != stamp {
		e.suspicion = suspicion{leaderVersion: stamp, followedAt: time.Now()} // else the watch only ended by itself, and the doubt goes on
	}
	d := &e.suspicion
	tick := time.NewTicker(limits.SuspicionCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if !e.needsVotes() {
				continue
			}
			if e.mayReplaceLeader(ctx, d) {
				e.Log.Warn("leader not heard of, replacing it", "leader", e.Leader())
				return win(protocol.Condition{Key: storage.KeyLeader, Version: stamp}, protocol.Condition{Key: storage.KeyLeaderHeartbeat, Version: d.heartbeat})
			}
		case err := <-changed:
			if err != nil && !errors.Is(err, storage.ErrCompacted) {
				return fmt.Errorf("watch leader: %w", err)
			}
			return nil
		case offered := <-e.offers:
			if offered == stamp {
				return win(protocol.Condition{Key: storage.KeyLeader, Version: stamp})
			}
		}
	}
}
