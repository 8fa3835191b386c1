package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestCheapestVictims compares the chosen set with every set: up to the cutoff it is the cheapest; beyond, it covers what is
// short and has no task that is not needed.
func TestCheapestVictims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, limits.VictimCutoff+4).Draw(t, "n")
		options := make([]victim, n)
		for i := range options {
			options[i].need = room{float64(rapid.IntRange(0, 4).Draw(t, "cpu")), 0, float64(rapid.IntRange(0, 4).Draw(t, "ram"))}
			options[i].loss = float64(rapid.IntRange(0, 50).Draw(t, "loss"))
		}
		short := room{float64(rapid.IntRange(-1, 8).Draw(t, "short")), 0, float64(rapid.IntRange(1, 8).Draw(t, "shortRam"))}
		sum := func(set []int) (room, float64) {
			var r room
			loss := 0.0
			for _, i := range set {
				r, loss = r.plus(options[i].need), loss+options[i].loss
			}
			return r, loss
		}
		best := -1.0
		for mask := range 1 << n {
			var set []int
			for i := range n {
				if mask>>i&1 != 0 {
					set = append(set, i)
				}
			}
			if r, loss := sum(set); r.holds(short) && (best < 0 || loss < best) {
				best = loss
			}
		}
		got := cheapest(options, short)
		if (got == nil) != (best < 0) {
			t.Fatalf("got %v, best %v", got, best)
		}
		if got == nil {
			return
		}
		r, loss := sum(got)
		if !r.holds(short) || (n <= limits.VictimCutoff && loss > best) {
			t.Fatalf("got %v: %+v loss %v, best %v, short %+v", got, r, loss, best, short)
		}
		for k := range got {
			rest := append(append([]int(nil), got[:k]...), got[k+1:]...)
			if r, _ := sum(rest); n > limits.VictimCutoff && r.holds(short) {
				t.Fatalf("task %d of %v is not needed", got[k], got)
			}
		}
	})
}

func TestRank(t *testing.T) {
	free, dearer, stops := candidate{m: &machine{name: "a"}}, candidate{m: &machine{name: "b"}}, candidate{m: &machine{name: "c"}}
	free.scores[weighPrice] = -5 // free room comes first, however dear
	dearer.scores[weighOvercommit], dearer.scores[weighCost], dearer.scores[weighPrice] = -1, -20, -1
	stops.scores[weighOvercommit], stops.scores[weighCost], stops.scores[weighPrice] = -1, -3, -4
	if got := rank([]candidate{dearer, stops, free}); got != 2 {
		t.Errorf("free room: %d", got)
	}
	if got := rank([]candidate{dearer, stops}); got != 1 {
		t.Errorf("least loss: %d", got)
	}
	if got := rank([]candidate{stops, stops}); got != 0 {
		t.Errorf("all equal: %d", got)
	}
	if got := rank(nil); got != -1 {
		t.Errorf("none: %d", got)
	}
}

// bed is one machine with a scheduler that leads, for single stories.
type bed struct {
	t     *testing.T
	s     *Scheduler
	now   time.Duration
	out   []Effect
	tally uint64
	stamp uint64
}

func newBed(t *testing.T, machines int) *bed {
	b := &bed{t: t, s: New(Config{Term: 3,
		Teams:   []config.Team{{Name: "red", CPUs: 8, CPUsMax: 100}, {Name: "blue", CPUs: 8, CPUsMax: 100}},
		Workers: config.Workers{ReportS: 2, LeaseS: 14, CancelS: 34, GangWaitS: seconds(20), GangPeerS: seconds(4)}, State: config.State{WriteRPS: 20, ValueKB: 4, TxnOps: 8}, Options: config.DefaultOptions()}, 0)}
	b.step(TypesDone{OK: true, Types: []protocol.MachineType{{Name: "s8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"}}}})
	loadUp(b.s, "h-1-1", upHire("s8", machines, b.rig), b.now)
	b.step(Loaded{})
	return b
}

// loadUp loads a rental whose machines are all up.
func loadUp(s *Scheduler, name string, h storage.Rental, now time.Duration) {
	s.Step(RentalLoaded{Name: name, Version: 1, Rec: h}, now)
	var u storage.Ups
	for _, rig := range h.Machines {
		u.Machines = append(u.Machines, storage.Up{Machine: rig, Address: "x:1"})
	}
	s.Step(RegistrationLoaded{Name: name, Version: 1, Rec: u}, now)
}

// upHire is the record of a rental with its machines.
func upHire(kind string, machines int, name func(int) string) storage.Rental {
	h := storage.Rental{MachineType: kind, Zone: "a", Count: machines, Answered: true}
	for i := range machines {
		h.Machines = append(h.Machines, name(i))
	}
	return h
}

func longName(i int) string { return fmt.Sprintf("m-%06d", i) }

func (b *bed) rig(i int) string { return fmt.Sprintf("m-%d", i) }

func (b *bed) step(e Event) []Effect {
	b.now += 10 * time.Millisecond
	b.out = b.s.Step(e, b.now)
	return b.out
}

// report sends a report and returns the orders.
func (b *bed) report(i int, tasks ...protocol.TaskReport) []protocol.Command {
	b.tally++
	for _, e := range b.step(ReportIn{Entitled: true, Stayed: true, Report: &protocol.Report{Machine: b.rig(i), Address: "x:1", MachineType: "s8", Zone: "a",
		Session: 1, Sequence: b.tally, Token: 3, Tasks: tasks}}) {
		if r, ok := e.(ReplyOut); ok && r.OK {
			return r.Commands
		}
	}
	b.t.Fatalf("report not answered: %+v", b.out)
	return nil
}

func (b *bed) job(id, team, urgency string, pieces int, cpus float64, due float64) {
	b.stamp++
	b.step(JobSeen{ID: id, Version: 100 + b.stamp, Rec: storage.Open{Spec: protocol.Spec{ID: id, Class: "c", Team: team, Shape: "sweep",
		Priority: urgency, Tasks: pieces, CPUs: cpus, MemoryGB: 1, Image: "i", EstimateS: 10, DeadlineS: due}}})
}

// starts collects the starts of direct commands among the effects, and answers nothing.
func (b *bed) direct() []DirectOut {
	var out []DirectOut
	for _, e := range b.out {
		if d, ok := e.(DirectOut); ok {
			out = append(out, d)
		}
	}
	return out
}

func verbs(orders []protocol.Command, verb string) int {
	n := 0
	for _, o := range orders {
		if o.Verb == verb {
			n++
		}
	}
	return n
}

// TestForgetAfterDurable: a result is forgotten by its worker only once it is written down.
func TestForgetAfterDurable(t *testing.T) {
	b := newBed(t, 1)
	b.report(0)
	b.job("job-1", "red", "standard", 20, 1, 0)
	d := b.direct()
	if len(d) != 1 || verbs(d[0].Commands, protocol.CommandStart) != 8 {
		t.Fatalf("starts: %+v", b.out)
	}
	done := protocol.TaskReport{Task: "job-1/0", Attempt: d[0].Commands[0].Attempt, State: protocol.Ended, Reason: protocol.ReasonDone}
	other := protocol.TaskReport{Task: "job-1/1", Attempt: d[0].Commands[1].Attempt, State: protocol.Running}
	if orders := b.report(0, done, other); verbs(orders, protocol.CommandForget) != 0 {
		t.Fatalf("forgotten at once: %+v", orders)
	}
	b.now += 5 * time.Second
	var w *WriteOut
	for _, e := range b.step(Tick{Entitled: true}) {
		if x, ok := e.(WriteOut); ok && x.Ops[0].Put == storage.FinKey("job-1", 0) {
			w = &x
		}
	}
	if w == nil {
		t.Fatalf("result not written: %+v", b.out)
	}
	if orders := b.report(0, done, other); verbs(orders, protocol.CommandForget) != 0 {
		t.Fatalf("forgotten while the write is under way: %+v", orders)
	}
	b.step(WriteDone{ID: w.ID, OK: true, Version: 500})
	if orders := b.report(0, done, other); verbs(orders, protocol.CommandForget) != 1 {
		t.Fatalf("not forgotten: %+v", orders)
	}
}

// TestFewRecords: a job that is nearly over is not written down task by task, as its final record says it all; one that drags on is.
func TestFewRecords(t *testing.T) {
	b := newBed(t, 1)
	b.report(0)
	b.job("job-1", "red", "standard", 2, 1, 0)
	var tasks []protocol.TaskReport
	for _, o := range b.direct()[0].Commands {
		tasks = append(tasks, protocol.TaskReport{Task: o.Task, Attempt: o.Attempt, State: protocol.Running})
	}
	tasks[0].State, tasks[0].Reason = protocol.Ended, protocol.ReasonDone
	written := time.Duration(0)
	for began := b.now; b.now < began+2*limits.FlushPatience && written == 0; b.now += time.Second {
		b.report(0, tasks...)
		for _, e := range b.step(Tick{Entitled: true}) {
			if w, ok := e.(WriteOut); ok && w.Bulk {
				written = b.now - began
			}
		}
	}
	if written < limits.FlushPatience {
		t.Errorf("written after %v", written)
	}
}

// TestCancelledOnNotice: a cancelled task that does not stop costs its machine in time, also one that the cloud has said to take.
func TestCancelledOnNotice(t *testing.T) {
	b := newBed(t, 1)
	b.report(0)
	b.job("job-1", "red", "standard", 1, 1, 0)
	task := protocol.TaskReport{Task: "job-1/0", Attempt: b.direct()[0].Commands[0].Attempt, State: protocol.Running}
	b.report(0, task)
	b.stamp++
	b.step(JobSeen{ID: "job-1", Version: 100 + b.stamp, Rec: storage.Open{Cancelled: true, Spec: b.s.jobs["job-1"].spec}})
	b.s.machines[b.rig(0)].notice, b.s.machines[b.rig(0)].noticeEnd = true, time.Hour
	for end := b.now + 20*time.Second; b.now < end; b.now += time.Second {
		b.report(0, task)
		b.step(Tick{Entitled: true})
	}
	if !b.s.machines[b.rig(0)].deleting {
		t.Error("its machine is kept")
	}
}

// TestCancelledInTime: a machine that reports a cancelled task again and again, whatever it is told, and whose deletion nobody confirms,
// gets no answer from so
// early on that its lease ends within cancel_s; and that time goes on across a change of leaders. A machine without such a task is
// answered all the while.
func TestCancelledInTime(t *testing.T) {
	for _, age := range []time.Duration{0, 10 * time.Second, 25 * time.Second, time.Hour} {
		b := newBed(t, 2)
		b.report(0)
		b.report(1)
		b.job("job-1", "red", "standard", 1, 8, 0)
		var task protocol.TaskReport
		for _, d := range b.direct() {
			task = protocol.TaskReport{Task: d.Commands[0].Task, Attempt: d.Commands[0].Attempt, State: protocol.Running}
			b.step(DirectDone{ID: d.ID, Machine: d.Machine, Report: &protocol.Report{Machine: d.Machine, Address: "x:1", MachineType: "s8", Zone: "a", Session: 1, Sequence: b.tally + 1, Token: 3, Tasks: []protocol.TaskReport{task}}})
		}
		held := b.s.jobs["job-1"].bound[0].machine.name
		b.tally++
		b.step(JobSeen{ID: "job-1", Version: 900, CancelAge: age, Rec: storage.Open{Cancelled: true, Spec: b.s.jobs["job-1"].spec}})
		learned := b.now
		told := b.now - age
		if age >= 34*time.Second {
			told = b.now // no leader knew, or its lease would be over: nobody was told
		}
		asked, last := time.Duration(0), time.Duration(0)
		for b.now < told+34*time.Second {
			b.now += time.Second
			for i := range 2 {
				b.tally++
				r := &protocol.Report{Machine: b.rig(i), Address: "x:1", MachineType: "s8", Zone: "a", Session: 1, Sequence: b.tally, Token: 3}
				if r.Machine == held {
					r.Tasks = []protocol.TaskReport{task}
				}
				for _, e := range b.step(ReportIn{Entitled: true, Stayed: true, Report: r}) {
					switch e := e.(type) {
					case DirectOut:
						b.step(DirectDone{ID: e.ID, Machine: e.Machine})
					case ReplyOut:
						if e.OK && r.Machine == held {
							last = b.now
						} else if !e.OK && r.Machine != held {
							t.Fatalf("age %v: the other machine is not answered", age)
						}
					}
				}
			}
			for _, e := range b.step(Tick{Entitled: true}) {
				if d, ok := e.(DeleteOut); ok && asked == 0 {
					if d.Machines[0] != held || len(d.Machines) != 1 {
						t.Fatalf("age %v: deletion of %v", age, d.Machines)
					}
					asked = b.now
				}
			}
		}
		if last != 0 && last+14*time.Second > told+34*time.Second {
			t.Errorf("age %v: answered until %v after the word to the user", age, last-told)
		}
		if asked == 0 || asked > told+30*time.Second {
			t.Errorf("age %v: deletion asked for %v after the word to the user", age, asked-told)
		}
		if asked < learned+limits.CancelGrace {
			t.Errorf("age %v: deleted %v after we learned of it, before its stop could take effect", age, asked-learned)
		}
	}
}

// TestRegisteredBeforeStart: a machine gets its first task only once the state service knows that it may have one; otherwise a
// new leader would not look for it there.
func TestRegisteredBeforeStart(t *testing.T) {
	b := newBed(t, 0)
	b.job("job-1", "red", "standard", 1, 1, 0)
	b.step(RentalLoaded{Name: "h-2-1", Version: 7, Rec: storage.Rental{MachineType: "s8", Zone: "a", Count: 1, Answered: true, Machines: []string{b.rig(0)}}})
	orders := b.report(0)
	var mark *WriteOut
	for _, e := range b.out {
		if w, ok := e.(WriteOut); ok && w.Ops[0].Put == storage.UpKey("3-1") {
			mark = &w
		}
	}
	if mark == nil || verbs(orders, protocol.CommandStart) != 0 || len(b.direct()) != 0 {
		t.Fatalf("before the mark: %+v %+v", orders, b.out)
	}
	b.step(WriteDone{ID: mark.ID, OK: true, Version: 9})
	if d := b.direct(); len(d) != 1 || verbs(d[0].Commands, protocol.CommandStart) != 1 {
		t.Fatalf("after the mark: %+v", b.out)
	}
}

// marksOut are the writes of registrations among the effects.
func (b *bed) marksOut() []WriteOut {
	var out []WriteOut
	for _, e := range b.out {
		if w, ok := e.(WriteOut); ok && strings.HasPrefix(w.Ops[0].Put, storage.PrefixUp) {
			out = append(out, w)
		}
	}
	return out
}

// TestRegistrationsTogether: machines of several rentals that come up at once are registered by few writes, each within the size of a value;
// none is registered before its
// rental's record names it, as a successor ignores registrations that no rental accounts for; and a successor finds all of them.
func TestRegistrationsTogether(t *testing.T) {
	b := newBed(t, 0)
	const rentals, each = 4, 50
	for i := range rentals {
		h := storage.Rental{MachineType: "s8", Zone: "a", Count: each, Answered: true}
		for k := range each {
			h.Machines = append(h.Machines, b.rig(i*each+k))
		}
		b.step(RentalLoaded{Name: fmt.Sprintf("h-2-%d", i), Version: 7, Rec: h})
	}
	b.s.rentals["h-2-3"].known = false // its answer is being written
	var writes []WriteOut
	for i := range rentals * each {
		b.report(i)
		b.now -= 9 * time.Millisecond
		writes = append(writes, b.marksOut()...)
	}
	rev := uint64(100)
	for n := 0; n < len(writes); n++ {
		rev++
		b.now += limits.RegisterEvery
		b.step(WriteDone{ID: writes[n].ID, OK: true, Version: rev})
		writes = append(writes, b.marksOut()...)
	}
	if len(writes) > 8 {
		t.Errorf("%d writes for %d machines", len(writes), rentals*each)
	}
	next := newBed(t, 0)
	for i := range rentals {
		next.step(RentalLoaded{Name: fmt.Sprintf("h-2-%d", i), Version: 7, Rec: b.s.rentals[fmt.Sprintf("h-2-%d", i)].record})
	}
	last := map[string]WriteOut{}
	for _, w := range writes {
		last[w.Ops[0].Put] = w
	}
	for key, w := range last {
		var u storage.Ups
		if err := protocol.Decode(w.Ops[0].Value, &u); err != nil {
			t.Fatal(err)
		}
		if !storage.Fits(u, b.s.cfg.State.ValueKB) {
			t.Errorf("a sheet of %d bytes", storage.Size(u))
		}
		next.step(RegistrationLoaded{Name: key, Version: 9, Rec: u})
	}
	for i := range rentals * each {
		known := i < (rentals-1)*each
		if got := b.s.machines[b.rig(i)].registration == registered; got != known {
			t.Fatalf("machine %d marked: %v, its rental's record written: %v", i, got, known)
		}
		if m := next.s.machines[b.rig(i)]; (m.registration == registered && m.addr != "") != known {
			t.Fatalf("machine %d at the successor: mark %v, address %q", i, m.registration, m.addr)
		}
	}
	// Once the record is written the others are registered too.
	h := b.s.rentals["h-2-3"]
	h.writing = true
	b.s.writes[9999] = pendingWrite{kind: writeRental, rental: h.name, known: true}
	b.now += limits.RegisterEvery
	b.step(WriteDone{ID: 9999, OK: true, Version: rev + 1})
	if len(b.marksOut()) == 0 {
		t.Error("not marked when the rental's record is written")
	}
}

// TestDirectAnswerIsNoEvidence: a start that went out in the answer to a report may still be on its way when a direct command is
// answered; only the next report shows that it is lost.
func TestDirectAnswerIsNoEvidence(t *testing.T) {
	b := newBed(t, 1)
	b.report(0)
	m := b.s.machines[b.rig(0)]
	m.mute = time.Hour // orders go with reports only
	b.job("job-1", "red", "standard", 1, 1, 0)
	if n := verbs(b.report(0), protocol.CommandStart); n != 1 {
		t.Fatalf("%d starts", n)
	}
	m.mute, m.directID = 0, 77
	b.tally++
	b.step(DirectDone{ID: 77, Machine: m.name, Report: &protocol.Report{Machine: m.name, Address: "x:1", MachineType: "s8", Zone: "a", Session: 1, Sequence: b.tally, Token: 3}})
	if len(m.bindings) != 1 {
		t.Fatal("freed by the answer to a direct command")
	}
	b.tally++
	b.step(ProbeDone{Machine: m.name, Report: &protocol.Report{Machine: m.name, Address: "x:1", MachineType: "s8", Zone: "a", Session: 1, Sequence: b.tally, Token: 3}})
	if len(m.bindings) != 1 {
		t.Fatal("freed by the answer to a probe")
	}
	m.mute = time.Hour
	if n := verbs(b.report(0), protocol.CommandStart); n != 0 || len(m.bindings) != 0 {
		t.Fatalf("after a report without it: %d starts, %d bound", n, len(m.bindings)) // its answer was lost, so the machine is in doubt
	}
	if n := verbs(b.report(0), protocol.CommandStart); n != 1 || len(m.bindings) != 1 {
		t.Fatalf("not placed again: %d starts", n)
	}
}

// TestDeafMachine: a machine whose reports arrive while answers and commands don't reach it loses one start at most, gets no other until
// a round
// trip is seen, and is deleted in time; what it finishes counts.
func TestDeafMachine(t *testing.T) {
	b := newBed(t, 2)
	b.report(0)
	b.job("job-1", "red", "standard", 2, 8, 0)
	starts := 0
	count := func() {
		for _, d := range b.direct() {
			starts += verbs(d.Commands, protocol.CommandStart)
			b.step(DirectDone{ID: d.ID, Machine: d.Machine}) // no answer
		}
	}
	count()
	m := b.s.machines[b.rig(0)]
	m.registration = registered
	var try uint64
	for _, x := range m.bindings {
		try = x.attempt
	}
	// It hears nothing: its next reports come on other connections. One task that it had got all the same is done.
	deleted := false
	tally := b.tally
	for range 20 {
		b.now += time.Second
		tally++
		b.tally = tally
		for _, e := range b.step(ReportIn{Entitled: true, Report: &protocol.Report{Machine: m.name, Address: "x:1", MachineType: "s8", Zone: "a", Session: 1, Sequence: tally, Token: 3,
			Tasks: []protocol.TaskReport{{Task: "job-1/0", Attempt: max(try, 1), State: protocol.Ended, Reason: protocol.ReasonDone}}}}) {
			if r, ok := e.(ReplyOut); ok {
				starts += verbs(r.Commands, protocol.CommandStart)
			}
		}
		count()
		for _, e := range b.step(Tick{Entitled: true}) {
			if d, ok := e.(DeleteOut); ok {
				for _, name := range d.Machines {
					deleted = deleted || name == m.name
				}
			}
		}
		count()
	}
	if starts > 2 {
		t.Errorf("%d starts to a machine that hears nothing", starts)
	}
	if !deleted {
		t.Error("not deleted")
	}
	if j := b.s.jobs["job-1"]; j.doneCount != 1 {
		t.Errorf("%d results count", j.doneCount)
	}
}

// TestLateCopies: copies of reports, however late, prove nothing: no machine is taken for alive or fresh by them, no lease is extended, and
// a leader with no memory of a machine that is gone does not raise it.
func TestLateCopies(t *testing.T) {
	b := newBed(t, 1)
	answer := func(r protocol.Report, relayed bool) ReplyOut {
		for _, e := range b.step(ReportIn{Entitled: true, Relayed: relayed, Report: &r}) {
			if r, ok := e.(ReplyOut); ok {
				return r
			}
		}
		t.Fatal("not answered")
		return ReplyOut{}
	}
	// Of an earlier term, of a machine that this leader has never heard of.
	old := protocol.Report{Machine: "m-gone", Address: "x:1", MachineType: "s8", Zone: "a", Session: 1, Sequence: 50, Token: 2}
	for _, relayed := range []bool{false, true} {
		answer(old, relayed)
	}
	if b.s.machines["m-gone"] != nil {
		t.Error("a copy raised a machine")
	}
	// Of an earlier term, of a machine that may hold tasks: not heard of, and no tasks taken from it.
	known := protocol.Report{Machine: b.rig(0), Address: "x:1", MachineType: "s8", Zone: "a", Session: 1, Sequence: 50, Token: 2,
		Tasks: []protocol.TaskReport{{Task: "job-1/0", Attempt: 1, State: protocol.Running}}}
	b.job("job-1", "red", "standard", 1, 1, 0)
	if r := answer(known, false); !r.OK {
		t.Error("a worker that waits for this answer gets none")
	}
	m := b.s.machines[b.rig(0)]
	if m.seen || m.fenced || len(m.bindings) > 0 || b.s.usable(m) {
		t.Errorf("believed: seen %v fenced %v binds %d", m.seen, m.fenced, len(m.bindings))
	}
	// A copy overtakes its original, and the start in its answer gets lost. The original's answer brings it again, but not once the job is
	// cancelled.
	m.mute = time.Hour
	b.report(0)
	b.report(0)
	first := protocol.Report{Machine: b.rig(0), Address: "x:1", MachineType: "s8", Zone: "a", Session: 1, Sequence: b.tally, Token: 3}
	m.registration = registered
	if r := answer(first, false); verbs(r.Commands, protocol.CommandStart) != 1 {
		t.Errorf("the original brings %+v", r.Commands)
	}
	b.stamp++
	b.step(JobSeen{ID: "job-1", Version: 100 + b.stamp, Rec: storage.Open{Cancelled: true, Spec: b.s.jobs["job-1"].spec}})
	if r := answer(first, false); !r.OK || verbs(r.Commands, protocol.CommandStart) != 0 {
		t.Errorf("after the cancellation: %+v", r)
	}
	// Of our term: the copy is answered like the original within the time that the worker waits, and does not keep the machine alive.
	b.tally = 60
	b.report(0)
	heard, base := m.heard, m.leaseBase
	now := protocol.Report{Machine: b.rig(0), Address: "x:1", MachineType: "s8", Zone: "a", Session: 1, Sequence: b.tally, Token: 3}
	if r := answer(now, false); !r.OK {
		t.Error("the original behind a copy is not answered")
	}
	if before := answer(protocol.Report{Machine: b.rig(0), Address: "x:1", MachineType: "s8", Zone: "a", Session: 1, Sequence: 40, Token: 3}, true); before.OK {
		t.Error("an older one is answered")
	}
	b.now += 30 * time.Second
	if r := answer(now, true); r.OK {
		t.Error("a copy that comes after a lease is answered")
	}
	if r := answer(known, true); r.OK && len(r.Commands) > 0 {
		t.Errorf("a copy from an earlier term brings %+v", r.Commands)
	}
	if m.heard != heard || m.leaseBase != base {
		t.Error("a copy made a machine fresh")
	}
	// A report that we had not seen and that comes after a silence may be late as well: no tasks until the machine answers.
	b.tally++
	late := protocol.Report{Machine: b.rig(0), Address: "x:1", MachineType: "s8", Zone: "a", Session: 2, Sequence: b.tally, Token: 3}
	b.step(ReportIn{Entitled: true, Stayed: true, Report: &late})
	if b.s.usable(m) {
		t.Error("usable by a late report")
	}
	b.tally++
	probed := late
	probed.Sequence = b.tally
	b.step(ProbeDone{Machine: m.name, Report: &probed})
	if !b.s.usable(m) {
		t.Error("not usable after a round trip")
	}
}

// TestNoCircles: where one task may be stopped for another, the other may not be stopped for it. Without this, borrowed work of high
// priority
// and guaranteed work of another team stopped each other for ever.
func TestNoCircles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Scheduler{}
		teams := []*team{{cfg: config.Team{CPUs: 1}, used: room{cpu: 5}}, {cfg: config.Team{CPUs: 9}, used: room{cpu: 5}}}
		draw := func(name string) *binding {
			return &binding{phase: running, job: &job{team: teams[rapid.IntRange(0, 1).Draw(t, name+" team")],
				priority: protocol.Priority(rapid.IntRange(0, 3).Draw(t, name+" urgency")), guaranteed: rapid.Bool().Draw(t, name+" guaranteed")}}
		}
		x, y := draw("x"), draw("y")
		if s.mayStop(x.job, y) && s.mayStop(y.job, x) {
			t.Fatal("circle")
		}
	})
}

// TestDeletionConfirmed: tasks of a machine that is being returned stay bound until the cloud confirms it.
func TestDeletionConfirmed(t *testing.T) {
	b := newBed(t, 1)
	b.report(0)
	b.job("job-1", "red", "standard", 1, 1, 0)
	m := b.s.machines[b.rig(0)]
	b.s.remove(m, "test")
	b.step(Tick{Entitled: true})
	b.step(DeleteDone{Machines: []string{m.name}})
	if len(m.bindings) != 1 || b.s.machines[m.name] == nil {
		t.Fatal("freed by a deletion that was not confirmed")
	}
	b.step(DeleteDone{Machines: []string{m.name}, OK: true})
	if len(m.bindings) != 0 || b.s.machines[m.name] != nil {
		t.Fatal("not freed")
	}
}

// TestFaultyMachines: a machine that fails what others do is returned, and so is one that is far slower; a job that fails everywhere
// condemns no machine, and waits longer each time.
func TestFaultyMachines(t *testing.T) {
	b := newBed(t, 5)
	for i := range 5 {
		b.report(i)
	}
	b.job("job-1", "red", "standard", 1, 1, 0)
	b.job("job-2", "red", "standard", 1, 1, 0)
	j := b.s.jobs["job-1"]
	m := b.s.machines[b.rig(0)]
	b.s.failed(j, m)
	b.s.failed(b.s.jobs["job-2"], m)
	if !m.sick() {
		t.Error("not sick after failing two jobs")
	}
	for i := 1; i < 5; i++ {
		b.s.failed(j, b.s.machines[b.rig(i)])
	}
	for i := 1; i < 5; i++ {
		if b.s.machines[b.rig(i)].sick() {
			t.Errorf("machine %d condemned by a job that fails everywhere", i)
		}
	}
	first := j.backoff
	b.s.failed(j, b.s.machines[b.rig(1)])
	if first < limits.JobBackoffMin || j.backoff <= first || j.resume <= b.s.now {
		t.Errorf("delays %v, then %v", first, j.backoff)
	}
	slow := b.s.machines[b.rig(2)]
	other := b.s.jobs["job-2"]
	for range 6 {
		b.s.learn(other, b.s.machines[b.rig(3)], 10)
	}
	for range limits.SlowTasks {
		b.s.learn(other, slow, 60)
	}
	if !slow.slow() || b.s.machines[b.rig(3)].slow() {
		t.Error("slow machine not told from the others")
	}
}

// TestNotEntitled: who may not act answers no report with 200, and takes nothing from it that would count as a renewed lease; so with a
// worker that
// has seen a later leader.
func TestNotEntitled(t *testing.T) {
	b := newBed(t, 1)
	r := &protocol.Report{Machine: b.rig(0), Address: "x:1", MachineType: "s8", Zone: "a", Session: 1, Sequence: 50, Token: 3}
	later := *r
	later.Token = 4
	for _, e := range []ReportIn{{Report: r}, {Report: &later, Entitled: true}} {
		for _, eff := range b.step(e) {
			if x, ok := eff.(ReplyOut); ok && x.OK {
				t.Errorf("answered: %+v", e)
			}
		}
	}
	if m := b.s.machines[b.rig(0)]; m.seen || m.leaseBase > 0 {
		t.Errorf("counted as heard: %+v", m)
	}
}

// TestWhy: operators are told what a waiting job waits for.
func TestWhy(t *testing.T) {
	b := newBed(t, 2)
	ask := func(id string) string {
		for _, e := range b.step(InspectIn{Job: id}) {
			if o, ok := e.(InspectOut); ok {
				return strings.Join(o.Snapshot.Why, "; ")
			}
		}
		return ""
	}
	b.job("job-1", "red", "standard", 200, 1, 0)
	if got := ask("job-1"); !strings.Contains(got, "does not know yet") {
		t.Errorf("while rebuilding: %s", got)
	}
	b.report(0)
	b.report(1)
	if got := ask("job-1"); !strings.Contains(got, "16 on machines") || !strings.Contains(got, "0 of these with room") {
		t.Errorf("full: %s", got)
	}
	b.job("job-2", "blue", "standard", 1, 101, 0)
	if got := ask("job-2"); !strings.Contains(got, "team blue uses 0 of at most 100") || !strings.Contains(got, "0 of them allowed") {
		t.Errorf("too large: %s", got)
	}
	if got := ask("job-3"); !strings.Contains(got, "not among") {
		t.Errorf("unknown: %s", got)
	}
}

// TestSilentIsNotIdle: machines that all fell silent, as when the leader itself is cut off, are not returned as idle.
func TestSilentIsNotIdle(t *testing.T) {
	b := newBed(t, 8)
	for i := range 8 {
		b.report(i)
	}
	for range 100 {
		b.now += time.Second
		for _, e := range b.step(Tick{Entitled: true}) {
			if d, ok := e.(DeleteOut); ok && b.now < 50*time.Second {
				t.Fatalf("at %v: returned %v", b.now, d.Machines)
			}
		}
	}
}

// TestHugeJob: a job of the largest size is placed, recorded in chunks below the value limit, and finished.
func TestHugeJob(t *testing.T) {
	b := newBed(t, 2)
	b.report(0)
	b.report(1)
	b.job("job-1", "red", "standard", limits.MaxPieces, 0.01, 0)
	j := b.s.jobs["job-1"]
	for _, m := range b.s.fleet {
		if len(m.bindings) > limits.MaxTasks {
			t.Fatalf("%d tasks on %s: its report would be too long", len(m.bindings), m.name)
		}
	}
	if len(j.bound) == 0 || len(j.chunks) < 2 {
		t.Fatalf("%d bound, %d chunks", len(j.bound), len(j.chunks))
	}
	for i := range limits.MaxPieces {
		if j.bound[i] == nil {
			b.s.taskDone(j, i)
		}
	}
	b.now += 4 * time.Second
	for _, e := range b.step(Tick{Entitled: true}) {
		if w, ok := e.(WriteOut); ok && len(w.Ops) > 8 {
			t.Fatalf("%d operations", len(w.Ops))
		}
	}
	if got := j.free(); got != 0 {
		t.Fatalf("%d free", got)
	}
}

// TestFewUnheard: after a take-over a machine that does not answer probes holds up all placement. If it is one of a few it is given up
// soon, and
// the work goes on once its deletion is confirmed; a crowd may be behind a cut and is waited for.
func TestFewUnheard(t *testing.T) {
	for _, c := range []struct {
		silent int
		waits  bool
	}{{1, false}, {20, true}} {
		b := newBed(t, 40)
		for i := c.silent; i < 40; i++ {
			b.report(i)
		}
		b.job("job-1", "red", "standard", 1, 1, 0)
		deleted := map[string]bool{}
		for b.now < 5*time.Second {
			b.now += 500 * time.Millisecond
			for _, e := range b.step(Tick{Entitled: true}) {
				switch e := e.(type) {
				case ProbeOut:
					b.step(ProbeDone{Machine: e.Machine})
				case DeleteOut:
					for _, name := range e.Machines {
						deleted[name] = true
					}
					b.step(DeleteDone{Machines: e.Machines, OK: true})
				}
			}
		}
		if b.s.recovered == c.waits || (len(deleted) == 0) != c.waits {
			t.Errorf("%d silent: settled %v, deleted %v", c.silent, b.s.recovered, deleted)
		}
	}
}

// TestCheapestPool: machines are rented where they cost least for as long as that pool gives them, and the rest at once elsewhere.
func TestCheapestPool(t *testing.T) {
	b := newBed(t, 0)
	b.step(TypesDone{OK: true, Types: []protocol.MachineType{{Name: "s8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 2, SpotPrice: 1, BootS: 5, Zones: []string{"a"}}}})
	b.s.cfg.CloudRPS = 4
	b.step(JobSeen{ID: "job-1", Version: 100, Rec: storage.Open{Spec: protocol.Spec{ID: "job-1", Class: "c", Team: "red", Shape: "sweep",
		Priority: "high", Tasks: 5000, CPUs: 8, MemoryGB: 1, Image: "i", EstimateS: 10, Spot: true}}})
	b.s.teams["red"].cfg.CPUsMax = 1e6
	rented := func() (spot, dear int) {
		for b.now += time.Second; ; b.now += time.Second {
			b.step(Tick{Entitled: true})
			for _, h := range b.s.rentals {
				if h.pending() && h.record.Spot {
					spot++
				} else if h.pending() {
					dear++
				}
			}
			if spot+dear > 0 {
				return spot, dear
			}
		}
	}
	if spot, dear := rented(); spot != 4 || dear != 0 {
		t.Fatalf("%d requests to the cheap pool and %d to the dear one, want all that the cloud takes to the cheap one", spot, dear)
	}
	for _, h := range b.s.sortedRentals() {
		h.state = rentalRequested
		b.step(RentalDone{Name: h.name, NoCapacity: true})
	}
	if spot, dear := rented(); spot > 1 || dear == 0 {
		t.Errorf("%d requests to the pool that refused and %d to the other", spot, dear)
	}
}

// TestPlanByStarts: machines are rented for all tasks that can't start before a new machine would be up, however much a busy fleet could
// work off later; what
// starts before needs none.
func TestPlanByStarts(t *testing.T) {
	b := newBed(t, 10)
	b.s.cfg.CloudRPS = 100
	for i := range 10 {
		b.report(i)
	}
	b.job("job-1", "red", "high", 10, 8, 0)
	for _, d := range b.direct() { // each machine is full, and has just begun
		r := &protocol.Report{Machine: d.Machine, Session: 1, Sequence: 100, Token: 3}
		for _, o := range d.Commands {
			r.Tasks = append(r.Tasks, protocol.TaskReport{Task: o.Task, Attempt: o.Attempt, State: protocol.Running})
		}
		b.step(DirectDone{ID: d.ID, Machine: d.Machine, Report: r})
	}
	b.job("job-2", "blue", "high", 8, 8, 20)
	wanted := func() int {
		b.s.planAt = 0
		b.step(Tick{Entitled: true})
		n := 0
		for _, h := range b.s.rentals {
			if h.pending() {
				n += h.record.Count
			}
		}
		return n
	}
	// Of ten tasks of 10 s that have just begun, nothing is known but their mean: a quarter or so ends in the 5.5 s that a machine takes to
	// boot.
	if n := wanted(); n < 5 || n > 7 {
		t.Errorf("%d machines wanted for 8 tasks beside a fleet that has just begun, want 5 to 7", n)
	}
	// What has waited for as long as a machine takes to boot does not wait as long again.
	b.step(JobSeen{ID: "job-3", Version: 500, Age: 20 * time.Second, Rec: storage.Open{Spec: protocol.Spec{ID: "job-3", Class: "c", Team: "blue", Shape: "sweep",
		Priority: "high", Tasks: 4, CPUs: 8, MemoryGB: 1, Image: "i", EstimateS: 10}}})
	if n := wanted(); n < 9 || n > 11 {
		t.Errorf("%d machines wanted with 4 more tasks that have waited long, want 9 to 11", n)
	}
	b = newBed(t, 10)
	for i := range 10 {
		b.report(i)
	}
	b.job("job-2", "blue", "high", 8, 8, 20)
	if n := wanted(); n != 0 {
		t.Errorf("%d machines wanted for 8 tasks beside an idle fleet", n)
	}
}

// TestPressAgain: a job whose time is short and that finds nobody to stop takes free room at once when there is some, and looks for
// tasks to stop again soon.
func TestPressAgain(t *testing.T) {
	b := newBed(t, 1)
	b.report(0)
	b.job("job-1", "red", "high", 1, 8, 0)
	d := b.direct()[0]
	first := protocol.TaskReport{Task: d.Commands[0].Task, Attempt: d.Commands[0].Attempt, State: protocol.Running}
	b.tally += 10
	b.step(DirectDone{ID: d.ID, Machine: d.Machine, Report: &protocol.Report{Machine: d.Machine, Session: 1, Sequence: b.tally, Token: 3, Tasks: []protocol.TaskReport{first}}})
	b.job("job-2", "red", "high", 1, 4, 13) // 3 s of slack
	j := b.s.jobs["job-2"]
	if len(j.bound) != 0 || len(b.s.pressAgain) == 0 {
		t.Fatalf("%d tasks bound beside one that may not be stopped; %d requests remembered", len(j.bound), len(b.s.pressAgain))
	}
	// Now the task on the machine may be stopped, but it is too soon to look.
	b.s.jobs["job-1"].priority = protocol.Low
	b.report(0, first)
	if b.s.machines[d.Machine].bindings[first.Task].stop {
		t.Error("stopped at once")
	}
	b.now += limits.PressAgain
	b.s.dirty = true
	b.report(0, first)
	if !b.s.machines[d.Machine].bindings[first.Task].stop {
		t.Error("not stopped after the pause")
	}
	// Free room needs no look.
	b = newBed(t, 1)
	b.report(0)
	b.s.pressAgain[request{need: room{cpu: 4, ram: 1}, team: b.s.teams["red"], urgency: protocol.High, guar: true, pressing: true}] = time.Hour
	b.job("job-2", "red", "high", 1, 4, 13)
	if len(b.s.jobs["job-2"].bound) != 1 {
		t.Error("not placed where there is room")
	}
}

// TestDoubtedTogether: a machine whose answers may not arrive is asked at once, but not hundreds that come on new connections together:
// their next reports
// setVerified them, and who stays unverified is asked then. Probes of all kept a small controller from answering reports, for minutes.
func TestDoubtedTogether(t *testing.T) {
	for _, n := range []int{1, 40} {
		b := newBed(t, 40)
		for range 2 {
			for i := range 40 {
				b.report(i)
			}
			b.now += 2 * time.Second // the probes of the take-over are long over
		}
		moved := func(i int) (probes int) { // a report on another connection
			b.tally++
			for _, e := range b.step(ReportIn{Entitled: true, Report: &protocol.Report{Machine: b.rig(i), Address: "x:1", MachineType: "s8", Zone: "a", Session: 1, Sequence: b.tally, Token: 3}}) {
				if _, ok := e.(ProbeOut); ok {
					probes++
				}
			}
			return probes
		}
		tick := func(after time.Duration) (probes int) {
			b.now += after
			for _, e := range b.step(Tick{Entitled: true}) {
				if _, ok := e.(ProbeOut); ok {
					probes++
				}
			}
			return probes
		}
		early := 0
		for i := range n {
			early += moved(i)
			if i%10 == 9 {
				early += tick(100 * time.Millisecond)
			}
		}
		if n == 1 && early != 1 {
			t.Errorf("one doubted machine is asked %d times at once", early)
		}
		if n > 1 && early > n/4 {
			t.Errorf("%d of %d machines doubted together are asked at once", early, n)
		}
		// The others prove themselves; one stays unverified and is asked.
		for i := range n - 1 {
			b.report(i)
		}
		late := 0
		for range 4 {
			late += tick(time.Second)
		}
		if late == 0 {
			t.Errorf("%d machines: the one that stays doubted is not asked", n)
		}
	}
}

// TestGreetedHoldsItsLease: a machine that a new leader has greeted, but whose next report it has not taken yet, may go on with its
// tasks for a whole lease from
// then. The rebuild does not end before that, or a task of it would be started elsewhere: seen on controllers too busy to take reports
// in time.
func TestGreetedHoldsItsLease(t *testing.T) {
	b := newBed(t, 2)
	b.report(0)
	b.job("job-1", "red", "standard", 4, 4, 0)
	lease := limits.WaitOut(14 * time.Second)
	starts := func() (n int) {
		for _, d := range b.direct() {
			n += verbs(d.Commands, protocol.CommandStart)
		}
		return n
	}
	b.now = 13 * time.Second
	greeted := false
	for _, e := range b.step(ReportIn{Entitled: true, Report: &protocol.Report{Machine: b.rig(1), Address: "x:1", MachineType: "s8", Zone: "a", Session: 1, Sequence: 9, Token: 2,
		Tasks: []protocol.TaskReport{{Task: "job-1/0", Attempt: 7, State: protocol.Running}}}}) {
		if r, ok := e.(ReplyOut); ok {
			greeted = r.OK
		}
	}
	if !greeted {
		t.Fatal("not greeted")
	}
	for end := b.now + lease; b.now < end; {
		b.now += time.Second
		if b.now < end {
			b.report(0)
			if b.s.recovered || starts() > 0 {
				t.Fatalf("placed at %v, the greeted machine's lease lasts until %v", b.now, end)
			}
		}
	}
	b.report(0)
	if !b.s.recovered {
		t.Errorf("not rebuilt although every lease is over")
	}
}
