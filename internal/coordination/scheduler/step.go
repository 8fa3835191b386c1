package scheduler

import (
	"log/slog"
	"time"

	"quillshunt/internal/protocol"
)

type writeKind uint8

const (
	writeChunk writeKind = iota
	writeFinal
	writeRental
	writeRentalRemove
	writeRegistration
	writeRegistrationRemove
	writeCleanup
)

// pendingWrite is what a WriteOut was for.
type pendingWrite struct {
	kind     writeKind
	job      *job
	n        int    // chunk; of a page, how many machines of it this write makes durable
	sequence uint64 // chunk version
	rental   string
	known    bool // this write makes a rental's machines durable
	page     *registryPage
}

// Step takes one event. The effects are to be carried out in order.
func (s *Scheduler) Step(e Event, now time.Duration) []Effect {
	if now > s.now {
		s.now = now
	}
	s.out = nil
	switch e := e.(type) {
	case JobSeen:
		s.jobSeen(e)
	case JobLeft:
		if j := s.jobs[e.ID]; j != nil && !j.finishing && e.Version > j.version {
			s.closeJob(j) // somebody else removed it: not in the protocol of our nodes, but then it is over
		}
	case FinishedLoaded:
		s.finLoaded(e)
	case RentalLoaded:
		s.rentalLoaded(e)
	case RegistrationLoaded:
		s.registrationLoaded(e)
	case Loaded:
		s.note(false, "rebuilding", "jobs", len(s.jobs), "machines", len(s.machines), "hires", len(s.rentals))
		s.loaded, s.typesAt, s.listAt = true, 0, 0
		s.removeOrphans()
		s.tick(true)
	case ReportIn:
		s.reportIn(e)
	case ProbeDone:
		s.probeDone(e)
	case DirectDone:
		s.directDone(e)
	case WriteDone:
		s.writeDone(e)
	case RentalDone:
		s.rentalDone(e)
	case DeleteDone:
		s.deleteDone(e)
	case ListDone:
		s.listDone(e)
	case TypesDone:
		s.typesDone(e)
	case CountsIn:
		s.counts(e)
	case InspectIn:
		s.inspect(e)
	case Tick:
		s.tick(e.Entitled)
	}
	if s.loaded && !s.recovered {
		s.endRecovery()
	}
	s.decide()
	s.dispatch()
	return s.out
}

// decide brings gangs in line with what is known, places what wants room and lets gangs start whose room is confirmed.
func (s *Scheduler) decide() {
	s.settleGangs()
	s.place()
	s.settleGangs()
	s.commitGangs()
}

func (s *Scheduler) emit(e Effect) { s.out = append(s.out, e) }

func (s *Scheduler) note(warn bool, msg string, args ...any) {
	level := slog.LevelInfo
	if warn {
		level = slog.LevelWarn
	}
	s.emit(Note{Level: level, Msg: msg, Args: args})
}

func (s *Scheduler) write(p pendingWrite, guards []protocol.Condition, ops []protocol.Op) {
	s.writeSeq++
	s.writes[s.writeSeq] = p
	s.emit(WriteOut{ID: s.writeSeq, Bulk: p.kind == writeChunk || p.kind == writeCleanup, Conditions: guards, Ops: ops})
}

func (s *Scheduler) writeDone(e WriteDone) {
	p, ok := s.writes[e.ID]
	if !ok {
		return
	}
	delete(s.writes, e.ID)
	switch p.kind {
	case writeChunk:
		c := &p.job.chunks[p.n]
		c.writing = false
		if e.OK {
			c.version, c.durable = e.Version, max(c.durable, p.sequence)
		}
		s.finish(p.job)
	case writeFinal:
		p.job.finishing = false
		if e.OK {
			s.note(false, "job over", "job", p.job.id, "cancelled", p.job.cancelled, "tasks", p.job.spec.Tasks)
			s.closeJob(p.job)
			s.removeFinished(p.job.id, p.job.cleanup)
		}
		// Otherwise it was cancelled meanwhile: the watch brings the new record, and finish runs again.
	case writeRental:
		s.rentalWritten(p, e.OK, e.Version)
	case writeRegistration:
		s.registrationsWritten(p, e.OK, e.Version)
	case writeRentalRemove:
		if e.OK {
			delete(s.rentals, p.rental)
		} else if h := s.rentals[p.rental]; h != nil {
			h.state = rentalAnswered
		}
	}
}

// tick looks at everything that only time changes.
func (s *Scheduler) tick(entitled bool) {
	s.expire()
	s.roomChanged = true // a machine may be usable again
	if !entitled {
		return
	}
	s.flush()
	s.manageFleet()
}
