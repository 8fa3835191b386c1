package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// queueFixture is a queue with its job table, and no other part of the scheduler.
type queueFixture struct {
	env   *environment
	jobs  *jobTable
	queue *jobQueue
}

func newQueueFixture(objectives ...config.Objective) *queueFixture {
	env := newEnvironment(Config{
		Term: 3,
		Teams: []config.Team{
			{Name: "red", GuaranteedCPUs: 8, MaxCPUs: 100},
			{Name: "blue", GuaranteedCPUs: 0, MaxCPUs: 100},
		},
		Objectives: objectives,
	}, 0)
	jobs := newJobTable(env)
	return &queueFixture{env: env, jobs: jobs, queue: newJobQueue(env, jobs)}
}

// submit adds a job whose tasks take a CPU each and ten seconds.
func (f *queueFixture) submit(id, team, priority string, tasks int, deadlineS float64) *job {
	j := f.jobs.open(JobChanged{JobID: id, Version: 1, Record: storage.OpenJob{Spec: protocol.Spec{
		ID: id, Class: "c", Team: team, Shape: protocol.ShapeArray, Priority: priority, Tasks: tasks,
		CPUs: 1, EstimateS: 10, DeadlineS: deadlineS,
	}}}, 1)
	f.queue.invalidate()
	return j
}

func (f *queueFixture) order() string {
	var ids []string
	for _, j := range f.queue.order() {
		ids = append(ids, j.id)
	}
	return strings.Join(ids, " ")
}

func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name   string
		submit func(f *queueFixture)
		expect string
	}{
		{"priority before all", func(f *queueFixture) {
			f.submit("low", "red", "low", 1, 20)
			f.submit("high", "blue", "high", 100, 0)
		}, "high low"},
		{"guarantee before borrowed", func(f *queueFixture) {
			f.submit("borrowed", "blue", "standard", 1, 20)
			f.submit("guaranteed", "red", "standard", 8, 0)
		}, "guaranteed borrowed"},
		{"a guarantee covers the earlier jobs of its team", func(f *queueFixture) {
			f.submit("first", "red", "standard", 8, 0)
			f.submit("second", "red", "standard", 1, 0)
		}, "first second"},
		{"small before large", func(f *queueFixture) {
			f.submit("large", "blue", "standard", 50, 100)
			f.submit("small", "blue", "standard", 5, 100)
		}, "small large"},
		{"little slack before much", func(f *queueFixture) {
			f.submit("relaxed", "blue", "standard", 10, 1000)
			f.submit("urgent", "blue", "standard", 10, 30)
		}, "urgent relaxed"},
		{"late after all that can be on time", func(f *queueFixture) {
			f.submit("late", "blue", "standard", 1, 5)
			f.submit("relaxed", "blue", "standard", 50, 1000)
		}, "relaxed late"},
		{"same jobs by ID", func(f *queueFixture) {
			f.submit("b", "blue", "standard", 1, 0)
			f.submit("a", "blue", "standard", 1, 0)
		}, "a b"},
		{"cancelled jobs get nothing", func(f *queueFixture) {
			f.submit("a", "blue", "standard", 1, 0)
			f.submit("b", "blue", "standard", 1, 0).cancelled = true
		}, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newQueueFixture()
			test.submit(f)
			if got := f.order(); got != test.expect {
				t.Errorf("order %q, expected %q", got, test.expect)
			}
		})
	}
}

// TestQueueOrderIsKept: the order is made anew for a new job, and otherwise only after a while.
func TestQueueOrderIsKept(t *testing.T) {
	f := newQueueFixture()
	f.env.now = time.Second
	first := f.submit("a", "blue", "standard", 5, 1000)
	f.submit("b", "blue", "standard", 6, 1000)
	if got := f.order(); got != "a b" {
		t.Fatalf("order %q", got)
	}
	first.priority = protocol.PriorityLow
	f.env.beginStep(f.env.now + limits.QueueOrderTTL - 1)
	if got := f.order(); got != "a b" {
		t.Errorf("order %q before its time is over", got)
	}
	f.submit("c", "blue", "standard", 7, 1000)
	if got := f.order(); got != "b c a" {
		t.Errorf("order %q with a new job", got)
	}
	first.priority = protocol.PriorityStandard
	f.env.beginStep(f.env.now + limits.QueueOrderTTL)
	if got := f.order(); got != "a b c" {
		t.Errorf("order %q after its time is over", got)
	}
}

func TestSlack(t *testing.T) {
	wait := config.Objective{Kind: "wait", Class: "c", WithinS: 20}
	tests := []struct {
		name       string
		objectives []config.Objective
		deadlineS  float64
		age        time.Duration
		slack      time.Duration
		late       bool
	}{
		{"without a deadline", nil, 0, time.Hour, never, false},
		{"a run before its deadline", nil, 60, 20 * time.Second, 30 * time.Second, false},
		{"a little late by the estimate", nil, 60, 52 * time.Second, -2 * time.Second, false},
		{"late", nil, 60, 53 * time.Second, -53 * time.Second, true},
		{"a start needs no run time", []config.Objective{wait}, 60, 15 * time.Second, 5 * time.Second, false},
		{"the next deadline after a missed one", []config.Objective{wait, {Kind: "deadline", Class: "c"}},
			60, 20 * time.Second, 30 * time.Second, false},
		{"of another class", []config.Objective{{Kind: "wait", Class: "d", WithinS: 20}}, 0, time.Minute, never, false},
		{"a multiple of the deadline", []config.Objective{{Kind: "deadline", Class: "c", DeadlineMultiple: 2}},
			60, 20 * time.Second, 90 * time.Second, false},
		{"finished within a time", []config.Objective{{Kind: "finished", Class: "c", WithinS: 40}},
			60, 20 * time.Second, 10 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newQueueFixture(test.objectives...)
			j := f.submit("job-1", "red", "standard", 1, test.deadlineS)
			f.env.now = test.age
			if slack, late := f.queue.slack(j); slack != test.slack || late != test.late {
				t.Errorf("slack %v, late %v; expected %v, %v", slack, late, test.slack, test.late)
			}
		})
	}
}

// TestOverdueTasks: a job that has not begun is overdue with its first task from one age on, and with
// the others one by one from a later one on, while its group has got too little.
func TestOverdueTasks(t *testing.T) {
	half := limits.AllTasksCreditAge + limits.AllTasksCreditSpan/2
	tests := []struct {
		name    string
		age     time.Duration
		done    int
		overdue int
	}{
		{"young", limits.FirstTaskCreditAge, 0, 0},
		{"not begun", limits.FirstTaskCreditAge + 1, 0, 1},
		{"begun", limits.FirstTaskCreditAge + 1, 1, 0},
		{"half of the credit, not begun", half, 0, 1},
		{"half of the credit, underserved", half, 10, 40},
		{"half of the credit, served well enough", half, 33, 0},
		{"all of the credit", limits.AllTasksCreditAge + limits.AllTasksCreditSpan, 10, 90},
		{"all of the credit, old", time.Hour, 64, 36},
		{"all of the credit, served well enough", time.Hour, 65, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newQueueFixture()
			j := f.submit("job-1", "red", "standard", 100, 0)
			j.doneCount = test.done
			f.env.now = test.age
			f.queue.order()
			if got := f.queue.overdueTasks(j); got != test.overdue {
				t.Errorf("%d tasks overdue, expected %d", got, test.overdue)
			}
			if listed := slices.Contains(f.queue.overdueJobs(), j); listed != (test.overdue > 0) {
				t.Errorf("among the overdue jobs: %v", listed)
			}
		})
	}
}

// TestOverdueOrder: jobs that have not begun come first, then those of the group that has got least;
// what a closed job has got counts for its group.
func TestOverdueOrder(t *testing.T) {
	f := newQueueFixture()
	begun := f.submit("begun", "red", "standard", 100, 0)
	begun.doneCount = 20
	waiting := f.submit("waiting", "red", "low", 10, 0)
	f.submit("of its group", "red", "low", 10, 0).doneCount = 10 // so the group has got more than the others
	behind := f.submit("behind", "blue", "standard", 100, 0)
	behind.doneCount = 10
	f.env.now = time.Hour
	f.queue.order()
	if got := f.queue.overdueJobs(); !slices.Equal(got, []*job{waiting, behind, begun}) {
		t.Errorf("overdue jobs: %v", ids(got))
	}
	closed := f.submit("closed", "red", "standard", 100, 0)
	closed.doneCount = 100
	f.jobs.close(closed)
	f.queue.jobClosed(closed)
	f.queue.order()
	if got := f.queue.servedShare(begun); got != 0.6 {
		t.Errorf("the group has got %v of its credit, expected 0.6", got)
	}
}

func ids(jobs []*job) string {
	var out []string
	for _, j := range jobs {
		out = append(out, j.id)
	}
	return fmt.Sprint(out)
}
