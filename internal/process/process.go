// Package process starts child processes and tells what they take of the machine, from the
// kernel's accounts under /proc.
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

// Options say what to start.
type Options struct {
	Program string    // path of the executable
	Args    []string  // its arguments
	Env     []string  // added to this process's own
	Log     string    // file that its standard error, and its output unless Output is set, are appended to
	Output  io.Writer // where its standard output goes; nil: into the log
}

// Process is a child process. Its standard input is a pipe that lasts as long as it does, so
// that a child which ends with its input is never left behind.
type Process struct {
	input io.WriteCloser
	gone  chan struct{}

	mu     sync.Mutex
	cmd    *exec.Cmd // nil once it has ended
	cpu    time.Duration
	peakMB float64
}

// Start starts a process. The error says what could not be opened or started.
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
	p := &Process{input: input, gone: make(chan struct{}), cmd: cmd}
	go p.wait(cmd)
	return p, nil
}

// wait notes the end of the process.
func (p *Process) wait(cmd *exec.Cmd) {
	_ = cmd.Wait() // how it ended is in its log
	_ = p.input.Close()
	p.mu.Lock()
	p.cpu = cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	p.cmd = nil
	p.mu.Unlock()
	close(p.gone)
}

// Input is the process's standard input.
func (p *Process) Input() io.Writer { return p.input }

// Gone is closed when the process has ended.
func (p *Process) Gone() <-chan struct{} { return p.gone }

// Signal sends a signal; a process that has ended gets none.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// pid is the process's number; 0 once it has ended.
func (p *Process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// CPU is the processor time taken so far, to a hundredth of a second while it runs.
func (p *Process) CPU() time.Duration {
	if pid := p.pid(); pid != 0 {
		if spent := CPU(pid); spent > 0 {
			return spent
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cpu
}

// Measure reads how much memory the process holds, in MB of 2^20 bytes, and keeps the peak.
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

// PeakMB is the most that Measure has read.
func (p *Process) PeakMB() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peakMB
}

// Files is how many files and sockets the process has open.
func (p *Process) Files() int {
	if pid := p.pid(); pid != 0 {
		return OpenFiles(pid)
	}
	return 0
}
