package core_test

import (
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// claimant is a node alone with a state service that is played by hand.
type claimant struct {
	t    *testing.T
	core *core.Core
	now  core.Micros
}

func (c *claimant) step(in msg.Input) []msg.Effect {
	c.now += 100 * 1000
	return c.core.Step(c.now, in)
}

// claim returns the transaction among the effects that puts the leader's key.
func claim(effects []msg.Effect) *msg.Commit {
	for _, e := range effects {
		if x, ok := e.(msg.Commit); ok && len(x.Transaction.Changes) == 1 && x.Transaction.Changes[0].Put == job.KeyRoot+"leader" {
			return &x
		}
	}
	return nil
}

func (c *claimant) mustClaim(in msg.Input) *msg.Commit {
	c.t.Helper()
	for range 5 {
		effects := c.step(in)
		for _, e := range effects {
			if _, ok := e.(msg.GrantLease); ok {
				effects = append(effects, c.step(msg.LeaseDone{Outcome: msg.OK, Lease: 7})...)
			}
		}
		if x := claim(effects); x != nil {
			return x
		}
		in = msg.Tick{WallClock: c.now}
	}
	c.t.Fatal("no claim was made")
	return nil
}

// A claim whose answer was lost, and which the watch tells of while the next try is on
// its way, is this node's all the same. Once, nobody led for the rest of a day: the node
// took the claim for that of an earlier process, and went on renewing its lease.
func TestClaimWithoutAnAnswer(t *testing.T) {
	c := &claimant{t: t, core: core.New(fleetConfig(10), 5), now: config.Second}
	c.step(msg.Snapshot{Revision: 3})
	first := c.mustClaim(msg.Tick{WallClock: c.now})
	c.step(msg.CommitDone{ID: first.ID, Outcome: msg.Unknown}) // it is applied, as revision 9
	second := c.mustClaim(msg.Tick{WallClock: c.now})
	told := wire.Change{Put: first.Transaction.Changes[0].Put, Value: first.Transaction.Changes[0].Value, Version: 9}
	effects := c.step(msg.Changed{Events: []wire.Change{told}})
	effects = append(effects, c.step(msg.CommitDone{ID: second.ID, Outcome: msg.Conflict, Failed: []string{told.Put}})...)
	leads := false
	for range 50 {
		var next []msg.Effect
		for _, e := range effects {
			switch x := e.(type) {
			case msg.Log:
				leads = leads || x.Message == "elected leader"
			case msg.Relist:
				next = append(next, c.step(msg.Snapshot{Items: []wire.KeyValue{{Key: told.Put, Value: told.Value, Version: 9, Lease: 7}}, Revision: 9})...)
			case msg.RenewLease:
				next = append(next, c.step(msg.LeaseDone{Outcome: msg.OK, Lease: x.Lease, IsRenewal: true})...)
			}
		}
		effects = append(next, c.step(msg.Tick{WallClock: c.now})...)
	}
	if !leads {
		t.Error("nobody leads, though the claim is this node's")
	}
}

// A node that holds a lease for a claim which it doesn't lead by lets that end: a claim
// of an earlier process of the same node, say.
func TestLeaseWithoutLeadingEnds(t *testing.T) {
	c := &claimant{t: t, core: core.New(fleetConfig(10), 5), now: config.Second}
	c.step(msg.Snapshot{Revision: 3})
	x := c.mustClaim(msg.Tick{WallClock: c.now})
	value, err := job.Encode(map[string]any{"node": "n1", "nonce": uint64(1)})
	if err != nil {
		t.Fatal(err)
	}
	c.step(msg.Changed{Events: []wire.Change{{Put: job.KeyRoot + "leader", Value: value, Version: 9}}})
	c.step(msg.CommitDone{ID: x.ID, Outcome: msg.Conflict, Failed: []string{job.KeyRoot + "leader"}})
	renewals := 0
	for range 100 {
		for _, e := range c.step(msg.Tick{WallClock: c.now}) {
			if r, ok := e.(msg.RenewLease); ok {
				renewals++
				c.step(msg.LeaseDone{Outcome: msg.OK, Lease: r.Lease, IsRenewal: true})
			}
		}
	}
	if renewals > 1 {
		t.Errorf("the lease of a claim that nobody leads by was renewed %d times in 10 s", renewals)
	}
}
