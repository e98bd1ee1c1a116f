// Package store carries out the core's dealings with the state service.
package store

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
	"coralhub/internal/node/call"
	"coralhub/internal/node/keep"
	"coralhub/internal/node/share"
	"coralhub/internal/wait"
	"coralhub/wire"
)

const (
	callTimeout  = 2 * time.Second
	renewTimeout = time.Second
	quotaTries   = 3 // again, when the quota is used up for the moment
	quotaPause   = 80 * time.Millisecond
	watchWait    = 3 * time.Second // homes answer workers by how recent the last one is
	closelyFor   = 3 * time.Second // so long the watch answers at its pace, changes or not
	maxAnswer    = 64 << 20
)

// Store is a client of the state service.
type Store struct {
	base    string
	post    func(msg.Input)
	http    *http.Client
	alive   *http.Client // for leases and the watch alone: nothing that users fill goes before them
	keeper  keep.Keeper
	calls   *paced        // all requests but those that keep the node alive
	writes  *rate.Limiter // changes that go first
	accept  *paced        // jobs that are accepted
	wants   wants         // how many it is asked to accept
	whole   float64       // of all nodes' accepts, a second
	nodes   int
	later   *paced // what a leader writes that can wait
	relist  chan struct{}
	pace    time.Duration
	closely atomic.Int64 // until when the watch follows closely, since the start
	badAt   atomic.Int64 // since when every call has failed; 0 if the last went well
	start   time.Time
	clock   func() msg.Micros // the core's
	tally   tally
}

// New returns a client that posts its results, in times of the core's clock.
func New(cfg *config.Config, clock func() msg.Micros, post func(msg.Input)) *Store {
	s := &cfg.Cluster.State
	nodes := len(cfg.Peers) + 1
	return &Store{
		base: "http://" + cfg.External.State, post: post,
		http:   call.Client(callTimeout, 16, 64),
		alive:  call.Client(callTimeout, 2, 4),
		calls:  newCallPace(s, nodes),
		writes: rate.NewLimiter(rate.Limit(s.WriteRPS*0.7), max(1, int(s.LeastWriteRPS()*0.7), s.Ops())),
		accept: newAcceptPace(s, nodes),
		whole:  s.LeastWriteRPS() * acceptsPart,
		nodes:  nodes,
		later:  newLeaderPace(s),
		relist: make(chan struct{}, 1),
		pace:   100 * time.Millisecond,
		start:  time.Now(),
		clock:  clock,
	}
}

// KeepAlive renews the lease that the core wants kept, however busy it is, until ctx ends.
func (s *Store) KeepAlive(ctx context.Context) {
	for ctx.Err() == nil {
		lease, in := s.keeper.Due(time.Now())
		if lease != 0 {
			go s.renew(lease, false)
		}
		wait.For(ctx, in)
	}
}

// Accepts tells how many jobs a second this node has lately been asked to accept.
func (s *Store) Accepts() float64 { return s.wants.rate(time.Now()) }

// Share gives this node its part of all accepts, by what the others want. Of one that says
// nothing, being out of reach or of an earlier version, an equal part is supposed.
func (s *Store) Share(others []float64) {
	for len(others) < s.nodes-1 {
		others = append(others, s.whole/float64(s.nodes))
	}
	s.accept.setLeast(time.Now(), share.Part(s.whole, s.Accepts(), others))
}

// FailingFor tells for how long no call has gone well.
func (s *Store) FailingFor() time.Duration {
	bad := s.badAt.Load()
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
		s.keeper.Want(x.Lease, time.Duration(x.TTL)*time.Microsecond, time.Now())
		go s.renew(x.Lease, true)
	case msg.DropLease:
		s.keeper.Drop(x.Lease)
	case msg.FollowClosely:
		s.closely.Store(int64(time.Since(s.start) + closelyFor))
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
	req, err := call.Request(ctx, method, s.base+path, in)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errRefused, err)
	}
	status, raw, err := call.Do(by, req, maxAnswer)
	if err != nil {
		s.failed()
		if call.NotSent(err) {
			err = fmt.Errorf("%w: %w", errRefused, err)
		}
		return 0, err
	}
	if status == http.StatusServiceUnavailable {
		s.failed()
	} else {
		s.badAt.Store(0)
	}
	if out != nil && slices.Contains(answered, status) && len(raw) > 0 {
		if err := wire.Unmarshal(raw, out); err != nil && status != http.StatusNotFound && status != http.StatusBadRequest {
			return 0, err
		}
	}
	return status, nil
}

func (s *Store) failed() { s.badAt.CompareAndSwap(0, max(1, int64(time.Since(s.start)))) }

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
	if s.ask(ctx) != nil || s.turn(ctx, &x) != nil {
		s.tally.unsent[x.Turn].Add()
	} else {
		var a wire.CommitAnswer
		s.tally.transactions[x.For].Add()
		status, err := s.call(ctx, http.MethodPost, wire.PathCommit, x.Txn, &a)
		// The quota allows bursts: a moment later there is mostly room again for
		// what somebody waits for.
		for try := 0; x.Turn != msg.Later && status == http.StatusTooManyRequests && try < quotaTries; try++ {
			s.took(&x, true)
			wait.For(ctx, quotaPause)
			s.tally.transactions[x.For].Add()
			status, err = s.call(ctx, http.MethodPost, wire.PathCommit, x.Txn, &a)
		}
		done.Outcome, done.Revision, done.Failed = outcome(status, err), a.Revision, a.Failed
		refused := status == http.StatusTooManyRequests
		s.took(&x, refused)
		switch {
		case refused:
			s.tally.refused[x.Turn].Add()
		case len(x.Txn.Changes) > 0:
			s.tally.taken[x.Turn].Add()
			s.tally.changes[x.For].AddN(len(x.Txn.Changes))
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
	s.calls.recover(time.Now())
	return s.calls.limiter.Wait(ctx)
}

// took hears whether a transaction was refused for a quota: of changes if it has any, or else
// of requests. What a leader writes that can wait slows down with the others.
func (s *Store) took(x *msg.Commit, refused bool) {
	now := time.Now()
	if len(x.Txn.Changes) == 0 {
		s.calls.took(now, refused)
		return
	}
	if x.Turn == msg.Accept {
		s.accept.took(now, refused)
	}
	if x.Turn == msg.Later || refused {
		s.later.took(now, refused)
	}
}

// turn waits until the changes of a transaction may be sent.
func (s *Store) turn(ctx context.Context, x *msg.Commit) error {
	n := len(x.Txn.Changes)
	if n == 0 {
		return nil
	}
	limiter := s.writes
	switch x.Turn {
	case msg.Accept:
		s.wants.one(time.Now())
		s.accept.recover(time.Now())
		limiter = s.accept.limiter
	case msg.Later:
		s.later.recover(time.Now())
		limiter = s.later.limiter
	}
	return limiter.WaitN(ctx, n)
}

func (s *Store) read(x msg.Read) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	done := msg.ReadDone{ID: x.ID, Outcome: msg.Refused, Key: x.Key}
	if s.ask(ctx) == nil {
		s.tally.reads.Add()
		status, err := s.call(ctx, http.MethodGet, wire.PathStore+"/"+x.Key, nil, &done.Item)
		s.calls.took(time.Now(), status == http.StatusTooManyRequests)
		done.Outcome = outcome(status, err)
		if err == nil && status == http.StatusNotFound {
			done.Outcome, done.Item = msg.OK, wire.Item{}
		}
	}
	s.post(done)
}

func (s *Store) grant(x msg.GrantLease) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	began := time.Now()
	s.tally.leases.Add()
	var a wire.LeaseAnswer
	status, err := s.callOn(ctx, s.alive, http.MethodPost, wire.PathLeases, wire.LeaseRequest{TTLms: x.TTL / 1000}, &a)
	done := msg.LeaseDone{Outcome: outcome(status, err), Lease: a.Lease, Age: time.Since(began).Microseconds()}
	if done.Outcome == msg.OK {
		s.keeper.Want(a.Lease, time.Duration(x.TTL)*time.Microsecond, began)
	}
	s.post(done)
}

// renew renews a lease. What the core didn't ask for it hears of only if it went well, or if
// the lease is gone.
func (s *Store) renew(lease uint64, asked bool) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	began := time.Now()
	s.tally.leases.Add()
	path := wire.PathLeases + "/" + strconv.FormatUint(lease, 10) + "/" + wire.ExtendVerb
	status, err := s.callOn(ctx, s.alive, http.MethodPost, path, struct{}{}, nil)
	done := msg.LeaseDone{Outcome: outcome(status, err), Lease: lease, Renewal: true}
	switch {
	case err == nil && status == http.StatusNotFound:
		done.Outcome = msg.Gone
		s.keeper.Drop(lease)
	case done.Outcome == msg.Refused:
		s.keeper.Refused(lease, time.Now())
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
		q := url.Values{"under": {job.Root}, "most": {strconv.Itoa(wire.MaxRows)}}
		if from != "" {
			q.Set("from", from)
		}
		bounded, cancel := context.WithTimeout(ctx, 2*callTimeout)
		s.tally.lists.Add()
		var a wire.Items
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
		if int64(time.Since(s.start)) < s.closely.Load() {
			most = s.pace
		}
		q := url.Values{"under": {job.Root}, "from": {strconv.FormatUint(from, 10)},
			"wait_ms": {strconv.FormatInt(most.Milliseconds(), 10)}}
		bounded, done := context.WithTimeout(ctx, watchWait+5*time.Second)
		s.tally.watches.Add()
		var a wire.Changes
		status, err := s.callOn(bounded, s.alive, http.MethodGet, wire.PathChanges+"?"+q.Encode(), nil, &a)
		done()
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && status == http.StatusOK:
			s.post(msg.Changed{Events: a.Events, AsOf: asOf})
			from = max(from, a.Revision)
			wait.For(ctx, s.pace-time.Since(began))
		case err == nil && status == http.StatusGone:
			return
		default:
			wait.For(ctx, 300*time.Millisecond)
		}
	}
}
