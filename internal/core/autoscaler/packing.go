package autoscaler

import (
	"maps"

	"coralhub/internal/core/zone"
)

// Demand is a number of identical tasks that found no free capacity.
type Demand struct {
	Task  zone.Resources // resources of one task
	Count int
	Types map[string]bool // allowed machine types
	Zone  string          // the only allowed zone, empty if any is allowed
	Spot  bool            // whether spot instances are allowed
}

// accepts reports whether the tasks may run on machines of a pool, whatever their size.
func (d *Demand) accepts(pool Pool) bool {
	return d.Types[pool.Type] && (d.Spot || !pool.Spot) && (d.Zone == "" || d.Zone == pool.Zone)
}

// sameTasks reports whether two demands are equal except for their count.
func (d *Demand) sameTasks(o *Demand) bool {
	return d.Task == o.Task && d.Zone == o.Zone && d.Spot == o.Spot && maps.Equal(d.Types, o.Types)
}

// mergeDemands combines adjacent demands for the same tasks.
func mergeDemands(demands []Demand) []Demand {
	var out []Demand
	for _, d := range demands {
		if last := len(out) - 1; last >= 0 && out[last].sameTasks(&d) {
			out[last].Count += d.Count
			continue
		}
		out = append(out, d)
	}
	return out
}

// smallestTask returns the minimum of each resource over the tasks of the demands.
func smallestTask(demands []Demand) zone.Resources {
	var smallest zone.Resources
	for i, d := range demands {
		if i == 0 {
			smallest = d.Task
		}
		smallest = zone.Resources{
			CPUs:     min(smallest.CPUs, d.Task.CPUs),
			GPUs:     min(smallest.GPUs, d.Task.GPUs),
			MemoryGB: min(smallest.MemoryGB, d.Task.MemoryGB),
		}
	}
	return smallest
}

// binGroup is adjacent machines of one pool with the same free resources.
type binGroup struct {
	pool  Pool
	free  zone.Resources // of each machine
	count int
}

// bins are machines in the order in which they are filled. Adjacent equal machines are packed
// together, so that neither 3,000 pending jobs nor 1,250 booting machines are processed one by one.
type bins []binGroup

// add appends machines, to the last group if they are equal to its machines.
func (bs bins) add(pool Pool, free zone.Resources, count int) bins {
	if last := len(bs) - 1; last >= 0 && bs[last].pool == pool && bs[last].free == free {
		bs[last].count += count
		return bs
	}
	return append(bs, binGroup{pool, free, count})
}

// addFilled appends machines after a number of tasks was assigned to each, unless not even the
// smallest task fits on them any more.
func (bs bins) addFilled(machine *binGroup, count int, task zone.Resources, tasks int, smallest zone.Resources) bins {
	if count == 0 {
		return bs
	}
	free := machine.free.Plus(task, -float64(tasks))
	if !smallest.Fits(free) {
		return bs
	}
	return bs.add(machine.pool, free, count)
}

// pack places the tasks of a demand by first fit. It returns how many tasks found no space, and the
// machines on which a task as small as smallest still fits.
func (bs bins) pack(d *Demand, smallest zone.Resources) (unplaced int, remaining bins) {
	unplaced = d.Count
	remaining = make(bins, 0, len(bs)+1)
	for i := range bs {
		group := &bs[i]
		perMachine := 0
		if unplaced > 0 && d.accepts(group.pool) {
			perMachine = d.Task.Count(group.free)
		}
		full, partial := fillMachines(unplaced, perMachine, group.count)
		unplaced -= full*perMachine + partial
		untouched := group.count - full
		remaining = remaining.addFilled(group, full, d.Task, perMachine, smallest)
		if partial > 0 {
			remaining = remaining.addFilled(group, 1, d.Task, partial, smallest)
			untouched--
		}
		remaining = remaining.addFilled(group, untouched, d.Task, 0, smallest)
	}
	return unplaced, remaining
}

// fillMachines returns how many machines a number of tasks fills, and how many of the tasks are
// placed on one more machine without filling it.
func fillMachines(tasks, perMachine, machines int) (full, partial int) {
	if perMachine == 0 {
		return 0, 0
	}
	full = min(machines, tasks/perMachine)
	if full < machines {
		partial = tasks - full*perMachine
	}
	return full, partial
}
