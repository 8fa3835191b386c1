package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
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
	cutWorkers       faultKind = "cut workers"      // a controller does not receive heartbeats
	deafWorkers      faultKind = "deaf workers"     // its replies to heartbeats are held
	cutCloud         faultKind = "cut cloud"        // a controller loses the cloud
	slowState        faultKind = "slow state"       // a controller's calls to the state service are delayed
	refuseState      faultKind = "refuse state"     // the state service rejects one controller
	outage           faultKind = "outage"           // the state service rejects all controllers
	lateWrites       faultKind = "late writes"      // transactions are executed late and get no reply
	lostReplies      faultKind = "lost replies"     // transactions are executed and get no reply
	lateHeartbeats   faultKind = "late heartbeats"  // copies of heartbeats arrive again later
	slowLeader       faultKind = "slow leader"      // the leader stands still again and again for fractions of a second
	leaderSeries     faultKind = "leader series"    // each leader ends as soon as it leads
	idleConnections  faultKind = "idle connections" // clients open connections and send nothing or half a request
	hangMachines     faultKind = "hang machines"
	killMachines     faultKind = "kill machines"

	// The state service rejects the leader, users cancel jobs, and a little later it rejects all controllers, for
	// the duration.
	refuseLeaderThenAll faultKind = "refuse leader, then all"
)

// faultKinds lists the kinds of faults that newSchedule draws.
var faultKinds = []faultKind{
	crash, crashAll, roll, crashSeries, pause, cutState, cutStateReplies, cutStateAndPeers, cutPeers, refusePeers,
	cutWorkers, deafWorkers, cutCloud, slowState, refuseState, outage, lateWrites, lostReplies, lateHeartbeats,
	hangMachines, killMachines, slowLeader, leaderSeries, idleConnections,
}

// briefKinds lists the kinds of faults that fall into a long outage. They let the leader go on leading.
var briefKinds = []faultKind{cutPeers, cutCloud, slowState, lateHeartbeats, hangMachines, killMachines}

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

// newSchedule draws the schedule of the run with a seed.
func newSchedule(seed uint64, seconds int) schedule {
	size := sizeOf(seed)
	s := schedule{Seed: seed, Seconds: seconds}
	if size.longOutage {
		s.Faults = newLongOutage(seed, size.controllers)
	} else {
		s.Faults = newOverlappingFaults(seed, time.Duration(seconds)*time.Second, size.controllers)
	}
	slices.SortStableFunc(s.Faults, func(a, b fault) int { return cmp.Compare(a.At, b.At) })
	return s
}

// newOverlappingFaults draws faults of which two or three overlap nearly all the time.
func newOverlappingFaults(seed uint64, end time.Duration, controllers int) (faults []fault) {
	random := rand.New(rand.NewPCG(seed, 7))
	for lane := range 3 {
		at := warmUp + time.Duration(lane)*time.Second
		for at < end {
			f := newFault(random, faultKinds, at, controllers)
			f.For = time.Duration(1+random.Int64N(11)) * time.Second
			if random.IntN(3) == 0 {
				f.For = time.Duration(50+random.IntN(900)) * time.Millisecond
			}
			faults = append(faults, f)
			at += f.For + time.Duration(random.Int64N(int64(4*time.Second)))
		}
	}
	return faults
}

// newLongOutage draws an outage that begins with the leader and lasts for longer than tasks of a cancelled job
// may run, and brief faults beside it.
func newLongOutage(seed uint64, controllers int) []fault {
	random := rand.New(rand.NewPCG(seed, 7))
	outage := newFault(random, []faultKind{refuseLeaderThenAll}, 3*warmUp, controllers)
	cancelWithin := time.Duration(workerTimes.CancelWithinS * float64(time.Second))
	outage.For = cancelWithin + 5*time.Second + time.Duration(random.Int64N(int64(10*time.Second)))
	faults := []fault{outage}
	for at := warmUp; at < outage.At+outage.For; {
		f := newFault(random, briefKinds, at, controllers)
		f.For = time.Duration(1+random.Int64N(4)) * time.Second
		faults = append(faults, f)
		at += f.For + time.Duration(random.Int64N(int64(4*time.Second)))
	}
	return faults
}

// newFault draws a fault of one of the kinds, without a duration.
func newFault(random *rand.Rand, kinds []faultKind, at time.Duration, controllers int) fault {
	first := random.IntN(controllers)
	return fault{
		Kind: kinds[random.IntN(len(kinds))], At: at, First: first,
		Other: (first + 1 + random.IntN(controllers-1)) % controllers, Seed: random.Uint64(),
	}
}
