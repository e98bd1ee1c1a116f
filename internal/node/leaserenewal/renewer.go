// Package leaserenewal decides when a node's lease is renewed while its loop is busy. The core requests a
// renewal every quarter of the lease's time to live. If a request is late, the lease is renewed without it,
// on connections that other requests don't delay. So one long step, or a long queue of inputs, does not
// depose a leader. Otherwise a leader that was slow for three seconds would be replaced by a successor that is
// slow for longer, since it has to rebuild all of its state. A loop that requests no renewal for too long is considered
// dead, and its lease expires.
package leaserenewal

import (
	"sync"
	"time"
)

const (
	// renewalsPerTTL leaves time to repeat a lost renewal, which times out after one second.
	renewalsPerTTL = 4
	// maxRequestGapTTLs is the time since the core's last request after which renewals stop, as a multiple of the
	// time to live.
	maxRequestGapTTLs = 3
	// retryInterval is how soon a refused renewal is sent again.
	retryInterval = 100 * time.Millisecond
	// IdleInterval is the upper bound of the time after which Due is to be called again.
	IdleInterval = 250 * time.Millisecond
)

// Renewer schedules the renewals of one lease at a time. It has no clock: callers pass the time. Its methods
// are safe for concurrent use.
type Renewer struct {
	mu          sync.Mutex
	lease       uint64 // 0 if there is none
	ttl         time.Duration
	requestedAt time.Time // when the core last requested a renewal or the lease
	renewedAt   time.Time // when the last renewal was sent; set back by NoteRefused, so that the next is due earlier
}

// Start starts or continues to renew a lease that the core has just requested or renewed. The time to live of
// a new lease counts from requestedAt, when it was requested.
func (r *Renewer) Start(lease uint64, ttl time.Duration, requestedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.ttl = lease, ttl
	r.requestedAt, r.renewedAt = requestedAt, requestedAt
}

// Stop stops renewing a lease that the core has released, or that has expired.
func (r *Renewer) Stop(lease uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == lease {
		r.lease = 0
	}
}

// NoteRefused schedules a retry after retryInterval for a renewal that was refused for the state service's quota:
// the quota is used up for a moment only, and leadership depends on the lease.
func (r *Renewer) NoteRefused(lease uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == lease {
		r.renewedAt = now.Add(retryInterval - r.interval())
	}
}

// interval returns the time between renewals. The core requests renewals slightly more often, so that no others
// are sent on a node whose loop keeps up.
func (r *Renewer) interval() time.Duration { return r.ttl/renewalsPerTTL + r.ttl/16 }

// Due returns the lease to renew now, or 0 if there is none, and the time after which to call it again.
func (r *Renewer) Due(now time.Time) (lease uint64, next time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == 0 || now.Sub(r.requestedAt) > maxRequestGapTTLs*r.ttl {
		return 0, IdleInterval
	}
	if left := r.interval() - now.Sub(r.renewedAt); left > 0 {
		return 0, min(left, IdleInterval)
	}
	r.renewedAt = now
	return r.lease, IdleInterval
}
