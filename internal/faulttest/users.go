package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"coralhub/internal/cluster"
	"coralhub/internal/emulator"
	"coralhub/internal/invariants"
	"coralhub/internal/jobclient"
	"coralhub/internal/wait"
	"coralhub/wire"
)

const (
	// unknownPollInterval is how often a user polls for a job that nobody has submitted.
	unknownPollInterval = 3 * time.Second
	// probeInterval is how often the balancer probes a node, and probesToSwitch how many
	// probes in a row must agree for a node to change between healthy and unhealthy.
	probeInterval  = time.Second
	probesToSwitch = 2
)

// users submits jobs, polls for them and cancels them, through a load balancer that knows which
// nodes are healthy.
type users struct {
	cluster *cluster.Cluster
	record  func(invariants.Event)
	now     func() emulator.Micros // the time of the emulated services
	client  *jobclient.Client

	mu      sync.Mutex
	healthy []bool                // by node
	stats   map[string]*userStats // by class
	decided map[string]*decision  // by job
}

// decision is the answer to the submission of a job, for the jobs that depend on it.
type decision struct {
	known    chan struct{} // is closed once accepted is set
	accepted bool
}

// decision returns the decision on a job, which may not be known yet.
func (u *users) decision(id string) *decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.decided[id] == nil {
		u.decided[id] = &decision{known: make(chan struct{})}
	}
	return u.decided[id]
}

// awaitDependencies waits until all the jobs that a job depends on are accepted: the service refuses a
// job that names another which was not. It returns false if one is refused or ctx ends.
func (u *users) awaitDependencies(ctx context.Context, j *wire.Job) bool {
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

// userStats is what the users of a class have experienced.
type userStats struct {
	Submitted, Accepted int
	latencies           []time.Duration // from the planned submission to the acceptance
	Errors              map[string]int  // by the HTTP status of the answer
}

// newUsers returns the users of a cluster. record takes what they see, and wrap, if not nil, wraps their
// transport.
func newUsers(
	c *cluster.Cluster, record func(invariants.Event), wrap func(http.RoundTripper) http.RoundTripper,
) *users {
	var transport http.RoundTripper = &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute}
	if wrap != nil {
		transport = wrap(transport)
	}
	u := &users{
		cluster: c,
		record:  record,
		now:     c.Servers.Now,
		healthy: make([]bool, len(c.Nodes)),
		stats:   map[string]*userStats{},
		decided: map[string]*decision{},
	}
	u.client = &jobclient.Client{
		HTTP:     &http.Client{Transport: transport},
		PickNode: func() string { return u.pickNode().Users.Addr() },
	}
	return u
}

// balance probes the health of the nodes until ctx ends.
func (u *users) balance(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range u.cluster.Nodes {
		wg.Go(func() { u.probeNode(ctx, i) })
	}
	wg.Wait()
}

// probeNode probes a node until ctx ends. A node whose first probe succeeds is healthy at once.
func (u *users) probeNode(ctx context.Context, i int) {
	failures, successes := 0, 1
	probe := func() {
		if u.cluster.Nodes[i].Ready(ctx, u.client.HTTP) {
			failures = 0
			successes++
		} else {
			failures++
			successes = 0
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		switch {
		case successes >= probesToSwitch:
			u.healthy[i] = true
		case failures >= probesToSwitch:
			u.healthy[i] = false
		}
	}
	probe()
	wait.Every(ctx, probeInterval, probe)
}

// pickNode picks a node for a connection at random: a healthy one, if there is any.
func (u *users) pickNode() *cluster.Node {
	u.mu.Lock()
	defer u.mu.Unlock()
	var candidates []*cluster.Node
	for i, n := range u.cluster.Nodes {
		if u.healthy[i] {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		candidates = u.cluster.Nodes
	}
	return candidates[rand.IntN(len(candidates))]
}

func (u *users) isHealthy(i int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.healthy[i]
}

// pollUnknown polls for jobs that nobody has submitted, until ctx ends: the service must not know them.
func (u *users) pollUnknown(ctx context.Context) {
	wait.Every(ctx, unknownPollInterval, func() {
		id := fmt.Sprintf("j-9%08d", rand.IntN(1e8))
		if a := u.client.Poll(ctx, id); ctx.Err() == nil {
			u.recordAnswer(id, invariants.ByPoll, &a)
		}
	})
}

// updateStats calls f on the statistics of a class, which it must not keep.
func (u *users) updateStats(class string, f func(*userStats)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.stats[class]
	if s == nil {
		s = &userStats{Errors: map[string]int{}}
		u.stats[class] = s
	}
	f(s)
}

// statsOf returns the statistics of a class. Its users have ended.
func (u *users) statsOf(class string) userStats {
	var stats userStats
	u.updateStats(class, func(s *userStats) { stats = *s })
	return stats
}

func (u *users) recordAnswer(id, via string, a *jobclient.Answer) {
	u.record(invariants.Event{At: u.now(), Kind: invariants.Answered, Job: id, Via: via, Status: a.Status, Said: a.Job.Status})
}

// uploadJobs hands the descriptions of all jobs to the workers, as users do before they submit.
func uploadJobs(servers *emulator.Servers, jobs []plannedJob) {
	servers.With(func() {
		for i := range jobs {
			p := &jobs[i]
			servers.Environment.Jobs[p.job.ID] = &emulator.SubmittedJob{Job: p.job, Run: p.run}
		}
	})
}

// submitAll starts the user of each job at its time, of services in the group of services and
// of all others in finite. It returns false if ctx ends before.
func (u *users) submitAll(ctx context.Context, began time.Time, jobs []plannedJob, finite, services *sync.WaitGroup) bool {
	for i := range jobs {
		p := &jobs[i]
		due := began.Add(p.at)
		if !wait.For(ctx, time.Until(due)) {
			return false
		}
		group := finite
		if p.class.isService() {
			group = services
		}
		group.Go(func() { u.follow(ctx, p, due) })
	}
	return true
}

// follow is a user with one job: it submits the job, polls until it is over, and cancels it if that
// is planned. due is when the job was to be submitted.
func (u *users) follow(ctx context.Context, p *plannedJob, due time.Time) {
	raw, err := wire.Marshal(&p.job)
	if err != nil {
		return
	}
	if len(p.job.Needs) > 0 {
		if !u.awaitDependencies(ctx, &p.job) {
			u.decide(p.job.ID, false)
			return
		}
		due = latest(due, time.Now())
	}
	u.record(invariants.Event{At: u.now(), Kind: invariants.JobSubmitted, Job: p.job.ID, Spec: specOf(&p.job)})
	u.updateStats(p.class.Name, func(s *userStats) { s.Submitted++ })
	accepted := u.request(ctx, p, invariants.BySubmit, http.MethodPost, wire.PathJobs, raw)
	u.decide(p.job.ID, accepted)
	if !accepted {
		return
	}
	u.updateStats(p.class.Name, func(s *userStats) {
		s.Accepted++
		s.latencies = append(s.latencies, time.Since(due)) // since the planned time: a slow answer delays no other submission
	})
	polled := func(a *jobclient.Answer) { u.recordAnswer(p.job.ID, invariants.ByPoll, a) }
	cancel := func() {
		u.record(invariants.Event{At: u.now(), Kind: invariants.CancelRequested, Job: p.job.ID})
		u.request(ctx, p, invariants.ByCancel, http.MethodPost, wire.PathJobs+"/"+p.job.ID+"/"+wire.CancelVerb, nil)
	}
	u.client.Follow(ctx, p.job.ID, p.cancelIn, polled, cancel)
}

// decide publishes whether a job was accepted. It is called once a job.
func (u *users) decide(id string, accepted bool) {
	d := u.decision(id)
	d.accepted = accepted
	close(d.known)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// request repeats a request until it is accepted or refused for good, and records each answer. It
// reports whether it was accepted.
func (u *users) request(ctx context.Context, p *plannedJob, via, method, path string, body []byte) bool {
	return u.client.Repeat(ctx, method, path, body, func(a *jobclient.Answer) {
		u.recordAnswer(p.job.ID, via, a)
		if !a.Accepted() {
			u.updateStats(p.class.Name, func(s *userStats) { s.Errors[strconv.Itoa(a.Status)]++ })
		}
	})
}

// specOf is what the invariants need to know of a job.
func specOf(j *wire.Job) *invariants.Spec {
	return &invariants.Spec{
		Team:    j.Team,
		Tasks:   j.Tasks,
		CPUs:    j.CPUs,
		GPUs:    j.GPUs,
		Types:   j.Types,
		Zone:    j.Zone,
		OneZone: j.OneZone,
		Spread:  j.Spread,
		Spot:    j.Spot,
		Needs:   j.Needs,
	}
}
