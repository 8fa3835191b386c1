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

// loadState reads the records of earlier terms from the state service and passes them to the scheduler.
// It returns the revision at which a watch of the open jobs has to start, or false if the context ends first.
func (t *termActor) loadState(ctx context.Context) (revision uint64, ok bool) {
	revision, events, ok := t.readRecordsWithRetries(ctx)
	if !ok {
		return 0, false
	}
	for _, event := range append(events, scheduler.StateLoaded{}) {
		t.turns.begin()
		t.step(ctx, event)
	}
	t.turns.end()
	t.leadership.SetObservedRevision(revision)
	return revision, true
}

// readRecordsWithRetries is like readRecords, but retries until all records have been read, or returns false if
// the context ends first.
func (t *termActor) readRecordsWithRetries(
	ctx context.Context,
) (revision uint64, events []scheduler.Event, ok bool) {
	var backoff storage.Backoff
	for {
		revision, events, err := t.readRecords(ctx)
		if err == nil {
			return revision, events, true
		}
		t.logLoadRetry(err)
		if !backoff.Wait(ctx) {
			return 0, nil, false
		}
	}
}

// logLoadRetry logs that a read of the records failed and is repeated.
func (t *termActor) logLoadRetry(err error) {
	t.log.Warn("failed to load the scheduler's state; retrying", "err", err)
}

// readRecords reads the open jobs, the finished tasks, the rentals and the machine registry. It returns
// them as events, in the order in which the scheduler must process them, and the revision at which a
// watch of the open jobs has to start.
func (t *termActor) readRecords(ctx context.Context) (revision uint64, events []scheduler.Event, err error) {
	revision, events, err = t.readOpenJobs(ctx)
	if err != nil {
		return 0, nil, err
	}
	addFinishedTasks := func(key string, version uint64, record storage.FinishedTasks) {
		if id, _, ok := storage.ParseFinishedTasksKey(key); ok {
			events = append(events, scheduler.FinishedTasksLoaded{JobID: id, Version: version, Record: record})
		}
	}
	if err := listRecords(ctx, t, storage.PrefixFinishedTasks, addFinishedTasks); err != nil {
		return 0, nil, err
	}
	addRental := func(key string, version uint64, record storage.Rental) {
		name := strings.TrimPrefix(key, storage.PrefixRental)
		events = append(events, scheduler.RentalLoaded{Name: name, Version: version, Record: record})
	}
	if err := listRecords(ctx, t, storage.PrefixRental, addRental); err != nil {
		return 0, nil, err
	}
	addRegistryPage := func(key string, version uint64, record storage.RegistryPage) {
		name := strings.TrimPrefix(key, storage.PrefixRegistryPage)
		events = append(events, scheduler.RegistryPageLoaded{Name: name, Version: version, Record: record})
	}
	if err := listRecords(ctx, t, storage.PrefixRegistryPage, addRegistryPage); err != nil {
		return 0, nil, err
	}
	return revision, events, nil
}

// listRecords reads and decodes all records whose keys have a prefix, and calls each for every record.
func listRecords[T any](
	ctx context.Context, t *termActor, prefix string, each func(key string, version uint64, record T),
) error {
	_, err := t.dispatcher.store.ListWithRetries(ctx, prefix, t.logLoadRetry, func(kv protocol.KeyValue) error {
		var record T
		if err := protocol.Decode(kv.Value, &record); err != nil {
			return fmt.Errorf("decode record %s: %w", kv.Key, err)
		}
		each(kv.Key, kv.Version, record)
		return nil
	})
	return err
}

// readOpenJobs reads all open jobs and returns them as events. A watch that starts at the returned
// revision misses no later change.
func (t *termActor) readOpenJobs(ctx context.Context) (revision uint64, events []scheduler.Event, err error) {
	addJob := func(kv protocol.KeyValue) error {
		change, err := t.decodeOpenJob(kv.Key, kv.Value, kv.Version)
		if err != nil {
			return err
		}
		events = append(events, change)
		return nil
	}
	revision, err = t.dispatcher.store.ListWithRetries(ctx, storage.PrefixOpenJob, t.logLoadRetry, addJob)
	return revision, events, err
}

// decodeOpenJob decodes the record of an open job into an event. The actor adds the times since the
// submission and the cancellation; see addTimesSince.
func (t *termActor) decodeOpenJob(key string, data protocol.Raw, version uint64) (scheduler.JobChanged, error) {
	var record storage.OpenJob
	if err := protocol.Decode(data, &record); err != nil {
		return scheduler.JobChanged{}, fmt.Errorf("decode open job %s: %w", key, err)
	}
	return scheduler.JobChanged{
		JobID:   strings.TrimPrefix(key, storage.PrefixOpenJob),
		Version: version,
		Record:  record,
	}, nil
}

// addTimesSince adds the times since the submission and the cancellation of a job to an event. The actor
// does so when it passes the event to the scheduler, as the event may have waited until then: while the
// other records of earlier terms were read, or in the mailbox.
func (t *termActor) addTimesSince(change scheduler.JobChanged) scheduler.JobChanged {
	change.SinceSubmission = max(sinceUnixMilli(change.Record.SubmittedAtMs), 0)
	if change.Record.CancelledAtMs != 0 {
		// CancelledAtMs is a time of another controller's clock. Each of the two clocks may be off by
		// MaxClockSkewMs.
		maxError := 2 * limits.Seconds(t.dispatcher.settings.Deployment.MaxClockSkewMs/1000)
		since := sinceUnixMilli(change.Record.CancelledAtMs)
		change.SinceCancellation = max(since+maxError, 0)
		change.MinSinceCancellation = max(since-maxError, 0)
	}
	return change
}

// sinceUnixMilli returns the time since a Unix time in milliseconds. It is negative for a future time.
func sinceUnixMilli(ms int64) time.Duration {
	return time.Duration(time.Now().UnixMilli()-ms) * time.Millisecond
}
