package faulttest

import (
	"fmt"
	"sync"

	"coralhub/internal/process"
)

// harness records failures of the test harness, as opposed to those of the service under test. It is safe
// for concurrent use.
type harness struct {
	aborted chan struct{} // closed when this process has reached its limit of open files

	mu         sync.Mutex
	err        error // the first failure
	outOfFiles bool  // this process could not open a file that it needed, so violations in the history are no evidence
}

func newHarness() *harness { return &harness{aborted: make(chan struct{})} }

// fileLimitError reports that this process has reached its limit of open files. limit is 0 if it is
// unknown.
type fileLimitError struct{ limit int }

func (e *fileLimitError) Error() string {
	return fmt.Sprintf("limit of %d open files of the test process reached; run with fewer machines", e.limit)
}

// recordError records an error of the harness. Only the first one is kept; nil is ignored.
func (h *harness) recordError(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil {
		h.err = err
	}
}

// recordConnectionError is called with the error of each connection that this process failed to make. At
// the limit of open files, the emulated users and workers can no longer reach the service, and what follows
// is not a fault of the service: the run is aborted. Other errors are ignored.
func (h *harness) recordConnectionError(err error) {
	if !process.OutOfFiles(err) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outOfFiles {
		return
	}
	h.outOfFiles = true
	if h.err == nil {
		limit, _ := process.FileLimit()
		h.err = &fileLimitError{limit}
	}
	close(h.aborted)
}

// firstError returns the first error of the harness, or nil, and whether this process reached its limit of
// open files, which makes the history unusable for finding violations.
func (h *harness) firstError() (err error, outOfFiles bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.err, h.outOfFiles
}
