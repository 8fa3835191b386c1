package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quillshunt/internal/protocol"
)

// capacityGate stands in front of the cloud and refuses rentals for lack of capacity, as the protocol has it.
type capacityGate struct {
	record *record
	cloud  http.Handler

	mu              sync.Mutex
	noSpot, noPlain bool // no spot machines, no ordinary ones
}

func newCapacityGate(r *record, cloud string) *capacityGate {
	return &capacityGate{record: r, cloud: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: cloud})}
}

// set sets of which kind there are no machines.
func (c *capacityGate) set(noSpot, noPlain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noSpot, c.noPlain = noSpot, noPlain
	c.record.add("the cloud has spot machines: %v, ordinary machines: %v", !noSpot, !noPlain)
}

func (c *capacityGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/rentals" {
		c.cloud.ServeHTTP(w, r)
		return
	}
	body := readBody(r)
	var rental struct {
		Hire, Rigkind, Yard string
		Lendable            bool
		Number              int
	}
	if cbor.Unmarshal(body, &rental) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	c.mu.Lock()
	refused := (rental.Lendable && c.noSpot) || (!rental.Lendable && c.noPlain)
	c.mu.Unlock()
	c.record.add("POST /rentals %+v, refused: %v", rental, refused)
	if refused {
		answer(w, http.StatusServiceUnavailable, map[string]any{"error": "no capacity"})
		return
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	c.cloud.ServeHTTP(w, r)
}

// hanbitFacts returns the settings of the site hanbit-dongmun-grid.
func hanbitFacts() facts {
	team := func(name string) facts {
		return facts{"name": name, "cpus": 128.0, "cpus_max": 384.0, "gpus": 0.0, "gpus_max": 0.0}
	}
	return facts{
		"initial_size": 3,
		"zones":        hanbitZones,
		"teams":        []facts{team("rolls-team"), team("donor-care")},
		"objectives": []facts{
			{"kind": "wait", "class": "roll-merge", "within_s": 180.0, "share": 0.88},
			{"kind": "wait", "class": "roll-merge", "within_s": 300.0, "share": 0.88},
			{"kind": "finished", "class": "roll-merge", "within_s": 400.0, "share": 0.88},
			{"kind": "deadline", "class": "receipt-run", "share": 0.96, "times": 1.0},
			{"kind": "wait", "class": "receipt-run", "within_s": 12.0, "share": 0.96},
		},
		"workers": facts{
			"report_s": 3.0, "lease_s": 27.0, "gang_wait_s": 40.0, "gang_peer_s": 6.0, "cancel_s": 47.0,
		},
		"state":          facts{"rps": 150.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 8},
		"cloud":          facts{"rps": 6.0, "list_lag_s": 3.0},
		"machine_limits": facts{"core_share": 0.24, "memory_mb": 234.0, "max_sockets": 2500},
		"skew_ms":        1000.0,
	}
}

var hanbitZones = []string{"jongno", "daegu-annex", "busan-vault"}

// Times of the case, since the submission.
const (
	plainBackAt = 30 * time.Second  // the cloud has ordinary machines again
	waitsUntil  = 110 * time.Second // for a task to start
)

// runCapacity: the cloud has no machines for a while, then ordinary ones only. A job misses its deadline meanwhile.
func runCapacity(recordFile string, trouble bool) int {
	types := []protocol.MachineType{
		{
			Name: "sarang-8", CPUs: 8, MemoryGB: 32, CacheGB: 60, FetchGBPerS: 0.2, Price: 0.6, SpotPrice: 0.12, BootS: 3,
			Zones: hanbitZones,
		},
		{
			Name: "hwarang-32", CPUs: 32, MemoryGB: 256, CacheGB: 60, FetchGBPerS: 0.2, Price: 3.01, SpotPrice: 0.63, BootS: 6,
			Zones: hanbitZones,
		},
	}
	g := newRig(recordFile, stateLimits{ValueKB: 8, TxnOps: 8, RPS: 150, WriteRPS: 15}, types)
	defer g.close()
	g.gateCloud = true
	g.startControllers(3, hanbitFacts())
	g.waitHealthy()
	if trouble {
		g.gate.set(true, true)
	}
	spec := job("job-000412")
	spec.Class, spec.Team, spec.Tasks, spec.CPUs, spec.MemoryGB = "receipt-run", "donor-care", 2, 4, 7.4
	spec.EstimateS, spec.DeadlineS = 5, 25 // twice the estimate, plus 15 s
	if status := g.submit(spec); status != 200 && status != 201 {
		panic(unavailable{"the job was not accepted"})
	}
	plainBack := false
	for start := time.Now(); time.Since(start) < waitsUntil; time.Sleep(2 * time.Second) {
		if trouble && !plainBack && time.Since(start) > plainBackAt {
			plainBack = true
			g.gate.set(true, false)
		}
		g.poll(g.controllers[0], spec.ID)
		if g.started() {
			g.record.add("held: a task was started")
			return held
		}
	}
	g.record.add("BROKEN: no task was started, for %v with ordinary machines to be had", waitsUntil-plainBackAt)
	return broken
}
