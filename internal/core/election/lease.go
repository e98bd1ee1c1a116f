package election

import (
	"coralhub/internal/config"
	"coralhub/internal/core/msg"
)

const (
	// shortTermThreshold is the term length below which a term that ended with the expiry of its
	// lease counts as short and delays the node's next campaign.
	shortTermThreshold = 30 * config.Second
	// baseCampaignDelay is doubled for each consecutive short term.
	baseCampaignDelay = config.Second / 4
	// maxCampaignDelay is the maximum delay before a node campaigns after consecutive short terms.
	maxCampaignDelay = 4 * config.Second
	// maxDelayDoublings keeps the left shift of baseCampaignDelay from overflowing.
	maxDelayDoublings = 8
)

// LeaseMayHaveExpired reports whether this node's lease may have expired. A leader whose lease may have
// expired continues to answer its workers, but sends no requests to the cloud: a request that is delayed
// by a network partition would arrive late and delete machines that a successor is using.
func (e *Elector) LeaseMayHaveExpired() bool { return e.outbox.Now()-e.leaseConfirmedAt > e.ttl }

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
		e.releaseLease()
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

// releaseUnusedLease stops renewing the lease while the key has a holder and this node does not
// lead. If this node wrote the key but received no confirmation, the key expires with the lease,
// and an election can follow; otherwise the key would keep that value indefinitely.
func (e *Elector) releaseUnusedLease() {
	if !e.leading && !e.campaigning && e.holder.Version != 0 {
		e.releaseLease()
	}
}

// releaseLease stops the renewal of the lease, so that it expires.
func (e *Elector) releaseLease() {
	if e.lease != 0 {
		e.outbox.Emit(msg.ReleaseLease{Lease: e.lease})
		e.lease = 0
	}
}

// noteLeaseExpiry updates shortTerms when the lease has expired. A short term that ends with the lease is
// counted. If the term was not short, or this node did not lead, the count is reset.
func (e *Elector) noteLeaseExpiry() {
	if e.leading && e.outbox.Now()-e.electedAt < shortTermThreshold {
		e.shortTerms++
	} else {
		e.shortTerms = 0
	}
}

// campaignDelay returns how long this node leaves a key without a holder to other nodes before it
// campaigns, in addition to the jitter. A node that cannot keep its lease backs off exponentially:
// otherwise two nodes that are both too slow would replace each other indefinitely, since each
// successor has more work than its predecessor had.
func (e *Elector) campaignDelay() Micros {
	if e.shortTerms == 0 {
		return 0
	}
	return min(maxCampaignDelay, baseCampaignDelay<<min(e.shortTerms, maxDelayDoublings))
}
