// Package load submits jobs to a service at set times, whatever the answers take, and
// measures what users would have met. A submission's time counts from when it was due:
// a slow answer delays nobody else's.
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

// Options say what load is made.
type Options struct {
	To    []string // HOST:PORT of nodes or of a balancer
	Jobs  int
	Rate  float64 // a second
	Seed  uint64
	First int // number of the first id
	Spec  wire.Job
	// Limit bounds the requests at a time; what is due beyond it is counted as missed.
	Limit int
	Wait  bool // follow the jobs to their end
}

// Result is what came of it; times are in seconds.
type Result struct {
	Jobs     int            `json:"jobs"`
	Accepted int            `json:"accepted"`
	Ended    int            `json:"ended"`
	Missed   int            `json:"missed"` // due while too many were on their way
	Statuses map[string]int `json:"statuses"`
	Submit   quantile.Times `json:"submit_s"`
	End      quantile.Times `json:"end_s"`
}

const (
	pollEvery = time.Second
	longest   = int64(time.Hour / time.Microsecond)
)

type generator struct {
	opt    Options
	ask    *jobclient.Client
	mu     sync.Mutex
	res    Result
	submit *hdrhistogram.Histogram
	end    *hdrhistogram.Histogram
}

// Run makes the load and returns when all its jobs are answered, and over if that is
// asked for.
func Run(ctx context.Context, opt Options) (*Result, error) {
	if len(opt.To) == 0 || opt.Jobs < 1 || !(opt.Rate > 0) || opt.Limit < 1 {
		return nil, fmt.Errorf("load: %d jobs at %v a second, %d at a time, to %d addresses", opt.Jobs, opt.Rate, opt.Limit, len(opt.To))
	}
	g := &generator{opt: opt, res: Result{Jobs: opt.Jobs, Statuses: map[string]int{}},
		ask: &jobclient.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: opt.Limit}},
			PickNode: func() string { return opt.To[rand.IntN(len(opt.To))] }},
		submit: hdrhistogram.New(1, longest, 3), end: hdrhistogram.New(1, longest, 3)}
	defer g.ask.HTTP.CloseIdleConnections()
	rnd := rand.New(rand.NewPCG(opt.Seed, 1))
	sem := make(chan struct{}, opt.Limit)
	var wg sync.WaitGroup
	due := time.Now()
	for i := range opt.Jobs {
		due = due.Add(time.Duration(rnd.ExpFloat64() / opt.Rate * 1e9))
		if !wait.For(ctx, time.Until(due)) {
			wg.Wait()
			return nil, ctx.Err()
		}
		select {
		case sem <- struct{}{}:
		default:
			g.count(func(r *Result) { r.Missed++ })
			continue
		}
		j := opt.Spec
		j.ID = fmt.Sprintf("j-%09d", opt.First+i)
		at := due
		wg.Go(func() {
			defer func() { <-sem }()
			g.user(ctx, &j, at)
		})
	}
	wg.Wait()
	g.res.Submit, g.res.End = quantile.Of(g.submit, 1), quantile.Of(g.end, 1)
	return &g.res, ctx.Err()
}

func (g *generator) count(f func(*Result)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.res)
}

func (g *generator) took(h *hdrhistogram.Histogram, due time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = h.RecordValue(min(max(time.Since(due).Microseconds(), 1), longest)) // within its bounds
}

// user submits a job and follows it.
func (g *generator) user(ctx context.Context, j *wire.Job, due time.Time) {
	raw, err := wire.Marshal(j)
	if err != nil {
		return
	}
	if !g.ask.Repeat(ctx, http.MethodPost, wire.PathJobs, raw, func(a *jobclient.Answer) {
		g.count(func(r *Result) { r.Statuses[strconv.Itoa(a.Status)]++ })
	}) {
		return
	}
	g.took(g.submit, due)
	g.count(func(r *Result) { r.Accepted++ })
	for g.opt.Wait && j.Shape != wire.Service && wait.For(ctx, pollEvery) {
		if a := g.ask.Poll(ctx, j.ID); a.Over() {
			g.took(g.end, due)
			g.count(func(r *Result) { r.Ended++ })
			return
		}
	}
}
