package zone

import (
	"cmp"
	"container/list"
	"slices"
)

// Registry holds machines by name, in the order of their names, and in the order in
// which their workers were last in touch: whoever looks for the silent ones need not
// look at the others.
type Registry struct {
	byName  map[string]*Machine
	sorted  []*Machine
	silence *list.List // the most silent first
}

// NewRegistry returns a roster without machines.
func NewRegistry() *Registry { return &Registry{byName: map[string]*Machine{}, silence: list.New()} }

// Get returns a machine, nil if it is not known.
func (r *Registry) Get(name string) *Machine { return r.byName[name] }

// Registered tells whether a machine is still in a roster.
func (m *Machine) Registered() bool { return m.registered }

// Len tells how many machines there are.
func (r *Registry) Len() int { return len(r.sorted) }

// All lists the machines in the order of their names. The list must not be kept
// while machines come or go.
func (r *Registry) All() []*Machine { return r.sorted }

func (r *Registry) find(name string) (int, bool) {
	return slices.BinarySearchFunc(r.sorted, name, func(m *Machine, name string) int { return cmp.Compare(m.Name, name) })
}

// Add takes a machine whose name is new.
func (r *Registry) Add(m *Machine) {
	i, _ := r.find(m.Name)
	r.byName[m.Name] = m
	m.registered = true
	r.sorted = slices.Insert(r.sorted, i, m)
}

// NoteContact notes that a machine's worker is in touch with us itself.
func (r *Registry) NoteContact(m *Machine, now Micros) {
	m.LastContactAt = now
	if m.silenceElement == nil {
		m.silenceElement = r.silence.PushBack(m)
		return
	}
	r.silence.MoveToBack(m.silenceElement)
}

// Introduce lists a machine whose worker is known but was never in touch with us
// itself as the most silent one.
func (r *Registry) Introduce(m *Machine) {
	if m.silenceElement == nil {
		m.silenceElement = r.silence.PushFront(m)
	}
}

// EachSilent calls f for the machines whose workers were not in touch since before a
// moment, the most silent first.
func (r *Registry) EachSilent(before Micros, f func(*Machine)) {
	for e := r.silence.Front(); e != nil; {
		m, next := e.Value.(*Machine), e.Next()
		if m.LastContactAt >= before {
			return
		}
		f(m)
		e = next
	}
}

// Remove forgets a machine.
func (r *Registry) Remove(name string) {
	if m := r.byName[name]; m != nil {
		if m.silenceElement != nil {
			r.silence.Remove(m.silenceElement)
			m.silenceElement = nil
		}
		m.registered = false
	}
	if i, ok := r.find(name); ok {
		delete(r.byName, name)
		r.sorted = slices.Delete(r.sorted, i, i+1)
	}
}
