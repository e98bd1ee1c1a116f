// Package load is an open-loop load generator: it submits jobs to a service at random times
// that don't depend on the answers, and measures the latency that users would have
// observed. A submission's latency counts from when it was due: a slow answer delays no
// other submission.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coralhub/internal/jobclient"
	"coralhub/internal/quantile"
	"coralhub/internal/wait"
	"coralhub/wire"
)

// Options describe the load.
type Options struct {
	To    []string // HOST:PORT of nodes or of a load balancer
	Jobs  int
	Rate  float64 // mean submissions per second
	Seed  uint64
	First int // number in the first job's id
	Spec  wire.Job
	// Limit bounds the concurrent jobs; submissions that are due beyond it are counted as missed.
	Limit int
	Wait  bool // follow jobs until they end
}

// Result is what was measured; times are in seconds.
type Result struct {
	Jobs     int            `json:"jobs"`
	Accepted int            `json:"accepted"`
	Ended    int            `json:"ended"`
	Missed   int            `json:"missed"` // due while Limit was reached
	Statuses map[string]int `json:"statuses"`
	Submit   quantile.Times `json:"submit_s"`
	End      quantile.Times `json:"end_s"`
}

const (
	pollInterval      = time.Second
	maxMicros         = int64(time.Hour / time.Microsecond) // of a recorded time
	significantDigits = 3
)

// generator is the state of a run.
type generator struct {
	options     Options
	client      *jobclient.Client
	mu          sync.Mutex
	result      Result
	submitTimes *hdrhistogram.Histogram
	endTimes    *hdrhistogram.Histogram
}

// Run generates the load and returns when all jobs are answered, or with Options.Wait
// ended. It returns an error if the options are invalid or ctx ends.
func Run(ctx context.Context, options Options) (*Result, error) {
	if len(options.To) == 0 || options.Jobs < 1 || !(options.Rate > 0) || options.Limit < 1 {
		return nil, fmt.Errorf("load: %d jobs at %v a second, %d at a time, to %d addresses", options.Jobs, options.Rate, options.Limit, len(options.To))
	}
	g := newGenerator(options)
	defer g.client.HTTP.CloseIdleConnections()
	if !g.submitAll(ctx) {
		return nil, ctx.Err()
	}
	g.result.Submit = quantile.Of(g.submitTimes, 1)
	g.result.End = quantile.Of(g.endTimes, 1)
	return &g.result, ctx.Err()
}

func newGenerator(options Options) *generator {
	return &generator{
		options: options,
		result:  Result{Jobs: options.Jobs, Statuses: map[string]int{}},
		client: &jobclient.Client{
			HTTP:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: options.Limit}},
			PickNode: func() string { return options.To[rand.IntN(len(options.To))] },
		},
		submitTimes: hdrhistogram.New(1, maxMicros, significantDigits),
		endTimes:    hdrhistogram.New(1, maxMicros, significantDigits),
	}
}

// submitAll starts each job when it is due and waits for all of them. It returns false if
// ctx ends before all are due.
func (g *generator) submitAll(ctx context.Context) bool {
	rnd := rand.New(rand.NewPCG(g.options.Seed, 1))
	slots := make(chan struct{}, g.options.Limit)
	var jobs sync.WaitGroup
	defer jobs.Wait()
	due := time.Now()
	for i := range g.options.Jobs {
		due = due.Add(time.Duration(rnd.ExpFloat64() / g.options.Rate * 1e9))
		if !wait.For(ctx, time.Until(due)) {
			return false
		}
		select {
		case slots <- struct{}{}:
		default:
			g.update(func(r *Result) { r.Missed++ })
			continue
		}
		job := g.options.Spec
		job.ID = fmt.Sprintf("j-%09d", g.options.First+i)
		jobDue := due
		jobs.Go(func() {
			defer func() { <-slots }()
			g.runJob(ctx, &job, jobDue)
		})
	}
	return true
}

// update changes the result.
func (g *generator) update(change func(*Result)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.result)
}

// recordSince records the time since a submission was due.
func (g *generator) recordSince(h *hdrhistogram.Histogram, due time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = h.RecordValue(min(max(time.Since(due).Microseconds(), 1), maxMicros)) // within its range
}

// runJob submits a job and, with Options.Wait, follows it until it ends.
func (g *generator) runJob(ctx context.Context, j *wire.Job, due time.Time) {
	raw, err := wire.Marshal(j)
	if err != nil {
		return
	}
	accepted := g.client.Repeat(ctx, http.MethodPost, wire.PathJobs, raw, func(a *jobclient.Answer) {
		g.update(func(r *Result) { r.Statuses[strconv.Itoa(a.Status)]++ })
	})
	if !accepted {
		return
	}
	g.recordSince(g.submitTimes, due)
	g.update(func(r *Result) { r.Accepted++ })
	for g.options.Wait && j.Shape != wire.Service && wait.For(ctx, pollInterval) {
		if a := g.client.Poll(ctx, j.ID); a.Over() {
			g.recordSince(g.endTimes, due)
			g.update(func(r *Result) { r.Ended++ })
			return
		}
	}
}
