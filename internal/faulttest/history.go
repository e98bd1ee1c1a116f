package faulttest

import (
	"sync"

	"coralhub/internal/invariants"
)

// Mark is the beginning or the end of a fault in a run.
type Mark struct {
	// At is in seconds since the run began. In a history it is in seconds of the clock of the emulated services.
	At   float64 `json:"at_s"`
	What string  `json:"what"`
}

// history records the events of a run as observed by users, the cloud and the workers, and the faults
// injected. It is safe for concurrent use.
type history struct {
	mu     sync.Mutex
	events []invariants.Event
	marks  []Mark // times are in seconds of the clock of the emulated services
}

func (h *history) record(e invariants.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

func (h *history) addMark(m Mark) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.marks = append(h.marks, m)
}

// eventsFrom returns the events from index i on. The caller must not change them.
func (h *history) eventsFrom(i int) []invariants.Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.events[i:len(h.events):len(h.events)]
}

// copyOfMarks returns a copy of the marks, or nil if there are none.
func (h *history) copyOfMarks() []Mark {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Mark(nil), h.marks...)
}
