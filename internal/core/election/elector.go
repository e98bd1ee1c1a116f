// Package election elects a leader through a key of the key-value store that is bound to a
// lease, and follows who holds that key. The store's revision of the write that made a node
// leader is its fencing token: revisions only grow, so that a later leader's token is higher
// without a counter that would have to be stored.
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
	// tokenChangeInterval is the least time between two replacements of the fencing token.
	tokenChangeInterval = 2 * config.Second
	// maxJitter bounds the random part of the delay before a campaign.
	maxJitter = 200_000
	// renewalsPerTTL is how many times a lease is renewed within its time to live.
	renewalsPerTTL = 4
)

// LeaseRecord is the value that is stored under the leader key.
type LeaseRecord struct {
	Node  string `msgpack:"node"`
	Nonce uint64 `msgpack:"nonce"`
}

// Holder is the holder of the leader key, as far as this node knows.
type Holder struct {
	Node    string // empty if there is none
	Version uint64 // of the leader key, 0 if there is no holder
	// TermStart is the version at which the holder's term began: any lower version is of another
	// leader. It is 0 if unknown: the value of a listing may be a rewritten one.
	TermStart uint64
	nonce     uint64
}

// Listener is notified of changes of leadership.
type Listener interface {
	// OnElected is called when this node has become the leader.
	OnElected()
	// OnDeposed is called when this node is not the leader any more. The token is the fencing
	// token that it held last.
	OnDeposed(why string, token uint64)
	// OnHolderChanged is called whenever the leader key was written; both nodes may be the same.
	OnHolderChanged(from, to string)
}

// Elector campaigns for one leader key on behalf of one node.
type Elector struct {
	outbox   *outbox.Outbox
	key      string
	node     string
	ttl      Micros
	listener Listener

	keyState
	leaseState
	campaignState
	termState
}

// keyState is what this node knows of the leader key.
type keyState struct {
	holder      Holder
	seenVacant  bool   // the key was seen without a holder, and no change can have been missed since
	vacantSince Micros // when the key lost its last holder
}

// leaseState is this node's own lease.
type leaseState struct {
	lease            uint64 // 0 if there is none
	leaseRequested   bool
	renewalSent      bool
	renewalSentAt    Micros
	leaseConfirmedAt Micros // when the last request was sent that proved the lease alive
}

// campaignState is what decides when this node campaigns, and which values of the key are its own.
type campaignState struct {
	jitter      Micros
	campaigning bool
	nonce       uint64 // of the last value written
	firstNonce  uint64 // of the first value written under the present lease
	electedAt   Micros // when this node was last elected
	shortTerms  int    // how many terms in a row ended early because the lease expired
}

// termState is this node's term as the leader.
type termState struct {
	leading        bool
	fencingToken   uint64 // version of the leader key, 0 unless leading
	termStart      uint64 // fencing token at the start of the term, 0 unless leading
	tokenChanging  bool
	tokenChangedAt Micros
	tokenRequested bool
}

// New returns an Elector for a node. The seed distinguishes its values of the key from those of
// an earlier process of the same node, and determines the jitter that keeps nodes from
// campaigning at the same moment. The ttl is that of the lease.
func New(out *outbox.Outbox, key, node string, ttl Micros, seed uint64, listener Listener) *Elector {
	return &Elector{
		outbox:   out,
		key:      key,
		node:     node,
		ttl:      ttl,
		listener: listener,
		campaignState: campaignState{
			jitter: Micros(seed % maxJitter),
			nonce:  seed,
		},
	}
}

// Key returns the leader key.
func (e *Elector) Key() string { return e.key }

// Holder returns the holder of the leader key as far as this node knows.
func (e *Elector) Holder() Holder { return e.holder }

// OtherHolder returns the name of the holder if it is another node, and the empty string otherwise.
func (e *Elector) OtherHolder() string {
	if e.holder.Node == e.node {
		return ""
	}
	return e.holder.Node
}

// IsLeader reports whether this node is the leader, as far as it knows.
func (e *Elector) IsLeader() bool { return e.leading }

// FencingToken returns this node's fencing token, 0 unless it leads.
func (e *Elector) FencingToken() uint64 { return e.fencingToken }

// TermStart returns the fencing token with which this node's term began, 0 unless it leads. Lower
// tokens are other leaders'.
func (e *Elector) TermStart() uint64 { return e.termStart }

// TokenChangePending reports whether the fencing token is being replaced.
func (e *Elector) TokenChangePending() bool { return e.tokenChanging }

// Condition returns a condition that fails a transaction unless this node's fencing token is in force.
func (e *Elector) Condition() wire.Condition {
	return wire.Condition{Key: e.key, Version: e.fencingToken}
}

// HolderCondition returns a condition that fails a transaction once the leader key was written
// again, by whichever node, since the version that this node knows.
func (e *Elector) HolderCondition() wire.Condition {
	return wire.Condition{Key: e.key, Version: e.holder.Version}
}

// DeposedBy evaluates the failed conditions of a transaction that was conditional on a version of
// the leader key. If that version is this node's present fencing token, it has lost its
// leadership: DeposedBy resigns and returns true.
func (e *Elector) DeposedBy(version uint64, failedKeys []string) bool {
	if version != e.fencingToken || e.tokenChanging || !slices.Contains(failedKeys, e.key) {
		return false
	}
	e.Resign("leader key changed")
	return true
}

// Tick does what is due by time alone: it renews the lease, and campaigns if there is no leader.
func (e *Elector) Tick() {
	e.abandonUnusedLease()
	e.renewLeaseIfDue()
	if !e.campaignDue() {
		return
	}
	if e.lease == 0 {
		e.requestLease()
		return
	}
	e.campaign()
}

// campaignDue reports whether there is no leader and this node has waited long enough to campaign.
func (e *Elector) campaignDue() bool {
	if e.holder.Version != 0 || e.leading || e.campaigning {
		return false
	}
	return e.outbox.Now()-e.vacantSince >= e.jitter+e.campaignDelay()
}

// Resign gives up the leadership, or acknowledges that it is lost already. The lease is not
// renewed any more, so that a key that is left behind expires with it.
func (e *Elector) Resign(why string) {
	if !e.leading {
		return
	}
	token := e.fencingToken
	e.dropLease()
	e.leading = false
	e.fencingToken = 0
	e.termStart = 0
	e.tokenChanging = false
	e.tokenRequested = false
	e.listener.OnDeposed(why, token)
}

// wroteUnderPresentLease reports whether this process wrote a value of the leader key under its
// present lease: the last one, or an earlier one whose response was lost. Each of those writes is
// conditional on the key's version, so at most one of them is in force.
func (e *Elector) wroteUnderPresentLease(node string, nonce uint64) bool {
	return node == e.node && e.lease != 0 && nonce >= e.firstNonce && nonce <= e.nonce
}

// keyTransaction writes a new value of the leader key in place of the given version, 0 for none.
func (e *Elector) keyTransaction(version uint64) wire.Transaction {
	e.nonce++
	value, err := job.Encode(LeaseRecord{Node: e.node, Nonce: e.nonce})
	if err != nil {
		panic(err) // a struct of text and number always encodes
	}
	return wire.Transaction{
		Conditions: []wire.Condition{{Key: e.key, Version: version}},
		Changes:    []wire.Change{{Put: e.key, Value: value, Lease: e.lease}},
	}
}

// campaign tries to create the leader key.
func (e *Elector) campaign() {
	e.campaigning = true
	e.outbox.Commit(e.keyTransaction(0), msg.PurposeElection, e.campaignDone)
}

func (e *Elector) campaignDone(done msg.CommitDone) {
	e.campaigning = false
	switch done.Outcome {
	case msg.OK:
		e.becomeLeader(done.Revision)
	case msg.Gone:
		e.dropLease()
	case msg.Unknown, msg.Conflict:
		if e.holder.Version != 0 && e.wroteUnderPresentLease(e.holder.Node, e.holder.nonce) {
			e.becomeLeader(e.holder.Version) // the watch was faster than the response
			return
		}
		e.outbox.Emit(msg.Relist{}) // the listing shows whether the write went through
	}
}

func (e *Elector) becomeLeader(token uint64) {
	if e.leading {
		return
	}
	e.leading = true
	e.fencingToken = token
	e.termStart = token
	e.electedAt = e.outbox.Now()
	e.tokenChanging = false
	e.tokenRequested = false
	e.holder = Holder{Node: e.node, Version: token, TermStart: token, nonce: e.nonce}
	e.seenVacant = false
	e.listener.OnElected()
}

// RequestNewToken has the fencing token replaced soon.
func (e *Elector) RequestNewToken() { e.tokenRequested = true }

// ReplaceTokenIfRequested rewrites the leader key if a new token was requested, at most once per
// tokenChangeInterval. The new token invalidates every command that is still in flight under the
// old one.
func (e *Elector) ReplaceTokenIfRequested() {
	if !e.tokenRequested || e.tokenChanging || e.outbox.Now()-e.tokenChangedAt <= tokenChangeInterval {
		return
	}
	e.tokenChanging = true
	e.tokenRequested = false
	e.tokenChangedAt = e.outbox.Now()
	previous := e.fencingToken
	e.outbox.Commit(e.keyTransaction(previous), msg.PurposeElection, func(done msg.CommitDone) {
		e.replaceTokenDone(previous, done)
	})
}

func (e *Elector) replaceTokenDone(previous uint64, done msg.CommitDone) {
	if !e.leading || e.fencingToken != previous {
		return
	}
	e.tokenChanging = false
	switch done.Outcome {
	case msg.OK:
		e.fencingToken = done.Revision
		e.holder.Version = done.Revision
		e.holder.nonce = e.nonce
		e.outbox.Log("fencing token replaced", "previous", previous, "fencing_token", e.fencingToken)
	case msg.Refused, msg.Invalid:
		e.tokenRequested = true
	default:
		e.Resign("leader key changed")
	}
}
