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

// load hands the scheduler what earlier terms left in the state service, and retries until that
// has been read. It returns the revision of the open jobs, or false when the context ends first.
func (t *term) load(ctx context.Context) (revision uint64, ok bool) {
	var backoff storage.Backoff
	for {
		revision, events, err := t.readRecords(ctx)
		if err == nil {
			for _, event := range events {
				t.step(ctx, event)
			}
			t.step(ctx, scheduler.StateLoaded{})
			t.leadership.SetObservedRevision(revision)
			return revision, true
		}
		t.log.Warn("cannot load jobs", "err", err)
		if !backoff.Wait(ctx) {
			return 0, false
		}
	}
}

// readRecords reads the open jobs, their finished tasks, the rentals and the machine registry, in
// the order in which the scheduler needs them.
func (t *term) readRecords(ctx context.Context) (revision uint64, events []scheduler.Event, err error) {
	store := t.dispatcher.store
	revision, events, err = t.readOpenJobs(ctx)
	if err != nil {
		return 0, nil, err
	}
	finishedTasks := func(key string, version uint64, record storage.FinishedTasks) {
		if id, _, ok := storage.ParseFinishedTasksKey(key); ok {
			events = append(events, scheduler.FinishedTasksLoaded{JobID: id, Version: version, Record: record})
		}
	}
	if err := listRecords(ctx, store, storage.PrefixFinishedTasks, finishedTasks); err != nil {
		return 0, nil, err
	}
	rental := func(key string, version uint64, record storage.Rental) {
		name := strings.TrimPrefix(key, storage.PrefixRental)
		events = append(events, scheduler.RentalLoaded{Name: name, Version: version, Record: record})
	}
	if err := listRecords(ctx, store, storage.PrefixRental, rental); err != nil {
		return 0, nil, err
	}
	registryPage := func(key string, version uint64, record storage.RegistryPage) {
		name := strings.TrimPrefix(key, storage.PrefixRegistryPage)
		events = append(events, scheduler.RegistryPageLoaded{Name: name, Version: version, Record: record})
	}
	if err := listRecords(ctx, store, storage.PrefixRegistryPage, registryPage); err != nil {
		return 0, nil, err
	}
	return revision, events, nil
}

// listRecords reads all records of one kind.
func listRecords[T any](
	ctx context.Context, store *storage.Store, prefix string, each func(key string, version uint64, record T),
) error {
	_, err := store.List(ctx, prefix, func(kv protocol.KeyValue) error {
		var record T
		if err := protocol.Decode(kv.Value, &record); err != nil {
			return fmt.Errorf("%s: %w", kv.Key, err)
		}
		each(kv.Key, kv.Version, record)
		return nil
	})
	return err
}

// readOpenJobs reads all open jobs, and the revision from which a watch misses no change.
func (t *term) readOpenJobs(ctx context.Context) (revision uint64, events []scheduler.Event, err error) {
	revision, err = t.dispatcher.store.List(ctx, storage.PrefixOpenJob, func(kv protocol.KeyValue) error {
		change, err := t.decodeOpenJob(kv.Key, kv.Value, kv.Version)
		if err != nil {
			return err
		}
		events = append(events, change)
		return nil
	})
	return revision, events, err
}

// decodeOpenJob turns the record of an open job into an event.
func (t *term) decodeOpenJob(key string, data protocol.Raw, version uint64) (scheduler.JobChanged, error) {
	var record storage.OpenJob
	if err := protocol.Decode(data, &record); err != nil {
		return scheduler.JobChanged{}, fmt.Errorf("%s: %w", key, err)
	}
	change := scheduler.JobChanged{
		JobID:           strings.TrimPrefix(key, storage.PrefixOpenJob),
		Version:         version,
		Record:          record,
		SinceSubmission: max(sinceUnixMilli(record.SubmittedAtMs), 0),
	}
	if record.CancelledAtMs != 0 {
		// The time is that of another controller's clock. Each of the two clocks may be off by the skew.
		skew := limits.Seconds(t.dispatcher.settings.Facts.SkewMs / 1000)
		change.SinceCancellation = max(sinceUnixMilli(record.CancelledAtMs)+2*skew, 0)
	}
	return change, nil
}

// sinceUnixMilli is the time since a Unix time in milliseconds; negative if that is yet to come.
func sinceUnixMilli(ms int64) time.Duration {
	return time.Duration(time.Now().UnixMilli()-ms) * time.Millisecond
}
