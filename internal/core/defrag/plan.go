// Package defrag decides which machines to clear of work that never ends, so that they become
// whole for a gang that finds no room though there is enough in sum. Most-room packing spreads
// replicas over all machines; once most of a flood's are cancelled, a few are left on each, and
// no machine becomes whole by itself ever again.
package defrag

import (
	"cmp"
	"slices"

	"coralhub/internal/core/zone"
)

// Replica is a task of a service that may be moved.
type Replica struct {
	Job   string
	Task  int
	Needs zone.Resources
	Types map[string]bool // on which it may run
	Spot  bool            // spot machines will do
}

// Machine is one of a zone.
type Machine struct {
	Name, Type string
	Spot       bool
	Free       zone.Resources
	Suitable   bool      // the gang may use it
	Movable    bool      // nothing but Replicas is there
	Replicas   []Replica // may be moved now
}

// Plan is which machines to clear, and which have the rest of the gang's room already.
type Plan struct {
	Clear, Whole  []*Machine
	MovedReplicas int
}

// NewPlan plans room for so many tasks of a gang on the machines of one zone, with as few moves as
// it finds and no more than most; nil: it finds none. What is moved fits elsewhere in the zone,
// on machines that are not whole, and no two of one job are moved at a time.
func NewPlan(needs zone.Resources, count, most int, machines []*Machine) *Plan {
	p := &Plan{}
	var clear []*Machine
	gain := map[*Machine]int{}
	for _, m := range machines {
		if !m.Suitable {
			continue
		}
		if has := needs.Count(m.Free); has > 0 {
			if count > 0 {
				p.Whole = append(p.Whole, m)
				count -= has
			}
			continue
		}
		free := m.Free
		for _, r := range m.Replicas {
			free = free.Plus(r.Needs, 1)
		}
		if n := needs.Count(free); m.Movable && n > 0 {
			clear = append(clear, m)
			gain[m] = n
		}
	}
	if count <= 0 {
		return nil // it has room: it is not for want of whole machines that it waits
	}
	slices.SortFunc(clear, func(a, b *Machine) int { // fewest moves for a task, by cross product
		return cmp.Or(cmp.Compare(len(a.Replicas)*gain[b], len(b.Replicas)*gain[a]), cmp.Compare(a.Name, b.Name))
	})
	to := targets(machines, needs)
	moved := map[string]bool{}
	for _, m := range clear {
		if count <= 0 {
			break
		}
		if p.MovedReplicas+len(m.Replicas) > most || !to.place(m, moved) {
			continue
		}
		p.Clear = append(p.Clear, m)
		p.MovedReplicas += len(m.Replicas)
		count -= gain[m]
	}
	if count > 0 {
		return nil
	}
	return p
}

// slot is what is left on a machine that replicas may be moved to.
type slot struct {
	*Machine
	free   zone.Resources
	taken  int  // replicas that it is to take
	closed bool // it is cleared
}

// slots are those machines, the fullest first: what is nearly full never becomes whole.
type slots []*slot

func targets(machines []*Machine, needs zone.Resources) slots {
	var out slots
	for _, m := range machines {
		if !needs.Fits(m.Free) { // whole machines stay whole
			out = append(out, &slot{Machine: m, free: m.Free})
		}
	}
	slices.SortFunc(out, func(a, b *slot) int {
		return cmp.Or(cmp.Compare(a.free.Weight(), b.free.Weight()), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// place finds places for all replicas of a machine, and keeps them; false: not for all, or it
// is to take some itself.
func (rs slots) place(m *Machine, moved map[string]bool) bool {
	own := rs[slices.IndexFunc(rs, func(t *slot) bool { return t.Machine == m })]
	if own.taken > 0 {
		return false
	}
	type step struct {
		to *slot
		by zone.Resources
	}
	var steps []step
	jobs := map[string]bool{}
	for i := range m.Replicas {
		r := &m.Replicas[i]
		at := -1
		if !moved[r.Job] && !jobs[r.Job] {
			at = slices.IndexFunc(rs, func(t *slot) bool {
				return t != own && !t.closed && r.Types[t.Type] && (r.Spot || !t.Spot) && r.Needs.Fits(t.free)
			})
		}
		if at < 0 {
			for _, s := range steps {
				s.to.free = s.to.free.Plus(s.by, 1)
				s.to.taken--
			}
			return false
		}
		jobs[r.Job] = true
		rs[at].free = rs[at].free.Plus(r.Needs, -1)
		rs[at].taken++
		steps = append(steps, step{rs[at], r.Needs})
	}
	for id := range jobs {
		moved[id] = true
	}
	own.closed = true
	return true
}
