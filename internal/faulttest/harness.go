package faulttest

import (
	"fmt"
	"sync"

	"coralhub/internal/process"
)

// harness keeps the failures of the harness itself, as opposed to those of the service under test. It is
// safe for concurrent use.
type harness struct {
	aborted chan struct{} // is closed when this process has run out of files

	mu         sync.Mutex
	err        error // the first failure
	outOfFiles bool  // this process could not open all the files it had to: the history proves nothing
}

func newHarness() *harness { return &harness{aborted: make(chan struct{})} }

// outOfFilesError is the failure of a run whose own process may open no more files.
type outOfFilesError struct{ limit int }

func (e *outOfFilesError) Error() string {
	return fmt.Sprintf("this process has run out of files: it may open %d; play fewer machines at a time", e.limit)
}

// failed notes the first error of the harness itself; a nil error is none.
func (h *harness) failed(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil {
		h.err = err
	}
}

// connectionFailed is called with the reason why a connection of this process was not made. Once
// the process can open no more files, its users and workers fall silent by themselves, and the
// service must not be blamed for what follows: the run is aborted.
func (h *harness) connectionFailed(err error) {
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
		limit, _ := process.FileLimit() // 0 if it is unknown
		h.err = &outOfFilesError{limit}
	}
	close(h.aborted)
}

// failure returns the first failure, or nil, and whether it makes the history worthless.
func (h *harness) failure() (err error, outOfFiles bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.err, h.outOfFiles
}
