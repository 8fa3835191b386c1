// Command unfenced plays a case of ran_cancelled: a job is cancelled while its machine is cut off, the
// leader ends right after, and the machine comes back within its lease.
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

const job = "job-000001"

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
	d.Cloud.SetCapacity("jongno", 1)
	var answered atomic.Int64 // reports of the machine that were answered with 200
	d.Fleet.OnReport = func(_ *rig.Worker, _ string, status int, _ uint64) {
		if status == http.StatusOK {
			answered.Add(1)
		}
	}
	if !rig.Await(20*time.Second, func() bool { n, _ := d.Leader(); return n != "" }) {
		d.Unable("no leader")
	}
	spec := protocol.Spec{
		ID: job, Class: "roll-merge", Team: "rolls-team", Shape: protocol.ShapeArray, Priority: "standard",
		Tasks: 1, CPUs: 8, MemoryGB: 15, Image: "rolls", ImageGB: 0.1, EstimateS: 300,
	}
	time.Sleep(time.Second)
	if !d.Submit("rig-0", spec) {
		d.Unable("submission not accepted")
	}
	if !rig.Await(30*time.Second, func() bool { return len(d.Fleet.On(job+"/0")) == 1 }) {
		d.Unable("task not started")
	}
	machine := d.Fleet.Find(d.Fleet.On(job + "/0")[0])
	time.Sleep(4 * time.Second)
	leader, term := d.Leader()
	user := d.Others(leader)[0]

	// The machine loses the network right after a report was answered.
	before := answered.Load()
	if !rig.Await(10*time.Second, func() bool { return answered.Load() > before }) {
		d.Unable("no report answered")
	}
	if trouble {
		machine.CutFrom(true, d.Nodes...)
		machine.CutDirect(true)
	}

	// The user cancels the job and is told so.
	told := rig.Await(5*time.Second, func() bool {
		status, s := d.User(user, http.MethodPost, "/v2/runs/"+job+"/cancel", nil)
		return status == http.StatusOK && s.State == protocol.JobCancelled
	})
	if !told {
		d.Unable("cancellation not confirmed")
	}
	d.Fleet.ToldCancelled(job)
	toldAt := time.Now()
	record.Logf("user was told that %s is cancelled; leader %s, term %d; the machine's lease has %.1f s left",
		job, leader, term, machine.LeaseLeft().Seconds())

	if trouble {
		// The cloud has an outage, and the leader ends and is back three seconds later.
		d.Cloud.SetOutage(true)
		d.Kill(leader)
		time.Sleep(3 * time.Second)
		if err := d.Start(leader); err != nil {
			d.Unable(err.Error())
		}
		// The machine can reach all controllers again 1.8 s before its lease is over.
		if !rig.Await(30*time.Second, func() bool { return machine.LeaseLeft() < 1800*time.Millisecond }) {
			d.Unable("lease did not run down")
		}
		machine.CutDirect(false)
		machine.CutFrom(false, d.Nodes...)
		if name, now := d.Leader(); now <= term {
			d.Unable(fmt.Sprintf("no new term: %s, term %d", name, now))
		}
	}
	for time.Since(toldAt) < d.Fleet.Times.Cancel+8*time.Second && len(d.Fleet.On(job+"/0")) > 0 {
		time.Sleep(100 * time.Millisecond)
	}
	d.Finish()
}
