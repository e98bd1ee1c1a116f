// Package kvstore carries out the core's dealings with the state service.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/node/fairshare"
	"coralhub/internal/node/httpclient"
	"coralhub/internal/node/leaserenewal"
	"coralhub/internal/wait"
	"coralhub/wire"
)

const (
	callTimeout      = 2 * time.Second
	renewTimeout     = time.Second
	quotaTries       = 3 // again, when the quota is used up for the moment
	quotaPause       = 80 * time.Millisecond
	watchWait        = 3 * time.Second // homes answer workers by how recent the last one is
	fastPollDuration = 3 * time.Second // so long the watch answers at its pace, changes or not
	maxAnswer        = 64 << 20
)

// Store is a client of the state service.
type Store struct {
	base              string
	post              func(msg.Input)
	http              *http.Client
	alive             *http.Client // for leases and the watch alone: nothing that users fill goes before them
	renewer           leaserenewal.Renewer
	requestLimiter    *rateLimiter  // all requests but those that keep the node alive
	writes            *rate.Limiter // changes that go first
	admissionLimiter  *rateLimiter  // jobs that are accepted
	admissionDemand   demand        // how many it is asked to accept
	whole             float64       // of all nodes' accepts, a second
	nodes             int
	deferrableLimiter *rateLimiter // what a leader writes that can wait
	relist            chan struct{}
	pace              time.Duration
	fastPollUntil     atomic.Int64 // until when the watch follows closely, since the start
	failingSince      atomic.Int64 // since when every call has failed; 0 if the last went well
	start             time.Time
	clock             func() msg.Micros // the core's
	counters          counters
}

// New returns a client that posts its results, in times of the core's clock.
func New(cfg *config.Config, clock func() msg.Micros, post func(msg.Input)) *Store {
	s := &cfg.Cluster.State
	nodes := len(cfg.Peers) + 1
	return &Store{
		base: "http://" + cfg.External.State, post: post,
		http:              httpclient.Client(callTimeout, 16, 64),
		alive:             httpclient.Client(callTimeout, 2, 4),
		requestLimiter:    newRequestLimiter(s, nodes),
		writes:            rate.NewLimiter(rate.Limit(s.WriteRPS*0.7), max(1, int(s.LeastWriteRPS()*0.7), s.Ops())),
		admissionLimiter:  newAdmissionLimiter(s, nodes),
		whole:             s.LeastWriteRPS() * admissionShare,
		nodes:             nodes,
		deferrableLimiter: newLeaderLimiter(s),
		relist:            make(chan struct{}, 1),
		pace:              100 * time.Millisecond,
		start:             time.Now(),
		clock:             clock,
	}
}

// RenewLeases renews the lease that the core wants kept, however busy it is, until ctx ends.
func (s *Store) RenewLeases(ctx context.Context) {
	for ctx.Err() == nil {
		lease, in := s.renewer.Due(time.Now())
		if lease != 0 {
			go s.renew(lease, false)
		}
		wait.For(ctx, in)
	}
}

// AdmissionDemand tells how many jobs a second this node has lately been asked to accept.
func (s *Store) AdmissionDemand() float64 { return s.admissionDemand.rate(time.Now()) }

// SetAdmissionShare gives this node its part of all accepts, by what the others want. Of one that says
// nothing, being out of reach or of an earlier version, an equal part is supposed.
func (s *Store) SetAdmissionShare(others []float64) {
	for len(others) < s.nodes-1 {
		others = append(others, s.whole/float64(s.nodes))
	}
	s.admissionLimiter.setMinRate(time.Now(), fairshare.Allocate(s.whole, s.AdmissionDemand(), others))
}

// FailingFor tells for how long no call has gone well.
func (s *Store) FailingFor() time.Duration {
	bad := s.failingSince.Load()
	if bad == 0 {
		return 0
	}
	return time.Since(s.start) - time.Duration(bad)
}

// Do carries out an effect; it returns false for effects of other adapters.
func (s *Store) Do(e msg.Effect) bool {
	switch x := e.(type) {
	case msg.Commit:
		go s.commit(x)
	case msg.Read:
		go s.read(x)
	case msg.GrantLease:
		go s.grant(x)
	case msg.RenewLease:
		s.renewer.Adopt(x.Lease, time.Duration(x.TTL)*time.Microsecond, time.Now())
		go s.renew(x.Lease, true)
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

// answered lists the statuses whose bodies tell more.
var answered = []int{http.StatusOK, http.StatusConflict, http.StatusNotFound, http.StatusBadRequest}

// errRefused marks calls that were certainly not executed.
var errRefused = errors.New("refused")

// call makes a request and returns the status, 0 if there was no answer.
func (s *Store) call(ctx context.Context, method, path string, in, out any) (int, error) {
	return s.callOn(ctx, s.http, method, path, in, out)
}

func (s *Store) callOn(ctx context.Context, by *http.Client, method, path string, in, out any) (int, error) {
	req, err := httpclient.Request(ctx, method, s.base+path, in)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errRefused, err)
	}
	status, raw, err := httpclient.Do(by, req, maxAnswer)
	if err != nil {
		s.failed()
		if httpclient.NotSent(err) {
			err = fmt.Errorf("%w: %w", errRefused, err)
		}
		return 0, err
	}
	if status == http.StatusServiceUnavailable {
		s.failed()
	} else {
		s.failingSince.Store(0)
	}
	if out != nil && slices.Contains(answered, status) && len(raw) > 0 {
		if err := wire.Unmarshal(raw, out); err != nil && status != http.StatusNotFound && status != http.StatusBadRequest {
			return 0, err
		}
	}
	return status, nil
}

func (s *Store) failed() { s.failingSince.CompareAndSwap(0, max(1, int64(time.Since(s.start)))) }

// outcome maps a status; statuses that mean something else are up to the caller.
func outcome(status int, err error) msg.Outcome {
	switch {
	case errors.Is(err, errRefused):
		return msg.Refused
	case err != nil:
		return msg.Unknown
	case status == http.StatusOK:
		return msg.OK
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusBadRequest:
		return msg.Refused
	}
	return msg.Unknown
}

func (s *Store) commit(x msg.Commit) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	done := msg.CommitDone{ID: x.ID, Outcome: msg.Refused}
	if s.ask(ctx) != nil || s.limiterFor(ctx, &x) != nil {
		s.counters.unsent[x.Priority].Add()
	} else {
		var a wire.TransactionResult
		s.counters.transactions[x.Purpose].Add()
		status, err := s.call(ctx, http.MethodPost, wire.PathCommit, x.Transaction, &a)
		// The quota allows bursts: a moment later there is mostly room again for
		// what somebody waits for.
		for try := 0; x.Priority != msg.Deferrable && status == http.StatusTooManyRequests && try < quotaTries; try++ {
			s.noteOutcome(&x, true)
			wait.For(ctx, quotaPause)
			s.counters.transactions[x.Purpose].Add()
			status, err = s.call(ctx, http.MethodPost, wire.PathCommit, x.Transaction, &a)
		}
		done.Outcome, done.Revision, done.Failed = outcome(status, err), a.Revision, a.Failed
		refused := status == http.StatusTooManyRequests
		s.noteOutcome(&x, refused)
		switch {
		case refused:
			s.counters.refused[x.Priority].Add()
		case len(x.Transaction.Changes) > 0:
			s.counters.accepted[x.Priority].Add()
			s.counters.changes[x.Purpose].AddN(len(x.Transaction.Changes))
		}
		switch {
		case err != nil:
		case status == http.StatusConflict:
			done.Outcome = msg.Conflict
		case status == http.StatusBadRequest && a.Error == wire.NoSuchLease:
			done.Outcome = msg.Gone
		case status == http.StatusBadRequest:
			done.Outcome = msg.Invalid
		}
	}
	s.post(done)
}

// ask waits until a request may be sent.
func (s *Store) ask(ctx context.Context) error {
	s.requestLimiter.recover(time.Now())
	return s.requestLimiter.limiter.Wait(ctx)
}

// noteOutcome hears whether a transaction was refused for a quota: of changes if it has any, or else
// of requests. What a leader writes that can wait slows down with the others.
func (s *Store) noteOutcome(x *msg.Commit, refused bool) {
	now := time.Now()
	if len(x.Transaction.Changes) == 0 {
		s.requestLimiter.observe(now, refused)
		return
	}
	if x.Priority == msg.Admission {
		s.admissionLimiter.observe(now, refused)
	}
	if x.Priority == msg.Deferrable || refused {
		s.deferrableLimiter.observe(now, refused)
	}
}

// limiterFor waits until the changes of a transaction may be sent.
func (s *Store) limiterFor(ctx context.Context, x *msg.Commit) error {
	n := len(x.Transaction.Changes)
	if n == 0 {
		return nil
	}
	limiter := s.writes
	switch x.Priority {
	case msg.Admission:
		s.admissionDemand.add(time.Now())
		s.admissionLimiter.recover(time.Now())
		limiter = s.admissionLimiter.limiter
	case msg.Deferrable:
		s.deferrableLimiter.recover(time.Now())
		limiter = s.deferrableLimiter.limiter
	}
	return limiter.WaitN(ctx, n)
}

func (s *Store) read(x msg.Read) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	done := msg.ReadDone{ID: x.ID, Outcome: msg.Refused, Key: x.Key}
	if s.ask(ctx) == nil {
		s.counters.reads.Add()
		status, err := s.call(ctx, http.MethodGet, wire.PathStore+"/"+x.Key, nil, &done.Item)
		s.requestLimiter.observe(time.Now(), status == http.StatusTooManyRequests)
		done.Outcome = outcome(status, err)
		if err == nil && status == http.StatusNotFound {
			done.Outcome, done.Item = msg.OK, wire.KeyValue{}
		}
	}
	s.post(done)
}

func (s *Store) grant(x msg.GrantLease) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	began := time.Now()
	s.counters.leases.Add()
	var a wire.LeaseGrant
	status, err := s.callOn(ctx, s.alive, http.MethodPost, wire.PathLeases, wire.LeaseRequest{TTLms: x.TTL / 1000}, &a)
	done := msg.LeaseDone{Outcome: outcome(status, err), Lease: a.Lease, Age: time.Since(began).Microseconds()}
	if done.Outcome == msg.OK {
		s.renewer.Adopt(a.Lease, time.Duration(x.TTL)*time.Microsecond, began)
	}
	s.post(done)
}

// renew renews a lease. What the core didn't ask for it hears of only if it went well, or if
// the lease is gone.
func (s *Store) renew(lease uint64, asked bool) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	began := time.Now()
	s.counters.leases.Add()
	path := wire.PathLeases + "/" + strconv.FormatUint(lease, 10) + "/" + wire.ExtendVerb
	status, err := s.callOn(ctx, s.alive, http.MethodPost, path, struct{}{}, nil)
	done := msg.LeaseDone{Outcome: outcome(status, err), Lease: lease, IsRenewal: true}
	switch {
	case err == nil && status == http.StatusNotFound:
		done.Outcome = msg.Gone
		s.renewer.Release(lease)
	case done.Outcome == msg.Refused:
		s.renewer.NoteRefused(lease, time.Now())
	}
	if done.Age = time.Since(began).Microseconds(); asked || done.Outcome == msg.OK || done.Outcome == msg.Gone {
		s.post(done)
	}
}

// Follow lists all keys and then watches them until ctx ends.
func (s *Store) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		rev, err := s.list(ctx)
		if err != nil {
			wait.For(ctx, 300*time.Millisecond)
			continue
		}
		s.watch(ctx, rev)
	}
}

func (s *Store) list(ctx context.Context) (uint64, error) {
	var all msg.Snapshot
	from := ""
	for page := 0; ; page++ {
		if err := s.ask(ctx); err != nil {
			return 0, err
		}
		q := url.Values{"under": {job.KeyRoot}, "most": {strconv.Itoa(wire.MaxRows)}}
		if from != "" {
			q.Set("from", from)
		}
		bounded, cancel := context.WithTimeout(ctx, 2*callTimeout)
		s.counters.lists.Add()
		var a wire.KeyValuePage
		status, err := s.call(bounded, http.MethodGet, wire.PathStore+"?"+q.Encode(), nil, &a)
		cancel()
		if err != nil {
			return 0, err
		}
		if status != http.StatusOK {
			return 0, fmt.Errorf("list: status %d", status)
		}
		if page == 0 {
			all.Revision = a.Revision
		}
		all.Items = append(all.Items, a.Items...)
		if !a.More || len(a.Items) == 0 {
			break
		}
		from = a.Items[len(a.Items)-1].Key
	}
	s.post(all)
	return all.Revision, nil
}

// watch follows changes until a new listing is needed.
func (s *Store) watch(ctx context.Context, from uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-s.relist:
			cancel()
		case <-stop:
		}
	}()
	for ctx.Err() == nil {
		began, asOf := time.Now(), s.clock()
		most := watchWait
		if int64(time.Since(s.start)) < s.fastPollUntil.Load() {
			most = s.pace
		}
		q := url.Values{"under": {job.KeyRoot}, "from": {strconv.FormatUint(from, 10)},
			"wait_ms": {strconv.FormatInt(most.Milliseconds(), 10)}}
		bounded, done := context.WithTimeout(ctx, watchWait+5*time.Second)
		s.counters.watches.Add()
		var a wire.WatchResponse
		status, err := s.callOn(bounded, s.alive, http.MethodGet, wire.PathChanges+"?"+q.Encode(), nil, &a)
		done()
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && status == http.StatusOK:
			s.post(msg.Changed{Events: a.Events, CurrentAt: asOf})
			from = max(from, a.Revision)
			wait.For(ctx, s.pace-time.Since(began))
		case err == nil && status == http.StatusGone:
			return
		default:
			wait.For(ctx, 300*time.Millisecond)
		}
	}
}
