// Package protocol defines the messages of the four interfaces of a controller: users, workers, the
// cloud and the state service. Bodies are CBOR maps with text keys; see Encode and Decode. What
// users submit is checked by ParseSpec.
//
// # Names on the wire
//
// The protocol has names of its own, which stand in the tags of struct fields only. The Go names are
// the usual ones of cluster schedulers:
//
//	wire                      Go                                  meaning
//	run                       job                                 in paths
//	Piece, Pieces             Task, Tasks                         task of a job; number or list of tasks
//	Docket                    Class                               class of a job, to which objectives apply
//	Crew                      Team                                team with a quota
//	Shape: sweep, ensemble    ShapeArray, ShapeGang               job array, gang
//	Urgency                   Priority
//	Standing                  State                               of a job, task or machine
//	Try                       Attempt                             attempt to run a task
//	Cause                     Reason                              why a task ended
//	Stored                    Saved                               whether a checkpoint was saved
//	Reckon, Bookmark, Stash   Estimate, Checkpoint, Save          run time, checkpoint interval, time to save
//	Due                       Deadline                            latest end, from the submission
//	Leeway                    Grace                               time to save before a stop
//	Together, Scatter         SameZone, SpreadZones
//	Bundle                    Image
//	Vcpus, RamGb, SizeGb      CPUs, MemoryGB, ImageGB
//	Rig, Rigs, Rigkind, Sku   Machine, Machines, MachineType      rented machine, its type
//	Yard                      Zone
//	Lendable, MarketPrice     Spot, SpotPrice                     spot instances
//	Hire, Number              Name, Count                         of a RentalRequest
//	Pull, Startup             Fetch, Boot                         image fetch rate, boot time
//	Warning                   SpotNotice                          notice that a spot machine is taken away
//	report                    Heartbeat                           heartbeat with status
//	Shift                     Incarnation                         rises when a worker's lease expires
//	Tally                     Sequence                            orders the heartbeats of an incarnation
//	Baton                     FencingToken                        the leader's term
//	Foreman                   Leader                              controller to which a worker is sent
//	Order, Orders             Command, Commands
//	Path, Data, Pairs         Key, Value, KeyValue                of the state service
//	Stamp, Ledger             Version, Revision                   of one key, of the whole store
//	Hold, Tenure, LifeMs      Lease, DurationMs                   lease and its ID; its duration
//	Guard, Apply              Condition, Operation                of a Transaction (compare-and-swap)
//	Write, Remove             Put, Delete
//	Log                       Changes                             of a watch
package protocol
