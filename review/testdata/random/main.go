// Command random plays troubles at random against the controllers for about 100 s and checks the rules. It
// is no case; the report says what it found. Its arguments are the record and a seed.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/review/testdata/rig"
)

type day struct {
	d      *rig.Deployment
	rng    *rand.Rand
	rngMu  sync.Mutex
	mu     sync.Mutex
	ended  map[string]protocol.JobState // what users were told, done or aborted
	asked  map[string]bool              // cancellations that were asked for
	known  map[string]bool              // accepted
	stop   atomic.Bool
	late   atomic.Bool
	lost   atomic.Bool
	copies atomic.Bool
	refuse sync.Map // caller -> true
	slow   atomic.Bool
	hold   atomic.Bool
}

func (y *day) n(k int) int { y.rngMu.Lock(); defer y.rngMu.Unlock(); return y.rng.IntN(k) }
func (y *day) f(lo, hi float64) time.Duration {
	y.rngMu.Lock()
	defer y.rngMu.Unlock()
	return time.Duration((lo + (hi-lo)*y.rng.Float64()) * float64(time.Second))
}

func (y *day) told(node, job, path string, began time.Time, status int, s protocol.JobStatus) {
	y.mu.Lock()
	defer y.mu.Unlock()
	was, over := y.ended[job]
	switch {
	case status == http.StatusNotFound && y.known[job]:
		y.d.Fleet.Break(fmt.Sprintf("forgotten: %s %s at %s got 404", job, path, node))
	case (status == 400 || status == 422) && y.known[job]:
		y.d.Fleet.Break(fmt.Sprintf("forgotten: %s %s at %s got %d", job, path, node, status))
	}
	if status != 200 && status != 201 {
		return
	}
	if over && s.State != was {
		y.d.Fleet.Break(fmt.Sprintf("went_back: %s was called %s, is called %s at %s", job, was, s.State, node))
	}
	if s.State == protocol.JobCancelled && !y.asked[job] {
		y.d.Fleet.Break(fmt.Sprintf("went_back: %s is called aborted, nobody asked", job))
	}
	if !over && (s.State == protocol.JobDone || s.State == protocol.JobCancelled) {
		y.ended[job] = s.State
		if s.State == protocol.JobCancelled {
			y.d.Fleet.ToldCancelled(job)
		} else {
			for i := range y.d.Fleet.Spec(job).Tasks {
				if !y.d.Fleet.IsDone(protocol.TaskName(job, i)) {
					y.d.Fleet.Break(fmt.Sprintf("not_done: %s is called done, task %d is not", job, i))
				}
			}
		}
	}
}

func (y *day) ask(method, job, suffix string, body any) int {
	node := y.d.Nodes[y.n(3)]
	path := "/v2/runs"
	if body == nil {
		path += "/" + job + suffix
	}
	y.mu.Lock()
	_, over := y.ended[job]
	y.mu.Unlock()
	began := time.Now()
	status, s := y.d.User(node, method, path, body)
	if over || time.Since(began) < time.Second || status >= 200 {
		y.mu.Lock()
		_, now := y.ended[job]
		y.mu.Unlock()
		if over == now { // answers that overlap the first final one are not judged
			y.told(node, job, path, began, status, s)
		}
	}
	return status
}

func (y *day) user(k int) {
	spec := protocol.Spec{
		ID: fmt.Sprintf("job-%06d", k), Class: "roll-merge", Team: "rolls-team", Shape: protocol.ShapeArray,
		Priority: []string{"standard", "high", "low"}[y.n(3)], Tasks: 1 + y.n(6), CPUs: float64(1 + y.n(4)), MemoryGB: 4,
		Image: fmt.Sprint("img", y.n(3)), ImageGB: 0.1, EstimateS: float64(2 + y.n(25)),
	}
	switch y.n(6) {
	case 0:
		spec.SameZone = true
	case 1:
		spec.SpreadZones = true
	case 2:
		spec.Zone = []string{"jongno", "daegu-annex", "busan-vault"}[y.n(3)]
	}
	if y.n(3) == 0 {
		spec.CheckpointS, spec.SaveS = 5, 1
	}
	y.d.Fleet.AddSpec(spec)
	for !y.stop.Load() {
		status := y.ask(http.MethodPost, spec.ID, "", rig.Submission(spec))
		if status == 200 || status == 201 {
			break
		}
		time.Sleep(time.Second)
	}
	y.mu.Lock()
	y.known[spec.ID] = true
	y.mu.Unlock()
	cancelAt := time.Now().Add(24 * time.Hour)
	if y.n(3) == 0 {
		cancelAt = time.Now().Add(y.f(0, 40))
	}
	for !y.stop.Load() {
		time.Sleep(y.f(0.2, 3))
		if time.Now().After(cancelAt) {
			y.mu.Lock()
			y.asked[spec.ID] = true
			y.mu.Unlock()
			y.ask(http.MethodPost, spec.ID, "/cancel", nil)
			continue
		}
		if y.n(8) == 0 {
			y.ask(http.MethodPost, spec.ID, "", rig.Submission(spec))
			continue
		}
		y.ask(http.MethodGet, spec.ID, "", nil)
	}
}

func (y *day) check(w *rig.Worker, task string, on map[string]map[string]bool) string {
	job, _, _ := protocol.ParseTaskName(task)
	spec := y.d.Fleet.Spec(job)
	used, zone, others := spec.CPUs, 1, 0
	for other, machines := range on {
		j, _, _ := protocol.ParseTaskName(other)
		for m := range machines {
			used += y.d.Fleet.Spec(j).CPUs
			if j != job || other == task {
				continue
			}
			if y.d.Fleet.Find(m).Zone == w.Zone {
				zone++
			} else {
				others++
			}
		}
	}
	switch {
	case used > 40:
		return fmt.Sprintf("quota: %.1f CPUs with %s", used, task)
	case spec.Zone != "" && spec.Zone != w.Zone, spec.SameZone && others > 0, spec.SpreadZones && zone > (spec.Tasks+1)/2:
		return fmt.Sprintf("wrong_place: %s on %s", task, w.Name)
	}
	return ""
}

func (y *day) trouble() {
	d := y.d
	node := d.Nodes[y.n(3)]
	if l, _ := d.Leader(); l != "" && y.n(2) == 0 {
		node = l
	}
	other := d.Others(node)[y.n(2)]
	var w *rig.Worker
	if all := d.Fleet.Workers(); len(all) > 0 {
		w = all[y.n(len(all))]
	}
	up := w != nil && w.IsUp()
	switch y.n(16) {
	case 0:
		d.Kill(node)
		time.Sleep(y.f(0.1, 8))
		_ = d.Start(node)
	case 1:
		d.Signal(node, syscall.SIGSTOP)
		time.Sleep(y.f(0.5, 25))
		d.Signal(node, syscall.SIGCONT)
	case 2:
		d.CutPeers(node, other, true)
		time.Sleep(y.f(2, 30))
		d.CutPeers(node, other, false)
	case 3:
		d.Record.Logf("TROUBLE %s cut from state and peers", node)
		d.State.Gates[node].SetCut(true)
		for _, o := range d.Others(node) {
			d.CutPeers(node, o, true)
		}
		time.Sleep(y.f(2, 25))
		d.State.Gates[node].SetCut(false)
		for _, o := range d.Others(node) {
			d.CutPeers(node, o, false)
		}
	case 4:
		d.Record.Logf("TROUBLE state refuses %s", node)
		y.refuse.Store(node, true)
		time.Sleep(y.f(2, 25))
		y.refuse.Delete(node)
		d.Record.Logf("TROUBLE state refuses %s no more", node)
	case 5:
		d.Record.Logf("TROUBLE state outage")
		d.State.SetOutage(true)
		for _, n := range d.Nodes {
			y.refuse.Store(n, true)
		}
		time.Sleep(y.f(2, 20))
		d.State.SetOutage(false)
		for _, n := range d.Nodes {
			y.refuse.Delete(n)
		}
		d.Record.Logf("TROUBLE state outage over")
	case 6:
		y.late.Store(true)
		time.Sleep(y.f(3, 20))
		y.late.Store(false)
	case 7:
		y.lost.Store(true)
		time.Sleep(y.f(3, 20))
		y.lost.Store(false)
	case 8, 9:
		if up {
			w.CutFrom(true, d.Nodes...)
			w.CutDirect(true)
			time.Sleep(y.f(2, 40))
			w.CutDirect(false)
			w.CutFrom(false, d.Nodes...)
		}
	case 10:
		if up {
			w.Hang(y.f(1, 26))
		}
	case 11:
		if up {
			w.SetDeaf(true)
			time.Sleep(y.f(2, 30))
			w.SetDeaf(false)
		}
	case 12:
		if up {
			w.CutFrom(true, d.Nodes...)
			time.Sleep(y.f(2, 40))
			w.CutFrom(false, d.Nodes...)
		}
	case 13:
		y.hold.Store(true)
		time.Sleep(y.f(2, 10))
		y.hold.Store(false)
	case 14:
		y.copies.Store(true)
		time.Sleep(y.f(3, 20))
		y.copies.Store(false)
	case 15:
		if y.n(2) == 0 {
			d.Cloud.SetOutage(true)
			time.Sleep(y.f(2, 30))
			d.Cloud.SetOutage(false)
		} else if up && y.n(3) == 0 {
			w.SetFaulty()
		}
	}
}

func main() {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		panic(err)
	}
	seed, _ := strconv.ParseUint(os.Args[2], 10, 64)
	d, err := rig.NewLimitedDeployment(record, 40)
	if err != nil {
		panic(err)
	}
	y := &day{d: d, rng: rand.New(rand.NewPCG(seed, 1)), ended: map[string]protocol.JobState{}, asked: map[string]bool{}, known: map[string]bool{}}
	for _, z := range []string{"jongno", "daegu-annex", "busan-vault"} {
		d.Cloud.SetCapacity(z, 5)
	}
	d.Fleet.OnStart = y.check
	d.State.Refuse = func(r *rig.Request) bool { _, ok := y.refuse.Load(r.Caller); return ok }
	d.State.Late = func(r *rig.Request) (time.Duration, bool) {
		return y.f(2, 12), y.late.Load() && y.n(3) == 0
	}
	d.State.After = func(r *rig.Request, _ int) bool { return r.Txn == nil || !y.lost.Load() || y.n(3) != 0 }
	d.Fleet.Copy = func(w *rig.Worker, h protocol.Heartbeat) {
		if !y.copies.Load() || y.n(2) == 0 {
			return
		}
		for _, n := range d.Nodes {
			time.AfterFunc(y.f(2, 40), func() { w.SendCopy(n, h) })
		}
	}
	d.Fleet.Hold = func(w *rig.Worker, c protocol.DirectCommands) bool {
		if !y.hold.Load() || y.n(2) == 0 {
			return false
		}
		time.AfterFunc(y.f(2, 30), w.ReleaseHeld)
		return true
	}
	time.Sleep(2 * time.Second)
	for k := range 14 {
		go func() { time.Sleep(y.f(0, 60)); y.user(k + 1) }()
	}
	for range 4 {
		go func() {
			time.Sleep(8 * time.Second)
			for !y.stop.Load() {
				y.trouble()
				time.Sleep(y.f(0, 4))
			}
		}()
	}
	time.Sleep(104 * time.Second)
	y.stop.Store(true)
	broken := d.Fleet.Broken()
	for _, b := range broken {
		if !strings.HasPrefix(b, "ran_cancelled") {
			fmt.Println("seed", seed, b)
		}
	}
	d.Finish()
}
