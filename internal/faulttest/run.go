package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"coralhub/internal/cluster"
	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/emulator"
	"coralhub/internal/invariants"
	"coralhub/internal/process"
	"coralhub/internal/wait"
	"coralhub/wire"
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

// Mark is the beginning or the end of a fault in a run.
type Mark struct {
	At   float64 `json:"at_s"` // seconds since the run began
	What string  `json:"what"`
}

// run is one play of a scenario on a cluster.
type run struct {
	scenario *Scenario
	opt      Options
	cluster  *cluster.Cluster
	users    *users
	jobs     []plannedJob
	from     int64 // when it began, in microseconds of the emulated services

	mu         sync.Mutex
	events     []invariants.Event
	marks      []Mark
	harnessErr error // the first failure of the harness itself, as opposed to the service under test

	outOfFiles atomic.Bool   // this process could not open all the files it had to: the history proves nothing
	aborted    chan struct{} // is closed when outOfFiles is set
}

// outOfFilesError is the failure of a run whose own process may open no more files.
type outOfFilesError struct{ limit int }

func (e *outOfFilesError) Error() string {
	return fmt.Sprintf("this process has run out of files: it may open %d; play fewer machines at a time", e.limit)
}

func (r *run) logf(format string, args ...any) {
	if r.opt.Say != nil {
		r.opt.Say(fmt.Sprintf(format, args...))
	}
}

func (r *run) record(e invariants.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// now is the time of the emulated services, in microseconds.
func (r *run) now() int64 { return r.cluster.Servers.Now() }

// harnessFailed notes the first error of the harness itself; a nil error is none.
func (r *run) harnessFailed(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.harnessErr == nil {
		r.harnessErr = err
	}
}

// connectionFailed is called with the reason why a connection of this process was not made. Once
// the process can open no more files, its users and workers fall silent by themselves, and the
// service must not be blamed for what follows: the run is aborted.
func (r *run) connectionFailed(err error) {
	if !process.OutOfFiles(err) || r.outOfFiles.Swap(true) {
		return
	}
	limit, _ := process.FileLimit() // 0 if it is unknown
	r.harnessFailed(&outOfFilesError{limit})
	close(r.aborted)
}

// leader names the node that holds the leader lease; "" if none does.
func (r *run) leader() string {
	var lease election.LeaseRecord
	var raw []byte
	r.cluster.Servers.With(func() { raw = r.cluster.Servers.State.Get(leaderKey).Value })
	if len(raw) == 0 || msgpack.Unmarshal(raw, &lease) != nil {
		return ""
	}
	return lease.Node
}

// leaderKey is the key of the leader lease in the state service.
const leaderKey = "ch/leader"

// deployment is the deployment of the scenario as the platform describes it to the nodes.
func (r *run) deployment() config.Cluster {
	d := &r.scenario.Deploy
	c := config.Cluster{
		Size:   d.Nodes,
		Zones:  d.Zones,
		SkewMS: 25,
		Workers: config.Workers{
			ReportS: d.ReportS, LeaseS: d.LeaseS, GangWaitS: 20, GangPeerS: 3, CancelS: d.CancelS,
		},
		State:  config.State{RPS: d.RPS, WriteRPS: d.WriteRPS, ValueKB: 8, TxnOps: 12},
		Cloud:  config.Cloud{RPS: 8, ListLagS: d.ListLagS},
		Limits: config.Limits{Cores: 1, MemoryMB: 512, MaxConnections: 4000},
	}
	for _, name := range r.scenario.teams() {
		c.Teams = append(c.Teams, config.Team{Name: name, GPUs: d.Guaranteed, GPUsMax: d.TeamGPUs})
	}
	return c
}

// teams lists the teams of the classes, in the order of their first class.
func (s *Scenario) teams() []string {
	var teams []string
	for _, c := range s.Classes {
		if !slices.Contains(teams, c.Team) {
			teams = append(teams, c.Team)
		}
	}
	return teams
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
	r := &run{scenario: s, opt: opt, jobs: s.plan(opt.Seed), aborted: make(chan struct{})}
	c, err := cluster.Start(r.clusterOptions())
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
	r.uploadJobs()
	began := time.Now()
	r.from = r.now()
	r.logf("%d nodes serve; %d jobs over %.0f s", len(c.Nodes), len(r.jobs), s.DurationS)
	r.play(ctx, began)
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("interrupted: %w", err)
	}
	res := r.result()
	res.TookS = time.Since(began).Seconds()
	return res, r.save(res)
}

// clusterOptions says what cluster the scenario needs.
func (r *run) clusterOptions() cluster.Options {
	d := &r.scenario.Deploy
	return cluster.Options{
		Program:      r.opt.Program,
		Dir:          r.opt.Dir,
		Nodes:        d.Nodes,
		Settings:     r.opt.Settings,
		Log:          r.opt.Log,
		Cluster:      r.deployment(),
		Capacity:     emulator.CapacityByZone(d.Machines, d.Zones),
		Boot:         config.FromSeconds(d.BootS),
		Watch:        r.record,
		Failed:       r.connectionFailed,
		RestartAfter: wait.Seconds(d.RestartAfterS),
		Types: []wire.MachineType{{
			Name: "m", CPUs: 16 * d.GPUs, GPUs: d.GPUs, MemoryGB: 64 * d.GPUs, CacheGB: 500, FetchGBs: 0.4,
			Price: 4, SpotPrice: 2, BootS: d.BootS, Zones: d.Zones,
		}},
		Model: &emulator.Model{
			Rand:         rand.New(rand.NewPCG(r.opt.Seed, 1)),
			BootSpread:   0.3,
			BootNever:    d.BootNeverShare,
			ListLag:      config.FromSeconds(d.ListLagS),
			Speed:        d.SpeedSpread,
			SpotCapacity: emulator.CapacityByZone(d.Spot, d.Zones),
			BootTimes:    1,
		},
	}
}

// uploadJobs hands the descriptions of all jobs to the workers, as users do before they submit.
func (r *run) uploadJobs() {
	s := r.cluster.Servers
	s.With(func() {
		for i := range r.jobs {
			p := &r.jobs[i]
			s.Environment.Jobs[p.job.ID] = &emulator.SubmittedJob{Job: p.job, Run: p.run}
		}
	})
}

// play submits the jobs and injects the faults at their times, and waits for jobs to end. When it
// returns, all its goroutines have ended.
func (r *run) play(ctx context.Context, began time.Time) {
	ctx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup // what goes on until stop, and users of services
	var finite sync.WaitGroup     // users whose jobs end by themselves
	background.Go(func() {
		select {
		case <-r.aborted:
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
	r.users = newUsers(r.cluster, r.record, r.now, r.opt.wrap)
	r.users.client.Failed = r.connectionFailed
	background.Go(func() { r.users.balance(ctx) })
	background.Go(func() { r.users.pollUnknown(ctx) })
	background.Go(func() { r.injectFaults(ctx, began) })
	if r.opt.Watch != nil {
		background.Go(func() { r.watch(ctx, began) })
	}
	if !r.submitJobs(ctx, began, &finite, &background) {
		return
	}
	r.logf("no more jobs come")
	ended := make(chan struct{})
	background.Go(func() {
		finite.Wait()
		close(ended)
	})
	r.awaitEnd(ctx, began, ended)
}

// submitJobs starts the user of each job at its time, of services in the group of services and
// of all others in finite. It returns false if ctx ends before.
func (r *run) submitJobs(ctx context.Context, began time.Time, finite, services *sync.WaitGroup) bool {
	for i := range r.jobs {
		p := &r.jobs[i]
		due := began.Add(p.at)
		if !wait.For(ctx, time.Until(due)) {
			return false
		}
		group := finite
		if p.class.isService() {
			group = services
		}
		group.Go(func() { r.users.follow(ctx, p, due) })
	}
	return true
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
