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

// two claims of one node on keys of their own, as zones will be: what befalls one leaves
// the other alone.
type two struct {
	t    *testing.T
	box  *outbox.Outbox
	now  Micros
	a, b *Elector
	said []string
}

type recordingListener struct {
	w    *two
	name string
}

func (e recordingListener) OnElected() { e.w.said = append(e.w.said, e.name+" won") }
func (e recordingListener) OnDeposed(why string, _ uint64) {
	e.w.said = append(e.w.said, e.name+" lost: "+why)
}
func (e recordingListener) OnHolderChanged(_, to string) {
	e.w.said = append(e.w.said, e.name+" passed to "+to)
}

const ttl = 4 * config.Second

func newTwo(t *testing.T) *two {
	w := &two{t: t, box: outbox.New(func(*wire.Transaction) {})}
	w.a, w.b = New(w.box, "zone/a", "n1", ttl, 100, recordingListener{w, "a"}), New(w.box, "zone/b", "n1", ttl, 200, recordingListener{w, "b"})
	return w
}

// step lets a second pass and does f; it returns what was asked for.
func (w *two) step(f func()) []msg.Effect {
	w.now += config.Second
	w.box.Begin(w.now)
	f()
	return w.box.End()
}

// heard tells what was said since it was last asked.
func (w *two) heard(want ...string) {
	w.t.Helper()
	if len(want) != len(w.said) {
		w.t.Fatalf("heard %q, want %q", w.said, want)
	}
	for i := range want {
		if w.said[i] != want[i] {
			w.t.Fatalf("heard %q, want %q", w.said, want)
		}
	}
	w.said = nil
}

// transaction finds the only transaction among effects.
func (w *two) transaction(effects []msg.Effect) msg.Commit {
	w.t.Helper()
	var found []msg.Commit
	for _, e := range effects {
		if c, ok := e.(msg.Commit); ok {
			found = append(found, c)
		}
	}
	if len(found) != 1 {
		w.t.Fatalf("%d transactions", len(found))
	}
	return found[0]
}

// win has a claim made and granted at a revision.
func (w *two) win(c *Elector, lease, revision uint64) {
	w.t.Helper()
	w.step(c.Tick)
	t := w.transaction(w.step(func() { c.LeaseDone(msg.LeaseDone{Outcome: msg.OK, Lease: lease}) }))
	if t.Transaction.Conditions[0] != (wire.Condition{Key: c.Key()}) || t.Transaction.Changes[0].Lease != lease {
		w.t.Fatalf("%+v", t.Transaction)
	}
	w.step(func() { w.box.CommitDone(msg.CommitDone{ID: t.ID, Outcome: msg.OK, Revision: revision}) })
	if !c.IsLeader() || c.FencingToken() != revision || c.TermStart() != revision || c.Condition() != (wire.Condition{Key: c.Key(), Version: revision}) {
		w.t.Fatalf("held %v, token %d", c.IsLeader(), c.FencingToken())
	}
}

func (w *two) written(c *Elector, node string, nonce, revision uint64) {
	w.t.Helper()
	raw, err := job.Encode(LeaseRecord{node, nonce})
	if err != nil {
		w.t.Fatal(err)
	}
	w.step(func() { c.Apply(&wire.Change{Put: c.Key(), Value: raw, Version: revision}, true) })
}

func TestClaimsStandApart(t *testing.T) {
	w := newTwo(t)
	w.win(w.a, 7, 40)
	w.win(w.b, 8, 41)
	w.heard("a won", "b won")

	// A lease that ends takes its own claim alone.
	w.step(func() { w.a.LeaseDone(msg.LeaseDone{Outcome: msg.Gone, Lease: 7, IsRenewal: true}) })
	w.heard("a lost: lease expired")
	if !w.b.IsLeader() || w.a.IsLeader() || w.a.FencingToken() != 0 {
		t.Fatal("b is still held and a is not")
	}

	// What is held by another is followed, and not claimed.
	w.written(w.a, "n2", 1, 50)
	w.heard("a passed to n2")
	if w.a.OtherHolder() != "n2" || len(w.step(w.a.Tick)) != 0 {
		t.Fatalf("%+v", w.a.Holder())
	}
	w.step(func() { w.a.ApplyListingWithoutHolder(60) })
	w.step(w.a.Tick)
	w.win(w.a, 9, 61)
	w.heard("a won")
}

// A raise voids what is under way under the older token, and keeps the first one.
func TestRaise(t *testing.T) {
	w := newTwo(t)
	w.win(w.a, 7, 40)
	w.step(w.a.ReplaceTokenIfRequested)
	w.a.RequestNewToken()
	raise := w.transaction(w.step(w.a.ReplaceTokenIfRequested))
	if raise.Transaction.Conditions[0] != (wire.Condition{Key: "zone/a", Version: 40}) || !w.a.TokenChangePending() {
		t.Fatalf("%+v", raise.Transaction)
	}
	w.step(func() { w.box.CommitDone(msg.CommitDone{ID: raise.ID, Outcome: msg.OK, Revision: 45}) })
	if w.a.FencingToken() != 45 || w.a.TermStart() != 40 || w.a.TokenChangePending() {
		t.Fatalf("token %d, base %d", w.a.FencingToken(), w.a.TermStart())
	}
	// Another node's claim that the guards should have ruled out is believed.
	w.written(w.a, "n2", 1, 50)
	w.heard("a won", "a passed to n2", "a lost: elected elsewhere: n2")

	// The same with an answer that never comes: whether it was written is not known, so it
	// is not held any more.
	w.win(w.b, 8, 41)
	w.b.RequestNewToken()
	raise = w.transaction(w.step(w.b.ReplaceTokenIfRequested))
	w.step(func() { w.box.CommitDone(msg.CommitDone{ID: raise.ID, Outcome: msg.Unknown}) })
	w.heard("b won", "b lost: leader key changed")
}

// A claim of an earlier process of this node is not renewed by this one, or it would never
// end.
func TestEarlierProcess(t *testing.T) {
	w := newTwo(t)
	w.step(w.a.Tick)
	w.written(w.a, "n1", 3, 30)
	if effects := w.step(func() { w.a.LeaseDone(msg.LeaseDone{Outcome: msg.OK, Lease: 7}) }); len(effects) != 0 || w.a.IsLeader() {
		t.Fatalf("%v", effects)
	}
	for range 10 {
		for _, e := range w.step(w.a.Tick) {
			if _, renews := e.(msg.RenewLease); renews {
				t.Fatal("renews a lease while an earlier process's claim is there")
			}
		}
	}
	w.step(func() { w.a.Apply(&wire.Change{Delete: "zone/a", Version: 31}, true) })
	w.step(w.a.Tick)
	w.win(w.a, 9, 33)
	w.heard("a passed to n1", "a won")
}

// A node whose claims end soon after it has made them, one after the other, leaves a free one
// to others for longer each time, and for a while at most.
func TestLapsesInARowPause(t *testing.T) {
	w := newTwo(t)
	revision := uint64(40)
	for i := range 12 {
		free := w.now
		for !asks(w.step(w.a.Tick)) {
			if w.now-free > maxCampaignDelay+2*config.Second {
				t.Fatal("never claims again")
			}
		}
		switch paused := w.now - free; {
		case i == 0 && paused > config.Second:
			t.Errorf("the first claim pauses for %d us", paused)
		case i > 6 && i < 11 && paused < maxCampaignDelay:
			t.Errorf("many lapses pause for %d us", paused)
		case i == 11 && paused > config.Second:
			t.Errorf("pauses for %d us after a long reign", paused)
		}
		claim := w.transaction(w.step(func() { w.a.LeaseDone(msg.LeaseDone{Outcome: msg.OK, Lease: uint64(i + 1)}) }))
		w.step(func() { w.box.CommitDone(msg.CommitDone{ID: claim.ID, Outcome: msg.OK, Revision: revision}) })
		if i == 10 {
			w.now += shortTerm // a long reign makes up for those before it
		}
		revision += 2
		w.step(func() { w.a.Apply(&wire.Change{Delete: "zone/a", Version: revision - 1}, true) })
		if w.a.IsLeader() {
			t.Fatal("held though it is removed")
		}
	}
}

func asks(effects []msg.Effect) bool {
	return slices.ContainsFunc(effects, func(e msg.Effect) bool { _, ok := e.(msg.GrantLease); return ok })
}

// The first claim of a reign is told from one that rewrites it only where nothing can lie
// between what was seen: a token that is taken for an earlier leader's must be one.
func TestBaseOfOthersClaims(t *testing.T) {
	w := newTwo(t)
	raw := func(node string) []byte {
		v, err := job.Encode(LeaseRecord{node, 1})
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	put := func(node string, revision uint64, watched bool) {
		w.step(func() { w.a.Apply(&wire.Change{Put: w.a.Key(), Value: raw(node), Version: revision}, watched) })
	}
	gone := func(revision uint64) {
		w.step(func() { w.a.Apply(&wire.Change{Delete: w.a.Key(), Version: revision}, true) })
	}
	is := func(what string, version, base uint64) {
		t.Helper()
		if h := w.a.Holder(); h.Version != version || h.TermStart != base {
			t.Errorf("%s: %+v, want version %d and base %d", what, h, version, base)
		}
	}
	put("n8", 10, true)
	is("the first that was ever heard of", 10, 0)
	put("n8", 12, true)
	is("rewritten", 12, 0)
	gone(13)
	put("n9", 14, true)
	is("made after the end of another", 14, 14)
	put("n9", 16, true)
	is("rewritten", 16, 14)
	put("n8", 20, false)
	is("listed: it may have been rewritten", 20, 0)
	gone(21)
	put("n9", 30, false)
	is("listed, after an end that was seen", 30, 0)
	w.step(func() { w.a.ApplyListingWithoutHolder(40) })
	put("n9", 44, true)
	is("made after a listing without any", 44, 44)
	put("n9", 50, false)
	is("listed, of the same node", 50, 44)
	put("n9", 52, true)
	is("rewritten", 52, 44)
}

// A claim of an earlier process of the node isn't this one's, though the node is the same and it holds a lease: that
// process's transactions and calls may still be on their way under it, and it ends with the other's lease.
func TestClaimOfAnEarlierProcess(t *testing.T) {
	w := newTwo(t)
	w.step(func() { w.a.Tick() })
	made := w.transaction(w.step(func() { w.a.LeaseDone(msg.LeaseDone{Outcome: msg.OK, Lease: 7}) }))
	w.step(func() { w.box.CommitDone(msg.CommitDone{ID: made.ID, Outcome: msg.Refused}) })
	value, err := job.Encode(LeaseRecord{"n1", 3})
	if err != nil {
		t.Fatal(err)
	}
	w.step(func() { w.a.Apply(&wire.Change{Put: "zone/a", Value: value, Version: 9}, true) })
	if w.a.IsLeader() {
		t.Error("it leads by the claim of an earlier process")
	}
}
