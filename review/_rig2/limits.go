package main

import (
	"fmt"
	"strings"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// Limits of the state service before and after it has lowered them, from the site brindle-hollow-ops-next.
var (
	firstLimits   = stateLimits{ValueKB: 4, TxnOps: 8, RPS: 150, WriteRPS: 20}
	loweredLimits = stateLimits{ValueKB: 2, TxnOps: 4, RPS: 150, WriteRPS: 15}
)

// machineTypes returns a number of machine types. The first one is that of the site, but boots faster.
func machineTypes(count int) []protocol.MachineType {
	var types []protocol.MachineType
	for i := range count {
		types = append(types, protocol.MachineType{
			Name: fmt.Sprintf("hedgerow-%d", 16+i), CPUs: float64(16 + i), MemoryGB: float64(128 + 8*i), CacheGB: 70,
			FetchGBPerS: 0.3, Price: 1.37 + float64(i), SpotPrice: 0.6 + float64(i), BootS: 2, Zones: []string{"trent-vale"},
		})
	}
	return types
}

// job returns a job of the class invoice-render.
func job(id string) protocol.Spec {
	return protocol.Spec{
		ID: id, Class: "invoice-render", Team: "billing-desk", Shape: protocol.ShapeArray, Priority: "high", Tasks: 2,
		CPUs: 1, MemoryGB: 7, Spot: true, Image: "img-07", ImageGB: 0.8, EstimateS: 2, DeadlineS: 60,
	}
}

// runTypes: the state service has lowered its limits, and the cloud offers more machine types than fit into one value.
// A user submits a job.
func runTypes(recordFile string, trouble bool) int {
	limits := firstLimits
	if trouble {
		limits = loweredLimits
	}
	g := newRig(recordFile, limits, machineTypes(16))
	defer g.close()
	g.record.add("limits of the state service: %+v", limits)
	g.startControllers(3, siteFacts(3))
	g.waitHealthy()
	spec := job("job-000412")
	status := g.submit(spec)
	if status != 200 && status != 201 {
		g.record.add("BROKEN: the submission was not answered within 60 s, last status %d; no task was started", status)
		return broken
	}
	for start := time.Now(); time.Since(start) < 40*time.Second; time.Sleep(2 * time.Second) {
		if _, standing := g.poll(g.controllers[0], spec.ID); standing == "done" {
			return held
		}
	}
	g.record.add("BROKEN: the job is not done")
	return broken
}

// largeJob returns a job that names so many machine types that its record just fits into a value of the lowered
// limit, by the program's count.
func largeJob(id string, bytes int) protocol.Spec {
	spec := job(id)
	spec.Tasks, spec.EstimateS = 2, 40
	size := func() int {
		return storage.EncodedSize(storage.OpenJob{Spec: spec, SubmittedAtMs: time.Now().UnixMilli()})
	}
	spec.MachineTypes = []string{"hedgerow-16"}
	for i := 0; size()+40 < bytes; i++ {
		spec.MachineTypes = append(spec.MachineTypes, fmt.Sprintf("hedgerow-%d", 100+i))
	}
	spec.Image += strings.Repeat("x", bytes-size())
	return spec
}

// runAgain: a job is accepted, the state service lowers its limits, and the user repeats the submission.
func runAgain(recordFile string, trouble bool) int {
	g := newRig(recordFile, firstLimits, machineTypes(1))
	defer g.close()
	g.startControllers(3, siteFacts(3))
	g.waitHealthy()
	spec := largeJob("job-000412", 2040)
	if status := g.submit(spec); status != 200 && status != 201 {
		panic(unavailable{"the job was not accepted"})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		g.record.add("the state service lowers its limits: %+v", loweredLimits)
		g.state.setLimits(loweredLimits)
	}
	time.Sleep(2 * time.Second)
	for range 5 {
		for _, c := range g.controllers {
			if status := g.submitOnce(c, spec); status == 400 || status == 422 {
				g.record.add("BROKEN: a repeated submission of an accepted job got %d", status)
				g.poll(c, spec.ID)
				return broken
			}
		}
		time.Sleep(time.Second)
	}
	return held
}
