// Package defrag plans the defragmentation of a zone: which machines to clear of long-running replicas so
// that a gang fits for which the free capacity is sufficient in sum but fragmented. Bin packing spreads
// replicas over all machines. Once most replicas of a burst have been cancelled, a few remain on each
// machine, and as these never end, no machine becomes free without moving them.
package defrag

import (
	"cmp"
	"slices"

	"coralhub/internal/core/zone"
)

// Replica is a task of a service that may be moved to another machine.
type Replica struct {
	Job   string
	Task  int
	Needs zone.Resources
	Types map[string]bool // machine types on which it may run
	Spot  bool            // whether it may run on spot instances
}

// Machine is the state of one machine of the zone that is relevant to a plan.
type Machine struct {
	Name, Type string
	Spot       bool
	Free       zone.Resources
	Suitable   bool      // whether the gang may use it
	Movable    bool      // whether nothing but Replicas is placed on it
	Replicas   []Replica // those that may be moved now
}

// Plan lists the machines to clear for a gang (Clear), and those that already have free capacity for the rest of its
// tasks (WithCapacity).
type Plan struct {
	Clear, WithCapacity []*Machine
	MovedReplicas       int
}

// NewPlan plans free capacity for count tasks of a gang on the machines of one zone. It clears machines greedily,
// those with the fewest moves per task first, and moves no more than maxMoves replicas. It returns nil if it finds
// no plan, or if the gang fits without one. The moved replicas fit on other machines of the zone that have no free
// capacity for a task of the gang, and no plan moves two replicas of one job.
func NewPlan(needs zone.Resources, count, maxMoves int, machines []*Machine) *Plan {
	p := &Plan{}
	var candidates []candidate
	for _, m := range machines {
		if !m.Suitable {
			continue
		}
		if fit := needs.Count(m.Free); fit > 0 {
			if count > 0 {
				p.WithCapacity = append(p.WithCapacity, m)
				count -= fit
			}
			continue
		}
		if gain := gainOf(m, needs); m.Movable && gain > 0 {
			candidates = append(candidates, candidate{m, gain})
		}
	}
	if count <= 0 {
		return nil // the gang fits, so it does not wait because of fragmentation
	}
	slices.SortFunc(candidates, candidate.compare)
	to := targets(machines, needs)
	moved := map[string]bool{}
	for _, c := range candidates {
		if count <= 0 {
			break
		}
		if p.MovedReplicas+len(c.Replicas) > maxMoves || !to.place(c.Machine, moved) {
			continue
		}
		p.Clear = append(p.Clear, c.Machine)
		p.MovedReplicas += len(c.Replicas)
		count -= c.gain
	}
	if count > 0 {
		return nil
	}
	return p
}

// gainOf returns the number of the gang's tasks that fit on a machine without its replicas.
func gainOf(m *Machine, needs zone.Resources) int {
	free := m.Free
	for _, r := range m.Replicas {
		free = free.Plus(r.Needs, 1)
	}
	return needs.Count(free)
}

// candidate is a machine that could be cleared.
type candidate struct {
	*Machine
	gain int // tasks of the gang that fit on it once it is cleared
}

// compare orders candidates by the number of moves per task, which it compares by cross-multiplication.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(len(c.Replicas)*other.gain, len(other.Replicas)*c.gain), cmp.Compare(c.Name, other.Name))
}

// target is a machine to which replicas may be moved.
type target struct {
	*Machine
	free    zone.Resources // after the moves to it
	taken   int            // number of replicas that are moved to it
	cleared bool
}

// targetList holds the targets, the fullest first: a machine that is nearly full is not worth clearing.
type targetList []*target

// targets returns the machines without free capacity for a task of the gang. The others are kept free for the gang.
func targets(machines []*Machine, needs zone.Resources) targetList {
	var out targetList
	for _, m := range machines {
		if !needs.Fits(m.Free) {
			out = append(out, &target{Machine: m, free: m.Free})
		}
	}
	slices.SortFunc(out, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.free.Weight(), b.free.Weight()), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// move is the allocation of a replica's resources on a target.
type move struct {
	to    *target
	needs zone.Resources
}

// place moves all replicas of a machine to targets, and adds their jobs to moved. It returns false and changes nothing
// if they do not all fit, if two replicas of one job would be moved, or if the machine is itself the target of a move.
func (tl targetList) place(m *Machine, moved map[string]bool) bool {
	own := tl[slices.IndexFunc(tl, func(t *target) bool { return t.Machine == m })]
	if own.taken > 0 {
		return false
	}
	var moves []move
	jobs := map[string]bool{}
	for i := range m.Replicas {
		r := &m.Replicas[i]
		var to *target
		if !moved[r.Job] && !jobs[r.Job] {
			to = tl.find(r, own)
		}
		if to == nil {
			undo(moves)
			return false
		}
		jobs[r.Job] = true
		to.free = to.free.Plus(r.Needs, -1)
		to.taken++
		moves = append(moves, move{to, r.Needs})
	}
	for id := range jobs {
		moved[id] = true
	}
	own.cleared = true
	return true
}

// find returns the first target other than its own machine on which a replica fits, or nil if there is none.
func (tl targetList) find(r *Replica, own *target) *target {
	i := slices.IndexFunc(tl, func(t *target) bool {
		return t != own && !t.cleared && r.Types[t.Type] && (r.Spot || !t.Spot) && r.Needs.Fits(t.free)
	})
	if i < 0 {
		return nil
	}
	return tl[i]
}

// undo reverts moves.
func undo(moves []move) {
	for _, m := range moves {
		m.to.free = m.to.free.Plus(m.needs, 1)
		m.to.taken--
	}
}
