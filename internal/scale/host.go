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
	workers int // under the region's lock

	mu    sync.Mutex
	queue []hollow.Command
	wake  chan struct{}
}

// newHost returns the host that a process is, and sends it its commands until it ends.
func newHost(p *process.Process) *host {
	h := &host{Process: p, usage: make(chan hollow.Usage, 1), wake: make(chan struct{}, 1)}
	go h.send(p.Input())
	return h
}

// enqueue sends a command, in the order of calls. It never waits: whoever calls may hold a lock that the
// process's events need, and a process whose events aren't taken reads no commands. One that
// has ended is found when its workers are missed.
func (h *host) enqueue(c hollow.Command) {
	h.mu.Lock()
	h.queue = append(h.queue, c)
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *host) send(to io.Writer) {
	commands := json.NewEncoder(to)
	for {
		select {
		case <-h.wake:
		case <-h.Gone():
			return
		}
		h.mu.Lock()
		batch := h.queue
		h.queue = nil
		h.mu.Unlock()
		for i := range batch {
			if commands.Encode(&batch[i]) != nil {
				return // it has ended
			}
		}
	}
}
