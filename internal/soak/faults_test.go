package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

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
	case crash, crashAll, roll, crashSeries, leaderSeries:
		d.playCrash(f, c)
	case slowLeader:
		d.playSlowLeader(f, d.leader(c), random)
	case idleConnections:
		d.playIdleConnections(f.For, c)
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
	case leaderSeries:
		for range 3 {
			d.restart(500*time.Millisecond, d.leader(c))
			storage.SleepContext(d.ctx, f.For/3)
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
		d.playOutage(f.For)
	case refuseLeaderThenAll:
		leader := d.leader(c)
		d.state.SetRejectedCaller(leader.name, true)
		d.closeOnce.Do(func() { close(d.cancelNow) })
		storage.SleepContext(d.ctx, time.Second+time.Duration(random.Int64N(int64(2*time.Second))))
		d.playOutage(f.For)
		d.state.SetRejectedCaller(leader.name, false)
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

// playOutage plays an outage of the state service.
func (d *deployment) playOutage(duration time.Duration) {
	d.state.SetUnavailable(true)
	storage.SleepContext(d.ctx, duration)
	d.state.SetUnavailable(false)
}

// leader returns the controller that leads according to the state service, or another one if none does.
func (d *deployment) leader(other *controller) *controller {
	stored, _ := d.state.Get(storage.KeyLeader)
	var record storage.LeaderRecord
	if protocol.Decode(stored.Value, &record) != nil {
		return other
	}
	for _, c := range d.controllers {
		if c.name == record.Node {
			return c
		}
	}
	return other
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

// Copies of direct commands that workers have executed and answered.
const (
	repeatedCommandShare = 0.3 // of the direct commands with starts
	maxCopies            = 3
	shortestCopyDelay    = time.Millisecond
	copyDelayDoublings   = 16 // the longest delay of a copy is about a minute
)

// newRepeatDelays returns a function that draws after which times copies of a direct command arrive again.
func newRepeatDelays(seed uint64) func(machine string) []time.Duration {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 23))
	return func(string) (delays []time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= repeatedCommandShare {
			return nil
		}
		for range 1 + random.IntN(maxCopies) {
			longest := shortestCopyDelay << (1 + random.IntN(copyDelayDoublings))
			delays = append(delays, shortestCopyDelay+time.Duration(random.Int64N(int64(longest))))
		}
		return delays
	}
}
