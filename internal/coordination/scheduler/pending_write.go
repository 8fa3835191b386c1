package scheduler

// pendingWrite is what a WriteRecords was for. It is one of the types below.
type pendingWrite interface{ pendingWrite() }

// chunkWrite replaces the record of one chunk of a job's finished tasks.
type chunkWrite struct {
	job             *job
	chunk           int
	writtenSequence uint64 // of the chunk when it was written
}

// finalJobWrite replaces a job's open record by its final one.
type finalJobWrite struct{ job *job }

// finishedTasksRemoval removes a record of finished tasks of a job that is over.
type finishedTasksRemoval struct{}

// rentalWrite writes a rental's record.
type rentalWrite struct {
	rental   string
	answered bool // the record names the rental's machines
}

// rentalRemoval removes the record of a rental without machines.
type rentalRemoval struct{ rental string }

// registryPageWrite writes a page of registered machines.
type registryPageWrite struct {
	page     *registryPage
	machines int // how many machines of the page the record names
}

// registryPageRemoval removes a page without machines.
type registryPageRemoval struct{}

func (chunkWrite) pendingWrite()           {}
func (finalJobWrite) pendingWrite()        {}
func (finishedTasksRemoval) pendingWrite() {}
func (rentalWrite) pendingWrite()          {}
func (rentalRemoval) pendingWrite()        {}
func (registryPageWrite) pendingWrite()    {}
func (registryPageRemoval) pendingWrite()  {}

// writeCompleted carries on with what a write was for.
func (s *Scheduler) writeCompleted(e WriteCompleted) {
	switch write := s.takePendingWrite(e.ID).(type) {
	case chunkWrite:
		s.finished.chunkWritten(write, e)
		s.tryCloseJob(write.job)
	case finalJobWrite:
		s.finalJobWritten(write, e)
	case rentalWrite:
		s.rentalWritten(write, e.OK, e.Version)
	case rentalRemoval:
		s.rentals.removalWritten(write, e.OK)
	case registryPageWrite:
		s.registryPageWritten(write, e.OK, e.Version)
	}
}
