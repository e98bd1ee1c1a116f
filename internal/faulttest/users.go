package faulttest

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"coralhub/internal/cluster"
	"coralhub/internal/config"
	"coralhub/internal/emulator"
	"coralhub/internal/invariants"
	"coralhub/internal/jobclient"
	"coralhub/internal/wait"
	"coralhub/wire"
)

// unknownEvery is how often somebody asks about a job that nobody has submitted.
const unknownEvery = 3 * time.Second

// planned is a job that comes at a set time.
type planned struct {
	at       time.Duration
	class    *Class
	job      wire.Job
	run      emulator.Micros
	cancelIn time.Duration // after its acceptance; 0: never
}

// plan draws the jobs of a scenario: by the same seed the same ones.
func (s *Scenario) plan(seed uint64) []planned {
	var out []planned
	number := 0
	for k := range s.Classes {
		c := &s.Classes[k]
		rnd := rand.New(rand.NewPCG(seed, uint64(k)+1))
		add := func(at float64) {
			number++
			run := c.RunS * math.Exp(c.RunSpread*rnd.NormFloat64())
			tasks := c.Tasks[0] + rnd.IntN(c.Tasks[1]-c.Tasks[0]+1)
			p := planned{at: time.Duration(at * 1e9), class: c, run: config.FromSeconds(run)}
			p.job = wire.Job{ID: fmt.Sprintf("j-%06d", number), Class: c.Name, Team: c.Team, Shape: wireShape(c.Shape), Priority: wirePriority(c.Priority),
				Tasks: tasks, CPUs: 1, GPUs: c.GPUs, MemoryGB: 4, Image: fmt.Sprintf("%s-%d", c.Name, rnd.IntN(max(c.Images, 1))), ImageGB: c.ImageGB,
				OneZone: c.OneZone, Spread: c.Spread, Spot: c.Spot, CheckpointS: c.CheckpointS, SaveS: min(c.CheckpointS, 1)}
			if c.Shape != "service" {
				p.job.EstimateS = run * math.Exp(0.4*rnd.NormFloat64())
			}
			if c.DueTimes > 0 {
				due := 10 + c.DueTimes*p.job.EstimateS
				p.job.DeadlineS = &due
			}
			if rnd.Float64() < c.Cancelled {
				p.cancelIn = time.Duration((1 + 10*rnd.Float64()) * 1e9)
			}
			out = append(out, p)
		}
		for range c.Initial {
			add(2 * rnd.Float64())
		}
		rate := func(at float64) float64 {
			r := c.RatePerS
			for _, b := range c.Bursts {
				if at >= b.AtS && at < b.AtS+b.ForS {
					r *= b.Factor
				}
			}
			return r
		}
		highest := c.RatePerS
		for _, b := range c.Bursts {
			highest = max(highest, c.RatePerS*b.Factor)
		}
		for at := 0.0; highest > 0; { // arrivals of a varying rate, by thinning
			if at += rnd.ExpFloat64() / highest; at >= s.DurationS {
				break
			}
			if rnd.Float64()*highest < rate(at) {
				add(at)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b planned) int { return int(a.at - b.at) })
	last := map[string]string{}
	for i := range out {
		if n := out[i].class.Needs; n != "" && last[n] != "" {
			out[i].job.Needs = []string{last[n]}
		}
		last[out[i].class.Name] = out[i].job.ID
	}
	return out
}

// wireShape is a class's shape; without one its jobs are arrays.
func wireShape(name string) string {
	if shape, ok := wire.ParseShape(name); ok {
		return shape
	}
	return wire.Array
}

// wirePriority is a class's priority; without one its jobs are of the normal one.
func wirePriority(name string) string {
	if priority, ok := wire.ParsePriority(name); ok {
		return priority
	}
	return wire.Normal
}

// users submits jobs, polls and cancels, through a balancer that knows which nodes are
// healthy.
type users struct {
	c      *cluster.Cluster
	record func(invariants.Event)
	now    func() int64
	ask    *jobclient.Client

	mu      sync.Mutex
	healthy []bool
	stats   map[string]*userStats
	decided map[string]*decision // of jobs that others need
}

// decision is whether a job was accepted, once that is known.
type decision struct {
	known    chan struct{}
	accepted bool
}

func (u *users) decision(id string) *decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.decided[id] == nil {
		u.decided[id] = &decision{known: make(chan struct{})}
	}
	return u.decided[id]
}

// maySubmit waits until all that a job needs was accepted: one that names a job which
// was not is refused. It returns false if that never comes.
func (u *users) maySubmit(ctx context.Context, j *wire.Job) bool {
	for _, id := range j.Needs {
		d := u.decision(id)
		select {
		case <-d.known:
			if !d.accepted {
				return false
			}
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// userStats is what the users of a class have met.
type userStats struct {
	Submitted, Accepted int
	waits               []time.Duration // from the moment planned to the acceptance
	Errors              map[string]int
}

func newUsers(c *cluster.Cluster, record func(invariants.Event), now func() int64, wrap func(http.RoundTripper) http.RoundTripper) *users {
	var transport http.RoundTripper = &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute}
	if wrap != nil {
		transport = wrap(transport)
	}
	u := &users{c: c, record: record, now: now, healthy: make([]bool, len(c.Nodes)), stats: map[string]*userStats{}, decided: map[string]*decision{}}
	u.ask = &jobclient.Client{HTTP: &http.Client{Transport: transport}, PickNode: func() string { return u.node().Users.Addr() }}
	return u
}

// balance probes the nodes until ctx ends.
func (u *users) balance(ctx context.Context) {
	var wg sync.WaitGroup
	for i, n := range u.c.Nodes {
		wg.Go(func() {
			bad, good := 0, 1
			probe := func() {
				if n.Ready(ctx, u.ask.HTTP) {
					bad, good = 0, good+1
				} else {
					bad, good = bad+1, 0
				}
				u.mu.Lock()
				if good >= 2 {
					u.healthy[i] = true
				} else if bad >= 2 {
					u.healthy[i] = false
				}
				u.mu.Unlock()
			}
			probe()
			wait.Every(ctx, time.Second, probe)
		})
	}
	wg.Wait()
}

// node picks a node for a connection: a healthy one, if there is any.
func (u *users) node() *cluster.Node {
	u.mu.Lock()
	defer u.mu.Unlock()
	var good []*cluster.Node
	for i, n := range u.c.Nodes {
		if u.healthy[i] {
			good = append(good, n)
		}
	}
	if len(good) == 0 {
		good = u.c.Nodes
	}
	return good[rand.IntN(len(good))]
}

func (u *users) isHealthy(i int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.healthy[i]
}

// submitUnknown asks about jobs that nobody has submitted, until ctx ends.
func (u *users) submitUnknown(ctx context.Context) {
	wait.Every(ctx, unknownEvery, func() {
		id := fmt.Sprintf("j-9%08d", rand.IntN(1e8))
		if a := u.ask.Poll(ctx, id); ctx.Err() == nil {
			u.told(id, invariants.ByPoll, &a)
		}
	})
}

func (u *users) note(class string, f func(*userStats)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.stats[class]
	if s == nil {
		s = &userStats{Errors: map[string]int{}}
		u.stats[class] = s
	}
	f(s)
}

func (u *users) told(id, via string, a *jobclient.Answer) {
	u.record(invariants.Event{At: u.now(), Kind: invariants.Answered, Job: id, Via: via, Status: a.Status, Said: a.Job.Status})
}

// follow is a user with one job: it submits at its time, polls until the job is over,
// and cancels it if that is planned.
func (u *users) follow(ctx context.Context, p *planned, due time.Time) {
	raw, err := wire.Marshal(&p.job)
	if err != nil {
		return
	}
	if len(p.job.Needs) > 0 {
		if !u.maySubmit(ctx, &p.job) {
			u.decide(p.job.ID, false)
			return
		}
		due = later(due, time.Now())
	}
	u.record(invariants.Event{At: u.now(), Kind: invariants.JobSubmitted, Job: p.job.ID, Spec: specOf(&p.job)})
	u.note(p.class.Name, func(s *userStats) { s.Submitted++ })
	accepted := u.repeat(ctx, p, invariants.BySubmit, http.MethodPost, wire.PathJobs, raw)
	if u.decide(p.job.ID, accepted); !accepted {
		return
	}
	u.note(p.class.Name, func(s *userStats) {
		s.Accepted++
		s.waits = append(s.waits, time.Since(due)) // from the plan: a slow answer delays nobody's arrival
	})
	u.ask.Follow(ctx, p.job.ID, p.cancelIn, func(a *jobclient.Answer) { u.told(p.job.ID, invariants.ByPoll, a) }, func() {
		u.record(invariants.Event{At: u.now(), Kind: invariants.CancelRequested, Job: p.job.ID})
		u.repeat(ctx, p, invariants.ByCancel, http.MethodPost, wire.PathJobs+"/"+p.job.ID+"/"+wire.CancelVerb, nil)
	})
}

func (u *users) decide(id string, accepted bool) {
	d := u.decision(id)
	d.accepted = accepted
	close(d.known)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// repeat makes a request until it is taken, and records what it is told.
func (u *users) repeat(ctx context.Context, p *planned, via, method, path string, body []byte) bool {
	return u.ask.Repeat(ctx, method, path, body, func(a *jobclient.Answer) {
		u.told(p.job.ID, via, a)
		if !a.Accepted() {
			u.note(p.class.Name, func(s *userStats) { s.Errors[strconv.Itoa(a.Status)]++ })
		}
	})
}

func specOf(j *wire.Job) *invariants.Spec {
	return &invariants.Spec{Team: j.Team, Tasks: j.Tasks, CPUs: j.CPUs, GPUs: j.GPUs, Types: j.Types, Zone: j.Zone, OneZone: j.OneZone,
		Spread: j.Spread, Spot: j.Spot, Needs: j.Needs}
}
