// Package election elects a leader by means of a key of the state service that is bound to a
// lease, and tracks which node holds that key. A leader's fencing token is the store's revision of
// the write that made it the leader, or of the write that last replaced the token. Revisions only
// increase, so a later leader's token is higher, and no counter has to be stored.
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
	// tokenChangeInterval is the minimum time between two replacements of the fencing token.
	tokenChangeInterval = 2 * config.Second
	// maxJitter limits the random part of the delay before a campaign, in microseconds.
	maxJitter = 200_000
	// renewalsPerTTL is the number of renewals of a lease within its TTL.
	renewalsPerTTL = 4
)

// LeaseRecord is the value that is stored under the leader key.
type LeaseRecord struct {
	Node  string `msgpack:"node"`
	Nonce uint64 `msgpack:"nonce"`
}

// Holder is the holder of the leader key, as last observed by this node.
type Holder struct {
	Node    string // empty if there is no holder
	Version uint64 // version of the leader key, 0 if there is no holder
	// TermStart is the version of the leader key at which the holder's term began: any lower version
	// belongs to another leader. It is 0 if unknown, because a value in a listing may have been
	// rewritten since the term began.
	TermStart uint64
	nonce     uint64
}

// Listener is notified of changes of leadership.
type Listener interface {
	// OnElected is called when this node has become the leader.
	OnElected()
	// OnDeposed is called when this node is no longer the leader. The token is its last fencing
	// token.
	OnDeposed(reason string, token uint64)
	// OnHolderChanged is called for each observed put of the leader key. The nodes may be the same,
	// and from is empty if there was no holder.
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

// keyState is the state of the leader key, as last observed by this node.
type keyState struct {
	holder          Holder
	vacancyObserved bool   // the key was observed without a holder, and no change can have been missed since
	vacantSince     Micros // when the key lost its last holder
}

// leaseState is this node's own lease.
type leaseState struct {
	lease            uint64 // 0 if there is none
	leaseRequested   bool
	renewalSent      bool
	renewalSentAt    Micros
	leaseConfirmedAt Micros // when the latest request was sent whose response confirmed the lease
}

// campaignState determines when this node campaigns, and which values of the key are its own.
type campaignState struct {
	jitter      Micros
	campaigning bool
	nonce       uint64 // nonce of the last value written
	firstNonce  uint64 // nonce of the first value written under the current lease
	electedAt   Micros // when this node was last elected
	shortTerms  int    // number of consecutive terms that ended early because the lease expired
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
// campaigning at the same time. The ttl is that of the lease.
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

// Holder returns the holder of the leader key, as last observed by this node.
func (e *Elector) Holder() Holder { return e.holder }

// HighestToken returns an upper bound of the fencing tokens of the holder and of earlier leaders, given the revision up
// to which this node has applied all changes. A later leader's token is above that revision, because the change of the
// leader key would have been applied otherwise.
func (e *Elector) HighestToken(applied uint64) uint64 { return max(e.holder.Version, applied) }

// OtherHolder returns the name of the holder if it is another node, and the empty string otherwise.
func (e *Elector) OtherHolder() string {
	if e.holder.Node == e.node {
		return ""
	}
	return e.holder.Node
}

// IsLeader reports whether this node is the leader by its own state: another node may have been
// elected without this one having observed it yet.
func (e *Elector) IsLeader() bool { return e.leading }

// FencingToken returns this node's fencing token, 0 unless it leads.
func (e *Elector) FencingToken() uint64 { return e.fencingToken }

// TermStart returns the fencing token with which this node's term began, 0 unless it leads. Lower
// tokens belong to other leaders.
func (e *Elector) TermStart() uint64 { return e.termStart }

// TokenChangePending reports whether the fencing token is being replaced.
func (e *Elector) TokenChangePending() bool { return e.tokenChanging }

// Condition returns a condition that fails a transaction unless this node's fencing token is in force.
func (e *Elector) Condition() wire.Condition {
	return wire.Condition{Key: e.key, Version: e.fencingToken}
}

// HolderCondition returns a condition that fails a transaction if any node, including this one, has
// changed the leader key since the version that this node last observed.
func (e *Elector) HolderCondition() wire.Condition {
	return wire.Condition{Key: e.key, Version: e.holder.Version}
}

// ResignIfDeposed evaluates the failed conditions of a transaction that was conditional on a version
// of the leader key. If the condition on the leader key failed though that version is this node's
// current fencing token and is not being replaced, the node has lost its leadership: ResignIfDeposed
// resigns and returns true.
func (e *Elector) ResignIfDeposed(version uint64, failedKeys []string) bool {
	if version != e.fencingToken || e.tokenChanging || !slices.Contains(failedKeys, e.key) {
		return false
	}
	e.Resign("leader key changed")
	return true
}

// Tick performs the time-driven work: it releases an unused lease, renews the lease when that is due,
// and campaigns if there is no leader.
func (e *Elector) Tick() {
	e.releaseUnusedLease()
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

// Resign ends this node's leadership, whether it is given up or was already lost. The lease is no
// longer renewed, so that a leader key that this node leaves in place expires with it.
func (e *Elector) Resign(reason string) {
	if !e.leading {
		return
	}
	token := e.fencingToken
	e.releaseLease()
	e.leading = false
	e.fencingToken = 0
	e.termStart = 0
	e.tokenChanging = false
	e.tokenRequested = false
	e.listener.OnDeposed(reason, token)
}

// isOwnWrite reports whether this process wrote a value of the leader key under its current lease:
// the last one, or an earlier one whose response was lost. Each of those writes is conditional on
// the key's version, so at most one of them is in force.
func (e *Elector) isOwnWrite(node string, nonce uint64) bool {
	return node == e.node && e.lease != 0 && nonce >= e.firstNonce && nonce <= e.nonce
}

// keyTransaction returns a transaction that replaces the given version of the leader key by a new
// value. Version 0 means that the key must not exist.
func (e *Elector) keyTransaction(version uint64) wire.Transaction {
	e.nonce++
	value, err := job.Encode(LeaseRecord{Node: e.node, Nonce: e.nonce})
	if err != nil {
		panic(err) // a struct of a string and an integer always encodes
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
		e.releaseLease()
	case msg.Unknown, msg.Conflict:
		if e.holder.Version != 0 && e.isOwnWrite(e.holder.Node, e.holder.nonce) {
			e.becomeLeader(e.holder.Version) // the watch reported the write before the response arrived
			return
		}
		e.outbox.Emit(msg.Relist{}) // the listing shows whether the write was applied
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
	e.vacancyObserved = false
	e.listener.OnElected()
}

// RequestNewToken requests that ReplaceTokenIfRequested replace the fencing token.
func (e *Elector) RequestNewToken() { e.tokenRequested = true }

// ReplaceTokenIfRequested rewrites the leader key if a new fencing token was requested, at most once
// per tokenChangeInterval. The new token invalidates every command that is still in flight under
// the old one.
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
