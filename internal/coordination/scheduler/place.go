package scheduler

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"
	"sort"
	"strings"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// pass is what a scheduling pass keeps, so that its cost hardly grows with fleet and backlog: each request decides as if it looked at every
// machine anew (see TestPassIsPlain).
type pass struct {
	machines []*machine       // that may get tasks, by name
	roomy    []*machine       // those of them with free room for any of the jobs
	jobs     []*job           // that want room, in order of claim
	least    room             // none of them needs less of any resource
	most     room             // no machine has more free room of any resource
	refused  map[request]bool // requests for which no machine was found in this pass
	// refusedGangs are the same of gangs.
	refusedGangs map[gangRequest]bool
	holds        int // machines that may still be held; see reserve
	shelves      shelves
	short        []*machine
}

// request is what decides where a task of a job may go, for jobs that ask for nothing particular.
type request struct {
	need     room
	team     *team
	urgency  protocol.Priority
	guar     bool
	spot     bool
	pressing bool
	gangRoom bool // may use machines that are kept for gangs
}

// place is the scheduling pass. For each job in order of claim it filters the machines, ranks what is left on
// the full view, and picks victims where the best machine lacks room: the paper's algorithm, request by request. The tasks of one job
// ask the same question, so
// filter and scores are worked out once for them and kept up to date for the machine that was chosen.
func (s *Scheduler) place() {
	if !s.dirty || !s.recovered {
		return
	}
	s.dirty = false
	p := &s.pass
	p.jobs = p.jobs[:0]
	for _, j := range s.claims() {
		if j.free() == 0 || j.cancelled || j.over || s.now < j.resume || !j.teamAllows() {
			continue
		}
		if len(p.jobs) == 0 {
			p.least = j.need
		}
		p.least = p.least.least(j.need)
		p.jobs = append(p.jobs, j)
	}
	if len(p.jobs) == 0 && len(s.refills) == 0 {
		return
	}
	s.beginPass()
	s.refillGangs()
	for _, j := range s.aged {
		n := s.behind(j)
		if n <= 0 || !j.teamAllows() || s.now < j.resume {
			continue
		}
		if j.gang != nil {
			s.placeGang(j)
			s.reserveGang(j)
			continue
		}
		s.placeJob(j, n)
		s.reserve(j)
	}
	for _, j := range p.jobs {
		if j.gang != nil {
			s.placeGang(j)
			continue
		}
		s.placeJob(j, j.free())
	}
}

// group is what must not be left behind as a whole under lasting overload: the jobs of a class and team of about the same size.
type group struct {
	class *class
	team  *team
	size  int // of the number of tasks, in bits
}

func (j *job) group() group { return group{j.class, j.team, bits.Len(uint(j.spec.Tasks))} }

// service is how many tasks of a group's jobs should have been started by now, and how many of these were.
type service struct{ due, got int }

// dueTasks is how many tasks of a job should have been started by now. The order of the queue favours what is urgent, small and on time;
// under
// lasting overload the rest would never begin. So a job is due its first task at one age, and the others one by one from a later one on,
// whatever else waits.
func (s *Scheduler) dueTasks(j *job) int {
	age := s.now - j.at
	if age <= limits.AgeBegin || j.cancelled || j.over {
		return 0
	}
	share := float64(age-limits.AgeRest) / float64(limits.AgeSpan)
	return max(1, int(math.Ceil(min(share, 1)*float64(j.spec.Tasks))))
}

// behind is how many tasks a job gets before all others: the first if it has not begun, else what it is behind with while its group is
// served badly.
func (s *Scheduler) behind(j *job) int {
	n := min(s.dueTasks(j)-j.doneCount-len(j.bound), j.free())
	switch {
	case n <= 0:
		return 0
	case j.doneCount+len(j.bound) == 0:
		return 1
	case s.served(j) >= limits.AgeServed:
		return 0
	}
	return n
}

// served is the share of what is due to a job's group that it has got.
func (s *Scheduler) served(j *job) float64 {
	x := s.services[j.group()]
	if x.due == 0 {
		return 1
	}
	return float64(x.got) / float64(x.due)
}

// age works out which jobs are behind, in order: those that have not begun first, then by how badly their group is served, then by age,
// so that
// jobs are completed rather than all of them begun.
func (s *Scheduler) age() {
	clear(s.services)
	maps.Copy(s.services, s.closedServices)
	for _, j := range s.queue {
		if due := s.dueTasks(j); due > 0 {
			x := s.services[j.group()]
			x.due += due
			x.got += min(due, j.doneCount+len(j.bound))
			s.services[j.group()] = x
		}
	}
	s.aged = s.aged[:0]
	for _, j := range s.queue {
		j.owed = s.dueTasks(j) > 0 && s.served(j) < limits.AgeServed
		if s.behind(j) > 0 {
			s.aged = append(s.aged, j)
		}
	}
	begun := func(j *job) int { return min(j.doneCount+len(j.bound), 1) }
	slices.SortStableFunc(s.aged, func(a, b *job) int { // the queue is by age
		return cmp.Or(cmp.Compare(begun(a), begun(b)), cmp.Compare(s.served(a), s.served(b)))
	})
}

// hold keeps the machines with the most free room for a job that is behind and finds none with enough, so that smaller tasks do not take
// that room bit by bit for ever. A machine that was held in the pass before comes first: otherwise each one with as much room would take
// the
// place of another, and none would ever have enough.
func (s *Scheduler) reserve(j *job) {
	p := &s.pass
	n := min(s.behind(j), p.holds)
	if n <= 0 || !j.team.fits(j.need) {
		return
	}
	short := p.short[:0]
	for _, m := range p.machines {
		if m.heldFor == nil && s.allowed(j, m) && !m.freeRoom().holds(j.need) {
			short = append(short, m)
		}
	}
	p.short = short
	kept := func(m *machine) int {
		if m.wasHeld {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(short, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(kept(a), kept(b)), cmp.Compare(b.freeRoom().cpu, a.freeRoom().cpu))
	})
	n = min(n, len(short))
	for _, m := range short[:n] {
		m.heldFor = j
	}
	p.holds -= n
}

// beginPass collects the machines that may get tasks.
func (s *Scheduler) beginPass() {
	p := &s.pass
	p.machines, p.roomy, p.most = p.machines[:0], p.roomy[:0], room{}
	p.clearRefused()
	for _, m := range s.fleet {
		m.wasHeld, m.heldFor = m.heldFor != nil, nil
		if m.drain || !s.usable(m) || len(m.bindings)+len(m.exits) >= limits.MaxTasks {
			continue
		}
		p.machines = append(p.machines, m)
		if free := m.freeRoom(); free.holds(p.least) {
			p.roomy = append(p.roomy, m)
			p.most = p.most.most(free)
		}
	}
	p.holds = (len(p.machines) + limits.HoldShare - 1) / limits.HoldShare
}

// clearRefused lets requests be tried again for which no machine was found.
func (p *pass) clearRefused() {
	clear(p.refused)
	clear(p.refusedGangs)
}

// offer notes that a machine has got more free room during the pass.
func (p *pass) offer(m *machine) {
	if _, usable := slices.BinarySearchFunc(p.machines, m, byName); !usable {
		return
	}
	p.most = p.most.most(m.freeRoom())
	if i, ok := slices.BinarySearchFunc(p.roomy, m, byName); !ok {
		p.roomy = slices.Insert(p.roomy, i, m)
	}
}

func byName(a, b *machine) int { return strings.Compare(a.name, b.name) }

// placeJob places up to n of a job's tasks.
func (s *Scheduler) placeJob(j *job, n int) {
	p := &s.pass
	ask := request{j.need, j.team, j.priority, j.guaranteed, j.spec.Spot, s.pressing(j), j.usesGangRoom}
	common := j.spec.Zone == "" && len(j.spec.MachineTypes) == 0 && !j.spec.SameZone && !j.spec.SpreadZones && len(j.failOn) == 0
	if ask.pressing && (s.now < j.pressAgain || (common && s.now < s.pressAgain[ask])) {
		ask.pressing = false
	}
	pressing := ask.pressing
	if (common && p.refused[ask]) || (!pressing && !p.most.holds(j.need)) {
		return
	}
	sh := s.candidates(j, pressing)
	for ; n > 0 && j.team.fits(j.need); n-- {
		best := rank(sh.cs)
		if best < 0 {
			if common {
				p.refused[ask] = true
			}
			switch {
			case pressing && common:
				s.pressAgain[ask] = s.now + limits.PressAgain
			case pressing:
				j.pressAgain = s.now + limits.PressAgain
			}
			return
		}
		m := sh.cs[best].m
		victims, ok := s.victims(j, &sh.cs[best], nil)
		if !ok {
			return
		}
		gangStopped := false
		for _, v := range victims {
			s.stopTask(v, "preempted for "+j.id)
			if v.job.gang != nil {
				gangStopped = true
				s.offerGang(v.job)
			}
		}
		m.heldFor = nil
		borrowed := j.team.borrows()
		s.bind(j, j.nextFree(), m, s.attempt(), assigned)
		if len(victims) > 0 {
			p.offer(m) // what was stopped may leave more than was asked for
		}
		if len(victims) > 0 || borrowed != j.team.borrows() {
			p.clearRefused() // others may find room, or tasks to stop, that were not there before
		}
		if j.spec.SameZone || j.spec.SpreadZones || gangStopped {
			sh = s.candidates(j, pressing) // where the others may go depends on where this one went
			continue
		}
		sh.takeFirst(best)
		if c, ok := s.candidate(j, m, pressing, nil); ok {
			sh.add(c)
		}
	}
}

// guarantees works out which jobs their teams' guarantees cover: a job is covered if it fits in together with the team's
// earlier unfinished jobs. The queue is in order of submission.
func (s *Scheduler) guarantees() {
	for _, t := range s.teams {
		t.claimed = room{}
	}
	const eps = limits.Epsilon
	for _, j := range s.queue {
		n := float64(j.spec.Tasks - j.doneCount)
		if j.cancelled {
			n = 0
		}
		c := j.team.claimed.plus(room{cpu: n * j.need.cpu, gpu: n * j.need.gpu})
		j.guaranteed = c.cpu <= j.team.cfg.CPUs+eps && c.gpu <= j.team.cfg.GPUs+eps
		j.team.claimed = c
	}
}

// claim is a job's place in the queue.
type claim struct {
	j     *job
	late  bool
	slack time.Duration
	work  float64 // CPU seconds that its waiting tasks need, weighted by the slack
}

// claims orders the jobs that want room: by priority, guarantee before borrowed, then by slack to the next time
// that can still be met, then by age. Jobs whose times are all past come after those that can be helped.
//
// The order is kept for a short while, as slacks change slowly; a new job makes it anew. It holds jobs that want nothing just now as well.
func (s *Scheduler) claims() []*job {
	if s.now < s.orderAt+limits.OrderFresh && s.order != nil {
		return s.order
	}
	s.orderAt = s.now
	maps.DeleteFunc(s.pressAgain, func(_ request, t time.Duration) bool { return t <= s.now })
	s.guarantees()
	cs := s.claimed[:0]
	for _, j := range s.queue {
		if j.cancelled || j.over {
			continue
		}
		c := claim{j: j}
		j.usesGangRoom = s.yieldsGangRoom(j) // all of its tasks, until the order is made anew
		c.slack, c.late = s.slack(j)
		c.work = float64(j.free()) * j.estimate() * j.need.cpu *
			(min(c.slack, limits.SlackCap) + limits.SlackBase).Seconds()
		cs = append(cs, c)
	}
	sort.SliceStable(cs, func(a, b int) bool {
		x, y := &cs[a], &cs[b]
		switch {
		case x.j.priority != y.j.priority:
			return x.j.priority > y.j.priority
		case x.j.guaranteed != y.j.guaranteed:
			return x.j.guaranteed
		case x.late != y.late:
			return !x.late
		case x.work != y.work && !x.late:
			return x.work < y.work
		case x.slack != y.slack:
			return x.slack < y.slack
		case x.j.at != y.j.at:
			return x.j.at < y.j.at
		}
		return x.j.id < y.j.id
	})
	s.claimed, s.order = cs, s.order[:0]
	for i := range cs {
		s.order = append(s.order, cs[i].j)
	}
	s.age()
	return s.order
}

// slack is how long a job can still wait and meet the next of its times, and whether all of them are out of reach.
func (s *Scheduler) slack(j *job) (time.Duration, bool) {
	est := limits.Seconds(j.estimate())
	for _, d := range j.dues {
		left := d.at - s.now
		if d.start {
			if left > 0 {
				return left, false
			}
		} else if left -= est; left > -time.Duration(limits.LateShare*float64(est)) {
			return left, false // a little late by the estimate may still be in time
		}
	}
	if len(j.dues) == 0 {
		return never, false
	}
	return j.at - s.now, true
}

// usable tells whether a machine may get tasks at all.
func (s *Scheduler) usable(m *machine) bool {
	return m.verified && m.machineType != nil && m.rental != "" && !m.notice && !m.deleting && !m.sick() &&
		m.session > m.endedSession && s.now <= m.heard+s.stale()
}

// allowed are the filters that no stopping of tasks can change.
func (s *Scheduler) allowed(j *job, m *machine) bool {
	return s.allows(j, m.kind, m.zone, m.spot) && m.size().holds(j.need) && !j.avoids(m)
}

// avoids tells whether a job goes elsewhere because the machine has failed it. Once it fails everywhere, any machine will do.
func (j *job) avoids(m *machine) bool {
	return j.failOn[m.name] && len(j.failOn) < limits.JobFaultMachines
}

func (s *Scheduler) allows(j *job, kind, yard string, spot bool) bool {
	if spot && !j.spec.Spot {
		return false
	}
	if j.spec.Zone != "" && j.spec.Zone != yard {
		return false
	}
	if !kindAllowed(&j.spec, kind) {
		return false
	}
	if j.spec.SameZone || j.spec.SpreadZones {
		here, total := 0, 0
		for _, b := range j.bound {
			total++
			if b.machine.zone == yard {
				here++
			}
		}
		if j.spec.SameZone && here < total {
			return false
		}
		if j.spec.SpreadZones && here >= (j.spec.Tasks+1)/2 {
			return false
		}
	}
	return true
}

// candidates are the machines to look at: a request that may stop nothing needs free room.
func (p *pass) candidates(pressing bool) []*machine {
	if pressing {
		return p.machines
	}
	return p.roomy
}

// candidates are the machines that pass the filters for a task of the job, with their scores.
func (s *Scheduler) candidates(j *job, pressing bool) *shelves {
	p := &s.pass
	p.shelves.clear()
	for _, m := range p.candidates(pressing) {
		if c, ok := s.candidate(j, m, pressing, nil); ok {
			p.shelves.add(c)
		}
	}
	return &p.shelves
}

// candidate filters and scores one machine, as it would stand with the seats that the gang at hand has there already; nil if there are none.
func (s *Scheduler) candidate(j *job, m *machine, pressing bool, planned *outlook) (c candidate, ok bool) {
	free, tasks := planned.freeRoom(m), len(m.bindings)+len(m.exits)
	if planned != nil {
		tasks += planned.tasks
	}
	over := !free.holds(j.need)
	if m.gangRoom && !j.usesGangRoom {
		return c, false
	}
	if over && !pressing || (m.heldFor != nil && m.heldFor != j) || !s.allowed(j, m) || tasks >= limits.MaxTasks {
		return c, false
	}
	c.m = m
	if over {
		// The normal view: the machine without what this request may stop.
		view := free
		for _, b := range m.bindings {
			if !planned.stops(b) && s.mayStop(j, b) {
				view = view.plus(b.job.need)
			}
		}
		if !view.holds(j.need) {
			return c, false
		}
		c.scores[weighOvercommit] = -1
		for _, v := range s.stoppable(j, m, planned) {
			c.scores[weighCost] -= v.loss
		}
	}
	if _, ok := m.images[j.spec.Image]; !ok {
		c.scores[weighImage] = -j.spec.ImageGB / max(m.machineType.FetchGBPerS, limits.SlowestPull)
	}
	left := free.minus(j.need)
	c.scores[weighPack] = -left.cpu
	c.scores[weighPrice] = -m.perCPU()
	if j.gang != nil && m.gangRoom {
		c.scores[weighKept] = 1
	}
	if m.speedCount >= 3 {
		c.scores[weighSpeed] = -math.Round(m.speedSum/float64(m.speedCount)/limits.SpeedStep) * limits.SpeedStep
	} else {
		c.scores[weighSpeed] = -1
	}
	return c, true
}

// victims are the tasks to stop on the chosen machine: the cheapest set that makes room for the request.
func (s *Scheduler) victims(j *job, c *candidate, planned *outlook) ([]*binding, bool) {
	if c.scores[weighOvercommit] == 0 {
		return nil, true
	}
	options := s.stoppable(j, c.m, planned)
	set := cheapest(options, j.need.minus(planned.freeRoom(c.m)))
	if set == nil {
		return nil, false
	}
	out := make([]*binding, len(set))
	for i, k := range set {
		out[i] = options[k].b
	}
	return out, true
}

// stoppable are the tasks on a machine that may be stopped for a job. A gang counts once, with the room of all its tasks there and the loss
// of all its tasks anywhere, as it is stopped as a whole.
func (s *Scheduler) stoppable(j *job, m *machine, planned *outlook) []victim {
	var out []victim
	gangs := map[*job]int{}
	for _, b := range m.sortedBinds() {
		if planned.stops(b) || !s.mayStop(j, b) {
			continue
		}
		if b.job.gang == nil {
			out = append(out, victim{b: b, need: b.job.need, loss: s.loss(b)})
			continue
		}
		if i, seen := gangs[b.job]; seen {
			out[i].need = out[i].need.plus(b.job.need)
			continue
		}
		gangs[b.job] = len(out)
		out = append(out, victim{b: b, need: b.job.need, loss: s.gangLoss(b.job)})
	}
	return out
}

// pressing tells whether waiting for room would break one of the job's times. Only then is room taken at somebody else's cost.
func (s *Scheduler) pressing(j *job) bool {
	slack, late := s.slack(j)
	return !late && slack < time.Duration(s.cfg.Options.Preemption.Slack)
}

// mayStop is the protocol's rule of who may be stopped for whom, narrowed so that it has no circles: borrowed work of high priority does
// not
// stop what another team's guarantee covers, as that could stop it in turn, and so on without end. Nor is work stopped of which too
// little is done already.
func (s *Scheduler) mayStop(j *job, b *binding) bool {
	if b.stop || b.phase == assigned || b.job == j || b.job.owed {
		return false
	}
	if b.job.priority < j.priority {
		return j.guaranteed || !b.job.guaranteed || b.job.team == j.team
	}
	return b.job.team != j.team && j.guaranteed && !b.job.guaranteed && b.job.team.borrows()
}

// loss is what stopping a task would waste: its work since the last checkpoint, or its whole run time where it
// has none, weighted by how often it was stopped before so that the cheapest do not starve.
func (s *Scheduler) loss(b *binding) float64 {
	ran := 0.0
	if b.phase == running {
		ran = (s.now - b.runAt).Seconds()
	}
	if b.job.spec.CheckpointS > 0 {
		for ran > b.job.spec.CheckpointS {
			ran -= b.job.spec.CheckpointS
		}
	}
	return (ran + 1) * b.job.need.cpu * (1 + s.cfg.Options.Preemption.RestartWeight*float64(b.job.stops[b.index]))
}

// victim is a task that may be stopped.
type victim struct {
	b    *binding
	need room
	loss float64
}

// cheapest returns the indexes of the set of least loss that covers what is short in every resource, or nil. Up to a cutoff every set
// is tried, else tasks are added by least loss per unit of room.
func cheapest(options []victim, short room) []int {
	covered := func(have room) bool { return have.holds(short) }
	if len(options) <= limits.VictimCutoff {
		bestLoss, best := 0.0, -1
		for set := 1; set < 1<<len(options); set++ {
			var have room
			loss := 0.0
			for i := range options {
				if set>>i&1 != 0 {
					have = have.plus(options[i].need)
					loss += options[i].loss
				}
			}
			if covered(have) && (best < 0 || loss < bestLoss) {
				bestLoss, best = loss, set
			}
		}
		if best < 0 {
			return nil
		}
		var out []int
		for i := range options {
			if best>>i&1 != 0 {
				out = append(out, i)
			}
		}
		return out
	}
	unit := func(v *victim) float64 {
		u := 0.0
		if short.cpu > 0 {
			u += min(v.need.cpu, short.cpu) / short.cpu
		}
		if short.gpu > 0 {
			u += min(v.need.gpu, short.gpu) / short.gpu
		}
		if short.ram > 0 {
			u += min(v.need.ram, short.ram) / short.ram
		}
		return max(u, limits.Epsilon)
	}
	order := make([]int, len(options))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := &options[order[a]], &options[order[b]]
		return x.loss/unit(x) < y.loss/unit(y)
	})
	var have room
	var out []int
	for _, i := range order {
		if covered(have) {
			break
		}
		have = have.plus(options[i].need)
		out = append(out, i)
	}
	if !covered(have) {
		return nil
	}
	// Drop what turned out not to be needed, the dearest first.
	for k := len(out) - 1; k >= 0; k-- {
		if less := have.minus(options[out[k]].need); covered(less) {
			have = less
			out = append(out[:k], out[k+1:]...)
		}
	}
	return out
}

// kindAllowed tells whether a job may use machines of a type.
func kindAllowed(spec *protocol.Spec, kind string) bool {
	return len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, kind)
}

// kindFits tells whether some allowed type can hold a task of the job.
func kindFits(spec *protocol.Spec, types []protocol.MachineType) bool {
	need := room{spec.CPUs, spec.Accelerators, spec.MemoryGB}
	for i := range types {
		t := &types[i]
		ok := kindAllowed(spec, t.Name)
		if spec.Zone != "" {
			in := false
			for _, y := range t.Zones {
				in = in || y == spec.Zone
			}
			ok = ok && in
		}
		if ok && sizeOf(t).holds(need) {
			return true
		}
	}
	return false
}

// Runnable tells whether a job could ever run: a task fits some allowed type, and its team's limit; of a gang, all tasks together.
func Runnable(spec *protocol.Spec, types []protocol.MachineType, cpusMax, gpusMax float64) bool {
	atOnce := 1.0
	if spec.Gang() {
		atOnce = float64(spec.Tasks)
	}
	return kindFits(spec, types) && atOnce*spec.CPUs <= cpusMax+limits.Epsilon && atOnce*spec.Accelerators <= gpusMax+limits.Epsilon
}
