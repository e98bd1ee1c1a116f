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
	NodeAddrs   []string // addresses that workers send heartbeats to
	NodeNames   []string // names of the nodes, as given in redirections, in the same order
	// OnFailure is called with the error of each heartbeat request that failed, from several goroutines; it
	// may be nil.
	OnFailure func(error)
	// Requests counts the requests to the state service, and Refused those that exceeded its quotas.
	Requests, Refused int

	start         time.Time
	wake          chan struct{} // closed and replaced to make open watches check for changes
	stateRequests *rate.Limiter // requests to the state service
	stateWrites   *rate.Limiter // changes of the state service
	cloudRequests *rate.Limiter // requests to the cloud
	stateDelay    time.Duration // of each answer of the state service
	repeatWithinS float64       // maximum delay of repeated heartbeats, in seconds; 0 if none are repeated
	callRepeats   Repeats       // of direct calls to workers
	writeRepeats  Repeats       // of transactions
}

// NewServers returns servers without quotas.
func NewServers() *Servers {
	return &Servers{
		State:         NewState(),
		Environment:   NewEnvironment(),
		start:         time.Now(),
		wake:          make(chan struct{}),
		stateRequests: rate.NewLimiter(rate.Inf, 0),
		stateWrites:   rate.NewLimiter(rate.Inf, 0),
		cloudRequests: rate.NewLimiter(rate.Inf, 0),
	}
}

// cloudBurstS is the burst of the cloud's quota, in seconds' worth of requests. The state service's is 1.
const cloudBurstS = 2

// SetQuotas sets how many requests and changes per second the state service accepts, with bursts of one
// second's worth, and how many requests per second the cloud accepts, with bursts of two seconds' worth.
func (s *Servers) SetQuotas(requests, writes, cloud float64) {
	setQuota(s.stateRequests, requests, requests)
	setQuota(s.stateWrites, writes, writes)
	setQuota(s.cloudRequests, cloud, cloudBurstS*cloud)
}

func setQuota(l *rate.Limiter, perSecond, burst float64) {
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(max(1, int(burst)))
}

// SetStateDelay sets the delay of each answer of the state service.
func (s *Servers) SetStateDelay(d time.Duration) { s.WithLock(func() { s.stateDelay = d }) }

// RepeatHeartbeats makes workers send copies of some heartbeats again, each at most withinS seconds later, but
// no less than minRepeatDelayS, and to a random node. If withinS is 0, no heartbeats are repeated.
func (s *Servers) RepeatHeartbeats(withinS float64) { s.WithLock(func() { s.repeatWithinS = withinS }) }

// Now returns the time of the emulated systems, counted from NewServers. It is never 0.
func (s *Servers) Now() Micros { return time.Since(s.start).Microseconds() + 1 }

// WithLock calls f while holding the lock on the emulated systems. f must not call WithLock.
func (s *Servers) WithLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// writeBody answers a request with a status and an encoded message.
func writeBody(w http.ResponseWriter, status int, body any) {
	raw, err := wire.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// readBody decodes the message of a request. It returns false if the body can't be read or is malformed.
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
