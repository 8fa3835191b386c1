package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

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
