package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"quillshunt/internal/storage"
)

// faultKind is a kind of fault.
type faultKind string

// The kinds of faults. Those with a duration end by themselves after it.
const (
	crash            faultKind = "crash"             // a controller ends and returns after the duration
	crashAll         faultKind = "crash all"         // all controllers
	roll             faultKind = "roll"              // one controller after the other
	crashSeries      faultKind = "crash series"      // a controller again and again
	pause            faultKind = "pause"             // a controller stands still while its clocks run
	cutState         faultKind = "cut state"         // a controller loses the state service
	cutStateReplies  faultKind = "cut state replies" // its requests arrive, the replies are held
	cutStateAndPeers faultKind = "cut state and peers"
	cutPeers         faultKind = "cut peers" // two controllers lose each other
	refusePeers      faultKind = "refuse peers"
	cutWorkers       faultKind = "cut workers"     // a controller does not receive heartbeats
	deafWorkers      faultKind = "deaf workers"    // its replies to heartbeats are held
	cutCloud         faultKind = "cut cloud"       // a controller loses the cloud
	slowState        faultKind = "slow state"      // a controller's calls to the state service are delayed
	refuseState      faultKind = "refuse state"    // the state service rejects one controller
	outage           faultKind = "outage"          // the state service rejects all controllers
	lateWrites       faultKind = "late writes"     // transactions are executed late and get no reply
	lostReplies      faultKind = "lost replies"    // transactions are executed and get no reply
	lateHeartbeats   faultKind = "late heartbeats" // copies of heartbeats arrive again later
	hangMachines     faultKind = "hang machines"
	killMachines     faultKind = "kill machines"
)

// faultKinds lists all kinds of faults.
var faultKinds = []faultKind{
	crash, crashAll, roll, crashSeries, pause, cutState, cutStateReplies, cutStateAndPeers, cutPeers, refusePeers,
	cutWorkers, deafWorkers, cutCloud, slowState, refuseState, outage, lateWrites, lostReplies, lateHeartbeats,
	hangMachines, killMachines,
}

// fault is one fault of a schedule. Times are in nanoseconds from the start of the run.
type fault struct {
	Kind  faultKind
	At    time.Duration
	For   time.Duration
	First int    // index of the controller concerned
	Other int    // index of another controller
	Seed  uint64 // of the random choices of the fault
}

// schedule is all that makes a run differ from others.
type schedule struct {
	Seed    uint64
	Seconds int // time in which faults begin
	Faults  []fault
}

// newSchedule draws a schedule in which two or three faults overlap nearly all the time.
func newSchedule(seed uint64, seconds, controllers int) schedule {
	random := rand.New(rand.NewPCG(seed, 7))
	s := schedule{Seed: seed, Seconds: seconds}
	end := time.Duration(seconds) * time.Second
	for lane := range 3 {
		at := warmUp + time.Duration(lane)*time.Second
		for at < end {
			first := random.IntN(controllers)
			f := fault{
				Kind: faultKinds[random.IntN(len(faultKinds))], At: at, First: first,
				Other: (first + 1 + random.IntN(controllers-1)) % controllers, Seed: random.Uint64(),
				For: time.Duration(1+random.Int64N(11)) * time.Second,
			}
			if random.IntN(3) == 0 {
				f.For = time.Duration(50+random.IntN(900)) * time.Millisecond
			}
			s.Faults = append(s.Faults, f)
			at += f.For + time.Duration(random.Int64N(int64(4*time.Second)))
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b fault) int { return cmp.Compare(a.At, b.At) })
	return s
}

// playFaults plays a schedule. It returns when all faults are over.
func (d *deployment) playFaults(s schedule) {
	var playing sync.WaitGroup
	for _, f := range s.Faults {
		playing.Go(func() {
			if storage.SleepContext(d.ctx, f.At-d.since()) {
				d.play(f)
			}
		})
	}
	playing.Wait()
	d.heal()
}

// heal ends all faults.
func (d *deployment) heal() {
	for _, l := range d.links {
		l.set(linkState{})
	}
	for _, c := range d.controllers {
		d.state.SetRejectedCaller(c.name, false)
		d.pause(c, false)
		d.start(c)
	}
	d.state.SetUnavailable(false)
	d.state.SetDelayedTransactions(nil)
	d.state.SetLostReplies(nil)
	d.cloud.SetDuplicateHeartbeats(nil)
}

// play plays one fault and returns when it is over.
func (d *deployment) play(f fault) {
	random := rand.New(rand.NewPCG(f.Seed, 9))
	c, other := d.controllers[f.First], d.controllers[f.Other]
	held, refused := linkState{holdForward: true, holdBackward: true}, linkState{refuse: true}
	switch f.Kind {
	case crash, crashAll, roll, crashSeries:
		d.playCrash(f, c)
	case pause:
		d.pause(c, true)
		storage.SleepContext(d.ctx, f.For)
		d.pause(c, false)
	case cutState:
		d.setLinks(f.For, held, linkName(c.name, stateEnd))
	case cutStateReplies:
		d.setLinks(f.For, linkState{holdBackward: true}, linkName(c.name, stateEnd))
	case cutStateAndPeers:
		d.setLinks(f.For, held, append(d.peerLinks(c), linkName(c.name, stateEnd))...)
	case cutPeers:
		d.setLinks(f.For, held, linkName(c.name, other.name), linkName(other.name, c.name))
	case refusePeers:
		d.setLinks(f.For, refused, d.peerLinks(c)...)
	case cutWorkers:
		d.setLinks(f.For, held, linkName(workersEnd, c.name))
	case deafWorkers:
		d.setLinks(f.For, linkState{holdBackward: true}, linkName(workersEnd, c.name))
	case cutCloud:
		d.setLinks(f.For, held, linkName(c.name, cloudEnd))
	case slowState:
		delay := time.Duration(100+random.IntN(600)) * time.Millisecond
		d.setLinks(f.For, linkState{delay: delay}, linkName(c.name, stateEnd))
	default:
		d.playService(f, c, random)
	}
}

// playCrash plays a fault in which processes end.
func (d *deployment) playCrash(f fault, c *controller) {
	switch f.Kind {
	case crash:
		d.restart(f.For, c)
	case crashAll:
		d.restart(min(f.For, 3*time.Second), d.controllers...)
	case roll:
		for _, each := range d.controllers {
			d.restart(min(f.For, time.Second), each)
			storage.SleepContext(d.ctx, time.Second)
		}
	case crashSeries:
		for range 4 {
			d.restart(200*time.Millisecond, c)
			storage.SleepContext(d.ctx, f.For/4)
		}
	}
}

// playService plays a fault of the state service, the cloud or the machines.
func (d *deployment) playService(f fault, c *controller, random *rand.Rand) {
	var mu sync.Mutex
	chance := func(share float64) bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < share
	}
	between := func(least, most time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	switch f.Kind {
	case refuseState:
		d.state.SetRejectedCaller(c.name, true)
		storage.SleepContext(d.ctx, f.For)
		d.state.SetRejectedCaller(c.name, false)
	case outage:
		d.state.SetUnavailable(true)
		storage.SleepContext(d.ctx, f.For)
		d.state.SetUnavailable(false)
	case lateWrites:
		d.state.SetDelayedTransactions(func() (time.Duration, bool) {
			return between(2*time.Second, 12*time.Second), chance(0.3)
		})
		storage.SleepContext(d.ctx, f.For)
		d.state.SetDelayedTransactions(nil)
	case lostReplies:
		d.state.SetLostReplies(func() bool { return chance(0.3) })
		storage.SleepContext(d.ctx, f.For)
		d.state.SetLostReplies(nil)
	case lateHeartbeats:
		d.cloud.SetDuplicateHeartbeats(func(string) (time.Duration, bool) {
			return between(time.Second, 15*time.Second), chance(0.2)
		})
		storage.SleepContext(d.ctx, f.For)
		d.cloud.SetDuplicateHeartbeats(nil)
	case hangMachines, killMachines:
		for _, machine := range d.cloud.MachineNames() {
			switch {
			case !chance(0.3):
			case f.Kind == hangMachines:
				d.cloud.HangMachine(machine, f.For)
			default:
				d.cloud.KillMachine(machine)
			}
		}
		storage.SleepContext(d.ctx, f.For)
	}
}

// setLinks sets the state of links for a time, and opens them then.
func (d *deployment) setLinks(duration time.Duration, state linkState, names ...string) {
	for _, name := range names {
		d.links[name].set(state)
	}
	storage.SleepContext(d.ctx, duration)
	for _, name := range names {
		d.links[name].set(linkState{})
	}
}

// peerLinks returns the names of all links between a controller and the others.
func (d *deployment) peerLinks(c *controller) []string {
	var names []string
	for _, other := range d.controllers {
		if other != c {
			names = append(names, linkName(c.name, other.name), linkName(other.name, c.name))
		}
	}
	return names
}

// restart ends controllers and starts them again after a downtime.
func (d *deployment) restart(downtime time.Duration, controllers ...*controller) {
	for _, c := range controllers {
		d.kill(c)
	}
	storage.SleepContext(d.ctx, downtime)
	for _, c := range controllers {
		d.start(c)
	}
}

// sampleUntil records the tasks on machines every half second until the context ends.
func (d *deployment) sampleUntil(ctx context.Context) {
	for storage.SleepContext(ctx, time.Second/2) {
		d.sampleRunning()
	}
}
