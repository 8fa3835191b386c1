package leader

import (
	"context"
	"errors"
	"strings"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// watchOpenJobs sends the actor every change of the open jobs after a revision, until the context
// ends.
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
			t.log.Debug("watch failed", "err", err)
			backoff.Wait(ctx)
		}
	}
}

// sendJobChange sends the actor one change of an open job.
func (t *termActor) sendJobChange(ctx context.Context, change protocol.Change) {
	if change.Delete != "" {
		id := strings.TrimPrefix(change.Delete, storage.PrefixOpenJob)
		t.sendEvent(ctx, scheduler.JobRemoved{JobID: id, Version: change.Version})
		return
	}
	event, err := t.decodeOpenJob(change.Put, change.Value, change.Version)
	if err != nil {
		t.log.Error("bad job record", "err", err)
		return
	}
	t.sendEvent(ctx, event)
}

// relistOpenJobs reads all open jobs and sends them to the actor, for when changes since the last
// revision are no longer kept. It returns the revision from which the watch continues.
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
