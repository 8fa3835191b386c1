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

// queueFixture holds a queue and its job table, without the other parts of the scheduler.
type queueFixture struct {
	env   *environment
	jobs  *jobTable
	queue *jobQueue
}

// newQueueFixture returns a fixture in which team red is guaranteed 8 CPUs and team blue none.
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

// submit adds a job whose tasks need one CPU and are estimated to run for 10 s.
func (f *queueFixture) submit(id, team, priority string, tasks int, deadlineS float64) *job {
	j := f.jobs.open(JobChanged{JobID: id, Version: 1, Record: storage.OpenJob{Spec: protocol.Spec{
		ID: id, Class: "c", Team: team, Shape: protocol.ShapeArray, Priority: priority, Tasks: tasks,
		CPUs: 1, EstimateS: 10, DeadlineS: deadlineS,
	}}}, 1)
	f.queue.invalidate()
	return j
}

// idsInOrder returns the IDs of the jobs in queue order, separated by spaces.
func (f *queueFixture) idsInOrder() string {
	var ids []string
	for _, j := range f.queue.jobsInOrder() {
		ids = append(ids, j.id)
	}
	return strings.Join(ids, " ")
}

// TestQueueOrder checks the sort keys of the queue one by one; see queueEntry.sortsBefore.
func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name   string
		submit func(f *queueFixture)
		want   string
	}{
		{"higher priority first", func(f *queueFixture) {
			f.submit("low", "red", "low", 1, 20)
			f.submit("high", "blue", "high", 100, 0)
		}, "high low"},
		{"guaranteed job before borrowing job", func(f *queueFixture) {
			f.submit("borrowed", "blue", "standard", 1, 20)
			f.submit("guaranteed", "red", "standard", 8, 0)
		}, "guaranteed borrowed"},
		{"guarantee covers the earlier jobs of its team", func(f *queueFixture) {
			f.submit("first", "red", "standard", 8, 0)
			f.submit("second", "red", "standard", 1, 0)
		}, "first second"},
		{"less work first", func(f *queueFixture) {
			f.submit("large", "blue", "standard", 50, 100)
			f.submit("small", "blue", "standard", 5, 100)
		}, "small large"},
		{"less slack first", func(f *queueFixture) {
			f.submit("relaxed", "blue", "standard", 10, 1000)
			f.submit("urgent", "blue", "standard", 10, 30)
		}, "urgent relaxed"},
		{"late job after jobs that can be on time", func(f *queueFixture) {
			f.submit("late", "blue", "standard", 1, 5)
			f.submit("relaxed", "blue", "standard", 50, 1000)
		}, "relaxed late"},
		{"equal jobs by ID", func(f *queueFixture) {
			f.submit("b", "blue", "standard", 1, 0)
			f.submit("a", "blue", "standard", 1, 0)
		}, "a b"},
		{"cancelled jobs left out", func(f *queueFixture) {
			f.submit("a", "blue", "standard", 1, 0)
			f.submit("b", "blue", "standard", 1, 0).cancelled = true
		}, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newQueueFixture()
			test.submit(f)
			if got := f.idsInOrder(); got != test.want {
				t.Errorf("order %q, want %q", got, test.want)
			}
		})
	}
}

// TestQueueOrderIsCached checks that the jobs are sorted again when a job is submitted, and otherwise only
// after QueueOrderTTL.
func TestQueueOrderIsCached(t *testing.T) {
	f := newQueueFixture()
	f.env.now = time.Second
	first := f.submit("a", "blue", "standard", 5, 1000)
	f.submit("b", "blue", "standard", 6, 1000)
	if got := f.idsInOrder(); got != "a b" {
		t.Fatalf("order %q", got)
	}
	first.priority = protocol.PriorityLow
	f.env.beginStep(f.env.now + limits.QueueOrderTTL - 1)
	if got := f.idsInOrder(); got != "a b" {
		t.Errorf("order %q before the TTL has passed", got)
	}
	f.submit("c", "blue", "standard", 7, 1000)
	if got := f.idsInOrder(); got != "b c a" {
		t.Errorf("order %q after a job was submitted", got)
	}
	first.priority = protocol.PriorityStandard
	f.env.beginStep(f.env.now + limits.QueueOrderTTL)
	if got := f.idsInOrder(); got != "a b c" {
		t.Errorf("order %q after the TTL has passed", got)
	}
}

// TestSlack checks the slack of a job with one task, with a deadline in its spec or objectives of its
// class, at a given age.
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
		{"no deadline", nil, 0, time.Hour, never, false},
		{"deadline minus estimated run time", nil, 60, 20 * time.Second, 30 * time.Second, false},
		{"late within the tolerance for estimates", nil, 60, 52 * time.Second, -2 * time.Second, false},
		{"late beyond the tolerance", nil, 60, 53 * time.Second, -53 * time.Second, true},
		{"start deadline, without run time", []config.Objective{wait}, 60, 15 * time.Second, 5 * time.Second, false},
		{"next deadline after a missed one", []config.Objective{wait, {Kind: "deadline", Class: "c"}},
			60, 20 * time.Second, 30 * time.Second, false},
		{"other class", []config.Objective{{Kind: "wait", Class: "d", WithinS: 20}}, 0, time.Minute, never, false},
		{"multiple of the deadline", []config.Objective{{Kind: "deadline", Class: "c", DeadlineMultiple: 2}},
			60, 20 * time.Second, 90 * time.Second, false},
		{"completion objective", []config.Objective{{Kind: "finished", Class: "c", WithinS: 40}},
			60, 20 * time.Second, 10 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newQueueFixture(test.objectives...)
			j := f.submit("job-1", "red", "standard", 1, test.deadlineS)
			f.env.now = test.age
			if slack, late := f.queue.slack(j); slack != test.slack || late != test.late {
				t.Errorf("slack %v, late %v; want %v, %v", slack, late, test.slack, test.late)
			}
		})
	}
}

// TestStarvedTasks checks that a job has one starved task from FirstTaskCreditAge on until its first task
// starts. From AllTasksCreditAge on it gets credit for its other tasks one by one. While its group is
// underserved, it has as many starved tasks as it has unused credit.
func TestStarvedTasks(t *testing.T) {
	half := limits.AllTasksCreditAge + limits.AllTasksCreditSpan/2
	tests := []struct {
		name    string
		age     time.Duration
		done    int
		starved int
	}{
		{"before the first credit", limits.FirstTaskCreditAge, 0, 0},
		{"first credit, not started", limits.FirstTaskCreditAge + 1, 0, 1},
		{"first credit, one task started", limits.FirstTaskCreditAge + 1, 1, 0},
		{"half of the credit, not started", half, 0, 1},
		{"half of the credit, underserved", half, 10, 40},
		{"half of the credit, not underserved", half, 33, 0},
		{"all of the credit", limits.AllTasksCreditAge + limits.AllTasksCreditSpan, 10, 90},
		{"all of the credit, old job", time.Hour, 64, 36},
		{"all of the credit, not underserved", time.Hour, 65, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newQueueFixture()
			j := f.submit("job-1", "red", "standard", 100, 0)
			j.doneCount = test.done
			f.env.now = test.age
			f.queue.jobsInOrder()
			if got := f.queue.starvedTasks(j); got != test.starved {
				t.Errorf("%d starved tasks, want %d", got, test.starved)
			}
			if listed := slices.Contains(f.queue.starvedJobs(), j); listed != (test.starved > 0) {
				t.Errorf("listed among the starved jobs: %v, want %v", listed, !listed)
			}
		})
	}
}

// TestStarvedJobsOrder checks that among starved jobs those without a started task come first, then those
// of the group with the smallest served share. Tasks of closed jobs count for their group.
func TestStarvedJobsOrder(t *testing.T) {
	f := newQueueFixture()
	begun := f.submit("begun", "red", "standard", 100, 0)
	begun.doneCount = 20
	waiting := f.submit("waiting", "red", "low", 10, 0)
	f.submit("of its group", "red", "low", 10, 0).doneCount = 10 // raises its group's served share above the others
	behind := f.submit("behind", "blue", "standard", 100, 0)
	behind.doneCount = 10
	f.env.now = time.Hour
	f.queue.jobsInOrder()
	if got := f.queue.starvedJobs(); !slices.Equal(got, []*job{waiting, behind, begun}) {
		t.Errorf("order of the starved jobs: %v", joinIDs(got))
	}
	closed := f.submit("closed", "red", "standard", 100, 0)
	closed.doneCount = 100
	f.jobs.close(closed)
	f.queue.handleJobClosed(closed)
	f.queue.jobsInOrder()
	if got := f.queue.servedShare(begun); got != 0.6 {
		t.Errorf("served share of the group is %v, want 0.6", got)
	}
}

// joinIDs returns the IDs of jobs, formatted as a list.
func joinIDs(jobs []*job) string {
	var out []string
	for _, j := range jobs {
		out = append(out, j.id)
	}
	return fmt.Sprint(out)
}
