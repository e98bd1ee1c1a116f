package kvstore

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"coralhub/internal/core/msg"
	"coralhub/internal/wait"
	"coralhub/wire"
)

// RenewLeases renews the core's lease until ctx ends, also while the core is busy.
func (s *Store) RenewLeases(ctx context.Context) {
	for ctx.Err() == nil {
		lease, next := s.renewer.Due(time.Now())
		if lease != 0 {
			s.calls.Go(func() { s.renewLease(ctx, lease, false) })
		}
		wait.For(ctx, next)
	}
}

func (s *Store) grantLease(ctx context.Context, x msg.GrantLease) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := time.Now()
	s.counters.leases.Add()
	var granted wire.LeaseGrant
	request := wire.LeaseRequest{TTLms: x.TTL / 1000}
	status, err := s.callWith(ctx, s.keepAliveClient, http.MethodPost, wire.PathLeases, request, &granted)
	done := msg.LeaseDone{Outcome: outcomeOf(status, err), Lease: granted.Lease, Age: time.Since(sentAt).Microseconds()}
	if done.Outcome == msg.OK {
		s.renewer.Start(granted.Lease, time.Duration(x.TTL)*time.Microsecond, sentAt)
	}
	s.post(done)
}

// renewLease renews a lease. If the core requested the renewal, the result is always posted; otherwise it
// is posted only if the renewal succeeded or the lease has expired.
func (s *Store) renewLease(ctx context.Context, lease uint64, requested bool) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := time.Now()
	s.counters.leases.Add()
	path := wire.PathLeases + "/" + strconv.FormatUint(lease, 10) + "/" + wire.ExtendVerb
	status, err := s.callWith(ctx, s.keepAliveClient, http.MethodPost, path, struct{}{}, nil)
	done := msg.LeaseDone{Outcome: outcomeOf(status, err), Lease: lease, IsRenewal: true}
	switch {
	case err == nil && status == http.StatusNotFound:
		done.Outcome = msg.Gone
		s.renewer.Stop(lease)
	case done.Outcome == msg.Refused:
		s.renewer.NoteRefused(lease, time.Now())
	}
	done.Age = time.Since(sentAt).Microseconds()
	if requested || done.Outcome == msg.OK || done.Outcome == msg.Gone {
		s.post(done)
	}
}
