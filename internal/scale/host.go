package scale

import (
	"encoding/json"
	"io"
	"sync"

	"coralhub/internal/hollow"
	"coralhub/internal/process"
)

// host is a process of hollow workers.
type host struct {
	*process.Process
	usage   chan hollow.Usage
	workers int // guarded by the region's lock

	mu    sync.Mutex
	queue []hollow.Command
	wake  chan struct{}
}

// newHost returns the host of a process.
func newHost(p *process.Process) *host {
	return &host{Process: p, usage: make(chan hollow.Usage, 1), wake: make(chan struct{}, 1)}
}

// enqueue enqueues a command to be sent in the order of calls. It never blocks: the caller may hold a
// lock that the process's events need, and a process whose events aren't read reads no commands. That
// a process has ended is noticed when its workers are missing.
func (h *host) enqueue(c hollow.Command) {
	h.mu.Lock()
	h.queue = append(h.queue, c)
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// send sends the enqueued commands until the process ends.
func (h *host) send(to io.Writer) {
	commands := json.NewEncoder(to)
	for {
		select {
		case <-h.wake:
		case <-h.Done():
			return
		}
		h.mu.Lock()
		batch := h.queue
		h.queue = nil
		h.mu.Unlock()
		for i := range batch {
			if commands.Encode(&batch[i]) != nil {
				return // the process has ended
			}
		}
	}
}
