// Package kvstore is the client of the state service, a consensus-backed key-value store: it
// carries out the core's transactions and reads, keeps leases, and follows all keys.
//
// The service's quotas are for all nodes together. Requests and changes are paced by rate limiters
// of their own purpose, see rate_limiter.go.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/node/fairshare"
	"coralhub/internal/node/httpclient"
	"coralhub/internal/node/leaserenewal"
	"coralhub/wire"
)

const (
	callTimeout  = 2 * time.Second
	renewTimeout = time.Second
	// quotaRetries is how often a transaction that somebody waits for is sent again when the quota
	// is used up, each time after quotaRetryInterval.
	quotaRetries       = 3
	quotaRetryInterval = 80 * time.Millisecond
	// maxWatchWait is how long a watch without changes stays open. Relays answer workers by how
	// recent the last answer is.
	maxWatchWait = 3 * time.Second
	// watchInterval is the least time between two watches.
	watchInterval = 100 * time.Millisecond
	// fastPollDuration is for how long after msg.PollWatchFast each watch ends within
	// watchInterval, changes or not.
	fastPollDuration = 3 * time.Second
	// followRetryInterval is between attempts to list or watch that fail.
	followRetryInterval = 300 * time.Millisecond
	maxResponseBytes    = 64 << 20
	// writeShare is the part of the quota of changes for transactions of msg.Critical.
	writeShare = 0.7
)

// Store is a client of the state service. Its methods may be called from any goroutine, but for
// Counters.
type Store struct {
	baseURL string
	post    func(msg.Input)
	client  *http.Client
	// keepAliveClient is for leases and the watch alone: requests that users cause never go before
	// them.
	keepAliveClient *http.Client
	renewer         leaserenewal.Renewer
	calls           sync.WaitGroup // those that run in the background

	requestLimiter    *rateLimiter  // all requests but those of keepAliveClient
	criticalLimiter   *rate.Limiter // changes of msg.Critical
	admissionLimiter  *rateLimiter  // changes of msg.Admission
	deferrableLimiter *rateLimiter  // changes of msg.Deferrable
	admissionDemand   demand        // jobs a second that this node is asked to accept
	admissionQuota    float64       // jobs a second that all nodes together may accept
	nodes             int

	relist        chan struct{}
	fastPollUntil atomic.Int64 // nanoseconds since start
	failingSince  atomic.Int64 // nanoseconds since start; 0 if the last call went well
	start         time.Time
	clock         func() msg.Micros // the core's
	counters      counters
}

// New returns a client that posts results to the core. The clock is the core's, in microseconds.
func New(cfg *config.Config, clock func() msg.Micros, post func(msg.Input)) *Store {
	limits := &cfg.Cluster.State
	nodes := len(cfg.Peers) + 1
	criticalBurst := max(1, int(limits.LeastWriteRPS()*writeShare), limits.Ops())
	return &Store{
		baseURL:           "http://" + cfg.External.State,
		post:              post,
		client:            httpclient.New(callTimeout, 16, 64),
		keepAliveClient:   httpclient.New(callTimeout, 2, 4),
		requestLimiter:    newRequestLimiter(limits, nodes),
		criticalLimiter:   rate.NewLimiter(rate.Limit(limits.WriteRPS*writeShare), criticalBurst),
		admissionLimiter:  newAdmissionLimiter(limits, nodes),
		admissionQuota:    limits.LeastWriteRPS() * admissionShare,
		nodes:             nodes,
		deferrableLimiter: newLeaderLimiter(limits),
		relist:            make(chan struct{}, 1),
		start:             time.Now(),
		clock:             clock,
	}
}

// AdmissionDemand is how many jobs a second this node has lately been asked to accept.
func (s *Store) AdmissionDemand() float64 { return s.admissionDemand.rate(time.Now()) }

// SetAdmissionShare sets this node's part of all admissions by what the others are asked for, in jobs
// a second. A node that is missing from others (out of reach, or of an earlier version) is taken to
// need an equal part.
func (s *Store) SetAdmissionShare(others []float64) {
	for len(others) < s.nodes-1 {
		others = append(others, s.admissionQuota/float64(s.nodes))
	}
	share := fairshare.Allocate(s.admissionQuota, s.AdmissionDemand(), others)
	s.admissionLimiter.setMinRate(time.Now(), share)
}

// FailingFor is how long no call has gone well; 0 if the last one did.
func (s *Store) FailingFor() time.Duration {
	since := s.failingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(s.start) - time.Duration(since)
}

// Do starts to carry out an effect, until ctx ends at the latest; it returns false for effects of other adapters.
func (s *Store) Do(ctx context.Context, e msg.Effect) bool {
	switch x := e.(type) {
	case msg.Commit:
		s.calls.Go(func() { s.commit(ctx, x) })
	case msg.Read:
		s.calls.Go(func() { s.read(ctx, x) })
	case msg.GrantLease:
		s.calls.Go(func() { s.grantLease(ctx, x) })
	case msg.RenewLease:
		s.renewer.Adopt(x.Lease, time.Duration(x.TTL)*time.Microsecond, time.Now())
		s.calls.Go(func() { s.renewLease(ctx, x.Lease, true) })
	case msg.ReleaseLease:
		s.renewer.Release(x.Lease)
	case msg.PollWatchFast:
		s.fastPollUntil.Store(int64(time.Since(s.start) + fastPollDuration))
	case msg.Relist:
		select {
		case s.relist <- struct{}{}:
		default:
		}
	default:
		return false
	}
	return true
}

// Wait returns once all calls have ended, and closes the connections that they leave idle. It is for after the end
// of their contexts, and of Do, Follow and RenewLeases, which start them.
func (s *Store) Wait() {
	s.calls.Wait()
	s.client.CloseIdleConnections()
	s.keepAliveClient.CloseIdleConnections()
}

// statusesWithBody are those whose bodies are decoded.
var statusesWithBody = []int{http.StatusOK, http.StatusConflict, http.StatusNotFound, http.StatusBadRequest}

// errNotExecuted marks requests that were certainly not executed.
var errNotExecuted = errors.New("not executed")

// call makes a request and returns the status; 0 and an error if there was no response.
func (s *Store) call(ctx context.Context, method, path string, in, out any) (int, error) {
	return s.callWith(ctx, s.client, method, path, in, out)
}

func (s *Store) callWith(ctx context.Context, client *http.Client, method, path string, in, out any) (int, error) {
	req, err := httpclient.NewRequest(ctx, method, s.baseURL+path, in)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errNotExecuted, err)
	}
	status, body, err := httpclient.Do(client, req, maxResponseBytes)
	if err != nil {
		s.noteFailure()
		if httpclient.NotSent(err) {
			err = fmt.Errorf("%w: %w", errNotExecuted, err)
		}
		return 0, err
	}
	if status == http.StatusServiceUnavailable {
		s.noteFailure()
	} else {
		s.failingSince.Store(0)
	}
	if out == nil || len(body) == 0 || !slices.Contains(statusesWithBody, status) {
		return status, nil
	}
	bodyIsOptional := status == http.StatusNotFound || status == http.StatusBadRequest
	if err := wire.Unmarshal(body, out); err != nil && !bodyIsOptional {
		return 0, err
	}
	return status, nil
}

func (s *Store) noteFailure() {
	s.failingSince.CompareAndSwap(0, max(1, int64(time.Since(s.start))))
}

// outcomeOf maps a status to an outcome. Statuses that mean something else for a request are up to
// the caller.
func outcomeOf(status int, err error) msg.Outcome {
	switch {
	case errors.Is(err, errNotExecuted):
		return msg.Refused
	case err != nil:
		return msg.Unknown
	case status == http.StatusOK:
		return msg.OK
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable, status == http.StatusBadRequest:
		return msg.Refused
	}
	return msg.Unknown
}

// awaitRequestQuota waits until a request may be sent.
func (s *Store) awaitRequestQuota(ctx context.Context) error {
	s.requestLimiter.recover(time.Now())
	return s.requestLimiter.limiter.Wait(ctx)
}
