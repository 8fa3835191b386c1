package gateway

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"runtime/pprof"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// Size of the burst of submissions.
const (
	burstUsers      = 200
	requestsPerUser = 100
	firstBurstJob   = 100_000
)

// TestThousandsOfWorkers: one controller has two thousand workers and a backlog of tens of thousands of
// tasks. After a crash of all controllers, all workers reconnect to the new leader at once, while many
// users submit jobs. The workers must be served, and memory, goroutines and threads must stay bounded.
func TestThousandsOfWorkers(t *testing.T) {
	setMemoryLimits(t)
	f := newLoadFixture(t)

	end := f.startTerm(1)
	f.repeatHeartbeatsUntil(1, func(served int) bool {
		return hasServedEnough(served) && f.startedTaskCount() > loadWorkers*cpusPerWorker/2
	})
	end()

	// After a crash of all controllers, the workers reconnect to the new leader.
	f.reconnectAll()
	burst := f.startBurst()
	end = f.startTerm(2)
	f.repeatHeartbeatsUntil(2, hasServedEnough)
	burst.stop()
	burst.check(t)
	f.checkResources()
	end()
}

// setMemoryLimits sets the memory limit and GC percentage that a controller sets, until the test ends.
func setMemoryLimits(t *testing.T) {
	t.Helper()
	memoryLimit := debug.SetMemoryLimit(limits.HeapLimit(loadMemoryMB))
	t.Cleanup(func() { debug.SetMemoryLimit(memoryLimit) })
	percent := debug.SetGCPercent(limits.GCPercent)
	t.Cleanup(func() { debug.SetGCPercent(percent) })
}

// checkResources checks the heap size and the numbers of goroutines and threads against their limits.
func (f *loadFixture) checkResources() {
	f.t.Helper()
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	if bound := uint64(40<<20 + loadWorkers*limits.MaxIdleConnBytes); memory.HeapAlloc > bound {
		f.t.Errorf("heap of %d bytes, want at most %d", memory.HeapAlloc, bound)
	}
	// At most one for the direct commands or probe of each worker, and a bounded number of others.
	if bound := loadWorkers + limits.UserSlots + limits.MaxCloudCalls + 200; f.extraGoroutines > bound {
		f.t.Errorf("%d goroutines, want at most %d", f.extraGoroutines, bound)
	}
	threads := pprof.Lookup("threadcreate").Count()
	if threads > 200 {
		f.t.Errorf("%d threads, want at most 200", threads)
	}
	f.t.Logf("heap %d MB, %d goroutines, %d threads, %d tasks",
		memory.HeapAlloc>>20, f.extraGoroutines, threads, f.startedTaskCount())
}

// submissionBurst counts the responses to submissions that many users send concurrently.
type submissionBurst struct {
	cancel    context.CancelFunc
	users     sync.WaitGroup
	accepted  atomic.Int64
	rejected  atomic.Int64
	peakBytes atomic.Uint64 // highest value of runtimeMemoryBytes
}

// startBurst starts many concurrent users. Each submits its jobs one after the other.
func (f *loadFixture) startBurst() *submissionBurst {
	ctx, cancel := context.WithCancel(f.ctx)
	burst := &submissionBurst{cancel: cancel}
	for user := range burstUsers {
		burst.users.Go(func() {
			client := transport.NewClient(f.address, 1, limits.MaxBodyBytes)
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil && i < requestsPerUser; i++ {
				f.submitInBurst(burst, client, firstBurstJob+user*requestsPerUser+i)
			}
		})
	}
	return burst
}

// submitInBurst submits one job of the burst and counts the response.
func (f *loadFixture) submitInBurst(burst *submissionBurst, client *transport.Client, number int) {
	ctx, cancel := context.WithTimeout(f.ctx, limits.SubmitTimeout+time.Second)
	defer cancel()
	body := protocol.Encode(jobSpec(fmt.Sprintf("job-%d", number), map[string]any{
		"Crew": "red", "Vcpus": 1, "Accelerators": 0, "RamGb": 1, "Rigkinds": nil,
	}))
	response, err := client.Do(ctx, http.MethodPost, jobsPath, body)
	switch {
	case err != nil: // not counted: the gateway may have no free inbound connection
	case response.Status == http.StatusCreated:
		burst.accepted.Add(1)
	case response.Status == http.StatusServiceUnavailable && response.RetryAfter > 0:
		burst.rejected.Add(1)
	default:
		f.t.Errorf("submission in the burst: status %d, Retry-After %d; want status 201, or 503 with Retry-After",
			response.Status, response.RetryAfter)
	}
	burst.peakBytes.Store(max(burst.peakBytes.Load(), runtimeMemoryBytes()))
}

// stop ends the burst and waits until all its users have ended.
func (b *submissionBurst) stop() {
	b.cancel()
	b.users.Wait()
}

// check checks that some jobs of the burst were accepted, and that the memory stayed within the limit of
// the settings.
func (b *submissionBurst) check(t *testing.T) {
	t.Helper()
	if b.accepted.Load() == 0 {
		t.Error("no job of the burst was accepted")
	}
	peak := b.peakBytes.Load()
	if bound := uint64(loadMemoryMB * (1 << 20)); peak > bound {
		t.Errorf("peak memory of %d bytes, want at most %d", peak, bound)
	}
	t.Logf("burst: %d submissions accepted, %d rejected, peak memory %d MB",
		b.accepted.Load(), b.rejected.Load(), peak>>20)
}

// runtimeMemoryBytes returns how much memory the Go runtime has obtained from the system and not released.
func runtimeMemoryBytes() uint64 {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
