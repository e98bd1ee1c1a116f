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

// Options holds the parameters of a run.
type Options struct {
	Program    string // path of the executable of the nodes
	Dir        string // directory for settings, logs and results
	Seed       uint64
	Settings   string       // path of a file with operators' settings; none if empty
	LogLevel   string       // value of LOG_LEVEL for the nodes
	OnProgress func(string) // called with each line of progress output; may be nil
	OnStatus   func(Status) // called with the status of the run every statusInterval; may be nil

	wrap func(http.RoundTripper) http.RoundTripper // wraps the HTTP transport of the users, for tests; may be nil
}

// progress is called with each line of progress output. A nil progress discards them.
type progress func(line string)

func (p progress) logf(format string, args ...any) {
	if p != nil {
		p(fmt.Sprintf(format, args...))
	}
}

// run is one execution of a scenario on a cluster.
type run struct {
	scenario  *Scenario
	opt       Options
	progress  progress
	jobs      []plannedJob
	history   *history
	harness   *harness
	cluster   *cluster.Cluster
	users     *users
	startedAt int64 // when the run began, in microseconds of the clock of the emulated services
}

// readyTimeout bounds the wait for all nodes of a started cluster to become ready.
const readyTimeout = 60 * time.Second

// Run executes a scenario on a new cluster and saves the result and the history in Options.Dir. It returns
// an error if the cluster does not start, ctx ends, or the result can't be evaluated or saved. A failure of
// the scenario is no error: the result is returned with Passed false.
func Run(ctx context.Context, s *Scenario, opt Options) (*Result, error) {
	if err := os.MkdirAll(opt.Dir, 0o700); err != nil {
		return nil, err
	}
	r := &run{
		scenario: s,
		opt:      opt,
		progress: opt.OnProgress,
		jobs:     s.plan(opt.Seed),
		history:  &history{},
		harness:  newHarness(),
	}
	clusterOptions := s.clusterOptions(&opt)
	clusterOptions.OnEvent = r.history.record
	clusterOptions.OnFailure = r.harness.recordConnectionError
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
	r.startedAt = c.Servers.Now()
	r.progress.logf("%d nodes ready; submitting %d jobs over %.0f s", len(c.Nodes), len(r.jobs), s.DurationS)
	r.execute(ctx, began)
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("run interrupted: %w", err)
	}
	res, err := r.result()
	if err != nil {
		return nil, err
	}
	res.ElapsedS = time.Since(began).Seconds()
	return res, save(opt.Dir, res, r.history.eventsFrom(0))
}

// execute submits the jobs, injects the faults at their times, and waits for the jobs to end. All
// goroutines that it starts have ended when it returns.
func (r *run) execute(ctx context.Context, began time.Time) {
	ctx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup // goroutines that run until stop, including users of services
	var finite sync.WaitGroup     // users of all other jobs
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
	r.users.client.OnError = r.harness.recordConnectionError
	background.Go(func() { r.users.probeNodes(ctx) })
	background.Go(func() { r.users.pollUnknown(ctx) })
	injector := newFaultInjector(r.cluster, r.scenario, r.history, r.harness, r.progress)
	background.Go(func() { injector.injectAll(ctx, began) })
	if r.opt.OnStatus != nil {
		w := newWatcher(r.scenario, r.jobs, r.history, r.cluster, r.users)
		background.Go(func() {
			wait.Every(ctx, statusInterval, func() { r.opt.OnStatus(w.status(time.Since(began))) })
		})
	}
	if !r.users.submitAll(ctx, began, r.jobs, &finite, &background) {
		return
	}
	r.progress.logf("all jobs submitted")
	ended := make(chan struct{})
	background.Go(func() {
		finite.Wait()
		close(ended)
	})
	r.awaitEnd(ctx, began, ended)
}

// awaitEnd waits for the duration of the scenario, over which services are observed. It then waits until
// ended is closed, after all jobs but services have ended, or until SettleS is over.
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
