package scheduler

import (
	"time"

	"quillshunt/internal/limits"
)

// machinePool identifies a pool that machines are rented from: a machine type in a zone, as spot or
// on-demand machines.
type machinePool struct {
	typeName, zone string
	spot           bool
}

// poolState is the backoff of a pool that had fewer machines than were requested.
type poolState struct {
	backoffUntil time.Duration // no machines are requested before this time
	backoff      time.Duration // length of the last backoff; 0 if the last reply was complete
}

// poolState returns the state of a pool, and creates it if there is none.
func (t *rentalTable) poolState(pool machinePool) *poolState {
	state := t.pools[pool]
	if state == nil {
		state = &poolState{}
		t.pools[pool] = state
	}
	return state
}

// backOff defers further requests to a pool that had fewer machines than were requested. The delay doubles
// each time, up to CapacityBackoffMax.
func (t *rentalTable) backOff(pool machinePool) {
	state := t.poolState(pool)
	state.backoff = min(max(2*state.backoff, limits.CapacityBackoffMin), limits.CapacityBackoffMax)
	state.backoffUntil = t.now + state.backoff
}

// resetBackoff records that a pool had all machines that were requested.
func (t *rentalTable) resetBackoff(pool machinePool) {
	if state := t.pools[pool]; state != nil {
		state.backoff = 0
	}
}

// isBackedOff reports whether no machines may be requested from a pool yet.
func (t *rentalTable) isBackedOff(pool machinePool) bool {
	state := t.pools[pool]
	return state != nil && t.now < state.backoffUntil
}

// wasLastReplyIncomplete reports whether a pool had fewer machines than were requested when the cloud last
// replied to a request for it.
func (t *rentalTable) wasLastReplyIncomplete(pool machinePool) bool {
	state := t.pools[pool]
	return state != nil && state.backoff > 0
}
