package emulator

import (
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"coralhub/wire"
)

// Servers serves the emulated systems over HTTP, on the real clock.
type Servers struct {
	mu          sync.Mutex
	State       *State
	Environment *Environment
	Nodes       []string // addresses that workers send heartbeats to
	Names       []string // the nodes' names, which redirections give, in the same order
	// Failed is called with the reason why a heartbeat was not answered, by several goroutines; it may
	// be nil.
	Failed func(error)
	// Requests counts the requests to the state service, and Refused those beyond its quotas.
	Requests, Refused int

	start         time.Time
	wake          chan struct{} // is closed, and replaced, when watches may have something to answer
	requests      *rate.Limiter // of the state service
	writes        *rate.Limiter // of the state service
	cloud         *rate.Limiter
	delay         time.Duration // of each answer of the state service
	repeatWithinS float64       // copies of heartbeats come up to so many seconds later; 0: none do
}

// NewServers returns servers without quotas.
func NewServers() *Servers {
	return &Servers{
		State:       NewState(),
		Environment: NewEnvironment(),
		start:       time.Now(),
		wake:        make(chan struct{}),
		requests:    rate.NewLimiter(rate.Inf, 0),
		writes:      rate.NewLimiter(rate.Inf, 0),
		cloud:       rate.NewLimiter(rate.Inf, 0),
	}
}

// cloudBurstS is the burst of the cloud's quota, in seconds of it. That of the state service is one.
const cloudBurstS = 2

// SetQuotas sets how many requests and changes a second the state service accepts, with bursts of one
// second's worth, and how many requests the cloud does, with bursts of two.
func (s *Servers) SetQuotas(requests, writes, cloud float64) {
	setQuota(s.requests, requests, requests)
	setQuota(s.writes, writes, writes)
	setQuota(s.cloud, cloud, cloudBurstS*cloud)
}

func setQuota(l *rate.Limiter, perSecond, burst float64) {
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(max(1, int(burst)))
}

// Delay delays each answer of the state service by so much.
func (s *Servers) Delay(d time.Duration) { s.With(func() { s.delay = d }) }

// Repeat has copies of heartbeats come again, each up to so many seconds later and at any node; 0: none
// do.
func (s *Servers) Repeat(withinS float64) { s.With(func() { s.repeatWithinS = withinS }) }

// Now is the time of the emulated systems. It is never 0.
func (s *Servers) Now() Micros { return time.Since(s.start).Microseconds() + 1 }

// With calls f while nothing else happens to the emulated systems. f must not call With.
func (s *Servers) With(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// writeBody answers a request with a message.
func writeBody(w http.ResponseWriter, status int, body any) {
	raw, err := wire.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// readBody reads the message of a request; it returns false if it is malformed.
func readBody(r *http.Request, message any) bool {
	raw, err := io.ReadAll(r.Body)
	return err == nil && wire.Unmarshal(raw, message) == nil
}

func writeMalformed(w http.ResponseWriter) {
	writeBody(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
}

func writeOutage(w http.ResponseWriter) {
	writeBody(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
}

func writeTooManyRequests(w http.ResponseWriter) {
	writeBody(w, http.StatusTooManyRequests, wire.Error{Error: "too many requests"})
}
