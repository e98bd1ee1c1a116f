package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"coralhub/internal/hollow"
	"coralhub/internal/invariants"
	"coralhub/internal/jobclient"
	"coralhub/internal/wait"
	"coralhub/wire"
)

const (
	probeInterval  = time.Second
	maxCancelDelay = 10 * time.Second // from the acceptance of a job to its cancellation
)

// users simulates the users of a region, who submit, poll and cancel jobs.
type users struct {
	region *region
	client *jobclient.Client

	mu        sync.Mutex
	ready     []string // addresses of the controllers that are ready
	submitted map[string]*submission
	errors    map[string]int // unsuccessful responses, by request and status; status 0 if there was no response
}

// submission is a submitted job.
type submission struct {
	class       *Class
	tasks       int
	submittedAt int64 // time of the first attempt to submit it, Unix microseconds
	acceptedAt  int64 // Unix microseconds; 0 if it is not accepted
	ended       bool
}

func newUsers(r *region) *users {
	u := &users{region: r, submitted: map[string]*submission{}, errors: map[string]int{}}
	u.client = &jobclient.Client{
		HTTP:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute}},
		PickNode: u.pickNode,
		OnError:  r.run.requestFailed,
	}
	return u
}

// probe determines at intervals which controllers are ready, until ctx ends.
func (u *users) probe(ctx context.Context) {
	probeAll := func() {
		var ready []string
		for _, c := range u.region.controllers {
			if jobclient.Ready(ctx, u.client.HTTP, c.listen) {
				ready = append(ready, c.listen)
			}
		}
		u.mu.Lock()
		u.ready = ready
		u.mu.Unlock()
	}
	probeAll()
	wait.Every(ctx, probeInterval, probeAll)
}

// pickNode returns the address of a random ready controller, or of any controller if none is known to be
// ready.
func (u *users) pickNode() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.ready) > 0 {
		return u.ready[rand.IntN(len(u.ready))]
	}
	return u.region.controllers[rand.IntN(len(u.region.controllers))].listen
}

// submitUntil submits jobs of a class at random times until ctx ends. Submitted jobs are polled until they
// end or followCtx ends.
func (u *users) submitUntil(ctx, followCtx context.Context, class int, rnd *rand.Rand, followed *sync.WaitGroup) {
	s := u.region.settings
	c := &s.Classes[class]
	shares := 0.0
	for i := range s.Classes {
		shares += s.Classes[i].Share
	}
	rate := s.StartsPerS * c.Share / shares / c.meanTasks() // jobs per second
	if rate <= 0 {
		return
	}
	for number := 0; wait.For(ctx, time.Duration(rnd.ExpFloat64()/rate*float64(time.Second))); number++ {
		j := c.drawJob(rnd, s, class, number)
		cancelIn := time.Duration(0)
		if rnd.Float64() < c.Cancelled {
			cancelIn = time.Duration(1 + rnd.Float64()*float64(maxCancelDelay))
		}
		followed.Go(func() { u.follow(followCtx, c, j, cancelIn) })
	}
}

// minEstimateS is the minimum run-time estimate of a job, in seconds.
const minEstimateS = 0.1

// drawJob returns a job of the class with random run time, team and size.
func (c *Class) drawJob(rnd *rand.Rand, s *Settings, class, number int) *drawnJob {
	runS := c.RunS[0] + rnd.Float64()*(c.RunS[1]-c.RunS[0])
	team := teamName(rnd.IntN(s.Teams))
	tasks := c.Tasks[rnd.IntN(len(c.Tasks))]
	return &drawnJob{
		runS: runS,
		Job: wire.Job{
			ID:        fmt.Sprintf("j-%d%08d", class+1, number),
			Class:     c.Name,
			Team:      team,
			Shape:     wire.ShapeOrArray(c.Shape),
			Priority:  wire.PriorityOrNormal(c.Priority),
			Tasks:     tasks,
			CPUs:      c.GPUs,
			GPUs:      c.GPUs,
			MemoryGB:  c.GPUs,
			Image:     "image",
			ImageGB:   1,
			EstimateS: max(runS, minEstimateS),
		},
	}
}

// drawnJob is a job with the run time of each of its tasks, in seconds.
type drawnJob struct {
	wire.Job
	runS float64
}

// follow submits a job and, once accepted, polls it until it has ended or ctx ends.
func (u *users) follow(ctx context.Context, c *Class, j *drawnJob, cancelIn time.Duration) {
	r := u.region
	if j.Shape == wire.Gang {
		r.gangs.add(j.ID, j.Tasks)
	}
	r.enqueueAll(hollow.Command{Job: &hollow.Job{ID: j.ID, Tasks: j.Tasks, GPUs: j.GPUs, Gang: j.Shape == wire.Gang,
		RunS: j.runS}})
	raw, err := wire.Marshal(&j.Job)
	if err != nil {
		return
	}
	sub := &submission{class: c, tasks: j.Tasks, submittedAt: now()}
	u.mu.Lock()
	u.submitted[j.ID] = sub
	u.mu.Unlock()
	r.record(invariants.Event{At: sub.submittedAt, Kind: invariants.JobSubmitted, Job: j.ID,
		Spec: &invariants.Spec{Team: j.Team, Tasks: j.Tasks, CPUs: j.CPUs, GPUs: j.GPUs}})
	if !u.retry(ctx, j.ID, invariants.BySubmit, wire.PathJobs, raw) {
		return
	}
	u.mu.Lock()
	sub.acceptedAt = now()
	u.mu.Unlock()
	u.poll(ctx, j.ID, cancelIn)
	u.mu.Lock()
	sub.ended = ctx.Err() == nil
	u.mu.Unlock()
}

// poll polls a job until it has ended or ctx ends. If cancelIn is above 0, it cancels the job after that
// time.
func (u *users) poll(ctx context.Context, id string, cancelIn time.Duration) {
	u.client.Follow(ctx, id, cancelIn, func(r *jobclient.Response) { u.recordResponse(id, invariants.ByPoll, r) }, func() {
		u.region.record(invariants.Event{At: now(), Kind: invariants.CancelRequested, Job: id})
		u.retry(ctx, id, invariants.ByCancel, wire.PathJobs+"/"+id+"/"+wire.CancelVerb, nil)
	})
}

// retry sends a request and retries it as jobclient.Client.Retry does. It reports whether the request was
// accepted.
func (u *users) retry(ctx context.Context, id, via, path string, body []byte) bool {
	return u.client.Retry(ctx, http.MethodPost, path, body, func(r *jobclient.Response) { u.recordResponse(id, via, r) })
}

// recordResponse records the result of a user's request.
func (u *users) recordResponse(id, via string, r *jobclient.Response) {
	u.region.record(invariants.Event{At: now(), Kind: invariants.Answered, Job: id, Via: via, Status: r.Status,
		JobStatus: r.Job.Status})
	if !r.Accepted() {
		u.mu.Lock()
		u.errors[via+" "+strconv.Itoa(r.Status)]++
		u.mu.Unlock()
	}
}

// submissions returns copies of the submitted jobs, by job id.
func (u *users) submissions() map[string]submission {
	u.mu.Lock()
	defer u.mu.Unlock()
	submitted := make(map[string]submission, len(u.submitted))
	for id, s := range u.submitted {
		submitted[id] = *s
	}
	return submitted
}

// unfinished returns the number of accepted jobs that have not ended.
func (u *users) unfinished() int {
	n := 0
	for _, s := range u.submissions() {
		if s.acceptedAt != 0 && !s.ended {
			n++
		}
	}
	return n
}
