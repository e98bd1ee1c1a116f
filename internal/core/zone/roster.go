package zone

import (
	"cmp"
	"container/list"
	"slices"
)

// Roster holds machines by name, in the order of their names, and in the order in
// which their workers were last in touch: whoever looks for the silent ones need not
// look at the others.
type Roster struct {
	byName  map[string]*Machine
	sorted  []*Machine
	silence *list.List // the most silent first
}

// NewRoster returns a roster without machines.
func NewRoster() *Roster { return &Roster{byName: map[string]*Machine{}, silence: list.New()} }

// Get returns a machine, nil if it is not known.
func (r *Roster) Get(name string) *Machine { return r.byName[name] }

// Known tells whether a machine is still in a roster.
func (m *Machine) Known() bool { return m.known }

// Len tells how many machines there are.
func (r *Roster) Len() int { return len(r.sorted) }

// All lists the machines in the order of their names. The list must not be kept
// while machines come or go.
func (r *Roster) All() []*Machine { return r.sorted }

func (r *Roster) find(name string) (int, bool) {
	return slices.BinarySearchFunc(r.sorted, name, func(m *Machine, name string) int { return cmp.Compare(m.Name, name) })
}

// Add takes a machine whose name is new.
func (r *Roster) Add(m *Machine) {
	i, _ := r.find(m.Name)
	r.byName[m.Name] = m
	m.known = true
	r.sorted = slices.Insert(r.sorted, i, m)
}

// Touch notes that a machine's worker is in touch with us itself.
func (r *Roster) Touch(m *Machine, now Micros) {
	m.Spoke = now
	if m.place == nil {
		m.place = r.silence.PushBack(m)
		return
	}
	r.silence.MoveToBack(m.place)
}

// Introduce lists a machine whose worker is known but was never in touch with us
// itself as the most silent one.
func (r *Roster) Introduce(m *Machine) {
	if m.place == nil {
		m.place = r.silence.PushFront(m)
	}
}

// Silent calls f for the machines whose workers were not in touch since before a
// moment, the most silent first.
func (r *Roster) Silent(before Micros, f func(*Machine)) {
	for e := r.silence.Front(); e != nil; {
		m, next := e.Value.(*Machine), e.Next()
		if m.Spoke >= before {
			return
		}
		f(m)
		e = next
	}
}

// Remove forgets a machine.
func (r *Roster) Remove(name string) {
	if m := r.byName[name]; m != nil {
		if m.place != nil {
			r.silence.Remove(m.place)
			m.place = nil
		}
		m.known = false
	}
	if i, ok := r.find(name); ok {
		delete(r.byName, name)
		r.sorted = slices.Delete(r.sorted, i, i+1)
	}
}
