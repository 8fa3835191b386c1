package scheduler

// pendingWrite is the purpose of a WriteRecords, needed when its outcome arrives. The types below
// implement it.
type pendingWrite interface{ pendingWrite() }

// chunkWrite creates or replaces the record of one chunk of a job's finished tasks.
type chunkWrite struct {
	job             *job
	chunk           int
	writtenSequence uint64 // the chunk's sequence number when the write was sent
}

// finalJobWrite replaces a job's open record with its final record.
type finalJobWrite struct{ job *job }

// finishedTasksRemoval removes a record of finished tasks whose job has no open record any more.
type finishedTasksRemoval struct{}

// rentalWrite writes the record of a rental.
type rentalWrite struct {
	rental   string
	answered bool // the cloud has answered, and the record names the rented machines
}

// rentalRemoval removes the record of a rental that has no machines.
type rentalRemoval struct{ rental string }

// registryPageWrite writes a page of registered machines.
type registryPageWrite struct {
	page     *registryPage
	machines int // the record names this many of the page's machines, from the first on
}

// registryPageRemoval removes a page that has no machines.
type registryPageRemoval struct{}

// tokenReservation writes the term key, which reserves fencing tokens for the term.
type tokenReservation struct{ last uint64 }

func (chunkWrite) pendingWrite()           {}
func (finalJobWrite) pendingWrite()        {}
func (finishedTasksRemoval) pendingWrite() {}
func (rentalWrite) pendingWrite()          {}
func (rentalRemoval) pendingWrite()        {}
func (registryPageWrite) pendingWrite()    {}
func (registryPageRemoval) pendingWrite()  {}
func (tokenReservation) pendingWrite()     {}

// handleWriteCompleted passes the outcome of a write to the part that requested it. Outcomes of removals of
// finished tasks and registry pages need no further action.
func (s *Scheduler) handleWriteCompleted(e WriteCompleted) {
	switch write := s.takePendingWrite(e.ID).(type) {
	case chunkWrite:
		s.finishedTasks.handleChunkWritten(write, e)
		s.tryCloseJob(write.job)
	case finalJobWrite:
		s.handleFinalJobWritten(write, e)
	case rentalWrite:
		s.handleRentalWritten(write, e.Committed, e.Version)
	case rentalRemoval:
		s.rentals.handleRemovalWritten(write, e.Committed)
	case registryPageWrite:
		s.handleRegistryPageWritten(write, e.Committed, e.Version)
	case tokenReservation:
		s.tokens.handleReservationWritten(write, e)
	}
}
