// Command waits tries issue 40, point 1, by hand: a job that comes while all machines drain. It is no case:
// it needs no disruption. Run it with LIMIT=200s.
package main

import (
	"fmt"
	"os"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/review/testdata/rig"
)

func main() {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		panic(err)
	}
	d, err := rig.NewDeployment(record)
	if err != nil {
		panic(err)
	}
	d.Cloud.SetCapacity("jongno", 1)
	rig.Await(20*time.Second, func() bool { n, _ := d.Leader(); return n != "" })
	time.Sleep(time.Second)
	spec := protocol.Spec{
		ID: "job-000001", Class: "roll-merge", Team: "rolls-team", Shape: protocol.ShapeArray, Priority: "standard",
		Tasks: 1, CPUs: 2, MemoryGB: 2, Image: "rolls", ImageGB: 0.1, EstimateS: 3,
	}
	d.Submit("rig-0", spec)
	if !rig.Await(30*time.Second, func() bool { return len(d.Fleet.On(spec.ID+"/0")) == 1 }) {
		d.Unable("first task not started")
	}
	time.Sleep(34 * time.Second)
	spec.ID = "job-000002"
	d.Submit("rig-0", spec)
	at := time.Now()
	if !rig.Await(95*time.Second, func() bool { return len(d.Fleet.On(spec.ID+"/0")) == 1 }) {
		d.Fleet.Break(fmt.Sprintf("waiting: %s has waited %.0f s beside an empty machine that fits", spec.ID, time.Since(at).Seconds()))
	} else {
		fmt.Printf("started after %.1f s; ", time.Since(at).Seconds())
	}
	d.Finish()
}
