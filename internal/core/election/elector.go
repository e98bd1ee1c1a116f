// Package election holds a key of the state service for a node, by a lease, and follows who
// holds it. The revision of a claim is the token that workers see: revisions only grow, so a
// later holder's token is higher with no counter to keep.
package election

import (
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

const (
	// tokenChangeInterval is the least time between two raises.
	tokenChangeInterval = 2 * config.Second
	// shortTerm is how long a claim is to be held for that its end says nothing against
	// its holder.
	shortTerm = 30 * config.Second
	// maxCampaignDelay is the longest that a node leaves a free claim to others, having lost some
	// in a row after a short time.
	maxCampaignDelay = 4 * config.Second
)

// LeaseRecord is what is stored under the key.
type LeaseRecord struct {
	Node  string `msgpack:"node"`
	Nonce uint64 `msgpack:"nonce"`
}

// Holder is who holds a claim, as far as is known.
type Holder struct {
	Node    string // "": nobody
	Version uint64 // of the claim; 0: nobody holds it
	// Base is the version of its first claim: all before are others'. 0: not known, for a claim that was
	// listed may be one that was rewritten.
	TermStart uint64
	nonce     uint64
}

// Listener hears how the claim fares.
type Listener interface {
	OnElected()                         // this node holds it from now on
	OnDeposed(why string, token uint64) // and doesn't any more
	OnHolderChanged(from, to string)    // somebody has written a claim
}

// Elector is one key's.
type Elector struct {
	outbox   *outbox.Outbox
	key      string
	node     string
	ttl      Micros
	listener Listener

	holder           Holder
	seenVacant       bool // it was seen that nobody holds it, and nothing is missing since
	jitter           Micros
	vacantSince      Micros // since when the claim has been free
	lease            uint64
	leaseRequested   bool
	renewalSent      bool
	renewalSentAt    Micros
	leaseConfirmedAt Micros // when the last request was sent that proved our lease alive
	campaigning      bool
	nonce            uint64 // of the last claim
	firstNonce       uint64 // of the first one that was made on the present lease

	electedAt  Micros // when it was last won
	shortTerms int    // how many in a row ended soon because the lease did

	leading        bool
	fencingToken   uint64 // version of our claim; 0 unless held
	termStart      uint64 // token of our first claim: older ones are others'
	tokenChanging  bool
	tokenChangedAt Micros
	tokenRequested bool
}

// New returns the claim on a key for a node. The seed tells its claims from those of an
// earlier process, and decides when it claims among nodes that could at the same moment.
func New(box *outbox.Outbox, key, node string, ttl Micros, seed uint64, to Listener) *Elector {
	return &Elector{outbox: box, key: key, node: node, ttl: ttl, listener: to, jitter: Micros(seed % 200_000), nonce: seed}
}

// Key is the key that is claimed.
func (c *Elector) Key() string { return c.key }

// Holder tells who holds the claim.
func (c *Elector) Holder() Holder { return c.holder }

// OtherHolder names the holder if it is another node; "" otherwise.
func (c *Elector) OtherHolder() string {
	if c.holder.Node == c.node {
		return ""
	}
	return c.holder.Node
}

// IsLeader tells whether this node holds the claim, as far as it knows.
func (c *Elector) IsLeader() bool { return c.leading }

// FencingToken is the version of our claim; 0 unless held.
func (c *Elector) FencingToken() uint64 { return c.fencingToken }

// TermStart is the token of our first claim: older ones are others'.
func (c *Elector) TermStart() uint64 { return c.termStart }

// TokenChangePending tells whether the claim is being rewritten.
func (c *Elector) TokenChangePending() bool { return c.tokenChanging }

// Condition has a transaction fail unless our claim is the one in force.
func (c *Elector) Condition() wire.Condition {
	return wire.Condition{Key: c.key, Version: c.fencingToken}
}

// HolderCondition has a transaction fail once somebody has written another claim than the
// one that is known here, whoever's it is.
func (c *Elector) HolderCondition() wire.Condition {
	return wire.Condition{Key: c.key, Version: c.holder.Version}
}

// DeposedBy hears which guards of a transaction have failed that was guarded by a version of our
// claim. If that is the one in force, the claim is lost: it returns true.
func (c *Elector) DeposedBy(version uint64, guards []string) bool {
	if version != c.fencingToken || c.tokenChanging || !slices.Contains(guards, c.key) {
		return false
	}
	c.Resign("leader key changed")
	return true
}

// Tick does what is due by time alone: it keeps the lease, and claims what is free.
func (c *Elector) Tick() {
	c.abandonUnusedLease()
	if c.lease != 0 && !c.renewalSent && c.outbox.Now()-c.renewalSentAt > c.ttl/4 {
		c.renewalSent, c.renewalSentAt = true, c.outbox.Now()
		c.outbox.Emit(msg.RenewLease{Lease: c.lease, TTL: c.ttl})
	}
	if c.holder.Version != 0 || c.leading || c.campaigning || c.outbox.Now()-c.vacantSince < c.jitter+c.campaignDelay() {
		return
	}
	if c.lease == 0 {
		if !c.leaseRequested {
			c.leaseRequested = true
			c.outbox.Emit(msg.GrantLease{TTL: c.ttl})
		}
		return
	}
	c.campaign()
}

// isOwn tells whether a claim is one that this process has made on its present lease:
// the last, or an earlier one whose answer was lost. They all guard against each other,
// so whichever is there is the one that holds.
func (c *Elector) isOwn(node string, nonce uint64) bool {
	return node == c.node && c.lease != 0 && nonce >= c.firstNonce && nonce <= c.nonce
}

// abandonUnusedLease stops renewing a lease while somebody holds the claim and this node doesn't
// by it. If the claim is one of ours that we don't know for ours, it ends with the lease,
// and somebody can claim anew: else nobody ever would.
func (c *Elector) abandonUnusedLease() {
	if !c.leading && !c.campaigning && c.holder.Version != 0 {
		c.dropLease()
	}
}

// dropLease has our lease renewed no more.
func (c *Elector) dropLease() {
	if c.lease != 0 {
		c.outbox.Emit(msg.ReleaseLease{Lease: c.lease})
		c.lease = 0
	}
}

// LeaseInDoubt tells whether our lease may have ended. A leader in doubt goes on
// answering its workers, but asks nothing of the cloud: a request that a cut
// holds back would come late and delete machines that an heir is using.
func (c *Elector) LeaseInDoubt() bool { return c.outbox.Now()-c.leaseConfirmedAt > c.ttl }

// leaseTransaction writes a new claim of ours in the place of a version of the key, 0 for none.
func (c *Elector) leaseTransaction(version uint64) wire.Transaction {
	c.nonce++
	raw, err := job.Encode(LeaseRecord{c.node, c.nonce})
	if err != nil {
		panic(err) // a struct of text and number always encodes
	}
	return wire.Transaction{
		Conditions: []wire.Condition{{Key: c.key, Version: version}},
		Changes:    []wire.Change{{Put: c.key, Value: raw, Lease: c.lease}},
	}
}

func (c *Elector) campaign() {
	c.campaigning = true
	c.outbox.Commit(c.leaseTransaction(0), msg.PurposeElection, func(d msg.CommitDone) {
		c.campaigning = false
		switch d.Outcome {
		case msg.OK:
			c.becomeLeader(d.Revision)
		case msg.Gone:
			c.dropLease()
		case msg.Unknown, msg.Conflict:
			if c.holder.Version != 0 && c.isOwn(c.holder.Node, c.holder.nonce) {
				c.becomeLeader(c.holder.Version) // the watch was faster than the answer
				return
			}
			c.outbox.Emit(msg.Relist{}) // the listing tells whether a claim went through
		}
	})
}

func (c *Elector) becomeLeader(token uint64) {
	if c.leading {
		return
	}
	c.leading, c.fencingToken, c.termStart, c.electedAt = true, token, token, c.outbox.Now()
	c.tokenChanging, c.tokenRequested = false, false
	c.holder = Holder{Node: c.node, Version: token, TermStart: token, nonce: c.nonce}
	c.seenVacant = false
	c.listener.OnElected()
}

// Resign gives up a claim that is held, or lost already: it is never renewed again, and
// what is left behind ends with its lease.
func (c *Elector) Resign(why string) {
	if !c.leading {
		return
	}
	token := c.fencingToken
	c.dropLease()
	c.leading, c.fencingToken, c.termStart, c.tokenChanging, c.tokenRequested = false, 0, 0, false, false
	c.listener.OnDeposed(why, token)
}

// noteLeaseExpiry notes that a claim ends because its lease has.
func (c *Elector) noteLeaseExpiry() {
	if c.leading && c.outbox.Now()-c.electedAt < shortTerm {
		c.shortTerms++
	} else {
		c.shortTerms = 0
	}
}

// campaignDelay is how long a free claim is left to others first. A node that can't keep one lets
// somebody else try, for longer each time: two that are both too slow, each heir having more
// to do than who was before it, else take turns for good.
func (c *Elector) campaignDelay() Micros {
	if c.shortTerms == 0 {
		return 0
	}
	return min(maxCampaignDelay, config.Second/4<<min(c.shortTerms, 8))
}

// LeaseDone answers what was asked of the lease.
func (c *Elector) LeaseDone(x msg.LeaseDone) {
	if x.IsRenewal {
		c.renewalSent = false
		if x.Outcome == msg.OK && x.Lease == c.lease {
			c.leaseConfirmedAt = max(c.leaseConfirmedAt, c.outbox.Now()-x.Age)
		}
		if x.Outcome == msg.Gone && x.Lease == c.lease {
			c.dropLease()
			c.noteLeaseExpiry()
			c.Resign("lease expired")
		}
		return
	}
	c.leaseRequested = false
	if x.Outcome == msg.OK {
		c.lease, c.firstNonce = x.Lease, c.nonce+1
		c.renewalSentAt, c.leaseConfirmedAt = c.outbox.Now(), c.outbox.Now()-x.Age
		if c.holder.Version == 0 && !c.leading && !c.campaigning {
			c.campaign()
		}
	}
}

// ApplyListingWithoutHolder takes a listing of this revision that holds no claim.
func (c *Elector) ApplyListingWithoutHolder(revision uint64) {
	if c.holder.Version <= revision {
		c.seenVacant = true
	}
	if c.holder.Version != 0 && c.holder.Version <= revision {
		c.Apply(&wire.Change{Delete: c.key, Version: revision}, true)
	}
}

// Apply follows a put or a delete of the key. A change that comes from the watch is the first after
// those that came before it; from a listing, others may lie between.
func (c *Elector) Apply(ev *wire.Change, watched bool) {
	if ev.Version < c.holder.Version || ev.Version == c.holder.Version && ev.Put != "" {
		return
	}
	if ev.Put == "" {
		c.holder, c.seenVacant = Holder{nonce: c.holder.nonce}, true
		c.vacantSince = c.outbox.Now()
		if c.leading && ev.Version > c.fencingToken {
			c.noteLeaseExpiry()
			c.Resign("leader key deleted")
		}
		return
	}
	var v LeaseRecord
	if err := job.Decode(ev.Value, &v); err != nil {
		return
	}
	from, base := c.holder.Node, uint64(0)
	switch {
	case c.seenVacant && watched: // a claim is rewritten in its own place only
		base = ev.Version
	case from == v.Node: // by the same process, or by a later one of that node
		base = c.holder.TermStart
	}
	c.holder, c.seenVacant = Holder{v.Node, ev.Version, base, v.Nonce}, false
	c.listener.OnHolderChanged(from, v.Node)
	if v.Node != c.node {
		if c.leading && ev.Version > c.fencingToken {
			c.Resign("elected elsewhere: " + v.Node)
		}
		if !c.leading {
			c.dropLease()
		}
		return
	}
	// A claim of ours whose answer was lost, or one of an earlier process of
	// this node: the latter has to end by itself before we can claim.
	switch {
	case c.campaigning || c.tokenChanging:
	case !c.leading && c.isOwn(v.Node, v.Nonce):
		c.becomeLeader(ev.Version)
	case !c.leading:
		c.dropLease()
	case ev.Version > c.fencingToken:
		c.Resign("elected elsewhere: another process of this node")
	}
}

// RequestNewToken has the claim raised soon.
func (c *Elector) RequestNewToken() { c.tokenRequested = true }

// ReplaceTokenIfRequested rewrites the claim if somebody wants it, not too often: the new token
// voids every command that is still on its way under the old one.
func (c *Elector) ReplaceTokenIfRequested() {
	if !c.tokenRequested || c.tokenChanging || c.outbox.Now()-c.tokenChangedAt <= tokenChangeInterval {
		return
	}
	c.tokenChanging, c.tokenRequested, c.tokenChangedAt = true, false, c.outbox.Now()
	old := c.fencingToken
	c.outbox.Commit(c.leaseTransaction(old), msg.PurposeElection, func(d msg.CommitDone) {
		if !c.leading || c.fencingToken != old {
			return
		}
		c.tokenChanging = false
		switch d.Outcome {
		case msg.OK:
			c.fencingToken = d.Revision
			c.holder.Version, c.holder.nonce = d.Revision, c.nonce
			c.outbox.Log("fencing token replaced", "previous", old, "fencing_token", c.fencingToken)
		case msg.Refused, msg.Invalid:
			c.tokenRequested = true
		default:
			c.Resign("leader key changed")
		}
	})
}
