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
	workers int // number of assigned workers; guarded by region.mu

	mu    sync.Mutex
	queue []hollow.Command
	wake  chan struct{}
}

func newHost(p *process.Process) *host {
	return &host{Process: p, usage: make(chan hollow.Usage, 1), wake: make(chan struct{}, 1)}
}

// enqueue queues a command to be sent; commands are sent in the order of calls. It never blocks, because a
// blocking call could deadlock: the caller may hold a lock that the reader of the process's events needs,
// and a process whose events are not read does not read commands. It reports no error if the process has
// exited: waitUntilWorkersListen and sample fail then.
func (h *host) enqueue(c hollow.Command) {
	h.mu.Lock()
	h.queue = append(h.queue, c)
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// send writes the queued commands until the process exits.
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
				return // the process has exited
			}
		}
	}
}
