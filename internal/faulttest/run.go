package faulttest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/vmihailenco/msgpack/v5"

	"coralhub/internal/cluster"
	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/emulator"
	"coralhub/internal/invariants"
	"coralhub/internal/process"
	"coralhub/internal/quantile"
	"coralhub/internal/wait"
	"coralhub/wire"
)

// Options say how a scenario is played.
type Options struct {
	Program  string
	Dir      string // for settings, logs and results
	Seed     uint64
	Settings string
	Log      string
	Say      func(string) // a line about what happens; nil: nothing is said
	Watch    func(Status) // how the run stands, now and then; nil: nobody asks

	wrap func(http.RoundTripper) http.RoundTripper // for tests: what users are told by way of
}

// Mark is a moment of a run, in seconds.
type Mark struct {
	At   float64 `json:"at_s"`
	What string  `json:"what"`
}

// Finding is an expectation, and what came of it.
type Finding struct {
	Expect string  `json:"expect"`
	Found  float64 `json:"found"`
	Of     int     `json:"of"`
	Met    bool    `json:"met"`
}

// ClassResult is how a class fared.
type ClassResult struct {
	Class     string         `json:"class"`
	Submitted int            `json:"submitted"`
	Accepted  int            `json:"accepted"`
	Started   int            `json:"started"`
	Done      int            `json:"done"`
	Cancelled int            `json:"cancelled"`
	SubmitMS  quantile.Times `json:"submit_ms"`
	StartS    quantile.Times `json:"start_s"`
	DoneS     quantile.Times `json:"done_s"`
	Errors    map[string]int `json:"errors,omitempty"`
}

// Result is what came of a run.
type Result struct {
	Scenario      string                 `json:"scenario"`
	About         string                 `json:"about"`
	Seed          uint64                 `json:"seed"`
	Passed        bool                   `json:"passed"`
	Why           string                 `json:"why,omitempty"`
	TookS         float64                `json:"took_s"`
	Machines      int                    `json:"machines_rented"`
	Violations    []invariants.Violation `json:"rules_broken"`
	Findings      []Finding              `json:"findings"`
	Classes       []ClassResult          `json:"classes"`
	StartedInTime StartedInTime          `json:"served"`
	Nodes         []cluster.NodeUsage    `json:"nodes"`
	Requests      int                    `json:"state_requests"`
	Refused       int                    `json:"state_refused"`
	Changes       uint64                 `json:"state_changes"`
	Marks         []Mark                 `json:"faults"`
	Load          []Second               `json:"load"`
}

// Second is what happened in one second.
type Second struct {
	Submitted int `json:"submitted"`
	Started   int `json:"started"` // tasks
	Done      int `json:"done"`    // tasks
	On        int `json:"on"`      // tasks on machines at its end
}

type run struct {
	scenario *Scenario
	opt      Options
	cluster  *cluster.Cluster
	users    *users
	jobs     []planned
	from     int64 // when it began

	mu     sync.Mutex
	events []invariants.Event
	marks  []Mark
	broke  error // the rehearsal itself, not the service

	outOfFiles atomic.Bool   // this process could not open all that it was to: what it saw proves nothing
	over       chan struct{} // closed then
}

func (r *run) say(format string, args ...any) {
	if r.opt.Say != nil {
		r.opt.Say(fmt.Sprintf(format, args...))
	}
}

func (r *run) record(e invariants.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

func (r *run) now() int64 { return r.cluster.Servers.Now() }

// failed notes that the rehearsal itself could not do what it was to do.
func (r *run) failed(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.broke == nil {
		r.broke = err
	}
}

// connectionFailed hears why a connection of this process was not made. With no more files to
// open, users and workers of the rehearsal fall silent by themselves, and the service is not to be
// blamed for what comes of that.
func (r *run) connectionFailed(err error) {
	if !process.OutOfFiles(err) || r.outOfFiles.Swap(true) {
		return
	}
	limit, _ := process.FileLimit() // 0 if it can't be told
	r.failed(fmt.Errorf("this process has run out of files: it may open %d; play fewer machines at a time", limit))
	close(r.over)
}

// leader names the node that holds the claim; "" if none does.
func (r *run) leader() string {
	var holder election.LeaseRecord
	var raw []byte
	r.cluster.Servers.With(func() { raw = r.cluster.Servers.State.Get("ch/leader").Value })
	if len(raw) == 0 || msgpack.Unmarshal(raw, &holder) != nil {
		return ""
	}
	return holder.Node
}

// deploy is the deployment as the platform describes it.
func (r *run) deploy() config.Cluster {
	d := &r.scenario.Deploy
	c := config.Cluster{Size: d.Nodes, Zones: d.Zones, SkewMS: 25,
		Workers: config.Workers{ReportS: d.ReportS, LeaseS: d.LeaseS, GangWaitS: 20, GangPeerS: 3, CancelS: d.CancelS},
		State:   config.State{RPS: d.RPS, WriteRPS: d.WriteRPS, ValueKB: 8, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 8, ListLagS: d.ListLagS},
		Limits:  config.Limits{Cores: 1, MemoryMB: 512, MaxConnections: 4000},
	}
	for _, name := range r.scenario.teams() {
		c.Teams = append(c.Teams, config.Team{Name: name, GPUs: d.Guaranteed, GPUsMax: d.TeamGPUs})
	}
	return c
}

func (s *Scenario) teams() []string {
	var out []string
	for _, c := range s.Classes {
		if !slices.Contains(out, c.Team) {
			out = append(out, c.Team)
		}
	}
	return out
}

// readyWithin is how long a cluster may take until every node serves.
const readyWithin = 60 * time.Second

// Run plays a scenario.
func Run(ctx context.Context, s *Scenario, opt Options) (*Result, error) {
	if err := os.MkdirAll(opt.Dir, 0o700); err != nil {
		return nil, err
	}
	r := &run{scenario: s, opt: opt, jobs: s.plan(opt.Seed), over: make(chan struct{})}
	d := &s.Deploy
	capacity, spot := map[string]int{}, map[string]int{}
	for i, z := range d.Zones {
		capacity[z] = share(d.Machines, len(d.Zones), i)
		spot[z] = share(d.Spot, len(d.Zones), i)
	}
	c, err := cluster.Start(cluster.Options{Program: opt.Program, Dir: opt.Dir, Nodes: d.Nodes, Settings: opt.Settings, Log: opt.Log,
		Cluster: r.deploy(), Capacity: capacity, Boot: config.FromSeconds(d.BootS), Watch: r.record, Failed: r.connectionFailed,
		RestartAfter: time.Duration(d.RestartAfterS * 1e9),
		Types: []wire.MachineType{{Name: "m", CPUs: 16 * d.GPUs, GPUs: d.GPUs, MemoryGB: 64 * d.GPUs, CacheGB: 500, FetchGBs: 0.4, Price: 4, SpotPrice: 2,
			BootS: d.BootS, Zones: d.Zones}},
		Model: &emulator.Model{Rand: rand.New(rand.NewPCG(opt.Seed, 1)), BootSpread: 0.3, BootNever: d.BootNeverShare,
			ListLag: config.FromSeconds(d.ListLagS), Speed: d.SpeedSpread, SpotCapacity: spot, BootTimes: 1}})
	if err != nil {
		return nil, err
	}
	r.cluster = c
	defer c.Close()
	ready, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if err := c.AwaitReady(ready); err != nil {
		return nil, err
	}
	c.Servers.With(func() { // users upload their jobs' descriptions before they submit
		for i := range r.jobs {
			p := &r.jobs[i]
			c.Servers.Environment.Jobs[p.job.ID] = &emulator.SubmittedJob{Job: p.job, Run: p.run}
		}
	})
	began := time.Now()
	from := r.now()
	r.from = from
	r.say("%d nodes serve; %d jobs over %.0f s", len(c.Nodes), len(r.jobs), s.DurationS)
	r.play(ctx, began)
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("interrupted: %w", err)
	}
	res := r.result(from)
	res.TookS = time.Since(began).Seconds()
	return res, r.save(res)
}

// share is what the i-th of n gets of a whole.
func share(whole, n, i int) int {
	out := whole / n
	if i < whole%n {
		out++
	}
	return out
}

// play has everything come at its time, and waits for jobs to end.
func (r *run) play(ctx context.Context, began time.Time) {
	ctx, stop := context.WithCancel(ctx)
	var wg, open sync.WaitGroup // open: users whose jobs end by themselves
	wg.Go(func() {
		select {
		case <-r.over:
			stop()
		case <-ctx.Done():
		}
	})
	defer func() {
		stop()
		open.Wait()
		wg.Wait()
		r.users.ask.HTTP.CloseIdleConnections()
	}()
	r.users = newUsers(r.cluster, r.record, r.now, r.opt.wrap)
	r.users.ask.Failed = r.connectionFailed
	wg.Go(func() { r.users.balance(ctx) })
	wg.Go(func() { r.users.submitUnknown(ctx) })
	wg.Go(func() { r.injectDegradation(ctx, began) })
	if r.opt.Watch != nil {
		wg.Go(func() { r.watch(ctx, began) })
	}
	for i := range r.jobs {
		p := &r.jobs[i]
		due := began.Add(p.at)
		if !wait.For(ctx, time.Until(due)) {
			return
		}
		follow := &wg
		if p.class.Shape != "service" {
			follow = &open
		}
		follow.Go(func() { r.users.follow(ctx, p, due) })
	}
	r.say("no more jobs come")
	ended := make(chan struct{})
	go func() {
		open.Wait()
		close(ended)
	}()
	until := func(s float64) time.Duration { return time.Until(began.Add(time.Duration(s * 1e9))) }
	if !wait.For(ctx, until(r.scenario.DurationS)) { // services are watched until then
		return
	}
	last := time.NewTimer(until(r.scenario.DurationS + r.scenario.SettleS))
	defer last.Stop()
	select {
	case <-ended:
	case <-last.C:
	case <-ctx.Done():
	}
}

// quantiles are read from a histogram of values in seconds.
func quantiles(values []float64, parts float64) quantile.Times {
	h := hdrhistogram.New(1, 24*3600*1_000_000, 3) // microseconds
	for _, v := range values {
		_ = h.RecordValue(min(max(int64(v*1e6), 1), 24*3600*1_000_000)) // within its bounds
	}
	return quantile.Of(h, parts)
}

// jobOutcome is what came of a job, in seconds of the run.
type jobOutcome struct {
	planned                      *planned
	submitted, accepted, started float64
	done                         float64
	on, finished                 map[int]bool
	upFor                        float64 // replica seconds
	cancelled                    bool
}

func (r *run) jobOutcomes(from int64) map[string]*jobOutcome {
	out := map[string]*jobOutcome{}
	for i := range r.jobs {
		out[r.jobs[i].job.ID] = &jobOutcome{planned: &r.jobs[i], submitted: -1, accepted: -1, started: -1, done: -1, on: map[int]bool{}, finished: map[int]bool{}}
	}
	since := map[string]map[int]float64{}
	for _, e := range r.events {
		f := out[e.Job]
		if f == nil {
			continue
		}
		at := float64(e.At-from) / 1e6
		switch e.Kind {
		case invariants.JobSubmitted:
			f.submitted = at
		case invariants.Answered:
			if e.Status == 200 || e.Status == 201 {
				if f.accepted < 0 {
					f.accepted = at
				}
				f.cancelled = f.cancelled || e.Said == wire.Cancelled
			}
		case invariants.TaskStarted:
			f.on[e.Task] = true
			if f.started < 0 && len(f.on) >= r.atOnce(f.planned) {
				f.started = at
			}
			if since[e.Job] == nil {
				since[e.Job] = map[int]float64{}
			}
			since[e.Job][e.Task] = at
		case invariants.TaskStopped:
			if began, ok := since[e.Job][e.Task]; ok {
				f.upFor += at - began
				delete(since[e.Job], e.Task)
			}
		case invariants.TaskDone:
			if f.finished[e.Task] = true; len(f.finished) == f.planned.job.Tasks {
				f.done = at
			}
		}
	}
	end := float64(r.now()-from) / 1e6
	for id, tasks := range since {
		for _, began := range tasks {
			out[id].upFor += end - began
		}
	}
	return out
}

// atOnce is how many tasks a job has to have on machines to count as started.
func (r *run) atOnce(p *planned) int {
	n := p.job.Tasks
	if limit := r.scenario.Deploy.TeamGPUs; limit > 0 && p.job.GPUs > 0 && p.class.Shape != "gang" {
		n = min(n, int(limit/p.job.GPUs))
	}
	return max(n, 1)
}

func (r *run) result(from int64) *Result {
	d := &r.scenario.Deploy
	res := &Result{Scenario: r.scenario.Name, About: r.scenario.About, Seed: r.opt.Seed, Nodes: r.cluster.Use(), Violations: []invariants.Violation{}}
	r.cluster.Servers.With(func() {
		s := r.cluster.Servers
		res.Machines, res.Requests, res.Refused, res.Changes = s.Environment.Rented, s.Requests, s.Refused, s.State.Revision()
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	terms := invariants.Rules{CancelIn: config.FromSeconds(d.CancelS), Silence: 90 * config.Second, Settled: from + config.FromSeconds(r.scenario.settled()),
		Unanswered: 75 * config.Second, Teams: map[string]invariants.Limit{}}
	for _, name := range r.scenario.teams() {
		terms.Teams[name] = invariants.Limit{GPUs: d.TeamGPUs}
	}
	if !r.outOfFiles.Load() {
		res.Violations = append(res.Violations, invariants.Check(terms, r.events)...)
	}
	fates := r.jobOutcomes(from)
	end := float64(r.now()-from) / 1e6
	for i := range r.scenario.Expect {
		res.Findings = append(res.Findings, r.find(&r.scenario.Expect[i], fates, end))
	}
	for i := range r.scenario.Classes {
		res.Classes = append(res.Classes, r.classResult(&r.scenario.Classes[i], fates))
	}
	res.StartedInTime, _ = r.served(fates, end, beginWithin)
	res.Marks, res.Load = r.marks, r.load(from)
	for i := range res.Marks {
		res.Marks[i].At -= float64(from) / 1e6
	}
	switch {
	case r.broke != nil:
		res.Why = "the rehearsal itself: " + r.broke.Error()
	case len(res.Violations) > 0:
		res.Why = fmt.Sprintf("%d rules broken, first %s", len(res.Violations), res.Violations[0])
	}
	for _, f := range res.Findings {
		if !f.Met && res.Why == "" {
			res.Why = fmt.Sprintf("%s: %.3f of %d", f.Expect, f.Found, f.Of)
		}
	}
	res.Passed = res.Why == ""
	return res
}

// find holds an expectation against what came of the jobs.
func (r *run) find(e *Expect, fates map[string]*jobOutcome, end float64) Finding {
	what := e.Kind
	if e.Class != "" {
		what = e.Class + " " + e.Kind
	}
	if e.WithinS > 0 {
		what += fmt.Sprintf(" within %g s", e.WithinS)
	}
	f := Finding{Expect: fmt.Sprintf("%s at least %g", what, e.Share)}
	if e.Kind == "served" {
		within := e.WithinS
		if within == 0 {
			within = beginWithin
		}
		served, of := r.served(fates, end, within)
		f.Found, f.Of = served.least(e.Class), of
		f.Met = f.Found >= e.Share-1e-9
		return f
	}
	good, weight := 0.0, 0.0
	inTime := func(at, since float64) bool { return at >= 0 && (e.WithinS == 0 || at-since <= e.WithinS) }
	for _, x := range fates {
		if e.Class != "" && x.planned.class.Name != e.Class || x.submitted < 0 {
			continue
		}
		planned := x.planned.at.Seconds()
		service := x.planned.class.Shape == "service"
		count, ok := 1.0, false
		switch e.Kind {
		case "accepted":
			ok = inTime(x.accepted, planned)
		case "started":
			if x.cancelled && x.started < 0 || end-planned < e.WithinS {
				continue
			}
			ok = inTime(x.started, planned)
		case "done":
			if x.cancelled || service || end-planned < e.WithinS {
				continue
			}
			ok = inTime(x.done, planned)
		case "deadline":
			if x.cancelled || x.planned.job.DeadlineS == nil {
				continue
			}
			ok = x.done >= 0 && x.done-planned <= *x.planned.job.DeadlineS
		case "ended":
			if service {
				continue
			}
			ok = x.done >= 0 || x.cancelled
		case "up":
			if !service || x.cancelled {
				continue
			}
			count = float64(x.planned.job.Tasks) * max(end-planned-e.WithinS, 0)
			good += min(x.upFor, count)
			weight += count
			f.Of++
			continue
		}
		f.Of++
		weight += count
		if ok {
			good += count
		}
	}
	if weight > 0 {
		f.Found = good / weight
	}
	f.Met = weight == 0 && e.Share == 0 || weight > 0 && f.Found >= e.Share-1e-9
	return f
}

func (r *run) classResult(c *Class, fates map[string]*jobOutcome) ClassResult {
	out := ClassResult{Class: c.Name}
	var starts, ends, waits []float64
	r.users.note(c.Name, func(s *userStats) {
		out.Submitted, out.Accepted, out.Errors = s.Submitted, s.Accepted, s.Errors
		for _, w := range s.waits {
			waits = append(waits, w.Seconds())
		}
	})
	for _, x := range fates {
		if x.planned.class != c {
			continue
		}
		if x.started >= 0 {
			out.Started++
			starts = append(starts, x.started-x.planned.at.Seconds())
		}
		if x.done >= 0 {
			out.Done++
			ends = append(ends, x.done-x.planned.at.Seconds())
		}
		if x.cancelled {
			out.Cancelled++
		}
	}
	out.SubmitMS, out.StartS, out.DoneS = quantiles(waits, 1000), quantiles(starts, 1), quantiles(ends, 1)
	return out
}

// load counts what happened in each second.
func (r *run) load(from int64) []Second {
	var out []Second
	on := 0
	for _, e := range r.events {
		i := int((e.At - from) / config.Second)
		if i < 0 || i > 24*3600 {
			continue
		}
		for len(out) <= i {
			out = append(out, Second{On: on})
		}
		switch e.Kind {
		case invariants.JobSubmitted:
			out[i].Submitted++
		case invariants.TaskStarted:
			out[i].Started++
			on++
		case invariants.TaskStopped:
			on--
		case invariants.TaskDone:
			out[i].Done++
		}
		out[i].On = on
	}
	return out
}

// save keeps the result and the history that it was judged by.
func (r *run) save(res *Result) (err error) {
	raw, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(r.opt.Dir, "result.json"), raw, 0o600); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(r.opt.Dir, "events.jsonl"))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	enc := json.NewEncoder(f)
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.events {
		if err := enc.Encode(&r.events[i]); err != nil {
			return err
		}
	}
	return nil
}

// Open reads the result of a run.
func Open(dir string) (*Result, error) {
	raw, err := os.ReadFile(filepath.Join(dir, "result.json"))
	if err != nil {
		return nil, err
	}
	res := &Result{}
	if err := json.Unmarshal(raw, res); err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return res, nil
}
