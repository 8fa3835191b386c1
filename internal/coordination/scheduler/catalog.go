package scheduler

import (
	"time"

	"quillshunt/internal/protocol"
)

// typeCatalog holds the machine types that the cloud offers.
type typeCatalog struct {
	*environment
	byName      map[string]*protocol.MachineType
	names       []string // sorted
	nextFetchAt time.Duration
}

// newTypeCatalog returns a catalog without types.
func newTypeCatalog(env *environment) *typeCatalog {
	return &typeCatalog{environment: env, byName: map[string]*protocol.MachineType{}}
}

// machineListReader reads the cloud's list of machines from time to time.
type machineListReader struct {
	*environment
	nextAt   time.Duration
	inFlight bool
}

// newMachineListReader returns a reader that has not read a list yet.
func newMachineListReader(env *environment) *machineListReader {
	return &machineListReader{environment: env}
}
