package zone

import (
	"cmp"
	"slices"
)

// Roster holds machines by name, in the order of their names, and in the order in
// which their workers were last in touch: whoever looks for the silent ones need not
// look at the others.
type Roster struct {
	byName         map[string]*Machine
	list           []*Machine
	oldest, newest *Machine
}

// NewRoster returns a roster without machines.
func NewRoster() *Roster { return &Roster{byName: map[string]*Machine{}} }

// Get returns a machine, nil if it is not known.
func (r *Roster) Get(name string) *Machine { return r.byName[name] }

// Known tells whether a machine is still in a roster.
func (m *Machine) Known() bool { return m.known }

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
	m.known = true
	r.list = slices.Insert(r.list, i, m)
}

// Touch notes that a machine's worker is in touch with us itself.
func (r *Roster) Touch(m *Machine, now Micros) {
	r.unlist(m)
	m.Spoke, m.listed = now, true
	if m.older = r.newest; m.older != nil {
		m.older.newer = m
	} else {
		r.oldest = m
	}
	r.newest = m
}

// Introduce lists a machine whose worker is known but was never in touch with us
// itself as the most silent one.
func (r *Roster) Introduce(m *Machine) {
	if m.listed {
		return
	}
	m.listed = true
	if m.newer = r.oldest; m.newer != nil {
		m.newer.older = m
	} else {
		r.newest = m
	}
	r.oldest = m
}

func (r *Roster) unlist(m *Machine) {
	if !m.listed {
		return
	}
	if m.older != nil {
		m.older.newer = m.newer
	} else {
		r.oldest = m.newer
	}
	if m.newer != nil {
		m.newer.older = m.older
	} else {
		r.newest = m.older
	}
	m.older, m.newer, m.listed = nil, nil, false
}

// Silent calls f for the machines whose workers were not in touch since before a
// moment, the most silent first.
func (r *Roster) Silent(before Micros, f func(*Machine)) {
	for m := r.oldest; m != nil && m.Spoke < before; {
		next := m.newer
		f(m)
		m = next
	}
}

// Remove forgets a machine.
func (r *Roster) Remove(name string) {
	if m := r.byName[name]; m != nil {
		r.unlist(m)
		m.known = false
	}
	if i, ok := r.find(name); ok {
		delete(r.byName, name)
		r.list = slices.Delete(r.list, i, i+1)
	}
}
