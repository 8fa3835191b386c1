package leader

import (
	"context"
	"errors"
	"strings"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/storage"
)

// watchOpenJobs follows the open jobs.
func (t *term) watchOpenJobs(ctx context.Context, since uint64) {
	var back storage.Backoff
	for ctx.Err() == nil {
		r, err := t.dispatcher.store.Watch(ctx, storage.PrefixOpenJob, since)
		switch {
		case errors.Is(err, storage.ErrCompacted):
			ledger, evs, rerr := t.readOpenJobs(ctx)
			if rerr != nil {
				back.Wait(ctx)
				continue
			}
			for _, e := range evs {
				t.send(ctx, e)
			}
			since = ledger
			t.send(ctx, observedRevisionMessage(since))
			continue
		case err != nil:
			t.log.Debug("watch", "err", err)
			if !back.Wait(ctx) {
				return
			}
			continue
		}
		back.Reset()
		for _, c := range r.Changes {
			if c.Delete != "" {
				t.send(ctx, scheduler.JobRemoved{JobID: strings.TrimPrefix(c.Delete, storage.PrefixOpenJob), Version: c.Version})
				continue
			}
			e, err := t.decodeOpenJob(c.Put, c.Value, c.Version)
			if err != nil {
				t.log.Error("bad job record", "err", err)
				continue
			}
			t.send(ctx, e)
		}
		since = max(since, r.Revision)
		t.send(ctx, observedRevisionMessage(since))
	}
}
