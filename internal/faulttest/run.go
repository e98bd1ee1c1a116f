package faulttest

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"coralhub/internal/cluster"
	"coralhub/internal/wait"
)

// Options say how a scenario is played.
type Options struct {
	Program  string // path of the program that the nodes run
	Dir      string // for settings, logs and results
	Seed     uint64
	Settings string       // a file of the operators' settings; "": none
	Log      string       // LOG_LEVEL of the nodes
	Say      func(string) // is called with a line about what happens; may be nil
	Watch    func(Status) // is called with the status of the run every statusInterval; may be nil

	wrap func(http.RoundTripper) http.RoundTripper // wraps the transport of the users, for tests; may be nil
}

// progress takes lines about what happens; it may be nil.
type progress func(line string)

func (p progress) logf(format string, args ...any) {
	if p != nil {
		p(fmt.Sprintf(format, args...))
	}
}

// run is one play of a scenario on a cluster.
type run struct {
	scenario *Scenario
	opt      Options
	progress progress
	jobs     []plannedJob
	history  *history
	harness  *harness
	cluster  *cluster.Cluster
	users    *users
	from     int64 // when it began, in microseconds of the emulated services
}

// readyTimeout is how long a cluster may take until every node serves.
const readyTimeout = 60 * time.Second

// Run plays a scenario on a cluster of its own and saves the result and the history in
// Options.Dir. It returns an error if the cluster does not start or ctx ends; a run that fails
// otherwise has a result that is not passed.
func Run(ctx context.Context, s *Scenario, opt Options) (*Result, error) {
	if err := os.MkdirAll(opt.Dir, 0o700); err != nil {
		return nil, err
	}
	r := &run{
		scenario: s,
		opt:      opt,
		progress: opt.Say,
		jobs:     s.plan(opt.Seed),
		history:  &history{},
		harness:  newHarness(),
	}
	clusterOptions := s.clusterOptions(&opt)
	clusterOptions.Watch = r.history.record
	clusterOptions.Failed = r.harness.connectionFailed
	c, err := cluster.Start(clusterOptions)
	if err != nil {
		return nil, err
	}
	r.cluster = c
	defer c.Close()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.AwaitReady(ready); err != nil {
		return nil, err
	}
	uploadJobs(c.Servers, r.jobs)
	began := time.Now()
	r.from = c.Servers.Now()
	r.progress.logf("%d nodes serve; %d jobs over %.0f s", len(c.Nodes), len(r.jobs), s.DurationS)
	r.play(ctx, began)
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("interrupted: %w", err)
	}
	res, err := r.result()
	if err != nil {
		return nil, err
	}
	res.TookS = time.Since(began).Seconds()
	return res, save(opt.Dir, res, r.history.eventsFrom(0))
}

// play submits the jobs and injects the faults at their times, and waits for jobs to end. When it
// returns, all its goroutines have ended.
func (r *run) play(ctx context.Context, began time.Time) {
	ctx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup // what goes on until stop, and users of services
	var finite sync.WaitGroup     // users whose jobs end by themselves
	background.Go(func() {
		select {
		case <-r.harness.aborted:
			stop()
		case <-ctx.Done():
		}
	})
	defer func() {
		stop()
		finite.Wait()
		background.Wait()
		r.users.client.HTTP.CloseIdleConnections()
	}()
	r.users = newUsers(r.cluster, r.history.record, r.opt.wrap)
	r.users.client.Failed = r.harness.connectionFailed
	background.Go(func() { r.users.balance(ctx) })
	background.Go(func() { r.users.pollUnknown(ctx) })
	injector := newFaultInjector(r.cluster, r.scenario, r.history, r.harness, r.progress)
	background.Go(func() { injector.injectAll(ctx, began) })
	if r.opt.Watch != nil {
		w := newWatcher(r.scenario, r.jobs, r.history, r.cluster, r.users)
		background.Go(func() {
			wait.Every(ctx, statusInterval, func() { r.opt.Watch(w.status(time.Since(began))) })
		})
	}
	if !r.users.submitAll(ctx, began, r.jobs, &finite, &background) {
		return
	}
	r.progress.logf("no more jobs come")
	ended := make(chan struct{})
	background.Go(func() {
		finite.Wait()
		close(ended)
	})
	r.awaitEnd(ctx, began, ended)
}

// awaitEnd waits for the scenario's duration, over which services are watched, and then until ended is
// closed, since the jobs that end by themselves have ended, or the time to settle is over.
func (r *run) awaitEnd(ctx context.Context, began time.Time, ended <-chan struct{}) {
	until := func(seconds float64) time.Duration { return time.Until(began.Add(wait.Seconds(seconds))) }
	if !wait.For(ctx, until(r.scenario.DurationS)) {
		return
	}
	settle := time.NewTimer(until(r.scenario.DurationS + r.scenario.SettleS))
	defer settle.Stop()
	select {
	case <-ended:
	case <-settle.C:
	case <-ctx.Done():
	}
}
