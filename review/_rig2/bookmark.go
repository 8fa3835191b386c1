package main

import (
	"fmt"
	"sync"
	"time"

	"quillshunt/internal/protocol"
)

// Times of the case, since its start.
const (
	burstAt   = 12 * time.Second // jobs of a class come several times as often
	cancelAt  = 16 * time.Second // a user cancels a job
	forgotten = 90 * time.Second // the rule's: every poll fails for that long
	caseEnd   = 112 * time.Second
)

// runBookmark: a running job has a short checkpoint interval. Jobs of a class of higher priority come several times as
// often, so that preemption is considered. A user cancels a third job and asks about it.
func runBookmark(recordFile string, trouble bool) int {
	g := newRig(recordFile, firstLimits, machineTypes(1))
	defer g.close()
	g.startControllers(3, siteFacts(3))
	g.waitHealthy()

	long := job("job-000101") // its tasks take nearly all of two machines
	long.Class, long.Priority, long.Tasks = "survey-crunch", "standard", 28
	long.EstimateS, long.CheckpointS, long.SaveS, long.DeadlineS = 300, 1e-9, 1, 0
	other := job("job-000102")
	other.Class, other.Priority, other.Tasks, other.EstimateS, other.DeadlineS = "mapforge", "standard", 1, 300, 0
	cancelled := job("job-000103")
	cancelled.Class, cancelled.Priority, cancelled.Tasks, cancelled.EstimateS, cancelled.DeadlineS = "mapforge", "standard", 1, 300, 0
	for _, spec := range []protocol.Spec{long, other, cancelled} {
		if status := g.submit(spec); status != 201 && status != 200 {
			g.record.add("%s not accepted: %d", spec.ID, status)
			panic(unavailable{"a job was not accepted"})
		}
	}
	sleepUntil := func(at time.Duration) { time.Sleep(time.Until(g.record.start.Add(at))) }
	sleepUntil(burstAt)
	if trouble {
		var users sync.WaitGroup
		for i := range 4 {
			urgent := job(fmt.Sprintf("job-0002%02d", i))
			urgent.Tasks, urgent.CPUs, urgent.EstimateS, urgent.DeadlineS = 4, 4, 12, 16
			users.Go(func() { g.submit(urgent) })
		}
		users.Wait()
	}
	sleepUntil(cancelAt)
	return g.askUntilForgotten(other.ID, cancelled.ID)
}

// askUntilForgotten plays the users of two jobs, of which the second is cancelled. It returns broken if every poll for
// the cancelled job fails for 90 s while most polls for the other one are answered.
func (g *rig) askUntilForgotten(other, cancelled string) int {
	var failingSince time.Time
	answered, asked := 0, 0
	told := false
	for attempt := 0; time.Since(g.record.start) < caseEnd; attempt++ {
		c := g.controllers[attempt%len(g.controllers)]
		if !told && time.Since(g.record.start) < cancelAt+60*time.Second {
			status, reply := call("POST", c.client, "/v2/runs/"+cancelled+"/cancel", nil, 5*time.Second)
			g.record.add("POST /v2/runs/%s/cancel to %s: %d %v", cancelled, c.name, status, reply)
			told = status == 200
		}
		asked++
		if status, _ := g.poll(c, other); status == 200 {
			answered++
		}
		sentAt := time.Now()
		switch status, _ := g.poll(c, cancelled); {
		case status == 200:
			failingSince = time.Time{}
			if told {
				g.record.add("held: the cancellation and the poll were answered")
				return held
			}
		case failingSince.IsZero():
			failingSince = sentAt
		}
		if !failingSince.IsZero() && time.Since(failingSince) >= forgotten {
			g.record.add("BROKEN: every poll for %s has failed for 90 s; %d of %d polls for %s were answered",
				cancelled, answered, asked, other)
			if 2*answered > asked {
				return broken
			}
		}
		time.Sleep(2 * time.Second)
	}
	g.record.add("held: polls for %s were answered within 90 s", cancelled)
	return held
}
