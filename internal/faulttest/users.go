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
	// unknownPollInterval is the interval between polls for jobs that were never submitted.
	unknownPollInterval = 3 * time.Second
	// probeInterval is the interval between the load balancer's probes of a node. A node changes between
	// healthy and unhealthy after probesToSwitch equal results in a row.
	probeInterval  = time.Second
	probesToSwitch = 2
)

// users emulates users that submit, poll and cancel jobs through a load balancer that probes the health of
// the nodes.
type users struct {
	cluster *cluster.Cluster
	record  func(invariants.Event)
	now     func() emulator.Micros // clock of the emulated services
	client  *jobclient.Client

	mu      sync.Mutex
	healthy []bool                // by index of the node
	stats   map[string]*userStats // by class
	decided map[string]*decision  // by job
}

// decision is the outcome of the submission of a job, which jobs that depend on it wait for.
type decision struct {
	done     chan struct{} // closed when accepted is set
	accepted bool
}

// decision returns the decision on a job, which may be pending.
func (u *users) decision(id string) *decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.decided[id] == nil {
		u.decided[id] = &decision{done: make(chan struct{})}
	}
	return u.decided[id]
}

// awaitDependencies waits until all jobs that a job depends on are accepted, since the service refuses a
// job with a dependency that was not accepted. It returns false if one of them is refused or ctx ends.
func (u *users) awaitDependencies(ctx context.Context, j *wire.Job) bool {
	for _, id := range j.Dependencies {
		d := u.decision(id)
		select {
		case <-d.done:
			if !d.accepted {
				return false
			}
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// userStats holds the statistics of the users of a class.
type userStats struct {
	Submitted, Accepted int
	latencies           []time.Duration // from the due time of the submission to the acceptance
	Errors              map[string]int  // counts by HTTP status, as text; 0 if there was no answer
}

// newUsers returns the users of a cluster. record is called with the events that they observe. wrap, if not
// nil, wraps their HTTP transport.
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

func (u *users) probeNodes(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range u.cluster.Nodes {
		wg.Go(func() { u.probeNode(ctx, i) })
	}
	wg.Wait()
}

// probeNode probes the health of a node until ctx ends. A node whose first probe succeeds is healthy at
// once.
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

// pickNode returns a random healthy node, or any node if none is healthy.
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

// pollUnknown polls for jobs that were never submitted, until ctx ends. The answers are recorded, since
// an answer that reports such a job violates an invariant.
func (u *users) pollUnknown(ctx context.Context) {
	wait.Every(ctx, unknownPollInterval, func() {
		id := fmt.Sprintf("j-9%08d", rand.IntN(1e8))
		if a := u.client.Poll(ctx, id); ctx.Err() == nil {
			u.recordAnswer(id, invariants.ByPoll, &a)
		}
	})
}

// updateStats calls f with the statistics of a class while holding the lock. f must not retain the pointer.
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

// statsOf returns the statistics of a class. It must be called after the users of the class have ended.
func (u *users) statsOf(class string) userStats {
	var stats userStats
	u.updateStats(class, func(s *userStats) { stats = *s })
	return stats
}

func (u *users) recordAnswer(id, via string, a *jobclient.Response) {
	u.record(invariants.Event{
		At: u.now(), Kind: invariants.Answered, Job: id, Via: via, Status: a.Status, JobStatus: a.Job.Status,
	})
}

// uploadJobs makes the descriptions of all jobs available to the workers, as users do before they submit.
func uploadJobs(servers *emulator.Servers, jobs []plannedJob) {
	servers.WithLock(func() {
		for i := range jobs {
			p := &jobs[i]
			servers.Environment.Jobs[p.job.ID] = &emulator.SubmittedJob{Job: p.job, RunTime: p.taskRunTime}
		}
	})
}

// submitAll starts a user for each job at its submission time: in the group services for services, and in
// finite for all other jobs. It returns false if ctx ends before the last job.
func (u *users) submitAll(
	ctx context.Context, began time.Time, jobs []plannedJob, finite, services *sync.WaitGroup,
) bool {
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
		group.Go(func() { u.simulateUser(ctx, p, due) })
	}
	return true
}

// simulateUser emulates the user of one job: it submits the job, polls until the job has ended, and cancels
// it if that is planned. due is the planned time of the submission; for a job with dependencies, it is
// postponed until they are accepted.
func (u *users) simulateUser(ctx context.Context, p *plannedJob, due time.Time) {
	raw, err := wire.Marshal(&p.job)
	if err != nil {
		return
	}
	if len(p.job.Dependencies) > 0 {
		if !u.awaitDependencies(ctx, &p.job) {
			u.publishDecision(p.job.ID, false)
			return
		}
		due = later(due, time.Now())
	}
	u.record(invariants.Event{At: u.now(), Kind: invariants.JobSubmitted, Job: p.job.ID, Spec: specOf(&p.job)})
	u.updateStats(p.class.Name, func(s *userStats) { s.Submitted++ })
	accepted := u.request(ctx, p, invariants.BySubmit, http.MethodPost, wire.PathJobs, raw)
	u.publishDecision(p.job.ID, accepted)
	if !accepted {
		return
	}
	u.updateStats(p.class.Name, func(s *userStats) {
		s.Accepted++
		s.latencies = append(s.latencies, time.Since(due)) // from due: slow answers delay no other submission
	})
	polled := func(a *jobclient.Response) { u.recordAnswer(p.job.ID, invariants.ByPoll, a) }
	cancel := func() {
		u.record(invariants.Event{At: u.now(), Kind: invariants.CancelRequested, Job: p.job.ID})
		u.request(ctx, p, invariants.ByCancel, http.MethodPost, wire.PathJobs+"/"+p.job.ID+"/"+wire.CancelVerb, nil)
	}
	u.client.Follow(ctx, p.job.ID, p.cancelDelay, polled, cancel)
}

// publishDecision publishes whether a job was accepted. It must be called only once per job.
func (u *users) publishDecision(id string, accepted bool) {
	d := u.decision(id)
	d.accepted = accepted
	close(d.done)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// request retries a request until it is accepted or refused, or jobclient.MaxRetryTime would be exceeded, or ctx
// ends. It records each answer and reports whether the request was accepted.
func (u *users) request(ctx context.Context, p *plannedJob, via, method, path string, body []byte) bool {
	return u.client.Retry(ctx, method, path, body, func(a *jobclient.Response) {
		u.recordAnswer(p.job.ID, via, a)
		if !a.Accepted() {
			u.updateStats(p.class.Name, func(s *userStats) { s.Errors[strconv.Itoa(a.Status)]++ })
		}
	})
}

// specOf returns the properties of a job that the invariants depend on.
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
		Needs:   j.Dependencies,
	}
}
