// Package load submits jobs to a service at set times, whatever the answers take, and
// measures what users would have met. A submission's time counts from when it was due:
// a slow answer delays nobody else's.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

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
	Submit   Times          `json:"submit_s"`
	End      Times          `json:"end_s"`
}

// Times are quantiles.
type Times struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

const (
	submitWait = 5 * time.Second
	pollWait   = 2 * time.Second
	pollEvery  = time.Second
	retryFor   = 60 * time.Second
	longest    = int64(time.Hour / time.Microsecond)
)

type generator struct {
	opt    Options
	client *http.Client
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
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: opt.Limit}},
		submit: hdrhistogram.New(1, longest, 3), end: hdrhistogram.New(1, longest, 3)}
	defer g.client.CloseIdleConnections()
	rnd := rand.New(rand.NewPCG(opt.Seed, 1))
	sem := make(chan struct{}, opt.Limit)
	var wg sync.WaitGroup
	due := time.Now()
	for i := range opt.Jobs {
		due = due.Add(time.Duration(rnd.ExpFloat64() / opt.Rate * 1e9))
		t := time.NewTimer(time.Until(due))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
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
	g.res.Submit, g.res.End = times(g.submit), times(g.end)
	return &g.res, ctx.Err()
}

func times(h *hdrhistogram.Histogram) Times {
	if h.TotalCount() == 0 {
		return Times{}
	}
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1e6 }
	return Times{q(50), q(90), q(99), float64(h.Max()) / 1e6}
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

// user submits a job as the protocol lets users, and follows it.
func (g *generator) user(ctx context.Context, j *wire.Job, due time.Time) {
	raw, err := wire.Marshal(j)
	if err != nil {
		return
	}
	for {
		status, _, after := g.ask(ctx, submitWait, http.MethodPost, wire.PathJobs, raw)
		g.count(func(r *Result) { r.Statuses[strconv.Itoa(status)]++ })
		if status == http.StatusOK || status == http.StatusCreated {
			break
		}
		after = min(max(after, time.Second), 30*time.Second)
		if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity || time.Since(due)+after > retryFor || !sleep(ctx, after) {
			return
		}
	}
	g.took(g.submit, due)
	g.count(func(r *Result) { r.Accepted++ })
	for g.opt.Wait && j.Shape != wire.Service {
		if !sleep(ctx, pollEvery) {
			return
		}
		status, st, _ := g.ask(ctx, pollWait, http.MethodGet, wire.PathJobs+"/"+j.ID, nil)
		if status == http.StatusOK && (st.Status == wire.Done || st.Status == wire.Cancelled) {
			g.took(g.end, due)
			g.count(func(r *Result) { r.Ended++ })
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *generator) ask(ctx context.Context, wait time.Duration, method, path string, body []byte) (int, wire.JobStatus, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var st wire.JobStatus
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.opt.To[rand.IntN(len(g.opt.To))]+path, bytes.NewReader(body))
	if err != nil {
		return 0, st, 0
	}
	res, err := g.client.Do(req)
	if err != nil {
		return 0, st, 0
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, wire.MaxBody))
	if err != nil || res.StatusCode < 300 && wire.Unmarshal(raw, &st) != nil {
		return 0, st, 0
	}
	after, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64) // none: the usual pause
	return res.StatusCode, st, time.Duration(after * 1e9)
}
