package storage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// BatchReader reads keys for many concurrent callers with few requests to the state service. Callers that
// wait for the same key share one read, and when many keys with a common prefix wait, one request reads a
// page of consecutive keys. A read is shared only by callers that were waiting before it was sent, so that no
// caller gets a value that is older than its call. Pages go through the keys in turn; a key whose caller has
// waited for some time is read before all others.
//
// A BatchReader has its own share of the service's request rate. The shares of all controllers together stay
// within the rate, so that this load never takes the requests of the controllers' own work. It is safe for
// concurrent use.
type BatchReader struct {
	store   *Store
	limiter *rate.Limiter
	slots   chan struct{} // limits concurrent requests
	wake    chan struct{} // receives a value when a key begins to wait

	mu      sync.Mutex
	waiting map[string]*keyRead // keys for which no request has been sent, by key
	// cursors holds the last key of the last page of each prefix, from which the next page continues. It is
	// empty if that page was the last one of its prefix.
	cursors map[string]string
	// pageThresholds holds the number of waiting keys with a prefix from which a page is read, by prefix, if
	// it is not limits.MinPageReads.
	pageThresholds map[string]int
	statistics     ReadStatistics // since the last call of TakeStatistics, without the reads that wait
}

// keyRead is a key that callers wait for.
type keyRead struct {
	key     string
	since   time.Time // since when the caller that has waited longest waits
	callers map[chan readResult]context.Context
}

// readResult is the result of reading a key.
type readResult struct {
	value protocol.KeyValue
	err   error
}

// NewBatchReader returns a reader with this controller's part of the share of the request rate that is for
// reads of users, in a deployment with the given number of controllers. Run must be called before the first
// read.
func (s *Store) NewBatchReader(controllers int) *BatchReader {
	reads := *s
	reads.share = shareReads
	share := limits.BatchReadShare / float64(max(1, controllers))
	return &BatchReader{
		store:          &reads,
		limiter:        newLimiter(s.serviceLimits.RPS, share, 1),
		slots:          make(chan struct{}, limits.MaxConcurrentBatchReads),
		wake:           make(chan struct{}, 1),
		waiting:        map[string]*keyRead{},
		cursors:        map[string]string{},
		pageThresholds: map[string]int{},
	}
}

// Get reads a key. If the key does not exist, the result has Version 0 and no Value. since says since when
// the caller has waited, for example in earlier attempts; it decides whose key is read first. The error wraps
// that of the context if it ends first, and otherwise that of the read.
func (r *BatchReader) Get(ctx context.Context, key string, since time.Time) (protocol.KeyValue, error) {
	results := make(chan readResult, 1)
	r.enqueue(ctx, key, since, results)
	select {
	case result := <-results:
		if result.err != nil {
			return protocol.KeyValue{}, fmt.Errorf("get %s: %w", key, result.err)
		}
		return result.value, nil
	case <-ctx.Done():
		r.abandon(key, results)
		return protocol.KeyValue{}, fmt.Errorf("get %s: %w: %w", key, ErrNotExecuted, ctx.Err())
	}
}

// enqueue adds a caller to those that wait for a key.
func (r *BatchReader) enqueue(ctx context.Context, key string, since time.Time, results chan readResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	read := r.waiting[key]
	if read == nil {
		read = &keyRead{key: key, since: since, callers: map[chan readResult]context.Context{}}
		r.waiting[key] = read
	}
	if since.Before(read.since) {
		read.since = since
	}
	read.callers[results] = ctx
	r.wakeUp()
}

// wakeUp makes Run look for waiting keys.
func (r *BatchReader) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// abandon removes a caller that does not wait any more.
func (r *BatchReader) abandon(key string, results chan readResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	read := r.waiting[key]
	if read == nil {
		return
	}
	delete(read.callers, results)
	if len(read.callers) == 0 {
		delete(r.waiting, key)
	}
}

// Run reads the keys that callers wait for, until the context ends.
func (r *BatchReader) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for r.hasWaiting() {
			if r.store.IsUnavailable() {
				r.failAll(fmt.Errorf("%w: %w", ErrNotExecuted, ErrServiceFailing))
				break
			}
			if !r.acquire(ctx) {
				return
			}
			batch, isPage := r.takeNext(time.Now())
			if len(batch) == 0 {
				<-r.slots
				continue
			}
			go func() {
				defer func() { <-r.slots }()
				r.readBatch(ctx, batch, isPage)
			}()
		}
	}
}

// acquire waits until a request may be sent. It returns false if the context ends first.
func (r *BatchReader) acquire(ctx context.Context) bool {
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	startedAt := time.Now()
	if err := r.limiter.Wait(ctx); err != nil {
		return false
	}
	r.store.metrics.CountRateWait(r.store.share, time.Since(startedAt))
	return true
}

func (r *BatchReader) hasWaiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiting) > 0
}

// takeNext removes the keys of the next request from the waiting ones and returns them. With isPage, they are
// waiting keys of one prefix, in any order but that the page begins with the first.
func (r *BatchReader) takeNext(now time.Time) (batch []*keyRead, isPage bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.oldestWaiting()
	if oldest == nil {
		return nil, false
	}
	prefix := prefixOf(oldest.key)
	group := r.waitingWithPrefix(prefix)
	if !r.isPageDue(prefix, len(group)) {
		delete(r.waiting, oldest.key)
		return []*keyRead{oldest}, false
	}
	start := oldest
	if now.Sub(oldest.since) < limits.MaxBatchReadAge {
		start = firstAfter(group, r.cursors[prefix])
	}
	batch = []*keyRead{start}
	for _, read := range group {
		if read.key > start.key {
			batch = append(batch, read)
		}
	}
	for _, read := range batch {
		delete(r.waiting, read.key)
	}
	return batch, true
}

// oldestWaiting returns the key that has waited longest, or nil if none waits. The caller holds mu.
func (r *BatchReader) oldestWaiting() *keyRead {
	var oldest *keyRead
	for _, read := range r.waiting {
		if oldest == nil || read.since.Before(oldest.since) {
			oldest = read
		}
	}
	return oldest
}

// waitingWithPrefix returns the waiting keys with a prefix. The caller holds mu.
func (r *BatchReader) waitingWithPrefix(prefix string) []*keyRead {
	var group []*keyRead
	for key, read := range r.waiting {
		if prefixOf(key) == prefix {
			group = append(group, read)
		}
	}
	return group
}

// isPageDue reports whether to read a page with a prefix of which some keys wait. It is not due if the rate
// suffices to read all of them at once one by one. The caller holds mu.
func (r *BatchReader) isPageDue(prefix string, waiting int) bool {
	if prefix == "" || waiting < max(limits.MinPageReads, r.pageThresholds[prefix]) {
		return false
	}
	return float64(waiting-1) > r.limiter.Tokens()
}

// firstAfter returns the read with the first key after a cursor, or with the first key if there is none.
func firstAfter(reads []*keyRead, cursor string) *keyRead {
	first, next := reads[0], (*keyRead)(nil)
	for _, read := range reads {
		if read.key < first.key {
			first = read
		}
		if read.key > cursor && (next == nil || read.key < next.key) {
			next = read
		}
	}
	if next == nil {
		return first
	}
	return next
}

// prefixOf returns the part of a key up to its first slash, or "" if it has none.
func prefixOf(key string) string {
	end := strings.IndexByte(key, '/')
	return key[:end+1]
}

// readBatch sends one request and passes the results to the callers. Keys that the request did not read wait
// again.
func (r *BatchReader) readBatch(ctx context.Context, batch []*keyRead, isPage bool) {
	var err error
	if isPage {
		batch, err = r.readPage(ctx, batch)
	} else {
		batch, err = r.readKey(ctx, batch[0])
	}
	switch {
	case err == nil:
		r.putBack(batch)
	case errors.Is(err, ErrRateLimited):
		// Other callers of the service have used up its rate. Its burst is one second's worth.
		SleepContext(ctx, limits.BatchReadRetryDelay)
		r.putBack(batch)
	default:
		for _, read := range batch {
			read.reply(readResult{err: err})
		}
	}
}

// readKey reads one key. It returns the keys that were not read.
func (r *BatchReader) readKey(ctx context.Context, read *keyRead) (unread []*keyRead, err error) {
	value, err := r.store.getNow(ctx, read.key)
	if err != nil {
		return []*keyRead{read}, err
	}
	r.countRead(false, len(read.callers), len(value.Value))
	read.reply(readResult{value: value})
	return nil, nil
}

// readPage reads a page that begins with the first key of a batch. It returns the keys that were not read.
func (r *BatchReader) readPage(ctx context.Context, batch []*keyRead) (unread []*keyRead, err error) {
	first := batch[0].key
	prefix := prefixOf(first)
	page, err := r.store.listPageNow(ctx, prefix, keyBefore(first), limits.BatchPageSize)
	if err != nil {
		return batch, err
	}
	if page.Truncated && len(page.Items) == 0 {
		return batch, fmt.Errorf("%w: truncated page without keys after %s", ErrOutcomeUnknown, first)
	}
	values := make(map[string]protocol.KeyValue, len(page.Items))
	last := "" // last key that the page covers, or "" if it covers all
	for _, item := range page.Items {
		values[item.Key] = item
		if page.Truncated {
			last = item.Key
		}
	}
	for _, read := range batch {
		if last != "" && read.key > last {
			unread = append(unread, read)
			continue
		}
		read.reply(readResult{value: values[read.key]})
	}
	r.countRead(true, len(batch)-len(unread), pageBytes(page))
	r.finishPage(prefix, last, len(batch)-len(unread), len(batch))
	return unread, nil
}

// finishPage records up to which key a page has read, or "" for all keys. It raises the number of waiting keys
// from which a page is read after a page that was of use to few of them, and lowers it after any other.
func (r *BatchReader) finishPage(prefix, last string, read, waited int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cursors[prefix] = last
	if read < limits.MinPageReads && read < waited {
		r.pageThresholds[prefix] = 2 * waited
		return
	}
	delete(r.pageThresholds, prefix)
}

// keyBefore returns a string that sorts before a key and after most other keys that do. No key contains a
// space or a control character.
func keyBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}

// reply passes the result to all callers.
func (k *keyRead) reply(result readResult) {
	for caller := range k.callers {
		caller <- result
	}
}

// dropCallersThatLeft removes the callers whose context has ended while the request was made.
func (k *keyRead) dropCallersThatLeft() {
	for caller, ctx := range k.callers {
		if ctx.Err() != nil {
			delete(k.callers, caller)
		}
	}
}

// putBack makes keys wait again, together with callers that have asked for them since.
func (r *BatchReader) putBack(reads []*keyRead) {
	if len(reads) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, read := range reads {
		read.dropCallersThatLeft()
		if len(read.callers) == 0 {
			continue
		}
		later := r.waiting[read.key]
		if later == nil {
			r.waiting[read.key] = read
			continue
		}
		maps.Copy(later.callers, read.callers)
		if read.since.Before(later.since) {
			later.since = read.since
		}
	}
	r.wakeUp()
}

// failAll replies to all waiting callers with an error.
func (r *BatchReader) failAll(err error) {
	r.mu.Lock()
	waiting := r.waiting
	r.waiting = map[string]*keyRead{}
	r.mu.Unlock()
	for _, read := range waiting {
		read.reply(readResult{err: err})
	}
}
