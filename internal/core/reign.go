package core

import (
	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/queue"
	"coralhub/wire"
)

// reign is what begins and ends with this node's claim to lead.
type reign struct {
	ready     bool // leading, and the records have been read since the claim
	since     Micros
	takeovers uint64
}

// throne hears how the claim to lead fares.
type throne struct{ c *Core }

// Won begins a reign. Nothing is commanded before the records have been read
// after the claim: only then are all placements of predecessors known.
func (t throne) Won() {
	c := t.c
	c.resetLeader()
	c.since = c.now
	c.takeovers++
	c.box.Log("leading", "token", c.claim.Token())
	c.box.Emit(msg.Relist{})
}

// Lost ends a reign. The core forgets what only the leader needs; a later
// reign starts from the records.
func (t throne) Lost(why string, token uint64) {
	t.c.box.Log("no longer leading", "why", why, "token", token)
	t.c.resetLeader()
	t.c.box.Emit(msg.Relist{})
}

func (t throne) Passed(from, to string) {
	t.c.home.Passed(from, to)
}

// afterSnapshot completes a takeover.
func (c *Core) afterSnapshot(revision uint64) {
	if !c.claim.Held() || c.ready || revision < c.claim.Token() {
		return
	}
	c.ready = true
	open := 0
	for _, id := range c.sortedJobs() {
		j := c.jobs[id]
		j.closes, j.plan, j.txn = nil, nil, nil
		c.placed(j, nil, j.Rec.Open)
		for i := range j.Parts {
			c.placed(j, nil, j.Parts[i].Open)
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
	c.keeper.Begin()
	c.owner.Begin()
	for _, m := range c.owner.Roster().All() {
		c.watch(m)
	}
	c.startLearning()
	c.passDue = true
	c.box.Log("records read", "open_placements", open, "machines", c.owner.Roster().Len(), "after_ms", (c.now-c.since)/1000)
}

func (c *Core) resetLeader() {
	for _, j := range c.jobs {
		j.closes, j.plan, j.txn, j.reserved, j.mergeNow = nil, nil, nil, nil, false
		j.standing, j.runs = standing{}, runs{}
	}
	c.ready = false
	looked := c.survey.lookedAt
	c.survey = newSurvey(c.cfg.Cluster.Zones)
	c.survey.lookedAt = looked
	c.owner.Reset()
	c.keeper.Reset()
	c.reigns++
	c.writing = 0
	c.ended = endedLog{writeAt: c.ended.writeAt, leaving: map[uint64]bool{}}
	c.dirty, c.delayed = map[string]bool{}, map[string]bool{}
	c.usage = queue.NewUsage(config.FromSeconds(c.cfg.Settings.UsageWindowS))
	c.learning = learning{stored: c.learning.stored}
}
