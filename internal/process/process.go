// Package process starts child processes and measures what they take of the machine, from
// the kernel's statistics under /proc.
package process

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Options describe a process.
type Options struct {
	Program string    // path of the executable
	Args    []string  // its arguments
	Env     []string  // added to this process's own
	Log     string    // file that its standard error, and its standard output unless Output is set, are appended to
	Output  io.Writer // destination of its standard output; nil: the log
}

// Process is a child process. Its standard input is a pipe that stays open as long as this
// process lives, so that a child which ends with its input never outlives it. It is safe
// for concurrent use.
type Process struct {
	input io.WriteCloser
	done  chan struct{}

	mu       sync.Mutex
	running  *exec.Cmd // nil once it has ended
	finalCPU time.Duration
	peakMB   float64
}

// Start starts a process. The error names what could not be opened or started.
func Start(opt Options) (*Process, error) {
	log, err := os.OpenFile(opt.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()            // the child has its own descriptor
	cmd := exec.Command(opt.Program, opt.Args...) //nolint:noctx // the process outlives the call: Signal ends it
	cmd.Env = append(os.Environ(), opt.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	if opt.Output != nil {
		cmd.Stdout = opt.Output
	}
	input, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", opt.Program, err)
	}
	p := &Process{input: input, done: make(chan struct{}), running: cmd}
	go p.wait(cmd)
	return p, nil
}

// wait waits for the end of the process.
func (p *Process) wait(cmd *exec.Cmd) {
	_ = cmd.Wait() // how it ended is in its log
	_ = p.input.Close()
	p.mu.Lock()
	p.finalCPU = cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	p.running = nil
	p.mu.Unlock()
	close(p.done)
}

// Input returns the pipe to the process's standard input.
func (p *Process) Input() io.Writer { return p.input }

// Gone returns a channel that is closed when the process has ended.
func (p *Process) Gone() <-chan struct{} { return p.done }

// Signal sends a signal. It does nothing if the process has ended.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return nil
	}
	if err := p.running.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// pid returns the process's id; 0 once it has ended.
func (p *Process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return 0
	}
	return p.running.Process.Pid
}

// CPU returns the processor time so far, to a hundredth of a second while the process runs.
func (p *Process) CPU() time.Duration {
	if pid := p.pid(); pid != 0 {
		if used := CPU(pid); used > 0 {
			return used
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.finalCPU
}

// Measure returns the resident memory of the process, in MB of 2^20 bytes, and updates the
// peak; 0 if the process has ended.
func (p *Process) Measure() (residentMB float64) {
	pid := p.pid()
	if pid == 0 {
		return 0
	}
	residentMB = ResidentMB(pid)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakMB = max(p.peakMB, residentMB)
	return residentMB
}

// PeakMB returns the largest value that Measure has returned.
func (p *Process) PeakMB() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peakMB
}

// Files returns the number of open files and sockets of the process; 0 once it has ended.
func (p *Process) Files() int {
	if pid := p.pid(); pid != 0 {
		return OpenFiles(pid)
	}
	return 0
}
