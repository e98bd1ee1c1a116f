package zone

import (
	"cmp"
	"slices"
)

// Roster holds machines by name, and in the order of their names without
// sorting them for each look: something looks through all of them many times
// a second.
type Roster struct {
	byName map[string]*Machine
	list   []*Machine
}

// NewRoster returns a roster without machines.
func NewRoster() *Roster { return &Roster{byName: map[string]*Machine{}} }

// Get returns a machine, nil if it is not known.
func (r *Roster) Get(name string) *Machine { return r.byName[name] }

// Len tells how many machines there are.
func (r *Roster) Len() int { return len(r.list) }

// All lists the machines in the order of their names. The list must not be kept
// while machines come or go.
func (r *Roster) All() []*Machine { return r.list }

func (r *Roster) find(name string) (int, bool) {
	return slices.BinarySearchFunc(r.list, name, func(m *Machine, name string) int { return cmp.Compare(m.Name, name) })
}

// Add takes a machine whose name is new.
func (r *Roster) Add(m *Machine) {
	i, _ := r.find(m.Name)
	r.byName[m.Name] = m
	r.list = slices.Insert(r.list, i, m)
}

// Remove forgets a machine.
func (r *Roster) Remove(name string) {
	if i, ok := r.find(name); ok {
		delete(r.byName, name)
		r.list = slices.Delete(r.list, i, i+1)
	}
}
