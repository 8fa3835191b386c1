package leader

import (
	"context"
	"fmt"
	"strings"
	"time"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// load reads what earlier terms left behind: open jobs, their finished tasks, rentals.
func (t *term) load(ctx context.Context) (uint64, bool) {
	var back storage.Backoff
	for {
		ledger, evs, err := t.readRecords(ctx)
		if err == nil {
			for _, e := range evs {
				t.step(ctx, e)
			}
			t.step(ctx, scheduler.StateLoaded{})
			t.leadership.Observe(ledger)
			return ledger, true
		}
		t.log.Warn("cannot load jobs", "err", err)
		if !back.Wait(ctx) {
			return 0, false
		}
	}
}

func (t *term) readRecords(ctx context.Context) (uint64, []scheduler.Event, error) {
	ledger, evs, err := t.readOpenJobs(ctx)
	if err != nil {
		return 0, nil, err
	}
	err = listRecords(ctx, t.dispatcher.store, storage.PrefixFinishedTasks, func(p protocol.KeyValue, f storage.FinishedTasks) {
		if id, _, ok := storage.ParseFinishedTasksKey(p.Key); ok {
			evs = append(evs, scheduler.FinishedTasksLoaded{JobID: id, Version: p.Version, Record: f})
		}
	})
	if err != nil {
		return 0, nil, err
	}
	err = listRecords(ctx, t.dispatcher.store, storage.PrefixRental, func(p protocol.KeyValue, h storage.Rental) {
		evs = append(evs, scheduler.RentalLoaded{Name: strings.TrimPrefix(p.Key, storage.PrefixRental), Version: p.Version, Record: h})
	})
	if err != nil {
		return 0, nil, err
	}
	err = listRecords(ctx, t.dispatcher.store, storage.PrefixRegistryPage, func(p protocol.KeyValue, u storage.RegistryPage) {
		evs = append(evs, scheduler.RegistryPageLoaded{Name: strings.TrimPrefix(p.Key, storage.PrefixRegistryPage), Version: p.Version, Record: u})
	})
	return ledger, evs, err
}

// listRecords reads all records of one kind.
func listRecords[T any](ctx context.Context, store *storage.Store, prefix string, each func(protocol.KeyValue, T)) error {
	_, err := store.List(ctx, prefix, func(p protocol.KeyValue) error {
		var rec T
		if err := protocol.Decode(p.Value, &rec); err != nil {
			return fmt.Errorf("%s: %w", p.Key, err)
		}
		each(p, rec)
		return nil
	})
	return err
}

func (t *term) readOpenJobs(ctx context.Context) (uint64, []scheduler.Event, error) {
	var evs []scheduler.Event
	ledger, err := t.dispatcher.store.List(ctx, storage.PrefixOpenJob, func(p protocol.KeyValue) error {
		e, err := t.decodeOpenJob(p.Key, p.Value, p.Version)
		if err != nil {
			return err
		}
		evs = append(evs, e)
		return nil
	})
	return ledger, evs, err
}

func (t *term) decodeOpenJob(path string, data protocol.Raw, stamp uint64) (scheduler.JobChanged, error) {
	var o storage.OpenJob
	if err := protocol.Decode(data, &o); err != nil {
		return scheduler.JobChanged{}, fmt.Errorf("%s: %w", path, err)
	}
	e := scheduler.JobChanged{JobID: strings.TrimPrefix(path, storage.PrefixOpenJob), Version: stamp, Record: o, SinceSubmission: max(age(o.SubmittedAtMs), 0)}
	if o.CancelledAtMs != 0 {
		// The clock that it was noted by and ours may differ by the bound of both.
		e.SinceCancellation = max(age(o.CancelledAtMs)+2*limits.Seconds(t.dispatcher.settings.Facts.SkewMs/1000), 0)
	}
	return e, nil
}

// age is how long ago a time of day was.
func age(ms int64) time.Duration { return time.Duration(time.Now().UnixMilli()-ms) * time.Millisecond }
