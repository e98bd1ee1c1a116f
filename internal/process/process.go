// Package process starts child processes and measures their resource usage from the kernel's statistics
// under /proc.
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

// Options describes the process to start.
type Options struct {
	Program string    // path of the executable
	Args    []string  // its arguments
	Env     []string  // added to the environment of this process
	Log     string    // file to append standard error to, and standard output unless Output is set
	Output  io.Writer // destination of its standard output; the log file if nil
}

// Process is a child process. Its standard input is a pipe that remains open while this process runs, so
// that a child that exits when its input is closed never outlives this process. It is safe for concurrent
// use.
type Process struct {
	input io.WriteCloser
	done  chan struct{}

	mu       sync.Mutex
	running  *exec.Cmd // nil once the process has ended
	finalCPU time.Duration
	peakMB   float64
}

// Start starts a process. The error names the file or program that could not be opened or started.
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
		return nil, fmt.Errorf("start %s: %w", opt.Program, err)
	}
	p := &Process{input: input, done: make(chan struct{}), running: cmd}
	go p.wait(cmd)
	return p, nil
}

// wait waits for the end of the process and records its CPU time.
func (p *Process) wait(cmd *exec.Cmd) {
	_ = cmd.Wait() // the process's log shows why it ended
	_ = p.input.Close()
	p.mu.Lock()
	p.finalCPU = cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	p.running = nil
	p.mu.Unlock()
	close(p.done)
}

// Input returns the pipe to the process's standard input.
func (p *Process) Input() io.Writer { return p.input }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Signal sends a signal to the process. It does nothing if the process has ended.
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

// pid returns the process's ID, or 0 once it has ended.
func (p *Process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return 0
	}
	return p.running.Process.Pid
}

// CPU returns the CPU time used so far, to a hundredth of a second while the process runs.
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

// Measure returns the resident memory of the process, in MB of 2^20 bytes, and updates the peak. It returns 0
// if the process has ended.
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

// PeakMB returns the largest value that Measure has returned, in MB of 2^20 bytes.
func (p *Process) PeakMB() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peakMB
}

// Files returns the number of open files and sockets of the process, or 0 once it has ended.
func (p *Process) Files() int {
	if pid := p.pid(); pid != 0 {
		return OpenFiles(pid)
	}
	return 0
}
