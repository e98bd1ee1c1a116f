// Package leaserenewal decides when a node's lease is renewed while its loop is busy. The core says
// every quarter of the lease that it still wants it; between two such words the lease is
// renewed without it, on a connection that nothing else uses. So one long step, or a line of
// inputs before the loop, doesn't cost a claim: a leader that was slow for three seconds used
// to be followed by an heir that was slow for longer, having everything to learn. A loop that
// says nothing for too long is taken for dead, and its lease ends.
package leaserenewal

import (
	"sync"
	"time"
)

const (
	// renewalsPerTTL in the time of a lease. One is lost now and then, and takes a second to be
	// given up.
	renewalsPerTTL = 4
	// commandLifetimeTTLs is for how many times a lease's length the loop may say nothing.
	commandLifetimeTTLs = 3
	// retryInterval is how soon a refused renewal is tried again.
	retryInterval = 100 * time.Millisecond
	// IdleInterval is how often a keeper of nothing is to be asked.
	IdleInterval = 250 * time.Millisecond
)

// Renewer keeps one lease at a time. It has no clock: times are given to it.
type Renewer struct {
	mu        sync.Mutex
	lease     uint64 // 0: none
	ttl       time.Duration
	adoptedAt time.Time // when the core last wanted it
	sentAt    time.Time // when it was last renewed
}

// Adopt hears that the core wants a lease kept. It is renewed at once by whoever says so.
// What was granted counts from when it was asked for.
func (k *Renewer) Adopt(lease uint64, ttl time.Duration, asked time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease, k.ttl, k.adoptedAt, k.sentAt = lease, ttl, asked, asked
}

// Release hears that a lease is wanted no more, or gone.
func (k *Renewer) Release(lease uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease == lease {
		k.lease = 0
	}
}

// NoteRefused hears that a renewal was refused for the service's quota, which is short at any one
// moment only: it is tried again soon, however many others try. A claim hangs on it.
func (k *Renewer) NoteRefused(lease uint64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease == lease {
		k.sentAt = now.Add(retryInterval - k.commandExpired())
	}
}

// commandExpired is how long after a renewal the next is due, the core or not. The core's own are a
// little earlier: on a node that keeps up there are no others.
func (k *Renewer) commandExpired() time.Duration { return k.ttl/renewalsPerTTL + k.ttl/16 }

// Due returns the lease to be renewed now, 0 for none, and when to ask again.
func (k *Renewer) Due(now time.Time) (lease uint64, in time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease == 0 || now.Sub(k.adoptedAt) > commandLifetimeTTLs*k.ttl {
		return 0, IdleInterval
	}
	if left := k.commandExpired() - now.Sub(k.sentAt); left > 0 {
		return 0, min(left, IdleInterval)
	}
	k.sentAt = now
	return k.lease, IdleInterval
}
