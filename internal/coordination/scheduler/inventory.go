package scheduler

import (
	"slices"
	"strings"
	"time"
)

// machineInventory holds the machines that are known: those of this term's and earlier terms' rentals,
// those that the cloud lists, and those that sent a heartbeat.
type machineInventory struct {
	*environment
	catalog *typeCatalog
	byName  map[string]*machine
	sorted  []*machine      // by name
	deleted map[string]bool // machines whose deletion was confirmed; late lists and heartbeats may still name them
}

// newMachineInventory returns an inventory without machines.
func newMachineInventory(env *environment, catalog *typeCatalog) *machineInventory {
	return &machineInventory{
		environment: env,
		catalog:     catalog,
		byName:      map[string]*machine{},
		deleted:     map[string]bool{},
	}
}

// find returns the machine of a name, or nil.
func (i *machineInventory) find(name string) *machine { return i.byName[name] }

// all returns the machines, sorted by name. Callers must not change the slice.
func (i *machineInventory) all() []*machine { return i.sorted }

// isDeleted reports whether the deletion of a machine of this name was confirmed in this term.
func (i *machineInventory) isDeleted(name string) bool { return i.deleted[name] }

// getOrAdd returns the machine of a name and adds it if it is not known. The pool is noted unless it
// is the zero value.
func (i *machineInventory) getOrAdd(name string, pool machinePool) *machine {
	m := i.byName[name]
	if m == nil {
		m = i.add(name)
	}
	if pool.typeName != "" {
		m.typeName, m.zone, m.spot = pool.typeName, pool.zone, pool.spot
		m.machineType = i.catalog.find(pool.typeName)
	}
	return m
}

func (i *machineInventory) add(name string) *machine {
	m := &machine{
		name:                name,
		machineReachability: machineReachability{lastHeartbeatAt: -never / 2},
		leaseState:          leaseState{leaseRenewedAt: i.termStartedAt},
		machineLoad: machineLoad{
			assignments:  map[string]*assignment{},
			endedTasks:   map[attemptKey]endedTask{},
			cachedImages: map[string]time.Duration{},
			idleSince:    i.now,
		},
		machineLifecycle: machineLifecycle{createdAt: i.now},
		machineHealth:    machineHealth{failedJobs: map[string]bool{}},
	}
	i.byName[name] = m
	at, _ := slices.BinarySearchFunc(i.sorted, name, compareToName)
	i.sorted = slices.Insert(i.sorted, at, m)
	return m
}

// remove forgets a machine whose deletion is confirmed. Its name is remembered as deleted.
func (i *machineInventory) remove(m *machine) {
	i.logRemoved(m)
	delete(i.byName, m.name)
	i.deleted[m.name] = true
	if at, found := slices.BinarySearchFunc(i.sorted, m.name, compareToName); found {
		i.sorted = slices.Delete(i.sorted, at, at+1)
	}
}

func compareToName(m *machine, name string) int { return strings.Compare(m.name, name) }

// logRemoved reports how long a machine lived, and how much of its time was useful.
func (i *machineInventory) logRemoved(m *machine) {
	lifetime := (i.now - m.createdAt).Seconds()
	bootTime := lifetime
	if m.hasReported && m.firstReportAt > m.createdAt {
		bootTime = (m.firstReportAt - m.createdAt).Seconds()
	}
	i.logInfo("machine gone", keyMachine, m.name, keyReason, m.deleteReason, keyType, m.typeName, keySpot, m.spot,
		"cpus", m.capacity().CPUs, "life", lifetime, "boot", bootTime,
		"useful", m.usefulCPUSeconds, "wasted", m.wastedCPUSeconds, "fetched", m.fetchCPUSeconds)
}

// updateTypes looks up the type of each machine again after the catalog has changed.
func (i *machineInventory) updateTypes() {
	for _, m := range i.sorted {
		m.machineType = i.catalog.find(m.typeName)
	}
}
