package autoscaler

import (
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// rentalPlan is the state of one call of Provisioner.Plan.
type rentalPlan struct {
	provisioner *Provisioner
	now         Micros
	types       []*wire.MachineType
	capacity    map[string]zone.Resources // of an empty machine, by type
	existing    map[Pool]int
	requests    int          // pending and planned
	rentals     map[Pool]int // the result
	bins        bins         // machines that are booting, requested or planned
}

// Plan returns how many machines to rent in each pool for demands beyond the booting and the
// requested machines, at most as many as may be requested now. existing is the number of machines
// in each pool.
func (p *Provisioner) Plan(
	now Micros, demands []Demand, booting []Pool, existing map[Pool]int, types []*wire.MachineType,
) map[Pool]int {
	plan := rentalPlan{
		provisioner: p,
		now:         now,
		types:       types,
		capacity:    map[string]zone.Resources{},
		existing:    existing,
		requests:    len(p.pending),
		rentals:     map[Pool]int{},
	}
	for _, t := range types {
		plan.capacity[t.Name] = zone.CapacityOf(t)
	}
	plan.addExpected(booting)
	smallest := smallestTask(demands)
	for _, d := range mergeDemands(demands) {
		var unplaced int
		unplaced, plan.bins = plan.bins.pack(&d, smallest)
		if !plan.rentFor(&d, unplaced) {
			break
		}
	}
	return plan.rentals
}

// addExpected adds the booting and the requested machines to the bins.
func (plan *rentalPlan) addExpected(booting []Pool) {
	for _, pool := range booting {
		plan.bins = plan.bins.add(pool, plan.capacity[pool.Type], 1)
	}
	for _, r := range plan.provisioner.sorted() {
		plan.bins = plan.bins.add(r.pool(), plan.capacity[r.Type], r.Count)
	}
}

// rentFor plans machines for a number of a demand's tasks, as far as a pool is available. It returns
// false once no more requests may be made.
func (plan *rentalPlan) rentFor(d *Demand, tasks int) bool {
	for tasks > 0 {
		pool, ok := plan.provisioner.cheapest(plan.now, d, plan.rentals, plan.existing, plan.types)
		if !ok {
			return true
		}
		if plan.rentals[pool]%wire.MaxMachinesPerRental == 0 { // the next machine needs another request
			if plan.requests >= plan.provisioner.maxPending {
				return false
			}
			plan.requests++
		}
		plan.rentals[pool]++
		capacity := plan.capacity[pool.Type]
		placed := min(tasks, max(1, d.Task.Count(capacity)))
		plan.bins = plan.bins.add(pool, capacity.Plus(d.Task, -float64(placed)), 1)
		tasks -= placed
	}
	return true
}

// cheapest returns the available pool with the lowest price that suits a demand; among pools of equal
// price, the one with the fewest planned and existing machines. It returns false if there is none.
func (p *Provisioner) cheapest(
	now Micros, d *Demand, rentals, existing map[Pool]int, types []*wire.MachineType,
) (Pool, bool) {
	var best Pool
	bestPrice, found := 0.0, false
	consider := func(pool Pool, price float64) {
		if !d.accepts(pool) || p.exhaustedUntil[pool] > now {
			return
		}
		cheaper := !found || price < bestPrice
		if cheaper || price == bestPrice && rentals[pool]+existing[pool] < rentals[best]+existing[best] {
			best, bestPrice, found = pool, price, true
		}
	}
	for _, t := range types {
		if !d.Task.Fits(zone.CapacityOf(t)) {
			continue
		}
		for _, z := range t.Zones {
			consider(Pool{t.Name, z, true}, t.SpotPrice)
			consider(Pool{t.Name, z, false}, t.Price)
		}
	}
	return best, found
}
