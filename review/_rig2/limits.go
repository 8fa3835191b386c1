package main

import (
	"fmt"
	"time"

	"quillshunt/internal/protocol"
)

var (
	firstLimits   = stateLimits{ValueKB: 4, TxnOps: 8, RPS: 150, WriteRPS: 20}
	loweredLimits = stateLimits{ValueKB: 2, TxnOps: 4, RPS: 150, WriteRPS: 15}
)

// machineTypes returns a number of machine types in the form of the page.
func machineTypes(count int) []protocol.MachineType {
	var types []protocol.MachineType
	for i := range count {
		types = append(types, protocol.MachineType{
			Name: fmt.Sprintf("hedgerow-%d", 16+i), CPUs: float64(16 + i), MemoryGB: float64(128 + 8*i), CacheGB: 70,
			FetchGBPerS: 0.3, Price: 1.37 + float64(i), SpotPrice: 0.6 + float64(i), BootS: 1, Zones: []string{"trent-vale"},
		})
	}
	return types
}

func job(id string) protocol.Spec {
	return protocol.Spec{
		ID: id, Class: "invoice-render", Team: "billing-desk", Shape: protocol.ShapeArray, Priority: "high", Tasks: 2,
		CPUs: 1, MemoryGB: 7, Spot: true, Image: "img-07", ImageGB: 0.8, EstimateS: 2, DeadlineS: 60,
	}
}

// runTypes: the state service has lowered its limits. The cloud has more machine types than fit into one value.
func runTypes(recordFile string, trouble bool) int {
	limits := firstLimits
	if trouble {
		limits = loweredLimits
	}
	g := newRig(recordFile, trouble, limits, machineTypes(16))
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
