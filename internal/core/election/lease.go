package election

import (
	"coralhub/internal/config"
	"coralhub/internal/core/msg"
)

const (
	// shortTerm is the length of a term below which the expiry of its lease counts against the
	// node that led.
	shortTerm = 30 * config.Second
	// baseCampaignDelay is doubled for each short term in a row.
	baseCampaignDelay = config.Second / 4
	// maxCampaignDelay is the longest delay before a node campaigns after short terms in a row.
	maxCampaignDelay = 4 * config.Second
	// maxDelayDoublings keeps the shift of baseCampaignDelay far from an overflow.
	maxDelayDoublings = 8
)

// LeaseInDoubt reports whether this node's lease may have expired. A leader in doubt goes on
// answering its workers, but sends no requests to the cloud: a request that is held up by a
// network partition would arrive late and delete machines that a successor is using.
func (e *Elector) LeaseInDoubt() bool { return e.outbox.Now()-e.leaseConfirmedAt > e.ttl }

// LeaseDone handles the outcome of a GrantLease or RenewLease.
func (e *Elector) LeaseDone(done msg.LeaseDone) {
	if done.IsRenewal {
		e.renewalDone(done)
		return
	}
	e.leaseRequested = false
	if done.Outcome != msg.OK {
		return
	}
	e.lease = done.Lease
	e.firstNonce = e.nonce + 1
	e.renewalSentAt = e.outbox.Now()
	e.leaseConfirmedAt = e.outbox.Now() - done.Age
	if e.holder.Version == 0 && !e.leading && !e.campaigning {
		e.campaign()
	}
}

func (e *Elector) renewalDone(done msg.LeaseDone) {
	e.renewalSent = false
	if done.Lease != e.lease {
		return
	}
	switch done.Outcome {
	case msg.OK:
		e.leaseConfirmedAt = max(e.leaseConfirmedAt, e.outbox.Now()-done.Age)
	case msg.Gone:
		e.dropLease()
		e.noteLeaseExpiry()
		e.Resign("lease expired")
	}
}

func (e *Elector) requestLease() {
	if e.leaseRequested {
		return
	}
	e.leaseRequested = true
	e.outbox.Emit(msg.GrantLease{TTL: e.ttl})
}

func (e *Elector) renewLeaseIfDue() {
	if e.lease == 0 || e.renewalSent || e.outbox.Now()-e.renewalSentAt <= e.ttl/renewalsPerTTL {
		return
	}
	e.renewalSent = true
	e.renewalSentAt = e.outbox.Now()
	e.outbox.Emit(msg.RenewLease{Lease: e.lease, TTL: e.ttl})
}

// abandonUnusedLease stops renewing the lease while the key has a holder and this node does not
// lead. If the key was written by this node without its knowing, the key expires with the lease,
// and an election can follow; otherwise the key would have that value for ever.
func (e *Elector) abandonUnusedLease() {
	if !e.leading && !e.campaigning && e.holder.Version != 0 {
		e.dropLease()
	}
}

// dropLease stops the renewal of the lease.
func (e *Elector) dropLease() {
	if e.lease != 0 {
		e.outbox.Emit(msg.ReleaseLease{Lease: e.lease})
		e.lease = 0
	}
}

// noteLeaseExpiry records that the term ends because the lease has expired.
func (e *Elector) noteLeaseExpiry() {
	if e.leading && e.outbox.Now()-e.electedAt < shortTerm {
		e.shortTerms++
	} else {
		e.shortTerms = 0
	}
}

// campaignDelay returns how long a key without a holder is left to other nodes first. A node that
// cannot keep its lease backs off exponentially: otherwise two nodes that are both too slow would
// replace each other for ever, as each successor has more to do than its predecessor had.
func (e *Elector) campaignDelay() Micros {
	if e.shortTerms == 0 {
		return 0
	}
	return min(maxCampaignDelay, baseCampaignDelay<<min(e.shortTerms, maxDelayDoublings))
}
