package load

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"coralhub/wire"
)

// service is a fake job API. It accepts submissions, those with an id that ends in 5 only when they are
// retried, and reports all jobs as done.
type service struct {
	mu       sync.Mutex
	rejected map[string]bool
	gate     chan struct{} // if not nil, requests block until it is closed
	arrived  chan struct{} // receives a value for each request that blocks on gate
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.gate != nil {
		select {
		case s.arrived <- struct{}{}:
		case <-s.gate:
		}
		<-s.gate
	}
	st := wire.JobStatus{Status: wire.Done}
	if r.Method == http.MethodPost {
		raw, _ := io.ReadAll(r.Body)
		j, err := wire.ParseJob(raw)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		retried := s.rejected[j.ID]
		s.rejected[j.ID] = true
		s.mu.Unlock()
		if !retried && strings.HasSuffix(j.ID, "5") {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		st = wire.JobStatus{ID: j.ID, Status: wire.Queued}
		w.WriteHeader(http.StatusCreated)
	}
	raw, _ := wire.Marshal(&st)
	_, _ = w.Write(raw)
}

func options(addr string) Options {
	return Options{Addresses: []string{strings.TrimPrefix(addr, "http://")}, Jobs: 20, Rate: 400, FirstJobNumber: 1,
		MaxConcurrent: 100, Wait: true,
		Spec: wire.Job{Class: "c", Team: "t", Shape: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: 1, GPUs: 1,
			MemoryGB: 1, Image: "i"}}
}

// Submissions that are answered with 503 are retried, and jobs are polled until they end.
func TestLoadRetriesAndFollows(t *testing.T) {
	h := httptest.NewServer(&service{rejected: map[string]bool{}})
	defer h.Close()
	res, err := Run(t.Context(), options(h.URL))
	if err != nil {
		t.Fatal(err)
	}
	if res.Accepted != 20 || res.Ended != 20 || res.Missed != 0 || res.Statuses["201"] != 20 || res.Statuses["503"] != 2 {
		t.Errorf("%+v", res)
	}
	if res.Submit.Max < 1 || res.Submit.P50 > res.Submit.Max {
		t.Errorf("submission times %v: a submission that is retried after 1 s must take 1 s or more", res.Submit)
	}
}

// A service that does not respond delays no submission: submissions are sent at their scheduled times
// until the limit is reached, and the others are counted as missed.
func TestSlowResponsesDelayNoSubmissions(t *testing.T) {
	s := &service{rejected: map[string]bool{}, gate: make(chan struct{}), arrived: make(chan struct{})}
	h := httptest.NewServer(s)
	defer h.Close()
	opt := options(h.URL)
	opt.MaxConcurrent, opt.Wait = 5, false
	done := make(chan *Result)
	go func() {
		res, err := Run(t.Context(), opt)
		if err != nil {
			t.Error(err)
		}
		done <- res
	}()
	for range opt.MaxConcurrent { // the limit is reached and no request has a response
		<-s.arrived
	}
	opened := time.AfterFunc(time.Second, func() { close(s.gate) }) // the 20 jobs are due within about 50 ms
	defer opened.Stop()
	if res := <-done; res == nil || res.Accepted != opt.MaxConcurrent || res.Missed != 20-opt.MaxConcurrent {
		t.Errorf("%+v", res)
	}
	if _, err := Run(t.Context(), Options{}); err == nil {
		t.Error("Run accepted empty options")
	}
}
