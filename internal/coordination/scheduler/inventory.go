package scheduler

import (
	"slices"
	"strings"
	"time"
)

// machineInventory holds all known machines: those of rentals from this term and earlier terms, those
// adopted from the cloud's list, and those that have sent a heartbeat.
type machineInventory struct {
	*environment
	catalog *typeCatalog
	byName  map[string]*machine
	sorted  []*machine      // by name
	deleted map[string]bool // names of deleted machines; late lists and heartbeats may still contain them
}

// newMachineInventory returns an empty inventory.
func newMachineInventory(env *environment, catalog *typeCatalog) *machineInventory {
	return &machineInventory{
		environment: env,
		catalog:     catalog,
		byName:      map[string]*machine{},
		deleted:     map[string]bool{},
	}
}

// find returns the machine with the given name, or nil.
func (i *machineInventory) find(name string) *machine { return i.byName[name] }

// all returns the machines, sorted by name. Callers must not change the slice.
func (i *machineInventory) all() []*machine { return i.sorted }

// isDeleted reports whether the deletion of the machine with this name was confirmed in this term.
func (i *machineInventory) isDeleted(name string) bool { return i.deleted[name] }

// getOrAdd returns the machine with the given name, and adds it if it is unknown. It sets the machine's
// pool unless the given one is the zero value.
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

// remove removes a machine whose deletion is confirmed, and records its name as deleted.
func (i *machineInventory) remove(m *machine) {
	i.logRemoved(m)
	delete(i.byName, m.name)
	i.deleted[m.name] = true
	if at, found := slices.BinarySearchFunc(i.sorted, m.name, compareToName); found {
		i.sorted = slices.Delete(i.sorted, at, at+1)
	}
}

func compareToName(m *machine, name string) int { return strings.Compare(m.name, name) }

// logRemoved logs how long a deleted machine existed and how much of its CPU time was useful. For a
// machine that never reported, all of its lifetime is logged as boot time.
func (i *machineInventory) logRemoved(m *machine) {
	lifetime := (i.now - m.createdAt).Seconds()
	bootTime := lifetime
	if m.hasReported && m.firstReportAt > m.createdAt {
		bootTime = (m.firstReportAt - m.createdAt).Seconds()
	}
	i.logInfo("machine deleted", keyMachine, m.name, keyReason, m.deleteReason, keyType, m.typeName, keySpot, m.spot,
		"cpus", m.capacity().CPUs, "lifetime_s", lifetime, "boot_s", bootTime,
		"useful_cpu_s", m.usefulCPUSeconds, "wasted_cpu_s", m.wastedCPUSeconds, "image_fetch_cpu_s", m.fetchCPUSeconds)
}

// updateTypes looks up each machine's type again after the catalog has changed.
func (i *machineInventory) updateTypes() {
	for _, m := range i.sorted {
		m.machineType = i.catalog.find(m.typeName)
	}
}
