package httpapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"coralhub/internal/core/msg"
	"coralhub/internal/node/nodetest"
	"coralhub/wire"
)

// Close ends the requests that wait for a core that no longer responds, and later requests at once.
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
			t.Error("gauges returned without a response of the core")
		}
		responses <- http.StatusServiceUnavailable
	}()
	for range 5 {
		<-posted
	}
	select {
	case status := <-responses:
		t.Fatalf("status %d before the core has responded", status)
	case <-time.After(20 * time.Millisecond):
	}
	nodetest.AssertReturnsWithin(t, requestTimeout/4, func() {
		a.Close()
		request(wire.PathJobs + "/j-2")
		for range 6 {
			if status := <-responses; status != http.StatusServiceUnavailable {
				t.Errorf("status %d after Close, want %d", status, http.StatusServiceUnavailable)
			}
		}
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) > 0 {
		t.Errorf("%d requests still pending after Close", len(a.pending))
	}
}

// Operators' tools depend on these error texts.
func TestAdminParameters(t *testing.T) {
	var posted msg.AdminIn
	post := func(in msg.Input) bool {
		posted = in.(msg.AdminIn)
		return false // overloaded
	}
	a := New(post, func() bool { return true }, true)
	for _, tt := range []struct {
		target string
		status int
		body   string
	}{
		{PathRuns + "?from=x", http.StatusBadRequest, `{"error":"from: no number"}`},
		{PathRuns + "?from=-1", http.StatusBadRequest, `{"error":"from: no number"}`},
		{PathRuns + "?most=x", http.StatusBadRequest, `{"error":"most: no number above 0"}`},
		{PathRuns + "?most=0", http.StatusBadRequest, `{"error":"most: no number above 0"}`},
		{PathWaits + "/j-1?from=7&most=3", http.StatusServiceUnavailable, `{"error":"overloaded"}`},
	} {
		recorder := httptest.NewRecorder()
		a.Handler().ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, tt.target, nil))
		if body := strings.TrimSpace(recorder.Body.String()); recorder.Code != tt.status || body != tt.body {
			t.Errorf("%s: %d %s, want %d %s", tt.target, recorder.Code, body, tt.status, tt.body)
		}
		retryAfter := map[int]string{http.StatusServiceUnavailable: "1"}[tt.status]
		if got := recorder.Header().Get("Retry-After"); got != retryAfter {
			t.Errorf("%s: Retry-After %q, want %q", tt.target, got, retryAfter)
		}
	}
	posted.RequestID = 0
	if want := (msg.AdminIn{Query: msg.QueryWaitReason, JobID: "j-1", From: 7, Limit: 3}); posted != want {
		t.Errorf("posted %+v, want %+v", posted, want)
	}
}
