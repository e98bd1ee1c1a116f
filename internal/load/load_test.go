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

// service takes submissions, the first of each job only after a refusal, and says that
// jobs are done.
type service struct {
	mu      sync.Mutex
	refused map[string]bool
	gate    chan struct{} // nil, or closed when answers may be given
	came    chan struct{} // told of each request that waits at the gate
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.gate != nil {
		select {
		case s.came <- struct{}{}:
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
		again := s.refused[j.ID]
		s.refused[j.ID] = true
		s.mu.Unlock()
		if !again && strings.HasSuffix(j.ID, "5") {
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
	return Options{To: []string{strings.TrimPrefix(addr, "http://")}, Jobs: 20, Rate: 400, First: 1, Limit: 100, Wait: true,
		Spec: wire.Job{Class: "c", Team: "t", Shape: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i"}}
}

func TestLoadRetriesAndFollows(t *testing.T) {
	h := httptest.NewServer(&service{refused: map[string]bool{}})
	defer h.Close()
	res, err := Run(t.Context(), options(h.URL))
	if err != nil {
		t.Fatal(err)
	}
	if res.Accepted != 20 || res.Ended != 20 || res.Missed != 0 || res.Statuses["201"] != 20 || res.Statuses["503"] != 2 {
		t.Errorf("%+v", res)
	}
	if res.Submit.Max < 1 || res.Submit.P50 > res.Submit.Max {
		t.Errorf("a submission that was told to come back in a second took %v", res.Submit)
	}
}

// A service that doesn't answer slows nobody down: what is due is sent, as far as the
// limit goes, and the rest is counted.
func TestLoadIsNotSlowedDown(t *testing.T) {
	s := &service{refused: map[string]bool{}, gate: make(chan struct{}), came: make(chan struct{})}
	h := httptest.NewServer(s)
	defer h.Close()
	opt := options(h.URL)
	opt.Limit, opt.Wait = 5, false
	done := make(chan *Result)
	go func() {
		res, err := Run(t.Context(), opt)
		if err != nil {
			t.Error(err)
		}
		done <- res
	}()
	for range opt.Limit { // all that may be on their way are, and none is answered
		<-s.came
	}
	opened := time.AfterFunc(time.Second, func() { close(s.gate) }) // twenty are due within a twentieth of that
	defer opened.Stop()
	if res := <-done; res == nil || res.Accepted != opt.Limit || res.Missed != 20-opt.Limit {
		t.Errorf("%+v", res)
	}
	if _, err := Run(t.Context(), Options{}); err == nil {
		t.Error("load without anything was made")
	}
}
