package kvstore

import (
	"context"
	"net/http"
	"time"

	"coralhub/internal/core/msg"
	"coralhub/internal/wait"
	"coralhub/wire"
)

// commit executes a transaction and posts its result.
func (s *Store) commit(ctx context.Context, x msg.Commit) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done := msg.CommitDone{ID: x.ID, Outcome: msg.Refused}
	if s.awaitRequestQuota(ctx) != nil || s.awaitWriteQuota(ctx, &x) != nil {
		s.counters.unsent[x.Priority].Add()
		s.post(done)
		return
	}
	result, status, err := s.sendWithRetries(ctx, &x)
	done.Outcome = transactionOutcome(status, err, &result)
	done.Revision, done.Failed = result.Revision, result.FailedKeys
	s.post(done)
}

// sendWithRetries sends a transaction. The quota allows bursts, and part of it is usually available again a
// moment after it is used up. Transactions that a caller waits for are therefore retried.
func (s *Store) sendWithRetries(ctx context.Context, x *msg.Commit) (wire.TransactionResult, int, error) {
	var result wire.TransactionResult
	status, err := s.send(ctx, x, &result)
	for retry := 0; retry < quotaRetries && mayRetry(x, status); retry++ {
		s.noteQuota(x, true)
		wait.For(ctx, quotaRetryInterval)
		status, err = s.send(ctx, x, &result)
	}
	refused := status == http.StatusTooManyRequests
	s.noteQuota(x, refused)
	switch {
	case refused:
		s.counters.refused[x.Priority].Add()
	case len(x.Transaction.Changes) > 0:
		s.counters.accepted[x.Priority].Add()
		s.counters.changes[x.Purpose].AddN(len(x.Transaction.Changes))
	}
	return result, status, err
}

// mayRetry reports whether to retry a transaction whose response had the given status.
func mayRetry(x *msg.Commit, status int) bool {
	return status == http.StatusTooManyRequests && x.Priority != msg.Deferrable
}

func (s *Store) send(ctx context.Context, x *msg.Commit, result *wire.TransactionResult) (int, error) {
	s.counters.transactions[x.Purpose].Add()
	return s.call(ctx, http.MethodPost, wire.PathCommit, x.Transaction, result)
}

func transactionOutcome(status int, err error, result *wire.TransactionResult) msg.Outcome {
	switch {
	case err != nil:
	case status == http.StatusConflict:
		return msg.Conflict
	case status == http.StatusBadRequest && result.Error == wire.NoSuchLease:
		return msg.Gone
	case status == http.StatusBadRequest:
		return msg.Invalid
	}
	return outcomeOf(status, err)
}

// noteQuota reports to the limiters whether a transaction was refused for a quota: that of changes if it has
// any, otherwise that of requests. Deferrable changes also slow down when changes of other priorities are
// refused.
func (s *Store) noteQuota(x *msg.Commit, refused bool) {
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

// awaitWriteQuota waits until the rate limiter permits the changes of a transaction. It fails if that is not
// before the end of ctx.
func (s *Store) awaitWriteQuota(ctx context.Context, x *msg.Commit) error {
	changes := len(x.Transaction.Changes)
	if changes == 0 {
		return nil
	}
	limiter := s.criticalLimiter
	switch x.Priority {
	case msg.Admission:
		s.admissionDemand.add(time.Now())
		s.admissionLimiter.recover(time.Now())
		limiter = s.admissionLimiter.limiter
	case msg.Deferrable:
		s.deferrableLimiter.recover(time.Now())
		limiter = s.deferrableLimiter.limiter
	}
	return limiter.WaitN(ctx, changes)
}

// read reads a key and posts the result. A key that does not exist has version 0.
func (s *Store) read(ctx context.Context, x msg.Read) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done := msg.ReadDone{ID: x.ID, Outcome: msg.Refused, Key: x.Key}
	if s.awaitRequestQuota(ctx) != nil {
		s.post(done)
		return
	}
	s.counters.reads.Add()
	status, err := s.call(ctx, http.MethodGet, wire.PathStore+"/"+x.Key, nil, &done.Item)
	s.requestLimiter.observe(time.Now(), status == http.StatusTooManyRequests)
	done.Outcome = outcomeOf(status, err)
	if err == nil && status == http.StatusNotFound {
		done.Outcome, done.Item = msg.OK, wire.KeyValue{}
	}
	s.post(done)
}
