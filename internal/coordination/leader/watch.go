package leader

import (
	"context"
	"errors"
	"strings"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// watchOpenJobs watches the open jobs and sends the actor each change after a revision, until the
// context ends.
func (t *termActor) watchOpenJobs(ctx context.Context, revision uint64) {
	var backoff storage.Backoff
	for ctx.Err() == nil {
		reply, err := t.dispatcher.store.Watch(ctx, storage.PrefixOpenJob, revision)
		switch {
		case err == nil:
			backoff.Reset()
			for _, change := range reply.Changes {
				t.sendJobChange(ctx, change)
			}
			revision = max(revision, reply.Revision)
			t.send(ctx, observedRevisionMessage{revision})
		case errors.Is(err, storage.ErrCompacted):
			current, err := t.relistOpenJobs(ctx)
			if err != nil {
				backoff.Wait(ctx)
				continue
			}
			revision = current
		default:
			t.log.Debug("watch of open jobs failed; retrying", "err", err)
			backoff.Wait(ctx)
		}
	}
}

// sendJobChange sends one change of an open job to the actor. A record that cannot be decoded is
// logged and skipped.
func (t *termActor) sendJobChange(ctx context.Context, change protocol.Change) {
	if change.Delete != "" {
		id := strings.TrimPrefix(change.Delete, storage.PrefixOpenJob)
		t.sendEvent(ctx, scheduler.JobRemoved{JobID: id, Version: change.Version})
		return
	}
	event, err := t.decodeOpenJob(change.Put, change.Value, change.Version)
	if err != nil {
		t.log.Error("failed to decode a changed job; change ignored", "err", err)
		return
	}
	t.sendEvent(ctx, event)
}

// relistOpenJobs reads all open jobs and sends them to the actor. It is called if the state service has
// compacted some of the changes since the last revision, so that they cannot be watched. It returns the
// revision at which the watch continues.
func (t *termActor) relistOpenJobs(ctx context.Context) (uint64, error) {
	revision, events, err := t.readOpenJobs(ctx)
	if err != nil {
		return 0, err
	}
	for _, event := range events {
		t.sendEvent(ctx, event)
	}
	t.send(ctx, observedRevisionMessage{revision})
	return revision, nil
}
