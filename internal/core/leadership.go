package core

import (
	"coralhub/internal/config"
	"coralhub/internal/core/fleet"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// claim is the value of the leader's key.
type claim struct {
	Node  string `msgpack:"node"`
	Nonce uint64 `msgpack:"nonce"`
}

// leadership follows the leader's claim and makes this node's own.
//
// The revision of a claim is the token that workers see. Revisions only grow,
// so a later leader's token is higher with no counter to keep.
type leadership struct {
	leader struct {
		node    string
		version uint64 // 0: nobody holds the claim
		nonce   uint64
	}
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

	leading   bool
	ready     bool   // leading, and the records have been read since the claim
	token     uint64 // version of our claim; 0 unless leading
	baseToken uint64 // token of our first claim: older ones are others'
	since     Micros
	raising   bool
	raised    Micros
	takeovers uint64
}

func (c *Core) leaseTTL() Micros { return config.FromMillis(c.cfg.Settings.LeaderLeaseMS) }

func (c *Core) tickLeadership() {
	if !c.serving() {
		return
	}
	c.letGo()
	if c.lease != 0 && !c.renewing && c.now-c.renewSent > c.leaseTTL()/4 {
		c.renewing, c.renewSent = true, c.now
		c.box.Emit(msg.RenewLease{Lease: c.lease})
	}
	if c.leader.version != 0 || c.leading || c.claiming || c.now-c.absent < c.jitter {
		return
	}
	if c.lease == 0 {
		if !c.leasing {
			c.leasing = true
			c.box.Emit(msg.GrantLease{TTL: c.leaseTTL()})
		}
		return
	}
	c.makeClaim()
}

// ours tells whether a claim is one that this process has made on its present lease:
// the last, or an earlier one whose answer was lost. They all guard against each other,
// so whichever is there is the one that holds.
func (c *Core) ours(node string, nonce uint64) bool {
	return node == c.cfg.Node && c.lease != 0 && nonce >= c.nonceFrom && nonce <= c.nonce
}

// letGo stops renewing a lease while somebody holds the claim and this node doesn't lead
// by it. If the claim is one of ours that we don't know for ours, it ends with the lease,
// and somebody can claim anew: else nobody ever would.
func (c *Core) letGo() {
	if c.lease != 0 && !c.leading && !c.claiming && c.leader.version != 0 {
		c.lease = 0
	}
}

// inDoubt tells whether our lease may have ended. A leader in doubt goes on
// answering its workers, but asks nothing of the cloud: a request that a cut
// holds back would come late and delete machines that an heir is using.
func (c *Core) inDoubt() bool { return c.now-c.confirmed > c.leaseTTL() }

// claimOver writes a new claim of ours in the place of a version of the
// leader's key, 0 for none.
func (c *Core) claimOver(version uint64) wire.Commit {
	c.nonce++
	value, err := job.Encode(claim{c.cfg.Node, c.nonce})
	if err != nil {
		panic(err) // a struct of text and number always encodes
	}
	return wire.Commit{
		Guards:  []wire.Guard{{Key: leaderKey, Version: version}},
		Changes: []wire.Change{{Put: leaderKey, Value: value, Lease: c.lease}},
	}
}

func (c *Core) makeClaim() {
	c.claiming = true
	c.box.Commit(c.claimOver(0), func(d msg.CommitDone) {
		c.claiming = false
		switch d.Outcome {
		case msg.OK:
			c.lead(d.Revision)
		case msg.Gone:
			c.lease = 0
		case msg.Unknown, msg.Conflict:
			if c.leader.version != 0 && c.ours(c.leader.node, c.leader.nonce) {
				c.lead(c.leader.version) // the watch was faster than the answer
				return
			}
			c.box.Emit(msg.Relist{}) // the listing tells whether a claim went through
		}
	})
}

// lead begins a reign. Nothing is commanded before the records have been read
// after the claim: only then are all placements of predecessors known.
func (c *Core) lead(token uint64) {
	if c.leading {
		return
	}
	c.resetLeader()
	c.leading, c.token, c.baseToken, c.since = true, token, token, c.now
	c.leader.node, c.leader.version, c.leader.nonce = c.cfg.Node, token, c.nonce
	c.takeovers++
	c.box.Log("leading", "token", token)
	c.box.Emit(msg.Relist{})
}

// afterSnapshot completes a takeover.
func (c *Core) afterSnapshot(revision uint64) {
	if !c.leading || c.ready || revision < c.token {
		return
	}
	c.ready = true
	c.expected = map[string]map[job.Key]job.Placement{}
	open := 0
	for _, id := range c.sortedJobs() {
		j := c.jobs[id]
		j.closes, j.plan, j.txn, j.stops = nil, nil, nil, nil
		c.reindex(j, nil, j.Rec.Open)
		for i := range j.Parts {
			c.reindex(j, nil, j.Parts[i].Open)
		}
		open += j.Open
		if j.Rec.Spec != nil && j.Rec.Spec.Shape == wire.Gang && j.Open > 0 && j.Open < j.Rec.Spec.Tasks {
			// Where the missing tasks were is not known any more, and an attempt
			// must not come to the same machine twice: the gang starts anew.
			j.deadGang = max(j.deadGang, j.Rec.Attempt)
		}
		if !j.Over() || len(j.Parts) > 0 {
			c.dirty[id] = true
		}
	}
	for name := range c.expected {
		c.machine(name)
	}
	for _, m := range c.machines.All() {
		c.survey.strange[m] = true
		c.watch(m)
	}
	c.startLearning()
	c.passDue = true
	c.lastList = 0
	c.box.Log("records read", "open_placements", open, "machines", c.machines.Len(), "after_ms", (c.now-c.since)/1000)
}

// stepDown ends a reign. The core forgets what only the leader needs; a later
// reign starts from the records.
func (c *Core) stepDown(why string) {
	if !c.leading {
		return
	}
	c.box.Log("no longer leading", "why", why, "token", c.token)
	c.lease = 0 // never renewed again: a claim that is left behind ends with it
	c.resetLeader()
	c.box.Emit(msg.Relist{})
}

func (c *Core) resetLeader() {
	for _, j := range c.jobs {
		j.closes, j.plan, j.txn, j.stops, j.reserved, j.mergeNow = nil, nil, nil, nil, nil, false
		j.standing, j.runs = standing{}, runs{}
	}
	c.leading, c.ready, c.token, c.baseToken, c.raising = false, false, 0, 0, false
	c.wantRaise, c.listing = false, false
	looked := c.survey.lookedAt
	c.survey = newSurvey(c.cfg.Cluster.Zones)
	c.survey.lookedAt = looked
	old := c.machines
	c.machines = zone.NewRoster()
	if old != nil {
		for _, m := range old.All() { // addresses and images stay true
			fresh := zone.New(m.Name, m.Addr, m.Type, m.Zone, m.Spot, m.Rented)
			fresh.Images = m.Images
			c.machines.Add(fresh)
		}
	}
	c.reign++
	c.writing = 0
	c.ended = endedLog{writeAt: c.ended.writeAt, leaving: map[uint64]bool{}}
	c.dirty, c.delayed, c.urgent = map[string]bool{}, map[string]bool{}, nil
	c.deleted = map[string]Micros{}
	if c.expected == nil {
		c.expected = map[string]map[job.Key]job.Placement{}
	}
	c.usage = queue.NewUsage(config.FromSeconds(c.cfg.Settings.UsageWindowS))
	c.fleet = fleet.New()
	c.learning = learning{stored: c.learning.stored}
}

func (c *Core) leaseDone(x msg.LeaseDone) {
	if x.Renewal {
		c.renewing = false
		if x.Outcome == msg.OK && x.Lease == c.lease {
			c.confirmed = c.renewSent
		}
		if x.Outcome == msg.Gone && x.Lease == c.lease {
			c.lease = 0
			c.stepDown("lease ended")
		}
		return
	}
	c.leasing = false
	if x.Outcome == msg.OK {
		c.lease, c.nonceFrom = x.Lease, c.nonce+1
		c.renewSent, c.confirmed = c.now, c.now
		if c.leader.version == 0 && !c.leading && !c.claiming {
			c.makeClaim()
		}
	}
}

// leaderChanged follows the claim.
func (c *Core) leaderChanged(ev *wire.Change) {
	if ev.Version < c.leader.version || ev.Version == c.leader.version && ev.Put != "" {
		return
	}
	if ev.Put == "" {
		c.leader.version, c.leader.node = 0, ""
		c.absent = c.now
		if c.leading && ev.Version > c.token {
			c.stepDown("claim removed")
		}
		return
	}
	var cl claim
	if err := job.Decode(ev.Value, &cl); err != nil {
		return
	}
	if c.leader.node != cl.Node {
		c.heard[cl.Node] = c.now
	}
	c.leader.node, c.leader.version, c.leader.nonce = cl.Node, ev.Version, cl.Nonce
	clear(c.mailed) // a new leader has not read it
	if cl.Node != c.cfg.Node {
		if c.leading && ev.Version > c.token {
			c.stepDown("claim of " + cl.Node)
		}
		if !c.leading {
			c.lease = 0
		}
		return
	}
	// A claim of ours whose answer was lost, or one of an earlier process of
	// this node: the latter has to end by itself before we can claim.
	switch {
	case c.claiming || c.raising:
	case !c.leading && c.ours(cl.Node, cl.Nonce):
		c.lead(ev.Version)
	case !c.leading:
		c.lease = 0
	case ev.Version > c.token:
		c.stepDown("claim of another process of this node")
	}
}

// raise rewrites the claim: the new token voids every command that is still
// on its way under the old one.
func (c *Core) raise() {
	c.raising, c.wantRaise, c.raised = true, false, c.now
	old := c.token
	c.box.Commit(c.claimOver(old), func(d msg.CommitDone) {
		if !c.leading || c.token != old {
			return
		}
		c.raising = false
		switch d.Outcome {
		case msg.OK:
			c.token = d.Revision
			c.leader.version, c.leader.nonce = d.Revision, c.nonce
			c.box.Log("token raised", "from", old, "to", c.token)
		case msg.Refused, msg.Invalid:
			c.wantRaise = true
		default:
			c.stepDown("claim lost")
		}
	})
}
