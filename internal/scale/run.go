package scale

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"coralhub/internal/process"
	"coralhub/internal/wait"
)

// Options say how a run is made.
type Options struct {
	Program    string       // the executable of controllers and hollow workers
	ServeArgs  []string     // its arguments before --settings and --config, for a controller
	HollowArgs []string     // its arguments for a process of hollow workers
	Dir        string       // for settings and logs
	Log        string       // LOG_LEVEL of the controllers
	Progress   func(string) // a line about what happens; nil: nothing is said
}

// run is a run that is being made.
type run struct {
	Options
	hostsPerRegion int                // processes of hollow workers
	stop           context.CancelFunc // ends the run

	mu  sync.Mutex
	err error // why the run itself can't go on
}

const (
	// filesPerWorker is how many files a hollow worker may have open: what it listens on, its
	// connection to a controller, and controllers' connections to it.
	filesPerWorker = 8
	// reservedFiles are kept for the rest of a process.
	reservedFiles = 500
	// maxProcesses is how many processes a run may have.
	maxProcesses = 300
	// minHostsPerRegion is how many processes share the hollow workers of a region at the least.
	minHostsPerRegion = 2
	// maxMemoryFraction is the part of the machine's memory that all processes together may hold.
	maxMemoryFraction = 0.5
	// Estimates of what a run holds, in MB, to refuse what can't be held.
	workerMB, ownMB = 0.15, 500
	// memoryCheckInterval is how often the memory in use is added up.
	memoryCheckInterval = time.Second
)

// plan finds how many processes a run needs, or why it can't be made.
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

func (o *run) logf(format string, args ...any) {
	if o.Progress != nil {
		o.Progress(fmt.Sprintf(format, args...))
	}
}

// fail ends the run because of something that is not the service's doing.
func (o *run) fail(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil && err != nil {
		o.err = err
		o.stop()
	}
}

// failure tells why the run itself can't go on; nil: it can.
func (o *run) failure() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

// requestFailed hears why a user's request got no answer. That this process can open nothing
// more is no fault of the service.
func (o *run) requestFailed(err error) {
	if process.OutOfFiles(err) {
		o.fail(fmt.Errorf("this process can't open more files: %w", err))
	}
}

// Run makes a run. The error says in one line why it could not be made, or not to its end.
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
	defer o.stop()
	var regions []*region
	defer func() {
		for _, r := range regions {
			r.close()
		}
	}()
	for i := range s.Regions {
		regions = append(regions, newRegion(&s, o, i))
	}
	began := time.Now()
	if err := each(regions, func(r *region) error { return r.start(ctx) }); err != nil {
		return nil, o.failureOr(err)
	}
	o.logf("%d regions of %d controllers serve; %d workers listen after %.1f s", s.Regions, s.Controllers, s.Regions*s.Workers, time.Since(began).Seconds())
	go o.watchMemory(ctx, regions)
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
	return newResult(&s, regions, results, time.Since(began)), nil
}

// failureOr returns why the run itself can't go on, or else an error.
func (o *run) failureOr(err error) error {
	if why := o.failure(); why != nil {
		return why
	}
	return err
}

// each calls f for all regions at once and returns the errors.
func each(regions []*region, f func(*region) error) error {
	errs := make([]error, len(regions))
	var wg sync.WaitGroup
	for i, r := range regions {
		wg.Go(func() { errs[i] = f(r) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// watchMemory ends a run that holds more of the machine's memory than it may.
func (o *run) watchMemory(ctx context.Context, regions []*region) {
	total := process.TotalMB()
	wait.Every(ctx, memoryCheckInterval, func() {
		if held := memoryInUse(regions); total > 0 && held > total*maxMemoryFraction {
			o.fail(fmt.Errorf("the run holds %.0f MB, more than half of the machine's %.0f MB", held, total))
		}
	})
}

// memoryInUse adds up what this process and all that it has started hold, in MB.
func memoryInUse(regions []*region) float64 {
	held := process.ResidentMB(os.Getpid())
	for _, r := range regions {
		for _, c := range r.controllers {
			held += c.Measure()
		}
		for _, h := range r.hosts {
			held += h.Measure()
		}
	}
	return held
}

// measure loads a region and measures it.
func (r *region) measure(ctx context.Context, seed uint64) (*RegionResult, error) {
	s := r.settings
	follow, stopFollowing := context.WithCancel(ctx)
	defer stopFollowing()
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	u := newUsers(r)
	defer u.client.HTTP.CloseIdleConnections()
	var open, background sync.WaitGroup
	background.Go(func() { u.probe(follow) })
	background.Go(func() { r.injectFaults(load, rand.New(rand.NewPCG(seed, math.MaxUint32))) })
	for class := range s.Classes {
		background.Go(func() { u.submitUntil(load, follow, class, rand.New(rand.NewPCG(seed, uint64(class))), &open) })
	}
	if !wait.For(ctx, seconds(s.RampS)) {
		return nil, ctx.Err()
	}
	first, err := r.sample(ctx)
	if err != nil {
		return nil, err
	}
	r.run.logf("%s: measuring", r.name)
	if !wait.For(ctx, seconds(s.DurationS)) {
		return nil, ctx.Err()
	}
	last, err := r.sample(ctx)
	if err != nil {
		return nil, err
	}
	stopLoad()
	r.run.logf("%s: no more jobs come", r.name)
	u.waitUntilFinished(ctx, seconds(s.SettleS))
	stopFollowing()
	open.Wait()
	background.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return r.result(u, &first, &last), nil
}

// waitUntilFinished waits until all accepted jobs are over, for so long at most.
func (u *users) waitUntilFinished(ctx context.Context, longest time.Duration) {
	deadline := time.Now().Add(longest)
	for u.unfinished() > 0 && time.Now().Before(deadline) {
		if !wait.For(ctx, 200*time.Millisecond) {
			return
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
