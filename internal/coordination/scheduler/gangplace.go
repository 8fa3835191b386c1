package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// The paper's extension to runs that are placed and stopped as a whole: the request for a gang asks for one machine after the other
// by the plain filter, ranking and choice of victims, on views that count what the tasks before it take, and takes effect only if
// all of them found one.

// gangRequest is what decides whether a gang finds room, for gangs that ask for nothing particular.
type gangRequest struct {
	request
	tasks       int
	sameZone    bool
	spreadZones bool
}

// seat is where a task of a gang may go.
type seat struct {
	machine *machine
	victims []*binding
}

// outlook is how a machine would stand with the seats that were chosen so far.
type outlook struct {
	taken   room
	freed   room
	tasks   int
	stopped map[*binding]bool
}

// freeRoom is what may still be promised on the machine.
func (v *outlook) freeRoom(m *machine) room {
	if v == nil {
		return m.freeRoom()
	}
	return m.freeRoom().minus(v.taken).plus(v.freed)
}

// stops tells whether a task is to be stopped already.
func (v *outlook) stops(b *binding) bool { return v != nil && v.stopped[b] }

// seating looks for seats for all missing tasks of a gang.
type seating struct {
	s        *Scheduler
	j        *job
	pressing bool
	zone     string // the only one, or ""
	views    map[*machine]*outlook
	inZone   map[string]int // tasks of the gang
	seats    []seat
	shelves  shelves
	loss     float64
}

// placeGang places all missing tasks of a gang, or none.
func (s *Scheduler) placeGang(j *job) bool {
	p, g := &s.pass, j.gang
	n := j.free()
	if n == 0 {
		return true
	}
	if !j.teamAllows() {
		return false
	}
	ask := gangRequest{
		request:  request{j.need, j.team, j.priority, j.guaranteed, j.spec.Spot, s.pressing(j), true},
		tasks:    n,
		sameZone: j.spec.SameZone, spreadZones: j.spec.SpreadZones,
	}
	common := j.spec.Zone == "" && len(j.spec.MachineTypes) == 0 && len(j.failOn) == 0 && len(j.bound) == 0
	if s.now < j.pressAgain {
		ask.pressing = false
	}
	if (common && p.refusedGangs[ask]) || (!ask.pressing && !p.most.holds(j.need)) {
		return false
	}
	best := s.bestSeating(j, n, ask.pressing)
	if best == nil {
		if common {
			p.refusedGangs[ask] = true
		}
		if ask.pressing {
			j.pressAgain = s.now + limits.PressAgain
		}
		return false
	}
	s.takeSeats(g, best)
	return true
}

// bestSeating returns seats for n tasks of a gang, or nil: of the zones that have room for all, the one that costs least.
func (s *Scheduler) bestSeating(j *job, n int, pressing bool) *seating {
	if !j.spec.SameZone {
		return s.seatGang(j, n, "", pressing)
	}
	var best *seating
	for _, zone := range s.seatZones(j, n, pressing) {
		found := s.seatGang(j, n, zone, pressing)
		if found != nil && (best == nil || found.cheaper(best)) {
			best = found
		}
	}
	return best
}

// seatZones are the zones that may have room for n tasks of a gang, by name.
func (s *Scheduler) seatZones(j *job, n int, pressing bool) []string {
	slotsIn := map[string]int{}
	for _, m := range s.pass.candidates(pressing) {
		if !s.allowed(j, m) || (m.heldFor != nil && m.heldFor != j) {
			continue
		}
		if pressing {
			slotsIn[m.zone] += slots(m.size(), j.need)
		} else {
			slotsIn[m.zone] += slots(m.freeRoom(), j.need)
		}
	}
	var zones []string
	for zone, found := range slotsIn {
		if found >= n {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// cheaper compares two seatings: work lost first, then how much of the image is to be fetched, then the number of machines.
func (a *seating) cheaper(b *seating) bool {
	return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.fetches(), b.fetches()), cmp.Compare(len(a.views), len(b.views))) < 0
}

// fetches is on how many machines the gang would wait for its image.
func (a *seating) fetches() int {
	n := 0
	for m := range a.views {
		if _, ok := m.images[a.j.spec.Image]; !ok {
			n++
		}
	}
	return n
}

// seatGang looks for seats for n tasks of a gang, in one zone if one is named. It returns nil if it does not find all of them.
func (s *Scheduler) seatGang(j *job, n int, zone string, pressing bool) *seating {
	a := &seating{s: s, j: j, pressing: pressing, zone: zone, views: map[*machine]*outlook{}, inZone: map[string]int{}}
	for _, b := range j.bound {
		a.inZone[b.machine.zone]++
	}
	a.reshelve()
	for len(a.seats) < n {
		best := rank(a.shelves.cs)
		if best < 0 || !a.take(best) {
			return nil
		}
	}
	return a
}

// offer adds a machine to the candidates if a task may go there.
func (a *seating) offer(m *machine) {
	if a.zone != "" && m.zone != a.zone || a.j.gang.avoided[m.name] || a.j.gang.endedOn(m) || a.zoneFull(m.zone) {
		return
	}
	if c, ok := a.s.candidate(a.j, m, a.pressing, a.views[m]); ok {
		a.shelves.add(c)
	}
}

// endedOn tells whether a machine lists a task of the gang's present attempt as ended: its worker takes a start of it for a repetition.
func (g *gang) endedOn(m *machine) bool {
	if g.state == gangWaiting {
		return false
	}
	for key := range m.exits {
		if id, _, _ := protocol.ParseTaskName(key.piece); key.try == g.attempt && id == g.job.id {
			return true
		}
	}
	return false
}

// zoneFull tells whether a gang that is spread over zones may have no more tasks in one.
func (a *seating) zoneFull(zone string) bool {
	return a.j.spec.SpreadZones && a.inZone[zone] >= (a.j.spec.Tasks+1)/2
}

// take takes a seat on the first machine of a shelf.
func (a *seating) take(shelf int) bool {
	c := a.shelves.cs[shelf]
	victims, ok := a.s.victims(a.j, &c, a.views[c.m])
	if !ok {
		return false
	}
	a.shelves.takeFirst(shelf)
	view := a.view(c.m)
	view.taken, view.tasks = view.taken.plus(a.j.need), view.tasks+1
	a.inZone[c.m.zone]++
	a.seats = append(a.seats, seat{c.m, victims})
	for _, v := range victims {
		a.stop(v)
	}
	if len(victims) > 0 || a.zoneFull(c.m.zone) {
		a.reshelve()
		return true
	}
	a.offer(c.m)
	return true
}

// stop counts the room that a victim leaves; of a gang, on all its machines.
func (a *seating) stop(b *binding) {
	gone := []*binding{b}
	if b.job.gang != nil {
		gone = b.job.sortedBound()
		a.loss += a.s.gangLoss(b.job)
	} else {
		a.loss += a.s.loss(b)
	}
	for _, x := range gone {
		view := a.view(x.machine)
		if view.stopped == nil {
			view.stopped = map[*binding]bool{}
		}
		if !view.stopped[x] && !x.stop {
			view.stopped[x] = true
			view.freed = view.freed.plus(x.job.need)
		}
	}
}

func (a *seating) view(m *machine) *outlook {
	v := a.views[m]
	if v == nil {
		v = &outlook{}
		a.views[m] = v
	}
	return v
}

// reshelve looks at all machines, at first and after room was freed on several or a zone was filled.
func (a *seating) reshelve() {
	a.shelves.clear()
	for _, m := range a.s.pass.candidates(a.pressing) {
		a.offer(m)
	}
}

// takeSeats binds the missing tasks of a gang to their seats and stops the victims.
func (s *Scheduler) takeSeats(g *gang, found *seating) {
	j, p := g.job, &s.pass
	for _, x := range found.seats {
		for _, v := range x.victims {
			s.stopTask(v, "preempted for "+j.id)
		}
	}
	if g.state == gangWaiting {
		g.state, g.attempt = gangPlaced, s.attempt()
	}
	for _, x := range found.seats {
		x.machine.heldFor = nil
		s.bind(j, j.nextFree(), x.machine, g.attempt, assigned)
	}
	for m, v := range found.views {
		if len(v.stopped) > 0 {
			p.offer(m)
		}
	}
	p.clearRefused()
	if !g.placed {
		g.placed = true
		s.placedGangs = append(s.placedGangs, g)
	}
	s.roomChanged = true
}

// offerGang notes that the machines of a gang that was stopped have got more free room.
func (s *Scheduler) offerGang(j *job) {
	for _, b := range j.sortedBound() {
		s.pass.offer(b.machine)
	}
}

// refillGangs replaces tasks that gangs lost before their start. A gang that can't be complete in time is stopped and waits again.
func (s *Scheduler) refillGangs() {
	refills := s.refills
	s.refills = nil
	for _, g := range refills {
		if g.settled() || g.state != gangGathering || g.missing() == 0 {
			continue
		}
		fetch := limits.Seconds(g.job.class.fetch)
		late := g.gatherBy != 0 && s.now+fetch > g.gatherBy
		if late || s.now < g.job.resume || !s.placeGang(g.job) {
			s.stopGang(g, "no room for a lost task of the gang")
		}
	}
}

// reserveGang keeps machines for a gang that waits for long and finds no room, all in one zone if it must be: those with the most
// free room, and those that were kept before first.
func (s *Scheduler) reserveGang(j *job) {
	p := &s.pass
	if j.free() == 0 || p.holds <= 0 || !j.teamAllows() {
		return
	}
	byZone := map[string][]*machine{}
	for _, m := range p.machines {
		if m.heldFor == nil && s.allowed(j, m) {
			zone := ""
			if j.spec.SameZone {
				zone = m.zone
			}
			byZone[zone] = append(byZone[zone], m)
		}
	}
	var best []*machine
	most := -1.0
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		kept, free := s.keepMost(j, byZone[zone])
		if free > most {
			best, most = kept, free
		}
	}
	for _, m := range best[:min(len(best), p.holds)] {
		m.heldFor = j
		p.holds--
	}
}

// keepMost picks the machines that should first have room for all tasks of a gang, and how much room is free there. It returns none if they
// could never hold all.
func (s *Scheduler) keepMost(j *job, machines []*machine) (kept []*machine, free float64) {
	slices.SortStableFunc(machines, heldFirst)
	found := 0
	for _, m := range machines {
		if found >= j.free() {
			break
		}
		found += slots(m.size(), j.need)
		free += m.freeRoom().cpu
		kept = append(kept, m)
	}
	if found < j.free() {
		return nil, -1
	}
	return kept, free
}

// gangLoss is what stopping a gang would waste: the losses of all its tasks.
func (s *Scheduler) gangLoss(j *job) float64 {
	sum := 0.0
	for _, b := range j.bound {
		sum += s.loss(b)
	}
	return sum
}
