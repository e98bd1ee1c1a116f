package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"coralhub/internal/process"
	"coralhub/internal/wait"
)

// Options describe how a run is made.
type Options struct {
	Program    string       // path of the executable of controllers and hollow workers
	ServeArgs  []string     // its arguments before --settings and --config, for a controller
	HollowArgs []string     // its arguments for a process of hollow workers
	Dir        string       // for settings and logs
	Log        string       // LOG_LEVEL of the controllers
	Progress   func(string) // called with a line about the progress; may be nil
}

// run is a run in progress.
type run struct {
	Options
	hostsPerRegion int                // processes of hollow workers
	stop           context.CancelFunc // ends the run

	mu  sync.Mutex
	err error // why the run itself can\'t continue
}

const (
	// filesPerWorker is how many files a hollow worker may have open: its listener, its connection
	// to a controller, and controllers' connections to it.
	filesPerWorker = 8
	// reservedFiles are the files for the rest of a process.
	reservedFiles = 500
	// maxProcesses bounds the processes of a run.
	maxProcesses = 300
	// minHostsPerRegion is the least number of processes that share the hollow workers of a region.
	minHostsPerRegion = 2
	// maxMemoryFraction is the fraction of the machine's memory that all processes together may use.
	maxMemoryFraction = 0.5
	// workerMB and ownMB estimate the memory of a hollow worker and of this process, in MB, to reject
	// runs that would need too much.
	workerMB = 0.15
	ownMB    = 500
	// memoryCheckInterval is how often the memory in use is checked.
	memoryCheckInterval = time.Second
)

// plan computes how many processes a run needs. The error says why the run can't be made.
func (o *run) plan(s *Settings) error {
	limit, err := process.FileLimit()
	if err != nil {
		return err
	}
	perHost := (limit - reservedFiles) / filesPerWorker
	if perHost < 1 || s.Limits.MaxConnections+reservedFiles > limit {
		return fmt.Errorf("a process may open %d files: too few for controllers with %d connections", limit, s.Limits.MaxConnections)
	}
	o.hostsPerRegion = max(minHostsPerRegion, (s.Workers+perHost-1)/perHost)
	if n := 1 + s.Regions*(s.Controllers+o.hostsPerRegion); n > maxProcesses {
		return fmt.Errorf("%d processes are needed and %d allowed", n, maxProcesses)
	}
	need := ownMB + float64(s.Regions)*(float64(s.Workers)*workerMB+float64(s.Controllers)*s.Limits.MemoryMB)
	if total := process.TotalMB(); total > 0 && need > total*maxMemoryFraction {
		return fmt.Errorf("up to %.0f MB are needed and half of the machine's memory is %.0f MB", need, total*maxMemoryFraction)
	}
	return nil
}

// logf reports progress.
func (o *run) logf(format string, args ...any) {
	if o.Progress != nil {
		o.Progress(fmt.Sprintf(format, args...))
	}
}

// fail ends the run because of an error that is not one of the service.
func (o *run) fail(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil && err != nil {
		o.err = err
		o.stop()
	}
}

// failure returns why the run itself can't continue, or nil.
func (o *run) failure() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

// requestFailed takes why a user's request got no answer. That this process has reached its limit of
// open files is no fault of the service: it ends the run.
func (o *run) requestFailed(err error) {
	if process.OutOfFiles(err) {
		o.fail(fmt.Errorf("this process can't open more files: %w", err))
	}
}

// Run makes a run. The error says in one line why the run could not be made or completed.
func Run(ctx context.Context, s Settings, opt Options) (*Result, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	o := &run{Options: opt}
	if err := o.plan(&s); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(opt.Dir, 0o700); err != nil {
		return nil, err
	}
	ctx, o.stop = context.WithCancel(ctx)
	var background sync.WaitGroup
	var regions []*region
	defer func() {
		o.stop()
		background.Wait()
		for _, r := range regions {
			r.close()
		}
	}()
	for i := range s.Regions {
		regions = append(regions, newRegion(ctx, &s, o, i))
	}
	start := time.Now()
	if err := each(regions, func(r *region) error { return r.start(ctx) }); err != nil {
		return nil, o.failureOr(err)
	}
	o.logf("%d regions of %d controllers serve; %d workers listen after %.1f s", s.Regions, s.Controllers, s.Regions*s.Workers, time.Since(start).Seconds())
	background.Go(func() { o.watchMemory(ctx, regions) })
	results := make([]RegionResult, len(regions))
	err := each(regions, func(r *region) error {
		res, err := r.measure(ctx, s.Seed+uint64(r.number))
		if err == nil {
			results[r.number] = *res
		}
		return err
	})
	if err != nil {
		return nil, o.failureOr(err)
	}
	return newResult(&s, regions, results, time.Since(start)), nil
}

// failureOr returns why the run itself can't continue, or else the error.
func (o *run) failureOr(err error) error {
	if why := o.failure(); why != nil {
		return why
	}
	return err
}

// each calls f for all regions concurrently and returns the errors.
func each(regions []*region, f func(*region) error) error {
	errs := make([]error, len(regions))
	var wg sync.WaitGroup
	for i, r := range regions {
		wg.Go(func() { errs[i] = f(r) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// watchMemory ends the run if it uses too much of the machine's memory.
func (o *run) watchMemory(ctx context.Context, regions []*region) {
	total := process.TotalMB()
	wait.Every(ctx, memoryCheckInterval, func() {
		if used := memoryInUse(regions); total > 0 && used > total*maxMemoryFraction {
			o.fail(fmt.Errorf("the run holds %.0f MB, more than half of the machine's %.0f MB", used, total))
		}
	})
}

// memoryInUse returns the memory of this process and all that it has started, in MB.
func memoryInUse(regions []*region) float64 {
	used := process.ResidentMB(os.Getpid())
	for _, r := range regions {
		for _, c := range r.controllers {
			used += c.Measure()
		}
		for _, h := range r.hosts {
			used += h.Measure()
		}
	}
	return used
}
