// Package storage calls the state service, a consensus-backed key-value store with leases,
// watches and compare-and-swap transactions, and defines the records that the controllers keep
// there.
//
// # Calls
//
// A [Store] makes the calls: Get, List, CompareAndSwap, CreateLease, RenewLease, RevokeLease and
// Watch. It keeps to this controller's share of the service's rates. Errors wrap the sentinels of
// this package, which say whether a request was executed: [ErrNotExecuted], [ErrOutcomeUnknown] and
// the others; a transaction whose conditions do not hold fails with a [ConflictError].
//
// # Records
//
// The names in keys and in the tags of the records are those of stored data. They never change, as
// a rolling upgrade reads and writes them with both versions.
//
//	key               record            written by                  removed
//	leader            LeaderRecord      the winner of an election   when its lease expires or is revoked
//	term              TermRecord        the winner of an election   never
//	beat              LeaderHeartbeat   the winner, then the leader never
//	let/{node}        VoteWithdrawal    that controller             never; each one replaces the last
//	open/{job}        OpenJob           any controller, for users   by the leader, when the job is over
//	final/{job}       FinalJob          the leader                  never
//	fin/{job}/{task}  FinishedTasks     the leader                  by the leader, when the job is over
//	hire/{rental}     Rental            the leader                  by the leader, when its machines are gone
//	up/{page}         RegistryPage      the leader                  by the leader, when its machines are gone
//	types             MachineTypes      the leader                  never; it is out of date while there are parts
//	type/{part}       MachineTypesPart  the leader                  by the leader, when fewer parts are needed
//
// A job is in open/ until it is over; the transaction that removes it there puts it into final/.
// Readers look at open/ first, so they never miss it. The leader makes all its writes on the
// condition that the key leader still has the version of its own election.
package storage
