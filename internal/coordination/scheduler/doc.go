// Package scheduler decides which task runs where, which tasks are preempted, which machines are
// rented and returned, and what is written to the state service first. It is a deterministic state
// machine, Step(event, now) -> effects, without clocks, I/O, goroutines or randomness of its own.
// The leader runs one Scheduler in each term, feeds it events and executes its effects.
//
// # Safety
//
// No task may run twice at the same time. A task is free, or assigned to one incarnation of one
// machine's worker, and only evidence frees it: the worker reports that it is gone, the start can no
// longer arrive, the worker's lease has expired, or the machine is deleted. See assignmentTable.release
// and its callers. In a new term nothing is placed before recovery has ended, as tasks that earlier
// leaders have started may be running.
//
// # Parts
//
// The Scheduler is a thin coordinator. The state belongs to parts, each a type in a file of its
// name. The fields of a part are touched only by its own methods, which TestPartsOwnTheirFields
// checks. A part may have a pointer to a part that stands above it in this list, never the other
// way:
//
//   - environment and outbox: settings, time, effects, and what each pending write is for
//   - jobTable: open jobs, their teams and classes
//   - typeCatalog, machineListReader: machine types and machine list of the cloud
//   - machineInventory: the machines that are known
//   - machineRegistry, rentalTable: durable records of the machines
//   - commandDispatcher: commands that do not wait for a heartbeat
//   - finishedTaskWriter: durable records of finished tasks
//   - recoveryState: how far a new term knows what runs where
//   - machineProber: requests to machines whose tasks are not known
//   - jobQueue: order of the jobs, guarantees, slack and aging
//   - placer: the scheduling pass
//   - gangTable, gangReservations: jobs whose tasks start together, and machines that are kept for them
//   - assignmentTable: tasks on machines, from the decision to the evidence that they are gone
//   - reachabilityTracker: which workers hear us, and whose lease is over
//   - capacityPlanner: scale out and scale in
//
// What concerns many parts is a method of Scheduler: the life of a job (job_lifecycle.go) and of a
// machine (machine_list.go, machine_removal.go, deletion.go), and the reconciliation of a worker's
// tasks with the state (reconcile.go).
package scheduler
