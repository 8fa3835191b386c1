// Package scheduler decides where tasks run, which tasks are preempted, which machines are rented and
// returned, and which records must be written to the state service first. It is a deterministic state
// machine, Step(event, now) -> effects, and uses no clock, I/O, goroutine or random number itself. The
// leader creates one Scheduler per term, passes events to it and executes the effects that it returns.
//
// # Safety
//
// A task must never run twice at the same time. A task is either unassigned or assigned to one
// incarnation of one machine's worker. An assignment ends only on evidence that the task neither runs
// there nor can start there any more: the worker no longer lists the task and its start command can no
// longer arrive or is rejected, the worker's lease has expired, or the machine was deleted. See
// assignmentTable.release and its callers. A new term places nothing until its recovery has ended,
// because tasks that earlier leaders started may still be running.
//
// # Parts
//
// Scheduler itself only coordinates. The state is divided among parts, each of which is a type in a
// file of the same name. Only the methods of a part access its fields; TestPartsOwnTheirFields checks
// that. A part may point to parts that precede it in this list, but not to later ones:
//
//   - environment and outbox: settings, time, effects, and the purpose of each pending write
//   - jobTable: open jobs, their teams and classes
//   - typeCatalog, machineListReader: the cloud's machine types and its list of machines
//   - machineInventory: the known machines
//   - machineRegistry, rentalTable: durable records of machines and rentals
//   - fencingTokens: the tokens by which workers reject direct commands that were sent before
//   - commandDispatcher: direct commands, which are sent without waiting for a heartbeat
//   - finishedTaskWriter: durable records of finished tasks
//   - recoveryState: whether a new term already knows all tasks that may be running
//   - machineProber: probes, which request the task lists of unreported and unverified machines
//   - decisionPacer: the share of time that passes and plans may take
//   - jobQueue: order of the jobs, guarantees, slack and aging
//   - placer: the scheduling pass
//   - gangTable, gangReservations: jobs whose tasks start together, and the machines reserved for them
//   - assignmentTable: assignments of tasks to machines, from placement to release
//   - reachabilityTracker: which workers receive replies and commands, and whose lease has expired
//   - capacityPlanner: scale-out and scale-in
//
// Operations that span several parts are methods of Scheduler: the lifecycle of a job
// (job_lifecycle.go) and of a machine (machine_list.go, machine_removal.go, deletion.go), and the
// reconciliation of a worker's task list with the assignments (reconcile.go).
package scheduler
