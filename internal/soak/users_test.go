package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// Times of the users, from the protocol.
const (
	submitTimeout = 5 * time.Second
	submitFor     = 60 * time.Second
	pollTimeout   = 2 * time.Second
)

// users submit jobs, ask about them and cancel some, through the load balancer. Right after a job was accepted or has
// ended they ask all controllers.
type users struct {
	d      *deployment
	group  sync.WaitGroup
	ctx    context.Context // ends all users
	random *rand.Rand      // used by the goroutine that starts users only
	jobs   int
}

// submitJobs starts users who submit jobs until the context ends, at random times with the given mean interval.
func (u *users) submitJobs(submitting context.Context, interval time.Duration) {
	for submitting.Err() == nil {
		u.startUser()
		if !storage.SleepContext(submitting, time.Duration(u.random.ExpFloat64()*float64(interval))) {
			return
		}
	}
}

// startUser starts the user of a new job.
func (u *users) startUser() {
	u.jobs++
	spec := protocol.Spec{
		ID: fmt.Sprintf("job-%06d", u.random.IntN(900_000)*1000+u.jobs), Class: "x", Team: team.Name,
		Shape: protocol.ShapeArray, Priority: []string{"low", "standard", "high"}[u.random.IntN(3)],
		Tasks: 1 + u.random.IntN(4), CPUs: 1, MemoryGB: 1, Spot: true, Image: "i",
		EstimateS: 1 + 8*u.random.Float64(),
	}
	if u.random.IntN(10) < u.d.size.longJobs {
		spec.EstimateS = u.d.size.longestTask.Seconds()
	}
	user := &user{users: u, spec: spec, random: rand.New(rand.NewPCG(u.random.Uint64(), 3))}
	u.group.Go(user.run)
}

// user is the user of one job.
type user struct {
	users  *users
	spec   protocol.Spec
	random *rand.Rand

	cancelNow <-chan struct{} // nil if this user does not cancel the job at the same time as others
	cancelAt  time.Duration   // since the start of the run; negative: never
}

// run submits the job, asks about it until it has ended, and cancels it perhaps.
func (u *user) run() {
	u.users.d.recorder.addJob(u.spec)
	if !u.submit() {
		return
	}
	u.askAll()
	u.decideCancellation()
	for u.users.ctx.Err() == nil {
		if u.cancelAt >= 0 && u.users.d.since() >= u.cancelAt {
			u.cancel()
			return
		}
		status, state := u.send(question, balancerNode)
		if state == protocol.JobDone || state == protocol.JobCancelled {
			u.askAll()
			return
		}
		if status != http.StatusOK {
			u.wait(time.Second)
			continue
		}
		if u.random.IntN(20) == 0 {
			u.send(submission, balancerNode) // repeated
		}
		u.wait(time.Second + time.Duration(u.random.Int64N(int64(4*time.Second))))
	}
}

// decideCancellation decides whether and when the user cancels the job.
func (u *user) decideCancellation() {
	u.cancelAt = -1
	if u.random.IntN(4) == 0 {
		u.cancelAt = u.users.d.since() + time.Duration(u.random.Int64N(int64(12*time.Second)))
	}
	if u.users.d.size.longOutage && u.random.IntN(3) == 0 {
		u.cancelNow = u.users.d.cancelNow
	}
}

// wait waits for a time, or until the user is to cancel the job with others.
func (u *user) wait(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-u.users.ctx.Done():
	case <-timer.C:
	case <-u.cancelNow:
		u.cancelNow, u.cancelAt = nil, 0
	}
}

// submit submits the job until it is accepted. It returns false if that takes too long.
func (u *user) submit() bool {
	for start := u.users.d.since(); u.users.d.since()-start < submitFor && u.users.ctx.Err() == nil; {
		status, _ := u.send(submission, balancerNode)
		if status == http.StatusOK || status == http.StatusCreated {
			return true
		}
		storage.SleepContext(u.users.ctx, time.Second)
	}
	return false
}

// cancel cancels the job until that is confirmed or the job is done, and asks at all nodes then.
func (u *user) cancel() {
	for u.users.ctx.Err() == nil {
		if status, _ := u.send(cancellation, balancerNode); status == http.StatusOK {
			u.askAll()
			return
		}
		switch u.random.IntN(6) {
		case 0, 1:
			u.send(question, balancerNode)
		case 2:
			u.askAll()
		case 3:
			u.send(submission, balancerNode) // repeated
		}
		storage.SleepContext(u.users.ctx, time.Second)
	}
}

// askAll asks all nodes at the same time, within milliseconds after the last answer, and some nodes about a job
// that nobody has submitted.
func (u *user) askAll() {
	var asking sync.WaitGroup
	for _, c := range u.users.d.controllers {
		asking.Go(func() { u.send(question, c.name) })
	}
	if u.random.IntN(4) == 0 {
		unknown := &user{users: u.users, spec: protocol.Spec{ID: u.spec.ID + "9"}, random: u.random}
		unknown.send(question, balancerNode)
	}
	asking.Wait()
}

// balancerNode stands for whichever node the load balancer chooses.
const balancerNode = "balancer"

// send sends a request about the job to a node and records the answer.
func (u *user) send(operation operation, node string) (status int, state protocol.JobState) {
	d := u.users.d
	a := answer{Job: u.spec.ID, Operation: operation, Node: node, SentAt: d.since()}
	a.Status, a.State = u.exchange(operation, node)
	a.AllTasksDone = true
	for task := range u.spec.Tasks {
		a.AllTasksDone = a.AllTasksDone && d.cloud.IsTaskDone(fmt.Sprintf("%s/%d", u.spec.ID, task))
	}
	a.ReceivedAt = d.since()
	d.recorder.addAnswer(a)
	return a.Status, a.State
}

// exchange sends a request and returns the status and the job's state in the response.
func (u *user) exchange(operation operation, node string) (status int, state protocol.JobState) {
	method, target, timeout := http.MethodGet, "/v2/runs/"+u.spec.ID, pollTimeout
	var body []byte
	switch operation {
	case submission:
		method, target, timeout, body = http.MethodPost, "/v2/runs", submitTimeout, encodeSpec(u.spec)
	case cancellation:
		method, target, timeout = http.MethodPost, target+"/cancel", submitTimeout
	}
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	client := transport.NewClient(u.address(node), 0, limits.MaxBodyBytes)
	if node == balancerNode {
		client.WithDialer(u.users.d.balancer.Dial)
	}
	response, err := client.Do(ctx, method, target, body)
	if err != nil {
		return 0, ""
	}
	var job protocol.JobStatus
	if response.Status < http.StatusMultipleChoices && protocol.Decode(response.Body, &job) != nil {
		return 0, ""
	}
	return response.Status, job.State
}

func (u *user) address(node string) string {
	for _, c := range u.users.d.controllers {
		if c.name == node {
			return c.client
		}
	}
	return ""
}

// encodeSpec returns the body of a submission. Optional fields that are not set are left out.
func encodeSpec(spec protocol.Spec) []byte {
	fields := map[string]any{}
	if err := protocol.Decode(protocol.Encode(spec), &fields); err != nil {
		panic(err) // a spec is always a map
	}
	for _, optional := range []string{"Rigkinds", "Yard", "DueS"} {
		delete(fields, optional)
	}
	return protocol.Encode(fields)
}
