// Package leaserenewal decides when a node's lease is renewed while its loop is busy. The core asks for a
// renewal every quarter of the lease's time to live; in between, the lease is renewed without it, on
// a connection that nothing else uses. So one long step, or a long queue of inputs, does not depose a
// leader: one that was slow for three seconds would be followed by a successor that is slow for
// longer, since it has everything to rebuild. A loop that asks for nothing for too long is taken
// for dead, and its lease expires.
package leaserenewal

import (
	"sync"
	"time"
)

const (
	// renewalsPerTTL leaves time for a renewal that is lost, which takes a second to be given up.
	renewalsPerTTL = 4
	// maxSilenceTTLs is for how many times to live the core may ask for nothing.
	maxSilenceTTLs = 3
	// retryInterval is how soon a refused renewal is sent again.
	retryInterval = 100 * time.Millisecond
	// IdleInterval is how often a Renewer without a due lease is to be asked again.
	IdleInterval = 250 * time.Millisecond
)

// Renewer schedules the renewals of one lease at a time. It has no clock: times are given to it. Its methods
// may be called from any goroutine.
type Renewer struct {
	mu          sync.Mutex
	lease       uint64 // 0: none
	ttl         time.Duration
	requestedAt time.Time // when the core last asked for it
	renewedAt   time.Time // when the last renewal was sent
}

// Adopt takes a lease that the core wants to keep and that is being renewed now. The time to live of a new
// lease counts from when it was asked for.
func (r *Renewer) Adopt(lease uint64, ttl time.Duration, requestedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.ttl = lease, ttl
	r.requestedAt, r.renewedAt = requestedAt, requestedAt
}

// Release stops renewing a lease that is not wanted any more, or has expired.
func (r *Renewer) Release(lease uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == lease {
		r.lease = 0
	}
}

// NoteRefused has a renewal that was refused for the service's quota sent again soon: the quota is used up
// for a moment only, and leadership depends on the lease.
func (r *Renewer) NoteRefused(lease uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == lease {
		r.renewedAt = now.Add(retryInterval - r.interval())
	}
}

// interval is the time between renewals. The core's own are a little more frequent: on a node that keeps up
// there are no others.
func (r *Renewer) interval() time.Duration { return r.ttl/renewalsPerTTL + r.ttl/16 }

// Due returns the lease to be renewed now, 0 for none, and after which time to ask again.
func (r *Renewer) Due(now time.Time) (lease uint64, next time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == 0 || now.Sub(r.requestedAt) > maxSilenceTTLs*r.ttl {
		return 0, IdleInterval
	}
	if left := r.interval() - now.Sub(r.renewedAt); left > 0 {
		return 0, min(left, IdleInterval)
	}
	r.renewedAt = now
	return r.lease, IdleInterval
}
