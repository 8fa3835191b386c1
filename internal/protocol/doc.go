// Package protocol defines the messages of a controller's four interfaces: to users, workers, the cloud
// and the state service. Bodies are CBOR maps with text keys; see Encode and Decode. ParseSpec checks the
// jobs that users submit.
//
// # Names on the wire
//
// The protocol uses names of its own, which appear only in struct tags, in the values of typed constants
// and in the parser. The Go names are the usual terms of cluster schedulers:
//
//	wire                      Go                                  meaning
//	run                       job                                 in URL paths
//	Piece, Pieces             Task, Tasks                         task of a job; number or list of tasks
//	Docket                    Class                               class of a job, to which objectives apply
//	Crew                      Team                                team with a quota
//	Shape: sweep, ensemble    ShapeArray, ShapeGang               job array, gang
//	Standing: aborted         JobCancelled                        cancelled by the user
//	Urgency                   Priority
//	Standing                  State                               of a job, task or machine
//	Try                       Attempt                             attempt to run a task
//	Cause                     Reason                              why a task ended or was rejected
//	Stored                    Saved                               whether a checkpoint was saved
//	Reckon, Bookmark, Stash   Estimate, Checkpoint, Save          run time, checkpoint interval, time to save
//	Due                       Deadline                            latest end, from the submission
//	Leeway                    Grace                               time to save a checkpoint before a stop
//	Together, Scatter         SameZone, SpreadZones
//	Bundle                    Image
//	Vcpus, RamGb, SizeGb      CPUs, MemoryGB, ImageGB
//	Rig, Rigs, Rigkind, Sku   Machine, Machines, MachineType      rented machine, its type
//	Yard                      Zone
//	Lendable, MarketPrice     Spot, SpotPrice                     spot instances
//	Hire, Number              Name, Count                         of a RentalRequest
//	Pull, Startup             Fetch, Boot                         rate of image fetches, boot time
//	Warning                   SpotNotice                          notice that a spot machine will be reclaimed
//	report                    Heartbeat                           heartbeat with the state of a worker
//	Shift                     Incarnation                         increases when a worker's lease expires
//	Tally                     Sequence                            orders the heartbeats of an incarnation
//	Baton                     FencingToken                        one of the tokens of the leader's term
//	Foreman                   Leader                              controller to which a worker is redirected
//	Orders                    Commands
//	Path, Data, Pairs         Key, Value, KeyValue                of the state service
//	Stamp, Ledger             Version, Revision                   of one key, of the whole store
//	Hold, Tenure, LifeMs      Lease, DurationMs                   lease and its ID; its duration
//	Guards, Apply             Conditions, Operations              of a Transaction (compare-and-swap)
//	Write, Remove             Put, Delete
//	Log                       Changes                             of a watch
package protocol
