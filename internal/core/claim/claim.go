// Package claim holds a key of the state service for a node, by a lease, and follows who
// holds it. The revision of a claim is the token that workers see: revisions only grow, so a
// later holder's token is higher with no counter to keep.
package claim

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
	// raisePause is the least time between two raises.
	raisePause = 2 * config.Second
	// shortReign is how long a claim is to be held for that its end says nothing against
	// its holder.
	shortReign = 30 * config.Second
	// mostPause is the longest that a node leaves a free claim to others, having lost some
	// in a row after a short time.
	mostPause = 4 * config.Second
)

// Value is what is stored under the key.
type Value struct {
	Node  string `msgpack:"node"`
	Nonce uint64 `msgpack:"nonce"`
}

// Holder is who holds a claim, as far as is known.
type Holder struct {
	Node    string // "": nobody
	Version uint64 // of the claim; 0: nobody holds it
	// Base is the version of its first claim: all before are others'. 0: not known, for a claim that was
	// listed may be one that was rewritten.
	Base  uint64
	nonce uint64
}

// Listener hears how the claim fares.
type Listener interface {
	Won()                          // this node holds it from now on
	Lost(why string, token uint64) // and doesn't any more
	HolderChanged(from, to string) // somebody has written a claim
}

// Claim is one key's.
type Claim struct {
	box  *outbox.Box
	key  string
	node string
	ttl  Micros
	to   Listener

	holder    Holder
	gone      bool // it was seen that nobody holds it, and nothing is missing since
	jitter    Micros
	absent    Micros // since when the claim has been free
	lease     uint64
	leasing   bool
	renewing  bool
	renewSent Micros
	confirmed Micros // when the last request was sent that proved our lease alive
	claiming  bool
	nonce     uint64 // of the last claim
	nonceFrom uint64 // of the first one that was made on the present lease

	won    Micros // when it was last won
	lapses int    // how many in a row ended soon because the lease did

	held      bool
	token     uint64 // version of our claim; 0 unless held
	base      uint64 // token of our first claim: older ones are others'
	raising   bool
	raised    Micros
	wantRaise bool
}

// New returns the claim on a key for a node. The seed tells its claims from those of an
// earlier process, and decides when it claims among nodes that could at the same moment.
func New(box *outbox.Box, key, node string, ttl Micros, seed uint64, to Listener) *Claim {
	return &Claim{box: box, key: key, node: node, ttl: ttl, to: to, jitter: Micros(seed % 200_000), nonce: seed}
}

// Key is the key that is claimed.
func (c *Claim) Key() string { return c.key }

// Holder tells who holds the claim.
func (c *Claim) Holder() Holder { return c.holder }

// Elsewhere names the holder if it is another node; "" otherwise.
func (c *Claim) Elsewhere() string {
	if c.holder.Node == c.node {
		return ""
	}
	return c.holder.Node
}

// Held tells whether this node holds the claim, as far as it knows.
func (c *Claim) Held() bool { return c.held }

// Token is the version of our claim; 0 unless held.
func (c *Claim) Token() uint64 { return c.token }

// Base is the token of our first claim: older ones are others'.
func (c *Claim) Base() uint64 { return c.base }

// Raising tells whether the claim is being rewritten.
func (c *Claim) Raising() bool { return c.raising }

// Guard has a transaction fail unless our claim is the one in force.
func (c *Claim) Guard() wire.Guard { return wire.Guard{Key: c.key, Version: c.token} }

// HoldersGuard has a transaction fail once somebody has written another claim than the
// one that is known here, whoever's it is.
func (c *Claim) HoldersGuard() wire.Guard { return wire.Guard{Key: c.key, Version: c.holder.Version} }

// Failed hears which guards of a transaction have failed that was guarded by a version of our
// claim. If that is the one in force, the claim is lost: it returns true.
func (c *Claim) Failed(version uint64, guards []string) bool {
	if version != c.token || c.raising || !slices.Contains(guards, c.key) {
		return false
	}
	c.Resign("claim lost")
	return true
}

// Tick does what is due by time alone: it keeps the lease, and claims what is free.
func (c *Claim) Tick() {
	c.letGo()
	if c.lease != 0 && !c.renewing && c.box.Now()-c.renewSent > c.ttl/4 {
		c.renewing, c.renewSent = true, c.box.Now()
		c.box.Emit(msg.RenewLease{Lease: c.lease, TTL: c.ttl})
	}
	if c.holder.Version != 0 || c.held || c.claiming || c.box.Now()-c.absent < c.jitter+c.pause() {
		return
	}
	if c.lease == 0 {
		if !c.leasing {
			c.leasing = true
			c.box.Emit(msg.GrantLease{TTL: c.ttl})
		}
		return
	}
	c.make()
}

// ours tells whether a claim is one that this process has made on its present lease:
// the last, or an earlier one whose answer was lost. They all guard against each other,
// so whichever is there is the one that holds.
func (c *Claim) ours(node string, nonce uint64) bool {
	return node == c.node && c.lease != 0 && nonce >= c.nonceFrom && nonce <= c.nonce
}

// letGo stops renewing a lease while somebody holds the claim and this node doesn't
// by it. If the claim is one of ours that we don't know for ours, it ends with the lease,
// and somebody can claim anew: else nobody ever would.
func (c *Claim) letGo() {
	if !c.held && !c.claiming && c.holder.Version != 0 {
		c.drop()
	}
}

// drop has our lease renewed no more.
func (c *Claim) drop() {
	if c.lease != 0 {
		c.box.Emit(msg.DropLease{Lease: c.lease})
		c.lease = 0
	}
}

// InDoubt tells whether our lease may have ended. A leader in doubt goes on
// answering its workers, but asks nothing of the cloud: a request that a cut
// holds back would come late and delete machines that an heir is using.
func (c *Claim) InDoubt() bool { return c.box.Now()-c.confirmed > c.ttl }

// over writes a new claim of ours in the place of a version of the key, 0 for none.
func (c *Claim) over(version uint64) wire.Commit {
	c.nonce++
	raw, err := job.Encode(Value{c.node, c.nonce})
	if err != nil {
		panic(err) // a struct of text and number always encodes
	}
	return wire.Commit{
		Guards:  []wire.Guard{{Key: c.key, Version: version}},
		Changes: []wire.Change{{Put: c.key, Value: raw, Lease: c.lease}},
	}
}

func (c *Claim) make() {
	c.claiming = true
	c.box.Commit(c.over(0), msg.ForClaim, func(d msg.CommitDone) {
		c.claiming = false
		switch d.Outcome {
		case msg.OK:
			c.win(d.Revision)
		case msg.Gone:
			c.drop()
		case msg.Unknown, msg.Conflict:
			if c.holder.Version != 0 && c.ours(c.holder.Node, c.holder.nonce) {
				c.win(c.holder.Version) // the watch was faster than the answer
				return
			}
			c.box.Emit(msg.Relist{}) // the listing tells whether a claim went through
		}
	})
}

func (c *Claim) win(token uint64) {
	if c.held {
		return
	}
	c.held, c.token, c.base, c.won = true, token, token, c.box.Now()
	c.raising, c.wantRaise = false, false
	c.holder = Holder{Node: c.node, Version: token, Base: token, nonce: c.nonce}
	c.gone = false
	c.to.Won()
}

// Resign gives up a claim that is held, or lost already: it is never renewed again, and
// what is left behind ends with its lease.
func (c *Claim) Resign(why string) {
	if !c.held {
		return
	}
	token := c.token
	c.drop()
	c.held, c.token, c.base, c.raising, c.wantRaise = false, 0, 0, false, false
	c.to.Lost(why, token)
}

// lapsed notes that a claim ends because its lease has.
func (c *Claim) lapsed() {
	if c.held && c.box.Now()-c.won < shortReign {
		c.lapses++
	} else {
		c.lapses = 0
	}
}

// pause is how long a free claim is left to others first. A node that can't keep one lets
// somebody else try, for longer each time: two that are both too slow, each heir having more
// to do than who was before it, else take turns for good.
func (c *Claim) pause() Micros {
	if c.lapses == 0 {
		return 0
	}
	return min(mostPause, config.Second/4<<min(c.lapses, 8))
}

// LeaseDone answers what was asked of the lease.
func (c *Claim) LeaseDone(x msg.LeaseDone) {
	if x.Renewal {
		c.renewing = false
		if x.Outcome == msg.OK && x.Lease == c.lease {
			c.confirmed = max(c.confirmed, c.box.Now()-x.Age)
		}
		if x.Outcome == msg.Gone && x.Lease == c.lease {
			c.drop()
			c.lapsed()
			c.Resign("lease ended")
		}
		return
	}
	c.leasing = false
	if x.Outcome == msg.OK {
		c.lease, c.nonceFrom = x.Lease, c.nonce+1
		c.renewSent, c.confirmed = c.box.Now(), c.box.Now()-x.Age
		if c.holder.Version == 0 && !c.held && !c.claiming {
			c.make()
		}
	}
}

// Listed takes a listing of this revision that holds no claim.
func (c *Claim) Listed(revision uint64) {
	if c.holder.Version <= revision {
		c.gone = true
	}
	if c.holder.Version != 0 && c.holder.Version <= revision {
		c.Apply(&wire.Change{Delete: c.key, Version: revision}, true)
	}
}

// Apply follows a put or a delete of the key. A change that comes from the watch is the first after
// those that came before it; from a listing, others may lie between.
func (c *Claim) Apply(ev *wire.Change, watched bool) {
	if ev.Version < c.holder.Version || ev.Version == c.holder.Version && ev.Put != "" {
		return
	}
	if ev.Put == "" {
		c.holder, c.gone = Holder{nonce: c.holder.nonce}, true
		c.absent = c.box.Now()
		if c.held && ev.Version > c.token {
			c.lapsed()
			c.Resign("claim removed")
		}
		return
	}
	var v Value
	if err := job.Decode(ev.Value, &v); err != nil {
		return
	}
	from, base := c.holder.Node, uint64(0)
	switch {
	case c.gone && watched: // a claim is rewritten in its own place only
		base = ev.Version
	case from == v.Node: // by the same process, or by a later one of that node
		base = c.holder.Base
	}
	c.holder, c.gone = Holder{v.Node, ev.Version, base, v.Nonce}, false
	c.to.HolderChanged(from, v.Node)
	if v.Node != c.node {
		if c.held && ev.Version > c.token {
			c.Resign("claim of " + v.Node)
		}
		if !c.held {
			c.drop()
		}
		return
	}
	// A claim of ours whose answer was lost, or one of an earlier process of
	// this node: the latter has to end by itself before we can claim.
	switch {
	case c.claiming || c.raising:
	case !c.held && c.ours(v.Node, v.Nonce):
		c.win(ev.Version)
	case !c.held:
		c.drop()
	case ev.Version > c.token:
		c.Resign("claim of another process of this node")
	}
}

// WantRaise has the claim raised soon.
func (c *Claim) WantRaise() { c.wantRaise = true }

// RaiseIfWanted rewrites the claim if somebody wants it, not too often: the new token
// voids every command that is still on its way under the old one.
func (c *Claim) RaiseIfWanted() {
	if !c.wantRaise || c.raising || c.box.Now()-c.raised <= raisePause {
		return
	}
	c.raising, c.wantRaise, c.raised = true, false, c.box.Now()
	old := c.token
	c.box.Commit(c.over(old), msg.ForClaim, func(d msg.CommitDone) {
		if !c.held || c.token != old {
			return
		}
		c.raising = false
		switch d.Outcome {
		case msg.OK:
			c.token = d.Revision
			c.holder.Version, c.holder.nonce = d.Revision, c.nonce
			c.box.Log("token raised", "from", old, "to", c.token)
		case msg.Refused, msg.Invalid:
			c.wantRaise = true
		default:
			c.Resign("claim lost")
		}
	})
}
