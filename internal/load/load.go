// Package load is an open-loop load generator. It submits jobs at random times that don't depend on the
// responses, and measures the latency that users would observe. The latency of a submission is measured
// from its scheduled time, and a slow response delays no other submission.
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
	Addresses      []string // HOST:PORT of nodes or of a load balancer
	Jobs           int      // number of submissions
	Rate           float64  // mean submissions per second
	Seed           uint64
	FirstJobNumber int // number in the ID of the first job; each further job has the next number
	Spec           wire.Job
	// MaxConcurrent is the maximum number of jobs that are being submitted or, with Wait, have not ended. A
	// submission that is due while this number is reached is not sent and is counted as missed.
	MaxConcurrent int
	Wait          bool // poll each job until it ends
}

// Result holds the measurements. Times are in seconds.
type Result struct {
	Jobs     int            `json:"jobs"`
	Accepted int            `json:"accepted"`
	Ended    int            `json:"ended"`
	Missed   int            `json:"missed"`   // due while MaxConcurrent was reached
	Statuses map[string]int `json:"statuses"` // responses to submissions, by HTTP status; 0 if there was none
	Submit   quantile.Times `json:"submit_s"` // until a job was accepted
	End      quantile.Times `json:"end_s"`    // until a job had ended
}

const (
	pollInterval      = time.Second
	maxMicros         = int64(time.Hour / time.Microsecond) // largest recorded time
	significantDigits = 3
)

// generator is a run of the load generator.
type generator struct {
	options     Options
	client      *jobclient.Client
	mu          sync.Mutex
	result      Result
	submitTimes *hdrhistogram.Histogram
	endTimes    *hdrhistogram.Histogram
}

// Run generates the load. It returns when all submissions have been accepted or have failed and, with
// Options.Wait, all accepted jobs except services have ended. It returns an error if the options are
// invalid or ctx ends.
func Run(ctx context.Context, options Options) (*Result, error) {
	if len(options.Addresses) == 0 || options.Jobs < 1 || !(options.Rate > 0) || options.MaxConcurrent < 1 {
		return nil, fmt.Errorf("load: invalid options: jobs %d, rate %v, limit %d, addresses %d: all must be above 0",
			options.Jobs, options.Rate, options.MaxConcurrent, len(options.Addresses))
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
			HTTP:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: options.MaxConcurrent}},
			PickNode: func() string { return options.Addresses[rand.IntN(len(options.Addresses))] },
		},
		submitTimes: hdrhistogram.New(1, maxMicros, significantDigits),
		endTimes:    hdrhistogram.New(1, maxMicros, significantDigits),
	}
}

// submitAll starts each job at its scheduled time and waits for all started jobs. It returns false if ctx
// ends before all jobs are due.
func (g *generator) submitAll(ctx context.Context) bool {
	rnd := rand.New(rand.NewPCG(g.options.Seed, 1))
	slots := make(chan struct{}, g.options.MaxConcurrent)
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
		job.ID = fmt.Sprintf("j-%09d", g.options.FirstJobNumber+i)
		jobDue := due
		jobs.Go(func() {
			defer func() { <-slots }()
			g.runJob(ctx, &job, jobDue)
		})
	}
	return true
}

// update calls change with the result while holding g.mu.
func (g *generator) update(change func(*Result)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.result)
}

// recordSince records the time since a submission was due, clamped to the range of the histogram.
func (g *generator) recordSince(h *hdrhistogram.Histogram, due time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = h.RecordValue(min(max(time.Since(due).Microseconds(), 1), maxMicros)) // no error: the value is in range
}

// runJob submits a job and, with Options.Wait, polls it until it ends. Services are not polled, because
// they don't end.
func (g *generator) runJob(ctx context.Context, j *wire.Job, due time.Time) {
	raw, err := wire.Marshal(j)
	if err != nil {
		return
	}
	accepted := g.client.Retry(ctx, http.MethodPost, wire.PathJobs, raw, func(response *jobclient.Response) {
		g.update(func(r *Result) { r.Statuses[strconv.Itoa(response.Status)]++ })
	})
	if !accepted {
		return
	}
	g.recordSince(g.submitTimes, due)
	g.update(func(r *Result) { r.Accepted++ })
	for g.options.Wait && j.Shape != wire.Service && wait.For(ctx, pollInterval) {
		if response := g.client.Poll(ctx, j.ID); response.Ended() {
			g.recordSince(g.endTimes, due)
			g.update(func(r *Result) { r.Ended++ })
			return
		}
	}
}
