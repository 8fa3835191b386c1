package scheduler

import (
	"slices"
	"sort"
	"time"

	"quillshunt/internal/protocol"
)

type machine struct {
	name, addr, kind, zone string
	spot                   bool
	machineType            *protocol.MachineType

	seen            bool // we have its task list in our term
	fenced          bool // its worker has seen our term, so no earlier leader can add tasks
	session         uint64
	sequence        uint64             // of the newest task list, from a report or a direct command
	reportSequence  uint64             // sequence number of the newest report
	answered        []protocol.Command // what the newest report was answered with
	verified        bool               // a round trip was seen since there was last reason to doubt it: answers reach the machine
	unverifiedSince time.Duration      // since when it is not verified
	direct          bool               // has reported to us itself in our term
	relayed         bool               // its last report came through another controller
	relayFrom       time.Duration      // when that began
	redirected      bool               // was told once to come itself
	misses          int                // probes that it did not answer in our term
	directID        uint64             // a direct command that is not answered yet
	mute            time.Duration      // no direct commands before this
	endedSession    uint64             // sessions up to this one are surely over
	heard           time.Duration      // arrival of the last report
	leaseBase       time.Duration      // the session is over WaitOut(lease) after this, if we answer no more
	notice          bool
	noticeEnd       time.Duration

	bindings map[string]*binding
	exits    map[attemptKey]exit
	used     room
	// leaving is the part of used that tasks take that were told to stop.
	leaving room
	images  map[string]time.Duration

	rental       string
	registration registration
	page         *registryPage // that names it
	probeAt      time.Duration // when to ask the machine directly, after a take-over
	created      time.Duration
	upAt         time.Duration
	listed       bool
	missing      int // lists in a row that lack it
	idleSince    time.Duration
	heldFor      *job // in this pass; see reserve
	wasHeld      bool // in the pass before
	wanted       bool // the last plan counts on it
	gangRoom     bool // kept for gangs; see keepGangRoom
	wasGangRoom  bool // by the plan before
	gangWanted   bool // the last plan counts on it for a gang that waits
	drain        bool // to be emptied and returned, unless work comes
	todo         bool // has orders that did not go out yet
	deleting     bool
	askedAt      time.Duration
	deleteWhy    string
	failures     int
	failedJobs   map[string]bool
	useful       float64 // CPU seconds of tasks that completed here, and of those that did not, and of waiting for images
	wasted       float64
	fetched      float64
	speedSum     float64
	speedCount   int
}

// sizeOf is what a machine of a type has.
func sizeOf(t *protocol.MachineType) room { return room{t.CPUs, t.Accelerators, t.MemoryGB} }

func (m *machine) size() room {
	if m.machineType == nil {
		return room{}
	}
	return sizeOf(m.machineType)
}

// freeRoom is what may be promised: what is free, and what tasks that were told to stop will leave. A start is sent
// only once the room is confirmed (see orders).
func (m *machine) freeRoom() room { return m.size().minus(m.used).plus(m.leaving) }

// price is what the machine costs an hour.
func (m *machine) price() float64 {
	if m.machineType == nil {
		return 0
	}
	return priceOf(m.machineType, m.spot)
}

// perCPU is the same for each of its CPUs.
func (m *machine) perCPU() float64 { return m.price() / max(m.size().cpu, 1) }

// priceOf is what a machine of a type costs an hour.
func priceOf(t *protocol.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// machine returns the machine of a name, new if need be.
func (s *Scheduler) machine(name, kind, yard string, spot bool) *machine {
	m := s.machines[name]
	if m == nil {
		m = &machine{name: name, created: s.now, leaseBase: s.tookOver, idleSince: s.now, heard: -never / 2,
			bindings: map[string]*binding{}, exits: map[attemptKey]exit{}, images: map[string]time.Duration{}, failedJobs: map[string]bool{}}
		s.machines[name] = m
		i := sort.Search(len(s.fleet), func(i int) bool { return s.fleet[i].name >= name })
		s.fleet = append(s.fleet, nil)
		copy(s.fleet[i+1:], s.fleet[i:])
		s.fleet[i] = m
	}
	if kind != "" {
		m.kind, m.zone, m.spot = kind, yard, spot
		m.machineType = s.types[kind]
	}
	return m
}

func (s *Scheduler) dropMachine(m *machine) {
	life := (s.now - m.created).Seconds()
	boot := life
	if m.seen && m.upAt > m.created {
		boot = (m.upAt - m.created).Seconds()
	}
	s.note(false, "machine gone", "machine", m.name, "reason", m.deleteWhy, "type", m.kind, "spot", m.spot, "cpus", m.size().cpu, "life", life, "boot", boot,
		"useful", m.useful, "wasted", m.wasted, "fetched", m.fetched)
	delete(s.machines, m.name)
	s.unregister(m)
	for i, x := range s.fleet {
		if x == m {
			s.fleet = append(s.fleet[:i], s.fleet[i+1:]...)
			break
		}
	}
	if h := s.rentals[m.rental]; h != nil {
		h.record.Machines = slices.DeleteFunc(h.record.Machines, func(n string) bool { return n == m.name })
		h.dirty = true
	}
}

// sortedBinds returns a machine's bindings in a fixed order.
func (m *machine) sortedBinds() []*binding {
	out := make([]*binding, 0, len(m.bindings))
	for _, b := range m.bindings {
		out = append(out, b)
	}
	sort.Slice(out, func(i, k int) bool {
		if out[i].job.id != out[k].job.id {
			return out[i].job.id < out[k].job.id
		}
		return out[i].index < out[k].index
	})
	return out
}
