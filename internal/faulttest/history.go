package faulttest

import (
	"sync"

	"coralhub/internal/invariants"
)

// Mark is the beginning or the end of a fault in a run.
type Mark struct {
	At   float64 `json:"at_s"` // seconds since the run began
	What string  `json:"what"`
}

// history is what happens in a run, as users, the cloud and the workers see it, and which faults are
// injected. It is safe for concurrent use.
type history struct {
	mu     sync.Mutex
	events []invariants.Event
	marks  []Mark // in seconds of the emulated services
}

// record appends an event.
func (h *history) record(e invariants.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

// mark appends the beginning or the end of a fault.
func (h *history) mark(m Mark) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.marks = append(h.marks, m)
}

// eventsFrom returns the events from an index on. They must not be changed.
func (h *history) eventsFrom(i int) []invariants.Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.events[i:len(h.events):len(h.events)]
}

// marksSoFar returns a copy of the marks; nil if there are none.
func (h *history) marksSoFar() []Mark {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Mark(nil), h.marks...)
}
