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

// The size of the flood.
const (
	floodUsers      = 200
	requestsPerUser = 100
	firstFloodJob   = 100_000
)

// TestThousandsOfWorkers: two thousand workers at one controller with a backlog of tens of thousands
// of tasks, all of them coming back at once after a crash of all controllers. Memory, goroutines and
// threads stay bounded, and all are served.
func TestThousandsOfWorkers(t *testing.T) {
	limitMemory(t)
	f := newLoadFixture(t)

	end := f.lead(1)
	f.heartbeatsUntil(1, func(served int) bool {
		return mostServed(served) && f.startedTasks() > loadWorkers*cpusPerWorker/2
	})
	end()

	// All controllers have crashed, and all connections are gone; the new leader gets them at once.
	f.reconnectAll()
	flood := f.startFlood()
	end = f.lead(2)
	f.heartbeatsUntil(2, mostServed)
	flood.stop()
	flood.check(t)
	f.checkResources()
	end()
}

// limitMemory sets the memory limits of the process as a controller does, until the test ends.
func limitMemory(t *testing.T) {
	t.Helper()
	memoryLimit := debug.SetMemoryLimit(limits.HeapLimit(loadMemoryMB))
	t.Cleanup(func() { debug.SetMemoryLimit(memoryLimit) })
	percent := debug.SetGCPercent(limits.GCPercent)
	t.Cleanup(func() { debug.SetGCPercent(percent) })
}

// checkResources checks heap, goroutines and threads against their bounds.
func (f *loadFixture) checkResources() {
	f.t.Helper()
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	if bound := uint64(40<<20 + loadWorkers*limits.MaxIdleConnBytes); memory.HeapAlloc > bound {
		f.t.Errorf("heap of %d bytes, at most %d expected", memory.HeapAlloc, bound)
	}
	// One for each direct command or probe at most, and those of fixed number.
	if bound := loadWorkers + limits.UserSlots + limits.MaxCloudCalls + 200; f.extraGoroutines > bound {
		f.t.Errorf("%d goroutines, at most %d expected", f.extraGoroutines, bound)
	}
	threads := pprof.Lookup("threadcreate").Count()
	if threads > 200 {
		f.t.Errorf("%d threads", threads)
	}
	f.t.Logf("heap %d MB, %d goroutines, %d threads, %d tasks",
		memory.HeapAlloc>>20, f.extraGoroutines, threads, f.startedTasks())
}

// userFlood is a flood of submissions by many users at once.
type userFlood struct {
	cancel    context.CancelFunc
	users     sync.WaitGroup
	accepted  atomic.Int64
	refused   atomic.Int64
	peakBytes atomic.Uint64 // most memory that the runtime had from the system
}

// startFlood makes many users submit jobs, one after the other each.
func (f *loadFixture) startFlood() *userFlood {
	ctx, cancel := context.WithCancel(f.ctx)
	flood := &userFlood{cancel: cancel}
	for user := range floodUsers {
		flood.users.Go(func() {
			client := transport.NewClient(f.address, 1, limits.MaxBodyBytes)
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil && i < requestsPerUser; i++ {
				f.submitInFlood(flood, client, firstFloodJob+user*requestsPerUser+i)
			}
		})
	}
	return flood
}

// submitInFlood submits one job of the flood and counts the answer.
func (f *loadFixture) submitInFlood(flood *userFlood, client *transport.Client, number int) {
	ctx, cancel := context.WithTimeout(f.ctx, limits.SubmitTimeout+time.Second)
	defer cancel()
	body := protocol.Encode(spec(fmt.Sprintf("job-%d", number), map[string]any{
		"Crew": "red", "Vcpus": 1, "Accelerators": 0, "RamGb": 1, "Rigkinds": nil,
	}))
	answer, err := client.Do(ctx, http.MethodPost, jobsPath, body)
	switch {
	case err != nil: // no connection is free
	case answer.Status == http.StatusCreated:
		flood.accepted.Add(1)
	case answer.Status == http.StatusServiceUnavailable && answer.RetryAfter > 0:
		flood.refused.Add(1)
	default:
		f.t.Errorf("flood: %d, retry after %d", answer.Status, answer.RetryAfter)
	}
	flood.peakBytes.Store(max(flood.peakBytes.Load(), runtimeMemoryBytes()))
}

// stop ends the flood and waits for its users.
func (f *userFlood) stop() {
	f.cancel()
	f.users.Wait()
}

// check checks that some jobs of the flood were accepted, and that the memory stayed within the
// settings.
func (f *userFlood) check(t *testing.T) {
	t.Helper()
	if f.accepted.Load() == 0 {
		t.Error("no job of the flood was accepted")
	}
	peak := f.peakBytes.Load()
	if bound := uint64(loadMemoryMB * (1 << 20)); peak > bound {
		t.Errorf("%d bytes held at the peak, the settings allow %d", peak, bound)
	}
	t.Logf("flood: %d accepted, %d refused, %d MB held at the peak",
		f.accepted.Load(), f.refused.Load(), peak>>20)
}

// runtimeMemoryBytes is the memory that the runtime has from the system.
func runtimeMemoryBytes() uint64 {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
