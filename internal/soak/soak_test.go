// Package soak tests the built program: processes on the loopback interface under random faults that overlap,
// with users at all of them. The rules of the protocol are checked from outside, on what the users and the
// stand-ins of workers, cloud and state service observe.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
	"quillshunt/internal/testvariable"
)

// Variables that choose the runs. Without them a few short ones are made.
const (
	seedsVariable    = "QUILLSHUNT_SOAK_SEEDS"    // such as 1-50
	secondsVariable  = "QUILLSHUNT_SOAK_SECONDS"  // time in which faults begin
	scheduleVariable = "QUILLSHUNT_SOAK_SCHEDULE" // file of a failed run, to be played again
	directoryVar     = "QUILLSHUNT_SOAK_DIR"      // folder for the files of failed runs
	binaryVariable   = "QUILLSHUNT_SOAK_BINARY"   // program to be tested instead of the one built from here
)

const (
	defaultSeeds   = "1-2"
	defaultSeconds = 22
	warmUp         = 4 * time.Second // before the first fault
	// runEvery is how many seeds there are for one run with a large fleet, one with a long outage, and one with a
	// large fleet and small controllers.
	runEvery           = 5
	largeRun           = 0 // seed modulo runEvery
	longOutageRun      = 3
	smallControllerRun = 4
	// machineReturn is the time in which machines without work are returned, unless they are younger than
	// paidAge, for which the cloud charges in any case.
	machineReturn = 45 * time.Second
	paidAge       = 60 * time.Second
)

// size is the size of a run and the limits of its state service.
type size struct {
	controllers   int
	jobInterval   time.Duration
	firstJobs     int // submitted at the start
	stateRPS      float64
	stateWriteRPS float64
	longestTask   time.Duration // run time of the longest tasks
	longJobs      int           // jobs in ten that have these
	longOutage    bool          // the faults are those of newLongOutage
	sockets       int           // of each controller
	coreShare     float64       // share of a core that each controller has
	throttled     bool          // the controllers get no more than that
}

// sizeOf returns the size of the run with a seed: a small or a large one, in which reads are scarce, a large one with
// small controllers, or one with a long outage, in which many jobs are cancelled that have long to go. Sockets, the
// rate of the state service and the share of a core of small controllers are drawn, down to scarce ones.
func sizeOf(seed uint64) size {
	s := sizeOfKind(seed)
	random := rand.New(rand.NewPCG(seed, 13))
	s.stateRPS *= []float64{1, 1, 0.75, 0.5}[random.IntN(4)]
	s.sockets = []int{3000, 3000, 1200, 500}[random.IntN(4)]
	if s.throttled {
		s.coreShare = []float64{0.05, 0.03, 0.04}[random.IntN(3)]
	}
	return s
}

// sizeOfKind returns the size of the run with a seed without what is drawn.
func sizeOfKind(seed uint64) size {
	small := size{
		controllers: 3, jobInterval: 700 * time.Millisecond, firstJobs: 5, stateRPS: 80, stateWriteRPS: 25,
		longestTask: 30 * time.Second, longJobs: 1, coreShare: 0.5,
	}
	large := small
	large.controllers, large.jobInterval, large.firstJobs = 5, 120*time.Millisecond, 300
	large.stateRPS, large.stateWriteRPS = 60, 30
	switch seed % runEvery {
	case largeRun:
		return large
	case smallControllerRun:
		large.throttled = true
		return large
	case longOutageRun:
		long := small
		long.jobInterval, long.longOutage = 300*time.Millisecond, true
		long.longestTask, long.longJobs = 60*time.Second, 6
		return long
	}
	return small
}

// TestSoak runs the program under random faults, and checks all rules from outside.
func TestSoak(t *testing.T) {
	binary := findBinary(t)
	for _, s := range schedules(t) {
		t.Run(fmt.Sprintf("seed %d", s.Seed), func(t *testing.T) {
			t.Parallel()
			soak(t, binary, s)
		})
	}
}

// findBinary returns the path of the program, which it builds unless one is named.
func findBinary(t *testing.T) string {
	t.Helper()
	if binary := os.Getenv(binaryVariable); binary != "" {
		if _, err := os.Stat(binary); err != nil {
			t.Fatalf("%s: %v", binaryVariable, err)
		}
		return binary
	}
	binary := filepath.Join(t.TempDir(), "quillshunt")
	build := exec.Command("go", "build", "-o", binary, "quillshunt/cmd/quillshunt")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v: %s", err, output)
	}
	return binary
}

// schedules returns the schedules of all runs.
func schedules(t *testing.T) []schedule {
	t.Helper()
	if path := os.Getenv(scheduleVariable); path != "" {
		encoded, err := os.ReadFile(path)
		var s schedule
		if err == nil {
			err = json.Unmarshal(encoded, &s)
		}
		if err != nil {
			t.Fatalf("%s: %v", scheduleVariable, err)
		}
		return []schedule{s}
	}
	seconds := testvariable.Positive(t, secondsVariable, defaultSeconds)
	seeds := os.Getenv(seedsVariable)
	if seeds == "" {
		seeds = defaultSeeds
	}
	first, last, isRange := strings.Cut(seeds, "-")
	if !isRange {
		last = first
	}
	from, err1 := strconv.ParseUint(first, 10, 32)
	to, err2 := strconv.ParseUint(last, 10, 32)
	if err1 != nil || err2 != nil || from > to {
		t.Fatalf("%s=%s: must be a number or a range such as 1-50", seedsVariable, seeds)
	}
	var all []schedule
	for seed := from; seed <= to; seed++ {
		all = append(all, newSchedule(seed, seconds))
	}
	return all
}

// soak makes one run. If it breaks a rule, its files are kept.
func soak(t *testing.T, binary string, s schedule) {
	directory, err := os.MkdirTemp(os.Getenv(directoryVar), fmt.Sprintf("soak-%d-", s.Seed))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(directory)
		}
	})
	writeJSON(t, filepath.Join(directory, "schedule.json"), s)
	size := sizeOf(s.Seed)
	d := newDeployment(t, binary, directory, size)
	h := d.run(s, size)

	found := h.violations(time.Duration(workerTimes.CancelWithinS * float64(time.Second)))
	t.Logf("seed %d: %d jobs, %d answers, %d task starts, %d faults, %d machines, %d copies of direct commands; "+
		"longest time without an answer after all faults %v; %d violations",
		s.Seed, len(h.Submitted), len(h.Answers), len(h.TaskChanges)/2, len(s.Faults), h.machines(),
		d.cloud.CopiesOfDirectCommands(), h.longestUnanswered(), len(found))
	if len(h.TaskChanges) == 0 || len(h.Answers) == 0 {
		t.Error("nothing ran: the run has tested nothing")
	}
	for i, violation := range found {
		if i == 20 {
			break
		}
		t.Error(violation)
	}
	if t.Failed() {
		writeJSON(t, filepath.Join(directory, "history.json"), h)
		t.Logf("logs, records and schedule are in %s; play it again with\n%s=%s go test -run TestSoak ./internal/soak",
			directory, scheduleVariable, filepath.Join(directory, "schedule.json"))
	}
}

// run plays a schedule with users, and lets the deployment settle. It returns what was observed.
func (d *deployment) run(s schedule, size size) *history {
	ctx, stop := context.WithCancel(d.ctx)
	defer stop()
	go d.balancer.Run(ctx)
	if size.throttled {
		for _, c := range d.controllers {
			go d.throttle(ctx, c, size.coreShare)
		}
	}
	u := &users{d: d, ctx: ctx, random: rand.New(rand.NewPCG(s.Seed, 1))}
	submitting, stopSubmitting := context.WithCancel(ctx)
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		for range size.firstJobs {
			u.startUser()
		}
		u.submitJobs(submitting, size.jobInterval)
	}()
	go d.sampleUntil(ctx)

	d.cloud.SetRepeatedDirectCommands(newRepeatDelays(s.Seed))
	d.playFaults(s)
	healedAt := d.since()
	stopSubmitting()
	<-submitted
	unfinished := d.settle(maxWaiting + size.longestTask)
	left := d.waitForReturns(machineReturn)
	stop()
	u.group.Wait()

	h := d.recorder.snapshot()
	h.HealedAt, h.EndedAt = healedAt, d.since()
	h.Unfinished, h.LeftMachines = unfinished, left
	h.ErrorLines = d.errorLines()
	return h
}

// settle waits until all accepted jobs are done or cancelled, as their users have been told. It returns those
// that are not in time. Users who have cancelled or not submitted their job in time need no answer.
func (d *deployment) settle(within time.Duration) []string {
	for deadline := time.Now().Add(within); ; {
		unfinished := d.recorder.unfinishedJobs()
		if len(unfinished) == 0 || time.Now().After(deadline) {
			return unfinished
		}
		storage.SleepContext(d.ctx, time.Second/4)
	}
}

// waitForReturns waits until all machines have been returned that are older than paidAge. It returns those that
// have not in time, nor shortly after they have reached that age.
func (d *deployment) waitForReturns(within time.Duration) []string {
	for deadline := time.Now().Add(within); ; {
		if len(d.machinesOlderThan(paidAge)) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return d.machinesOlderThan(paidAge + machineReturn/3)
		}
		storage.SleepContext(d.ctx, time.Second/4)
	}
}

// machinesOlderThan returns the names of the machines that were rented longer ago than a time.
func (d *deployment) machinesOlderThan(age time.Duration) []string {
	var old []string
	for _, name := range d.cloud.MachineNames() {
		if d.cloud.MachineAge(name) > age {
			old = append(old, name)
		}
	}
	return old
}

// unfinishedJobs returns the accepted jobs of which no user has been told that they have ended.
func (r *recorder) unfinishedJobs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	accepted := map[string]bool{}
	for _, a := range r.history.Answers {
		if a.isAnswer() && a.State != protocol.JobDone && a.State != protocol.JobCancelled {
			accepted[a.Job] = true
		}
	}
	var unfinished []string
	for job := range accepted {
		if r.ended[job] == "" {
			unfinished = append(unfinished, job)
		}
	}
	return unfinished
}

// machines returns how many machines have executed commands.
func (h *history) machines() int {
	names := map[string]bool{}
	for _, e := range h.Executions {
		names[e.Machine] = true
	}
	return len(names)
}

// longestUnanswered returns the longest time between two answers about an accepted job after the end of all
// faults.
func (h *history) longestUnanswered() time.Duration {
	longest := time.Duration(0)
	for _, answers := range h.answersByJob() {
		accepted, last := false, h.HealedAt
		for _, a := range answers {
			if !a.isAnswer() {
				continue
			}
			if accepted && a.ReceivedAt > last {
				longest = max(longest, a.ReceivedAt-last)
			}
			accepted, last = true, max(last, a.ReceivedAt)
			if a.isFinal() {
				break
			}
		}
	}
	return longest
}

// writeJSON writes a value to a file.
func writeJSON(t *testing.T, path string, value any) {
	t.Helper()
	encoded, err := json.MarshalIndent(value, "", " ")
	if err == nil {
		err = os.WriteFile(path, encoded, 0o644)
	}
	if err != nil {
		t.Error(err)
	}
}
