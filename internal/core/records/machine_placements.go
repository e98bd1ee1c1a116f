package records

import (
	"maps"
	"slices"

	"coralhub/internal/core/job"
)

// PlacementsOn returns the open placements on a machine. The map must not be modified.
func (r *Replica) PlacementsOn(machine string) map[job.AttemptKey]job.Placement {
	return r.openByMachine[machine]
}

// OccupiedMachines returns the sorted names of the machines with open placements.
func (r *Replica) OccupiedMachines() []string { return slices.Sorted(maps.Keys(r.openByMachine)) }

// replacePlacements replaces open placements of a job in the index by machine, and notifies the listener.
func (r *Replica) replacePlacements(j *Job, old, now []job.Placement) {
	for _, p := range old {
		onMachine := r.openByMachine[p.Machine]
		if delete(onMachine, p.AttemptKey(j.ID)); len(onMachine) == 0 {
			delete(r.openByMachine, p.Machine)
		}
	}
	for _, p := range now {
		onMachine := r.openByMachine[p.Machine]
		if onMachine == nil {
			onMachine = map[job.AttemptKey]job.Placement{}
			r.openByMachine[p.Machine] = onMachine
		}
		onMachine[p.AttemptKey(j.ID)] = p
	}
	r.listener.PlacementsChanged(j, old, now)
}
