// Command window plays a case of ran_cancelled: a job is cancelled while the start of its task is held up
// on its way to the worker, and the cloud can't delete the machine.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/review/testdata/rig"
)

const (
	firstJob = "job-000001" // short; the machine is rented for it
	job      = "job-000002"
)

func main() {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println("not run:", err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := rig.NewDeployment(record)
	if err != nil {
		fmt.Println("not run:", err)
		os.Exit(2)
	}
	d.Fleet.Regular = true
	d.Cloud.SetCapacity("jongno", 1)
	var answered, refused atomic.Int64 // reports of the machine answered with 200, and with 503
	d.Fleet.OnReport = func(_ *rig.Worker, _ string, status int, _ uint64) {
		switch status {
		case http.StatusOK:
			answered.Add(1)
		case http.StatusServiceUnavailable:
			refused.Add(1)
		}
	}
	if trouble {
		d.Fleet.Hold = func(_ *rig.Worker, c protocol.DirectCommands) bool {
			for _, order := range c.Commands {
				if order.Verb == protocol.CommandStart && order.Task == job+"/0" {
					return true
				}
			}
			return false
		}
	}
	if !rig.Await(20*time.Second, func() bool { n, _ := d.Leader(); return n != "" }) {
		d.Unable("no leader")
	}
	spec := protocol.Spec{
		ID: firstJob, Class: "roll-merge", Team: "rolls-team", Shape: protocol.ShapeArray, Priority: "standard",
		Tasks: 1, CPUs: 8, MemoryGB: 15, Image: "rolls", ImageGB: 0.1, EstimateS: 2,
	}
	time.Sleep(time.Second)
	if !d.Submit("rig-0", spec) || !rig.Await(30*time.Second, func() bool { return len(d.Fleet.On(firstJob+"/0")) == 1 }) {
		d.Unable("first task not started")
	}
	machine := d.Fleet.Find(d.Fleet.On(firstJob + "/0")[0])
	if !rig.Await(20*time.Second, func() bool { return d.State.Get("final/"+firstJob).Version != 0 }) {
		d.Unable("first job not done")
	}
	time.Sleep(4 * time.Second)

	// Soon after a report, the user submits a job, whose start goes to the worker at once, and cancels it.
	before := answered.Load()
	if !rig.Await(10*time.Second, func() bool { return answered.Load() > before }) {
		d.Unable("no report answered")
	}
	time.Sleep(800 * time.Millisecond)
	spec.ID, spec.EstimateS = job, 300
	if !d.Submit("rig-0", spec) {
		d.Unable("submission not accepted")
	}
	if !trouble {
		rig.Await(10*time.Second, func() bool { return len(d.Fleet.On(job+"/0")) == 1 })
	} else if !rig.Await(2*time.Second, func() bool { return machine.Held() > 0 }) {
		d.Unable("no direct start")
	}
	told := rig.Await(5*time.Second, func() bool {
		status, s := d.User("rig-1", http.MethodPost, "/v2/runs/"+job+"/cancel", nil)
		return status == http.StatusOK && s.State == protocol.JobCancelled
	})
	if !told {
		d.Unable("cancellation not confirmed")
	}
	d.Fleet.ToldCancelled(job)
	toldAt := time.Now()
	record.Logf("user was told that %s is cancelled", job)
	if trouble {
		d.Cloud.SetOutage(true)
		// The start arrives 24 s after it was sent.
		time.Sleep(24 * time.Second)
		d.Fleet.Hold = nil
		machine.ReleaseHeld()
		record.Logf("the machine's lease has %.1f s left, cancel_s %.1f s", machine.LeaseLeft().Seconds(),
			(d.Fleet.Times.Cancel - time.Since(toldAt)).Seconds())
		time.Sleep(time.Second)
	}
	for time.Since(toldAt) < d.Fleet.Times.Cancel+6*time.Second && len(d.Fleet.On(job+"/0")) > 0 {
		time.Sleep(100 * time.Millisecond)
	}
	d.Finish()
}
