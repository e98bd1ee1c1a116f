package httpapi

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"coralhub/internal/core/msg"
	"coralhub/internal/node/nodetest"
	"coralhub/wire"
)

// Requests that wait for a core that answers no more end when the API is closed, as do later ones.
func TestCloseEndsRequests(t *testing.T) {
	posted := make(chan msg.Input, 10)
	post := func(in msg.Input) bool {
		posted <- in
		return true
	}
	a := New(post, func() bool { return true }, true)
	responses := make(chan int, 10)
	request := func(path string) {
		recorder := httptest.NewRecorder()
		a.Handler().ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil))
		responses <- recorder.Code
	}
	go request(wire.PathJobs + "/j-1")
	go request(PathRuns)
	go func() { responses <- a.Heartbeat(wire.Heartbeat{}).Status }()
	go func() { responses <- a.HeartbeatBatch(msg.HeartbeatBatchIn{}).Status }()
	go func() {
		if _, ok := a.Gauges(); ok {
			t.Error("gauges without the core")
		}
		responses <- http.StatusServiceUnavailable
	}()
	for range 5 {
		<-posted
	}
	select {
	case status := <-responses:
		t.Fatalf("%d without the core's response", status)
	case <-time.After(20 * time.Millisecond):
	}
	nodetest.EndsWithin(t, requestTimeout/4, func() {
		a.Close()
		request(wire.PathJobs + "/j-2")
		for range 6 {
			if status := <-responses; status != http.StatusServiceUnavailable {
				t.Errorf("status %d", status)
			}
		}
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) > 0 {
		t.Errorf("%d requests still pending", len(a.pending))
	}
}
