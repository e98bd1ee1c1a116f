package election

import (
	"slices"
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/wire"
)

// electorPair is two electors of one node, each with a leader key of its own. The state of one must
// not affect the other.
type electorPair struct {
	t      *testing.T
	outbox *outbox.Outbox
	now    Micros
	a, b   *Elector
	events []string
}

// recordingListener records the events of one elector of a pair.
type recordingListener struct {
	pair *electorPair
	name string
}

func (l recordingListener) OnElected() { l.record("elected") }

func (l recordingListener) OnDeposed(reason string, _ uint64) { l.record("deposed: " + reason) }

func (l recordingListener) OnHolderChanged(_, to string) { l.record("held by " + to) }

func (l recordingListener) record(event string) {
	l.pair.events = append(l.pair.events, l.name+" "+event)
}

const ttl = 4 * config.Second

func newElectorPair(t *testing.T) *electorPair {
	t.Helper()
	pair := &electorPair{t: t, outbox: outbox.New(func(*wire.Transaction) {})}
	pair.a = New(pair.outbox, "zone/a", "n1", ttl, 100, recordingListener{pair, "a"})
	pair.b = New(pair.outbox, "zone/b", "n1", ttl, 200, recordingListener{pair, "b"})
	return pair
}

// step advances the clock by a second and runs f. It returns the effects.
func (pair *electorPair) step(f func()) []msg.Effect {
	pair.now += config.Second
	pair.outbox.Begin(pair.now)
	f()
	return pair.outbox.End()
}

// expectEvents checks the events that were recorded since its last call.
func (pair *electorPair) expectEvents(want ...string) {
	pair.t.Helper()
	if !slices.Equal(pair.events, want) {
		pair.t.Fatalf("events %q, want %q", pair.events, want)
	}
	pair.events = nil
}

// transaction returns the only transaction among the effects.
func (pair *electorPair) transaction(effects []msg.Effect) msg.Commit {
	pair.t.Helper()
	var found []msg.Commit
	for _, e := range effects {
		if c, ok := e.(msg.Commit); ok {
			found = append(found, c)
		}
	}
	if len(found) != 1 {
		pair.t.Fatalf("got %d transactions, want 1", len(found))
	}
	return found[0]
}

// elect has an elector obtain a lease and create its leader key at a revision.
func (pair *electorPair) elect(elector *Elector, lease, revision uint64) {
	pair.t.Helper()
	pair.step(elector.Tick)
	campaign := pair.transaction(pair.step(func() { elector.LeaseDone(msg.LeaseDone{Outcome: msg.OK, Lease: lease}) }))
	if campaign.Transaction.Conditions[0] != (wire.Condition{Key: elector.Key()}) ||
		campaign.Transaction.Changes[0].Lease != lease {
		pair.t.Fatalf("campaign transaction %+v, want the condition that %s does not exist, and lease %d",
			campaign.Transaction, elector.Key(), lease)
	}
	pair.step(func() { pair.outbox.CommitDone(msg.CommitDone{ID: campaign.ID, Outcome: msg.OK, Revision: revision}) })
	if !elector.IsLeader() || elector.FencingToken() != revision || elector.TermStart() != revision ||
		elector.Condition() != (wire.Condition{Key: elector.Key(), Version: revision}) {
		pair.t.Fatalf("after the campaign: leading %v, token %d, term start %d, condition %+v; want token %d",
			elector.IsLeader(), elector.FencingToken(), elector.TermStart(), elector.Condition(), revision)
	}
}

// put applies a put of the leader key that the watch reports.
func (pair *electorPair) put(elector *Elector, node string, nonce, revision uint64) {
	pair.t.Helper()
	value, err := job.Encode(LeaseRecord{Node: node, Nonce: nonce})
	if err != nil {
		pair.t.Fatal(err)
	}
	pair.step(func() { elector.Apply(&wire.Change{Put: elector.Key(), Value: value, Version: revision}, true) })
}

func TestElectorsAreIndependent(t *testing.T) {
	pair := newElectorPair(t)
	pair.elect(pair.a, 7, 40)
	pair.elect(pair.b, 8, 41)
	pair.expectEvents("a elected", "b elected")

	// The expiry of a lease deposes only the elector of that lease.
	pair.step(func() { pair.a.LeaseDone(msg.LeaseDone{Outcome: msg.Gone, Lease: 7, IsRenewal: true}) })
	pair.expectEvents("a deposed: lease expired")
	if !pair.b.IsLeader() || pair.a.IsLeader() || pair.a.FencingToken() != 0 {
		t.Fatalf("leading: a %v, b %v, want only b; token of a: %d, want 0",
			pair.a.IsLeader(), pair.b.IsLeader(), pair.a.FencingToken())
	}

	// While another node holds the key, the elector tracks the holder and does not campaign.
	pair.put(pair.a, "n2", 1, 50)
	pair.expectEvents("a held by n2")
	if pair.a.OtherHolder() != "n2" || len(pair.step(pair.a.Tick)) != 0 {
		t.Fatalf("holder %+v, want n2 and no effects of a tick", pair.a.Holder())
	}
	pair.step(func() { pair.a.ApplyListingWithoutHolder(60) })
	pair.step(pair.a.Tick)
	pair.elect(pair.a, 9, 61)
	pair.expectEvents("a elected")
}

// Replacing the fencing token fails transactions that are in flight under the old one, and keeps the
// start of the term.
func TestReplaceToken(t *testing.T) {
	pair := newElectorPair(t)
	pair.elect(pair.a, 7, 40)
	pair.step(pair.a.ReplaceTokenIfRequested)
	pair.a.RequestNewToken()
	replacement := pair.transaction(pair.step(pair.a.ReplaceTokenIfRequested))
	if replacement.Transaction.Conditions[0] != (wire.Condition{Key: "zone/a", Version: 40}) ||
		!pair.a.TokenChangePending() {
		t.Fatalf("transaction %+v, want the condition that zone/a has version 40; token change pending %v, want true",
			replacement.Transaction, pair.a.TokenChangePending())
	}
	pair.step(func() { pair.outbox.CommitDone(msg.CommitDone{ID: replacement.ID, Outcome: msg.OK, Revision: 45}) })
	if pair.a.FencingToken() != 45 || pair.a.TermStart() != 40 || pair.a.TokenChangePending() {
		t.Fatalf("token %d, want 45; term start %d, want 40; token change pending %v, want false",
			pair.a.FencingToken(), pair.a.TermStart(), pair.a.TokenChangePending())
	}
	// A value of another node deposes the leader, even though the conditions should have prevented it.
	pair.put(pair.a, "n2", 1, 50)
	pair.expectEvents("a elected", "a held by n2", "a deposed: elected elsewhere: n2")

	// Without a response it is not known whether the new token was written, so the leader resigns.
	pair.elect(pair.b, 8, 41)
	pair.b.RequestNewToken()
	replacement = pair.transaction(pair.step(pair.b.ReplaceTokenIfRequested))
	pair.step(func() { pair.outbox.CommitDone(msg.CommitDone{ID: replacement.ID, Outcome: msg.Unknown}) })
	pair.expectEvents("b elected", "b deposed: leader key changed")
}

// While the leader key is that of an earlier process of this node, this process does not renew its
// lease: otherwise a key that is bound to that lease would never expire.
func TestKeyOfEarlierProcessExpires(t *testing.T) {
	pair := newElectorPair(t)
	pair.step(pair.a.Tick)
	pair.put(pair.a, "n1", 3, 30)
	if effects := pair.step(func() {
		pair.a.LeaseDone(msg.LeaseDone{Outcome: msg.OK, Lease: 7})
	}); len(effects) != 0 || pair.a.IsLeader() {
		t.Fatalf("after a lease was granted: effects %v, want none; leading %v, want false", effects, pair.a.IsLeader())
	}
	for range 10 {
		for _, e := range pair.step(pair.a.Tick) {
			if _, renews := e.(msg.RenewLease); renews {
				t.Fatal("the lease is renewed while the leader key is that of an earlier process")
			}
		}
	}
	pair.step(func() { pair.a.Apply(&wire.Change{Delete: "zone/a", Version: 31}, true) })
	pair.step(pair.a.Tick)
	pair.elect(pair.a, 9, 33)
	pair.expectEvents("a held by n1", "a elected")
}

// Each consecutive term that ends early lengthens the delay before the node's next campaign, up to a
// maximum. A long term resets the backoff.
func TestShortTermsBackOff(t *testing.T) {
	pair := newElectorPair(t)
	revision := uint64(40)
	for i := range 12 {
		vacantSince := pair.now
		for !requestsLease(pair.step(pair.a.Tick)) {
			if pair.now-vacantSince > maxCampaignDelay+2*config.Second {
				t.Fatalf("no campaign within %d us after %d terms", pair.now-vacantSince, i)
			}
		}
		switch delay := pair.now - vacantSince; {
		case i == 0 && delay > config.Second:
			t.Errorf("delay of the first campaign: %d us, want at most 1 s", delay)
		case i > 6 && i < 11 && delay < maxCampaignDelay:
			t.Errorf("delay of the campaign after %d short terms: %d us, want at least %d us",
				i, delay, maxCampaignDelay)
		case i == 11 && delay > config.Second:
			t.Errorf("delay of the campaign after a long term: %d us, want at most 1 s", delay)
		}
		campaign := pair.transaction(pair.step(func() {
			pair.a.LeaseDone(msg.LeaseDone{Outcome: msg.OK, Lease: uint64(i + 1)})
		}))
		pair.step(func() { pair.outbox.CommitDone(msg.CommitDone{ID: campaign.ID, Outcome: msg.OK, Revision: revision}) })
		if i == 10 {
			pair.now += shortTermThreshold // a long term resets the backoff
		}
		revision += 2
		pair.step(func() { pair.a.Apply(&wire.Change{Delete: "zone/a", Version: revision - 1}, true) })
		if pair.a.IsLeader() {
			t.Fatal("the node still leads after its leader key was deleted")
		}
	}
}

func requestsLease(effects []msg.Effect) bool {
	return slices.ContainsFunc(effects, func(e msg.Effect) bool { _, ok := e.(msg.GrantLease); return ok })
}

// The start of another node's term is set only where no change can have been missed, so that no token
// of the current leader is mistaken for an earlier leader's.
func TestTermStartOfOtherNodes(t *testing.T) {
	pair := newElectorPair(t)
	encoded := func(node string) []byte {
		v, err := job.Encode(LeaseRecord{node, 1})
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	put := func(node string, revision uint64, watched bool) {
		pair.step(func() {
			pair.a.Apply(&wire.Change{Put: pair.a.Key(), Value: encoded(node), Version: revision}, watched)
		})
	}
	deleted := func(revision uint64) {
		pair.step(func() { pair.a.Apply(&wire.Change{Delete: pair.a.Key(), Version: revision}, true) })
	}
	expect := func(what string, version, termStart uint64) {
		t.Helper()
		if h := pair.a.Holder(); h.Version != version || h.TermStart != termStart {
			t.Errorf("%s: %+v, want version %d and term start %d", what, h, version, termStart)
		}
	}
	put("n8", 10, true)
	expect("the first value observed", 10, 0)
	put("n8", 12, true)
	expect("rewritten", 12, 0)
	deleted(13)
	put("n9", 14, true)
	expect("created after a delete", 14, 14)
	put("n9", 16, true)
	expect("rewritten", 16, 14)
	put("n8", 20, false)
	expect("listed: it may have been rewritten", 20, 0)
	deleted(21)
	put("n9", 30, false)
	expect("listed, after an observed delete", 30, 0)
	pair.step(func() { pair.a.ApplyListingWithoutHolder(40) })
	put("n9", 44, true)
	expect("created after a listing without the key", 44, 44)
	put("n9", 50, false)
	expect("listed, of the same node", 50, 44)
	put("n9", 52, true)
	expect("rewritten", 52, 44)
}

// The leader key of an earlier process of this node does not make this process the leader, even if it
// has a lease: the earlier process's transactions and calls may still be in flight under that token,
// and the key expires with the earlier process's lease.
func TestKeyOfEarlierProcessIsNotOwn(t *testing.T) {
	pair := newElectorPair(t)
	pair.step(func() { pair.a.Tick() })
	campaign := pair.transaction(pair.step(func() { pair.a.LeaseDone(msg.LeaseDone{Outcome: msg.OK, Lease: 7}) }))
	pair.step(func() { pair.outbox.CommitDone(msg.CommitDone{ID: campaign.ID, Outcome: msg.Refused}) })
	value, err := job.Encode(LeaseRecord{"n1", 3})
	if err != nil {
		t.Fatal(err)
	}
	pair.step(func() { pair.a.Apply(&wire.Change{Put: "zone/a", Value: value, Version: 9}, true) })
	if pair.a.IsLeader() {
		t.Error("the node leads by the leader key of an earlier process")
	}
}
