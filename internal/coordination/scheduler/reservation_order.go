package scheduler

import (
	"cmp"
	"slices"
)

// reservationOrder holds those machines of a placement pass that are not reserved, in the order of
// compareReservations and then by name. With it, a reservation examines only the first machines instead of
// sorting all of them. It is built for the first reservation of a pass and then kept up to date until the pass ends.
type reservationOrder struct {
	machines []*machine
	isBuilt  bool
	changed  []*machine // machines whose place in the order may have changed since the last call of take
}

// reset ends a pass. It keeps the memory for the next one, but no machine.
func (o *reservationOrder) reset() {
	clear(o.machines)
	clear(o.changed)
	o.machines, o.changed, o.isBuilt = o.machines[:0], o.changed[:0], false
}

// markChanged records that the resources or the reservation of a machine have changed.
func (o *reservationOrder) markChanged(m *machine) {
	if o.isBuilt {
		o.changed = append(o.changed, m)
	}
}

// take removes up to count machines that are candidates, from the first in the order, and returns them. The
// caller reserves them. all are the machines of the pass, sorted by name.
func (o *reservationOrder) take(all []*machine, count int, isCandidate func(*machine) bool) []*machine {
	if o.isBuilt {
		o.moveChanged(all)
	} else {
		o.build(all)
	}
	var taken, skipped []*machine
	examined := 0
	for ; examined < len(o.machines) && len(taken) < count; examined++ {
		switch m := o.machines[examined]; {
		case m.reservedFor != nil: // for a gang
		case isCandidate(m):
			taken = append(taken, m)
		default:
			skipped = append(skipped, m)
		}
	}
	o.machines = slices.Replace(o.machines, 0, examined, skipped...)
	return taken
}

// build sorts the machines that are not reserved.
func (o *reservationOrder) build(all []*machine) {
	o.isBuilt = true
	o.machines = o.machines[:0]
	for _, m := range all {
		if m.reservedFor == nil {
			o.machines = append(o.machines, m)
		}
	}
	slices.SortFunc(o.machines, compareReservationsAndNames)
}

// moveChanged moves the machines that have changed to their places in the order.
func (o *reservationOrder) moveChanged(all []*machine) {
	if len(o.changed) == 0 {
		return
	}
	slices.SortFunc(o.changed, compareNames)
	changed := slices.Compact(o.changed)
	contains := func(sorted []*machine, m *machine) bool {
		_, found := slices.BinarySearchFunc(sorted, m, compareNames)
		return found
	}
	o.machines = slices.DeleteFunc(o.machines, func(m *machine) bool { return contains(changed, m) })
	for _, m := range changed {
		if m.reservedFor == nil && contains(all, m) {
			at, _ := slices.BinarySearchFunc(o.machines, m, compareReservationsAndNames)
			o.machines = slices.Insert(o.machines, at, m)
		}
	}
	o.changed = o.changed[:0]
}

func compareReservationsAndNames(a, b *machine) int {
	return cmp.Or(compareReservations(a, b), compareNames(a, b))
}
