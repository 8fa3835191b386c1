package scheduler

import (
	"time"

	"quillshunt/internal/limits"
)

// machinePool is where machines are rented from: a type in a zone, as spot instances or not.
type machinePool struct {
	typeName, zone string
	spot           bool
}

// poolState is how long a pool that has refused machines is left alone.
type poolState struct {
	backoffUntil time.Duration
	backoff      time.Duration // 0 if its last answer was complete
}

// pool returns the state of a pool.
func (t *rentalTable) poolState(pool machinePool) *poolState {
	state := t.pools[pool]
	if state == nil {
		state = &poolState{}
		t.pools[pool] = state
	}
	return state
}

// backOff makes a pool that has fewer machines than were asked for wait before it is asked again,
// longer each time.
func (t *rentalTable) backOff(pool machinePool) {
	state := t.poolState(pool)
	state.backoff = min(max(2*state.backoff, limits.CapacityBackoffMin), limits.CapacityBackoffMax)
	state.backoffUntil = t.now + state.backoff
}

// resetBackoff notes that a pool has given all machines that it was asked for.
func (t *rentalTable) resetBackoff(pool machinePool) {
	if state := t.pools[pool]; state != nil {
		state.backoff = 0
	}
}

// isBackedOff reports whether a pool must not be asked for machines yet.
func (t *rentalTable) isBackedOff(pool machinePool) bool {
	state := t.pools[pool]
	return state != nil && t.now < state.backoffUntil
}

// refusedLately reports whether the last answer of a pool had fewer machines than were asked for.
func (t *rentalTable) lastAnswerIncomplete(pool machinePool) bool {
	state := t.pools[pool]
	return state != nil && state.backoff > 0
}
