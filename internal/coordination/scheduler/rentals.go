package scheduler

import (
	"time"

	"quillshunt/internal/storage"
)

type rentalState uint8

const (
	rentalWriting rentalState = iota
	rentalRequested
	rentalAnswered
	rentalRemoving
)

// isPending tells whether the cloud has not answered yet.
func (r *rental) isPending() bool { return r.state == rentalWriting || r.state == rentalRequested }

type rental struct {
	name          string
	record        storage.Rental
	version       uint64
	state         rentalState
	requestedAt   time.Duration
	dirty         bool // the record in memory is newer than the written one
	writing       bool
	answerDurable bool // the written record names the machines
}

// machinePool is one type in one zone of one kind.
type machinePool struct {
	typeName, zone string
	spot           bool
}

type poolState struct {
	notBefore time.Duration
	backoff   time.Duration
}

// rentalTable holds the rental requests of this and earlier terms, and the pools of machines that
// they are made to.
type rentalTable struct {
	*environment
	byName      map[string]*rental
	pools       map[machinePool]*poolState
	sequence    uint64 // of the names of this term's rentals
	maxMachines int    // of one rental, so that its record fits
}

// newRentalTable returns a table without rentals.
func newRentalTable(env *environment) *rentalTable {
	return &rentalTable{
		environment: env,
		byName:      map[string]*rental{},
		pools:       map[machinePool]*poolState{},
		maxMachines: storage.MaxRentalMachines(env.cfg.State.ValueKB),
	}
}
