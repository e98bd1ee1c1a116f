package autoscaler

import (
	"maps"
	"slices"

	"coralhub/internal/core/zone"
)

// machinePools counts the machines of each pool that provide capacity or will do so once they are up.
type machinePools struct {
	byMachine map[*zone.Machine]Pool
	sizes     map[Pool]int
	booting   map[*zone.Machine]bool
}

func newMachinePools() machinePools {
	return machinePools{
		byMachine: map[*zone.Machine]Pool{},
		sizes:     map[Pool]int{},
		booting:   map[*zone.Machine]bool{},
	}
}

// add counts a machine that is not counted yet.
func (mp *machinePools) add(m *zone.Machine, booting bool) {
	pool := Pool{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
	mp.byMachine[m] = pool
	mp.sizes[pool]++
	if booting {
		mp.booting[m] = true
	}
}

// remove stops counting a machine, if it is counted.
func (mp *machinePools) remove(m *zone.Machine) {
	if pool, ok := mp.byMachine[m]; ok {
		mp.sizes[pool]--
		delete(mp.byMachine, m)
	}
	delete(mp.booting, m)
}

// totalCapacity returns the total resources of the machines. Spot instances count only if spot is set.
func (mp *machinePools) totalCapacity(catalog *zone.Catalog, spot bool) zone.Resources {
	var sum zone.Resources
	for _, pool := range slices.SortedFunc(maps.Keys(mp.sizes), comparePools) {
		t := catalog.Types[pool.Type]
		if t != nil && (spot || !pool.Spot) {
			sum = sum.Plus(zone.CapacityOf(t), float64(mp.sizes[pool]))
		}
	}
	return sum
}

// manyBooting reports whether more than a quarter of the machines are booting.
func (mp *machinePools) manyBooting() bool { return len(mp.booting)*4 > len(mp.byMachine) }

// bootingPools returns the pool of each machine that is booting, in the order of the machines' names.
func (mp *machinePools) bootingPools() []Pool {
	var pools []Pool
	for _, m := range slices.SortedFunc(maps.Keys(mp.booting), zone.ByName) {
		pools = append(pools, mp.byMachine[m])
	}
	return pools
}

// anyBootingFor reports whether a machine is booting in a pool that a demand accepts.
func (mp *machinePools) anyBootingFor(demand *Demand) bool {
	for m := range mp.booting {
		if demand.accepts(mp.byMachine[m]) {
			return true
		}
	}
	return false
}
