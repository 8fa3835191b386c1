package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
	"quillshunt/internal/testvariable"
)

// Sizes of the test of answers, for each thousand machines, and the times of its users.
const (
	defaultAnswerMachines    = 1000
	answerControllers        = 5
	openJobsPerThousand      = 250
	finishedJobsPerThousand  = 60 // jobs whose users have not been told yet that they are done
	cancelledJobsPerThousand = 20 // jobs that their users cancel in the outage
	unknownJobsPerThousand   = 25
	submissionsPerThousand   = 80   // users who try to submit a job during the outage
	arrivalsPerThousand      = 1.0  // submissions per second after the outage
	requestsPerThousand      = 30.0 // rate of the state service, per second
	changesPerThousand       = 4.5  // rate of the state service, per second
	socketsPerThousand       = 2400

	pollInterval    = 5 * time.Second
	pollTimeout     = 2 * time.Second
	answerOutage    = 45 * time.Second
	timeAfterOutage = 160 * time.Second
	maxUnanswered   = 75 * time.Second // from the protocol's users
)

// TestEveryJobIsAnsweredAfterOutage guards against accepted jobs that get no answer for more than 75 s after
// the end of an outage, because all users ask at once and the reads of the state service are scarce.
func TestEveryJobIsAnsweredAfterOutage(t *testing.T) {
	runAnswerScenario(t, func(c *cluster, q *questioners, thousands float64) {
		c.state.SetUnavailable(true)
		time.Sleep(answerOutage / 2)
		q.submit(int(submissionsPerThousand*thousands), 0)
		time.Sleep(answerOutage / 2)
		for _, node := range c.nodeNames {
			c.restartController(node, 0)
		}
		c.state.SetUnavailable(false)
	})
}

// TestEveryJobIsAnsweredAfterRestartsInSeries guards against accepted jobs that get no answer for more than 75 s
// after controllers were restarted again and again, so that the load balancer keeps all of them out for a minute.
func TestEveryJobIsAnsweredAfterRestartsInSeries(t *testing.T) {
	const rounds, downtime = 7, 3 * time.Second
	runAnswerScenario(t, func(c *cluster, q *questioners, _ float64) {
		for range rounds {
			for _, node := range c.nodeNames {
				c.killController(node)
			}
			time.Sleep(downtime)
			for _, node := range c.nodeNames {
				c.startController(node)
			}
			for len(q.balancer.NodesInService()) < len(c.nodeNames) {
				if q.balancer.LongestPause() == standin.MaxReturnPause {
					return
				}
				time.Sleep(time.Second)
			}
		}
	})
}

// runAnswerScenario starts users of many jobs, plays troubles, and checks that users have answers after their end.
func runAnswerScenario(t *testing.T, troubles func(c *cluster, q *questioners, thousands float64)) {
	machines := testvariable.Positive(t, "QUILLSHUNT_MACHINES", defaultAnswerMachines)
	seed := testvariable.Positive(t, "QUILLSHUNT_SEED", 1)
	thousands := float64(machines) / 1000
	stateLimits := config.StateLimits{
		RPS:      float64(testvariable.Positive(t, "QUILLSHUNT_STATE_RPS", int(requestsPerThousand*thousands))),
		WriteRPS: changesPerThousand * thousands, ValueKB: 8, TxnOps: 8,
	}
	options := clusterOptions{
		controllers: answerControllers, maxSockets: int(socketsPerThousand * thousands),
		state: stateLimits, enforced: true, times: defaultWorkerTimes,
	}
	runScenarioOf(t, uint64(seed), options, func(c *cluster) {
		c.startJobs(1, longTasks)
		q := newQuestioners(c, thousands)
		q.start()
		time.Sleep(20 * time.Second)
		troubles(c, q, thousands)
		q.troublesEnded()
		q.submit(int(arrivalsPerThousand*thousands*60), time.Minute)
		time.Sleep(timeAfterOutage)
		q.stop()
		q.check(t)
	})
}

// questioners are users that ask about jobs through a load balancer.
type questioners struct {
	cluster  *cluster
	balancer *standin.LoadBalancer
	users    sync.WaitGroup
	open     []string // accepted jobs that stay open
	done     []string // accepted jobs that are done
	cancel   []string // accepted jobs that are cancelled during the outage
	unknown  []string // jobs that nobody submitted

	mu         sync.Mutex
	stopped    bool
	endedAt    time.Time                // end of the troubles
	answeredAt map[string]time.Time     // last answer about each accepted job
	unanswered map[string]time.Duration // longest time without an answer since the end of the troubles
	answers    int                      // since the end of the troubles
	failures   int                      // since the end of the troubles
	wrong      []string                 // answers that break a rule
}

// newQuestioners stores the records of accepted jobs.
func newQuestioners(c *cluster, thousands float64) *questioners {
	addresses := map[string]string{}
	for _, node := range c.nodeNames {
		addresses[node] = node + ":8080"
	}
	q := &questioners{
		cluster: c, answeredAt: map[string]time.Time{}, unanswered: map[string]time.Duration{},
		balancer: standin.NewLoadBalancer(addresses, c.network.Dialer("users"), c.random.Uint64()),
	}
	go q.balancer.Run(c.ctx)
	c.mu.Lock()
	c.rentalsFail = true // so that the open jobs stay open
	c.mu.Unlock()
	count := func(perThousand float64) int { return max(1, int(perThousand*thousands)) }
	names := c.random.Perm(1_000_000)
	next := func() string {
		id := fmt.Sprintf("job-1%06d", names[0]) // not among those of cluster.submit
		names = names[1:]
		return id
	}
	for range count(openJobsPerThousand) {
		q.open = append(q.open, q.storeOpenJob(next()))
	}
	for range count(cancelledJobsPerThousand) {
		q.cancel = append(q.cancel, q.storeOpenJob(next()))
	}
	for range count(finishedJobsPerThousand) {
		id := next()
		q.storeRecord(storage.FinalJobKey(id), storage.FinalJob{State: protocol.JobDone})
		q.done = append(q.done, id)
	}
	for range count(unknownJobsPerThousand) {
		q.unknown = append(q.unknown, next())
	}
	return q
}

// storeOpenJob stores the record of an accepted job and returns its ID.
func (q *questioners) storeOpenJob(id string) string {
	q.storeRecord(storage.OpenJobKey(id), storage.OpenJob{
		SubmittedAtMs: time.Now().UnixMilli(),
		Spec: protocol.Spec{
			ID: id, Class: "x", Team: teams[0].Name, Shape: "sweep", Priority: "standard",
			Tasks: 3, CPUs: 2, MemoryGB: 1, Spot: true, Image: "i", EstimateS: 15,
		},
	})
	return id
}

func (q *questioners) storeRecord(key string, record any) {
	operations := []protocol.Operation{{Put: key, Value: protocol.Encode(record)}}
	status, _ := q.cluster.state.CompareAndSwap(protocol.Transaction{Operations: operations})
	if status != http.StatusOK {
		q.cluster.t.Fatalf("store %s: status %d", key, status)
	}
}

// start starts one user for each job. The users of done jobs ask for the first time in the outage.
func (q *questioners) start() {
	for _, id := range q.open {
		q.ask(id, 0, protocol.JobPending, protocol.JobRunning)
	}
	for _, id := range q.done {
		q.ask(id, 30*time.Second, protocol.JobDone)
	}
	for _, id := range q.unknown {
		q.ask(id, 0)
	}
	for _, id := range q.cancel {
		q.users.Go(func() {
			time.Sleep(answerOutage)
			q.cluster.retryUntil(time.Minute, q.cluster.nodeNames, func(node string) bool {
				status, _ := q.cluster.sendAndReadJobState(
					node, http.MethodPost, "/v2/runs/"+id+"/cancel", nil, limits.SubmitTimeout+time.Second)
				return status == http.StatusOK
			})
		})
		q.ask(id, 0, protocol.JobPending, protocol.JobRunning, protocol.JobCancelled)
	}
}

// submit starts users of whom each submits a job, evenly spread over a time, and retries for up to a minute.
// Nobody asks about these jobs.
func (q *questioners) submit(users int, over time.Duration) {
	for i := range users {
		q.users.Go(func() {
			time.Sleep(over * time.Duration(i) / time.Duration(users))
			q.cluster.submit(nil)
		})
	}
}

// ask starts a user who asks about a job after a delay, again 5 s after each answer, and after a second or
// the time that the controller names if there is none. Without allowed states the job is unknown.
func (q *questioners) ask(id string, delay time.Duration, allowed ...protocol.JobState) {
	random := rand.New(rand.NewPCG(q.cluster.random.Uint64(), 5))
	q.users.Go(func() {
		time.Sleep(delay + time.Duration(random.Int64N(int64(pollInterval))))
		for !q.isStopped() {
			answered, retryAfter := q.askOnce(id, allowed)
			if !answered {
				time.Sleep(max(time.Second, retryAfter))
				continue
			}
			time.Sleep(pollInterval*3/4 + time.Duration(random.Int64N(int64(pollInterval/2))))
		}
	})
}

// askOnce asks about a job. It reports whether there was an answer, and if not, after which time
// the controller wants to be asked again.
func (q *questioners) askOnce(id string, allowed []protocol.JobState) (answered bool, retryAfter time.Duration) {
	target := "/v2/runs/" + id
	reply, err := q.cluster.sendUserRequestBy(q.balancer.Dial, "balancer", http.MethodGet, target, nil, pollTimeout)
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		q.failures++
		return false, 0
	}
	if reply.Status != http.StatusOK && reply.Status != http.StatusNotFound {
		q.failures++
		return false, time.Duration(reply.RetryAfter) * time.Second
	}
	q.answers++
	if reply.Status == http.StatusNotFound {
		if len(allowed) > 0 {
			q.wrong = append(q.wrong, "accepted job "+id+" gets 404")
		}
		return true, 0
	}
	var status protocol.JobStatus
	if err := protocol.Decode(reply.Body, &status); err != nil || !slices.Contains(allowed, status.State) {
		q.wrong = append(q.wrong, fmt.Sprintf("job %s is called %q", id, status.State))
	}
	q.recordAnswer(id)
	return true, 0
}

// recordAnswer records an answer about an accepted job. The caller holds mu.
func (q *questioners) recordAnswer(id string) {
	if !q.endedAt.IsZero() {
		q.unanswered[id] = max(q.unanswered[id], time.Since(q.lastAnswerOrEnd(id)))
	}
	q.answeredAt[id] = time.Now()
}

// lastAnswerOrEnd returns the time of the last answer about a job, or the end of the troubles if that was
// later. The caller holds mu.
func (q *questioners) lastAnswerOrEnd(id string) time.Time {
	if at := q.answeredAt[id]; at.After(q.endedAt) {
		return at
	}
	return q.endedAt
}

func (q *questioners) troublesEnded() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.endedAt, q.answers, q.failures = time.Now(), 0, 0
}

func (q *questioners) isStopped() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stopped
}

// stop makes the users stop, and waits until they have.
func (q *questioners) stop() {
	q.mu.Lock()
	q.stopped = true
	for _, ids := range [][]string{q.open, q.cancel, q.done} {
		for _, id := range ids {
			q.unanswered[id] = max(q.unanswered[id], time.Since(q.lastAnswerOrEnd(id)))
		}
	}
	q.mu.Unlock()
	q.users.Wait()
}

// check checks that no accepted job was without an answer for too long, and that no answer was wrong.
func (q *questioners) check(t *testing.T) {
	t.Helper()
	q.mu.Lock()
	defer q.mu.Unlock()
	forgotten, longest := 0, time.Duration(0)
	for _, kind := range []struct {
		name string
		ids  []string
	}{{"open", q.open}, {"done", q.done}, {"cancelled", q.cancel}} {
		longestOfKind := time.Duration(0)
		for _, id := range kind.ids {
			if q.unanswered[id] > maxUnanswered {
				forgotten++
			}
			longestOfKind = max(longestOfKind, q.unanswered[id])
		}
		t.Logf("%d %s jobs: longest time without an answer %v", len(kind.ids), kind.name, longestOfKind)
		longest = max(longest, longestOfKind)
	}
	all, limited := q.cluster.state.RequestCounts()
	t.Logf("%d answers, %d failures; state service: %d requests, %d of them above its rate",
		q.answers, q.failures, all, limited)
	if forgotten > 0 {
		t.Errorf("%d of %d accepted jobs were without an answer for more than %v, the longest for %v",
			forgotten, len(q.unanswered), maxUnanswered, longest)
	}
	for _, wrong := range q.wrong[:min(len(q.wrong), 10)] {
		t.Error(wrong)
	}
}
