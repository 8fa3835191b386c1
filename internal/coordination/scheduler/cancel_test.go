package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestCancelledOnNotice: a cancelled task that does not stop costs its machine in time, also one
// that the cloud has said to take.
func TestCancelledOnNotice(t *testing.T) {
	b := newSchedulerFixture(t, 1)
	b.report(0)
	b.job("job-1", "red", "standard", 1, 1, 0)
	task := protocol.TaskStatus{Task: "job-1/0", Attempt: b.direct()[0].Commands[0].Attempt, State: protocol.TaskRunning}
	b.report(0, task)
	b.version++
	b.step(JobChanged{JobID: "job-1", Version: 100 + b.version, Record: storage.OpenJob{Cancelled: true, Spec: b.scheduler.jobs.byID["job-1"].spec}})
	b.scheduler.inventory.find(b.machine(0)).spotNotice, b.scheduler.inventory.find(b.machine(0)).spotNoticeEnds = true, time.Hour
	for end := b.now + 20*time.Second; b.now < end; b.now += time.Second {
		b.report(0, task)
		b.step(Tick{Entitled: true})
	}
	if !b.scheduler.inventory.find(b.machine(0)).deleting {
		t.Error("its machine is kept")
	}
}

// TestCancelledInTime: a machine that reports a cancelled task again and again, whatever it is
// told, and whose deletion nobody confirms, gets no answer from so early on that its lease ends
// within cancel_s; and that time goes on across a change of leaders. A machine without such a task
// is answered all the while.
func TestCancelledInTime(t *testing.T) {
	for _, age := range []time.Duration{0, 10 * time.Second, 25 * time.Second, time.Hour} {
		b := newSchedulerFixture(t, 2)
		b.report(0)
		b.report(1)
		b.job("job-1", "red", "standard", 1, 8, 0)
		var task protocol.TaskStatus
		for _, d := range b.direct() {
			task = protocol.TaskStatus{Task: d.Commands[0].Task, Attempt: d.Commands[0].Attempt, State: protocol.TaskRunning}
			b.step(DirectCommandsDone{ID: d.ID, Machine: d.Machine, Heartbeat: &protocol.Heartbeat{Machine: d.Machine, Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: b.sequence + 1, FencingToken: 3, Tasks: []protocol.TaskStatus{task}}})
		}
		held := b.scheduler.jobs.byID["job-1"].assignments[0].machine.name
		b.sequence++
		b.step(JobChanged{JobID: "job-1", Version: 900, SinceCancellation: age, Record: storage.OpenJob{Cancelled: true, Spec: b.scheduler.jobs.byID["job-1"].spec}})
		learned := b.now
		told := b.now - age
		if age >= 34*time.Second {
			told = b.now // no leader knew, or its lease would be over: nobody was told
		}
		asked, last := time.Duration(0), time.Duration(0)
		for b.now < told+34*time.Second {
			b.now += time.Second
			for i := range 2 {
				b.sequence++
				r := &protocol.Heartbeat{Machine: b.machine(i), Address: "x:1", MachineType: "s8", Zone: "a", Incarnation: 1, Sequence: b.sequence, FencingToken: 3}
				if r.Machine == held {
					r.Tasks = []protocol.TaskStatus{task}
				}
				for _, e := range b.step(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: r}) {
					switch e := e.(type) {
					case SendDirectCommands:
						b.step(DirectCommandsDone{ID: e.ID, Machine: e.Machine})
					case HeartbeatReply:
						if e.Accepted && r.Machine == held {
							last = b.now
						} else if !e.Accepted && r.Machine != held {
							t.Fatalf("age %v: the other machine is not answered", age)
						}
					}
				}
			}
			for _, e := range b.step(Tick{Entitled: true}) {
				if d, ok := e.(DeleteMachines); ok && asked == 0 {
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
		if asked < learned+limits.CancelStopGrace {
			t.Errorf("age %v: deleted %v after we learned of it, before its stop could take effect", age, asked-learned)
		}
	}
}
