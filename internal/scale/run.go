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

// Options describe how a run is executed.
type Options struct {
	Program    string       // path of the executable of controllers and hollow workers
	ServeArgs  []string     // arguments of a controller before --settings and --config
	HollowArgs []string     // arguments of a process of hollow workers
	Dir        string       // folder for settings and logs; created if missing
	LogLevel   string       // LOG_LEVEL of the controllers
	OnProgress func(string) // called with each progress line, also concurrently; may be nil
}

// run is a run in progress.
type run struct {
	Options
	hostsPerRegion int                // processes of hollow workers per region
	stop           context.CancelFunc // ends the run

	mu  sync.Mutex
	err error // first error of the run itself, which ended it
}

const (
	// filesPerWorker is the maximum number of open files per hollow worker: its listener, its connection
	// to a controller, and the connections from controllers.
	filesPerWorker = 8
	// reservedFiles is the number of open files reserved for the rest of a process.
	reservedFiles = 500
	// maxProcesses is the maximum number of processes of a run.
	maxProcesses = 300
	// minHostsPerRegion is the minimum number of processes of hollow workers per region.
	minHostsPerRegion = 2
	// maxMemoryFraction is the fraction of the machine's memory that all processes together may use.
	maxMemoryFraction = 0.5
	// workerMB and ownMB are estimates of the memory of a hollow worker and of this process, in MB. They
	// serve to reject runs that would need too much memory.
	workerMB = 0.15
	ownMB    = 500
	// memoryCheckInterval is how often the memory in use is checked.
	memoryCheckInterval = time.Second
)

// plan computes the number of processes of hollow workers. It returns an error if the run would exceed a
// limit of the machine.
func (o *run) plan(s *Settings) error {
	limit, err := process.FileLimit()
	if err != nil {
		return err
	}
	perHost := (limit - reservedFiles) / filesPerWorker
	if perHost < 1 || s.Limits.MaxConnections+reservedFiles > limit {
		return fmt.Errorf("a process may open %d files: too few for controllers with %d connections", limit,
			s.Limits.MaxConnections)
	}
	o.hostsPerRegion = max(minHostsPerRegion, (s.Workers+perHost-1)/perHost)
	if n := 1 + s.Regions*(s.Controllers+o.hostsPerRegion); n > maxProcesses {
		return fmt.Errorf("%d processes are needed and %d allowed", n, maxProcesses)
	}
	need := ownMB + float64(s.Regions)*(float64(s.Workers)*workerMB+float64(s.Controllers)*s.Limits.MemoryMB)
	if total := process.TotalMB(); total > 0 && need > total*maxMemoryFraction {
		return fmt.Errorf("up to %.0f MB are needed and half of the machine's memory is %.0f MB", need,
			total*maxMemoryFraction)
	}
	return nil
}

// logf passes a progress line to Options.OnProgress.
func (o *run) logf(format string, args ...any) {
	if o.OnProgress != nil {
		o.OnProgress(fmt.Sprintf(format, args...))
	}
}

// fail ends the run because of an error of the run itself, not of the measured control plane. Only
// the first error is kept.
func (o *run) fail(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil && err != nil {
		o.err = err
		o.stop()
	}
}

// failure returns the error that was passed to fail, or nil.
func (o *run) failure() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

// requestFailed handles the error of a request that received no response. It ends the run if this process
// has reached its limit of open files, because that is not a failure of the control plane.
func (o *run) requestFailed(err error) {
	if process.OutOfFiles(err) {
		o.fail(fmt.Errorf("this process has reached its limit of open files: %w", err))
	}
}

// Run executes a run and returns its result. It returns an error if the run could not be started or
// completed; the error is one line if the settings are rejected. All processes and goroutines of the run
// have ended when it returns.
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
	o.logf("%d regions with %d controllers each are ready; %d workers listen after %.1f s", s.Regions, s.Controllers,
		s.Regions*s.Workers, time.Since(start).Seconds())
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

// failureOr returns the error that was passed to fail, or err if there is none.
func (o *run) failureOr(err error) error {
	if failure := o.failure(); failure != nil {
		return failure
	}
	return err
}

// each calls f for all regions concurrently and returns the joined errors.
func each(regions []*region, f func(*region) error) error {
	errs := make([]error, len(regions))
	var wg sync.WaitGroup
	for i, r := range regions {
		wg.Go(func() { errs[i] = f(r) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// watchMemory ends the run if it uses more than maxMemoryFraction of the machine's memory.
func (o *run) watchMemory(ctx context.Context, regions []*region) {
	total := process.TotalMB()
	wait.Every(ctx, memoryCheckInterval, func() {
		if used := memoryInUse(regions); total > 0 && used > total*maxMemoryFraction {
			o.fail(fmt.Errorf("the run uses %.0f MB, more than half of the machine's %.0f MB", used, total))
		}
	})
}

// memoryInUse returns the resident memory of this process and all processes that it started, in MB.
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
