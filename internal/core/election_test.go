package core_test

import (
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// candidate is a core without peers. The test supplies the responses of the state service.
type candidate struct {
	t    *testing.T
	core *core.Core
	now  core.Micros
}

func (c *candidate) step(in msg.Input) []msg.Effect {
	c.now += 100 * 1000
	return c.core.Step(c.now, in)
}

// campaignCommit returns the transaction among the effects that puts the leader key, or nil.
func campaignCommit(effects []msg.Effect) *msg.Commit {
	for _, e := range effects {
		if x, ok := e.(msg.Commit); ok && len(x.Transaction.Changes) == 1 &&
			x.Transaction.Changes[0].Put == job.KeyRoot+"leader" {
			return &x
		}
	}
	return nil
}

// mustCampaign handles an input, and then ticks until the node campaigns. It returns the campaign's transaction.
func (c *candidate) mustCampaign(in msg.Input) *msg.Commit {
	c.t.Helper()
	for range 5 {
		effects := c.step(in)
		for _, e := range effects {
			if _, ok := e.(msg.GrantLease); ok {
				effects = append(effects, c.step(msg.LeaseDone{Outcome: msg.OK, Lease: 7})...)
			}
		}
		if x := campaignCommit(effects); x != nil {
			return x
		}
		in = msg.Tick{WallClock: c.now}
	}
	c.t.Fatal("the node did not campaign")
	return nil
}

// Guards against a cluster that remains without a leader, in one case for the rest of a day. The write of
// the leader key has no response, and the watch reports the key while the next attempt is in flight. The
// node must recognize the key as its own: the fault was that it attributed the key to an earlier process
// and continued to renew the key's lease.
func TestCampaignWithoutResponse(t *testing.T) {
	c := &candidate{t: t, core: core.New(fleetConfig(10), 5), now: config.Second}
	c.step(msg.Snapshot{Revision: 3})
	first := c.mustCampaign(msg.Tick{WallClock: c.now})
	c.step(msg.CommitDone{ID: first.ID, Outcome: msg.Unknown}) // it was executed, as revision 9
	second := c.mustCampaign(msg.Tick{WallClock: c.now})
	watched := wire.Change{Put: first.Transaction.Changes[0].Put, Value: first.Transaction.Changes[0].Value, Version: 9}
	effects := c.step(msg.Changed{Events: []wire.Change{watched}})
	effects = append(effects, c.step(msg.CommitDone{
		ID: second.ID, Outcome: msg.Conflict, Failed: []string{watched.Put}})...)
	elected := false
	for range 50 {
		var next []msg.Effect
		for _, e := range effects {
			switch x := e.(type) {
			case msg.Log:
				elected = elected || x.Message == "elected leader"
			case msg.Relist:
				next = append(next, c.step(msg.Snapshot{
					Items: []wire.KeyValue{{Key: watched.Put, Value: watched.Value, Version: 9, Lease: 7}}, Revision: 9})...)
			case msg.RenewLease:
				next = append(next, c.step(msg.LeaseDone{Outcome: msg.OK, Lease: x.Lease, IsRenewal: true})...)
			}
		}
		effects = append(next, c.step(msg.Tick{WallClock: c.now})...)
	}
	if !elected {
		t.Error("the node was not elected although the leader key is its own")
	}
}

// A node that has a lease and is not the leader lets the lease expire if the leader key has a holder, for
// example an earlier process of the same node.
func TestLeaseOfNonLeaderExpires(t *testing.T) {
	c := &candidate{t: t, core: core.New(fleetConfig(10), 5), now: config.Second}
	c.step(msg.Snapshot{Revision: 3})
	x := c.mustCampaign(msg.Tick{WallClock: c.now})
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
		t.Errorf("a node that is not the leader renewed its lease %d times in 10 s, want at most 1", renewals)
	}
}
