// Package storage is a client of the state service, a consensus-backed key-value store with leases,
// watches and compare-and-swap transactions. It also defines the records that controllers store there.
//
// # Calls
//
// A [Store] makes the calls: Get, List, CompareAndSwap, CreateLease, RenewLease, RevokeLease and
// Watch. It limits their rate to a share of the service's rate limits. Errors wrap one of this
// package's sentinel errors, such as [ErrNotExecuted] and [ErrOutcomeUnknown], which say whether the
// request was executed. A transaction whose conditions do not hold fails with a [ConflictError].
//
// # Records
//
// The names in keys and in struct tags are part of the stored data. They must never change: during a
// rolling upgrade, both versions of this program read and write the same records.
//
//	key               record            written by                  removed
//	leader            LeaderRecord      the winner of an election   when its lease expires or is revoked
//	term              TermRecord        the winner of an election   never
//	beat              LeaderHeartbeat   the winner, then the leader never
//	let/{node}        VoteWithdrawal    the controller of that name never; overwritten by the next one
//	open/{job}        OpenJob           any controller, for a user  by the leader, when the job ends
//	final/{job}       FinalJob          the leader                  never
//	fin/{job}/{task}  FinishedTasks     the leader                  by the leader, when the job has ended
//	hire/{rental}     Rental            the leader                  by the leader, when its machines are gone
//	up/{page}         RegistryPage      the leader                  by the leader, when its machines are gone
//	types             MachineTypes      the leader                  never; out of date while there are parts
//	type/{part}       MachineTypesPart  the leader                  by the leader, when fewer parts are needed
//
// When a job ends, one transaction removes its record under open/ and writes the one under final/. A
// reader that looks under open/ first and then under final/ therefore always finds the job. The
// transactions of the leader have a fencing condition: the key leader must still have the version that
// the leader's own election gave it.
package storage
