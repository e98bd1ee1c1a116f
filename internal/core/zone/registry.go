package zone

import (
	"cmp"
	"container/list"
	"slices"
)

// Registry holds machines by name, in the order of their names, and in the order of the last direct
// contact with their workers, so that those without recent contact are found without examining the others.
type Registry struct {
	byName        map[string]*Machine
	sorted        []*Machine
	byLastContact *list.List // of *Machine, the least recent contact first
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{byName: map[string]*Machine{}, byLastContact: list.New()}
}

// Get returns the machine with a name, or nil if it is not registered.
func (r *Registry) Get(name string) *Machine { return r.byName[name] }

// Registered reports whether a machine is still in a registry.
func (m *Machine) Registered() bool { return m.registered }

// Len returns the number of machines.
func (r *Registry) Len() int { return len(r.sorted) }

// All returns the machines in the order of their names. The slice is valid until a machine is added
// or removed and must not be changed.
func (r *Registry) All() []*Machine { return r.sorted }

func (r *Registry) find(name string) (int, bool) {
	return slices.BinarySearchFunc(r.sorted, name, func(m *Machine, name string) int { return cmp.Compare(m.Name, name) })
}

// Add adds a machine whose name is not in the registry.
func (r *Registry) Add(m *Machine) {
	i, _ := r.find(m.Name)
	r.byName[m.Name] = m
	m.registered = true
	r.sorted = slices.Insert(r.sorted, i, m)
}

// NoteContact records that this node is in direct contact with a machine's worker.
func (r *Registry) NoteContact(m *Machine, now Micros) {
	m.LastContactAt = now
	if m.contactElement == nil {
		m.contactElement = r.byLastContact.PushBack(m)
		return
	}
	r.byLastContact.MoveToBack(m.contactElement)
}

// TrackContact starts to track the contact with a machine whose worker is known but was never in
// direct contact with this node. Its contact is considered the least recent one.
func (r *Registry) TrackContact(m *Machine) {
	if m.contactElement == nil {
		m.contactElement = r.byLastContact.PushFront(m)
	}
}

// EachWithoutContactSince calls f for the tracked machines without direct contact since a time, the least
// recent contact first. f may remove the machine.
func (r *Registry) EachWithoutContactSince(since Micros, f func(*Machine)) {
	for e := r.byLastContact.Front(); e != nil; {
		m, next := e.Value.(*Machine), e.Next()
		if m.LastContactAt >= since {
			return
		}
		f(m)
		e = next
	}
}

// Remove removes the machine with a name, if there is one.
func (r *Registry) Remove(name string) {
	if m := r.byName[name]; m != nil {
		if m.contactElement != nil {
			r.byLastContact.Remove(m.contactElement)
			m.contactElement = nil
		}
		m.registered = false
	}
	if i, ok := r.find(name); ok {
		delete(r.byName, name)
		r.sorted = slices.Delete(r.sorted, i, i+1)
	}
}
