// Package kvstore is the client of the state service, a consensus-backed key-value store: it
// executes the core's transactions and reads, renews leases, and watches all keys.
//
// The service's quotas apply to all nodes together. Requests and changes are limited by a separate rate
// limiter for each purpose, see rate_limiter.go.
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
	// quotaRetries is how often a transaction that a caller waits for is retried when the quota is used up,
	// each time after quotaRetryInterval.
	quotaRetries       = 3
	quotaRetryInterval = 80 * time.Millisecond
	// maxWatchWait is how long a watch without changes stays open. Whether a relay may answer workers
	// depends on the age of the last watch response.
	maxWatchWait = 3 * time.Second
	// watchInterval is the minimum time between the starts of two watches.
	watchInterval = 100 * time.Millisecond
	// fastPollDuration is for how long after msg.PollWatchFast each watch ends within watchInterval,
	// even without changes.
	fastPollDuration = 3 * time.Second
	// watchRetryInterval is the time from a failed list or watch request to the next attempt.
	watchRetryInterval = 300 * time.Millisecond
	maxResponseBytes   = 64 << 20
	// criticalShare is the share of the quota of changes for transactions with priority msg.Critical.
	criticalShare = 0.7
)

// Store is a client of the state service. Its methods except Counters are safe for concurrent use.
type Store struct {
	baseURL string
	post    func(msg.Input)
	client  *http.Client
	// keepAliveClient is used for leases and the watch only, so that these never wait behind requests
	// that are sent on behalf of users.
	keepAliveClient *http.Client
	renewer         leaserenewal.Renewer
	calls           sync.WaitGroup // running in the background

	requestLimiter    *rateLimiter  // all requests except those of keepAliveClient
	criticalLimiter   *rate.Limiter // changes with priority msg.Critical
	admissionLimiter  *rateLimiter  // changes with priority msg.Admission
	deferrableLimiter *rateLimiter  // changes with priority msg.Deferrable
	admissionDemand   demand        // jobs per second that this node is asked to accept
	admissionQuota    float64       // jobs per second that all nodes together may accept
	nodes             int

	relist        chan struct{}
	fastPollUntil atomic.Int64 // nanoseconds since start
	failingSince  atomic.Int64 // nanoseconds since start; 0 if the last call succeeded
	start         time.Time
	clock         func() msg.Micros // the core's clock
	counters      counters
}

// New returns a client that posts results to the core. clock is the core's clock, in microseconds.
func New(cfg *config.Config, clock func() msg.Micros, post func(msg.Input)) *Store {
	limits := &cfg.Cluster.State
	nodes := len(cfg.Peers) + 1
	criticalBurst := max(1, int(limits.MinWriteRPS()*criticalShare), limits.MaxTxnOps())
	return &Store{
		baseURL:           "http://" + cfg.External.State,
		post:              post,
		client:            httpclient.New(callTimeout, 16, 64),
		keepAliveClient:   httpclient.New(callTimeout, 2, 4),
		requestLimiter:    newRequestLimiter(limits, nodes),
		criticalLimiter:   rate.NewLimiter(rate.Limit(limits.WriteRPS*criticalShare), criticalBurst),
		admissionLimiter:  newAdmissionLimiter(limits, nodes),
		admissionQuota:    limits.MinWriteRPS() * admissionShare,
		nodes:             nodes,
		deferrableLimiter: newLeaderLimiter(limits),
		relist:            make(chan struct{}, 1),
		start:             time.Now(),
		clock:             clock,
	}
}

// AdmissionDemand returns the recent average rate of jobs that this node was asked to accept, in
// jobs per second.
func (s *Store) AdmissionDemand() float64 { return s.admissionDemand.rate(time.Now()) }

// SetAdmissionShare sets this node's share of the admission quota from the demands of the other nodes, in
// jobs per second. A node that is missing from others (unreachable, or of an earlier version) is assumed
// to need an equal share of the quota.
func (s *Store) SetAdmissionShare(others []float64) {
	for len(others) < s.nodes-1 {
		others = append(others, s.admissionQuota/float64(s.nodes))
	}
	share := fairshare.Allocate(s.admissionQuota, s.AdmissionDemand(), others)
	s.admissionLimiter.setMinRate(time.Now(), share)
}

// FailingFor returns for how long all calls have failed, or 0 if the last call succeeded.
func (s *Store) FailingFor() time.Duration {
	since := s.failingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(s.start) - time.Duration(since)
}

// Do starts to execute an effect, which ends with ctx at the latest. It returns false for effects of other adapters.
func (s *Store) Do(ctx context.Context, e msg.Effect) bool {
	switch x := e.(type) {
	case msg.Commit:
		s.calls.Go(func() { s.commit(ctx, x) })
	case msg.Read:
		s.calls.Go(func() { s.read(ctx, x) })
	case msg.GrantLease:
		s.calls.Go(func() { s.grantLease(ctx, x) })
	case msg.RenewLease:
		s.renewer.Start(x.Lease, time.Duration(x.TTL)*time.Microsecond, time.Now())
		s.calls.Go(func() { s.renewLease(ctx, x.Lease, true) })
	case msg.ReleaseLease:
		s.renewer.Stop(x.Lease)
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

// Wait waits until all calls have ended and then closes the idle connections. It may be called only after the
// contexts of the calls and all uses of Do, ListAndWatch and RenewLeases, which start calls, have ended.
func (s *Store) Wait() {
	s.calls.Wait()
	s.client.CloseIdleConnections()
	s.keepAliveClient.CloseIdleConnections()
}

// statusesWithBody are the response statuses whose bodies are decoded.
var statusesWithBody = []int{http.StatusOK, http.StatusConflict, http.StatusNotFound, http.StatusBadRequest}

// errNotExecuted marks requests that were certainly not executed.
var errNotExecuted = errors.New("request was not executed")

// call sends a request and returns the status of the response. It returns 0 and an error if there was no
// response, or if its body could not be decoded.
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

// outcomeOf maps the result of a request to an outcome. Callers handle statuses that have a different
// meaning for their request.
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

// awaitRequestQuota waits until the rate limiter permits a request. It fails if that is not before the end of ctx.
func (s *Store) awaitRequestQuota(ctx context.Context) error {
	s.requestLimiter.recover(time.Now())
	return s.requestLimiter.limiter.Wait(ctx)
}
