package core

import (
	"net/http"

	"coralhub/internal/core/front"
	"coralhub/internal/core/home"
	"coralhub/internal/core/job"
	"coralhub/internal/core/leader"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// listener passes what the records say on to the roles.
type listener struct {
	*leader.Leader
	front *front.Front
	home  *home.Home
}

// Recorded has the home tell the leader soon that it knows of a cancellation.
func (l listener) Recorded(r *records.Job) {
	l.Leader.Recorded(r)
	if r.Rec.Cancel && !r.Rec.Final() {
		l.home.Marked()
	}
}

// Ended has the front answer who waits for a job to be over as well.
func (l listener) Ended(r *records.Job) {
	l.Leader.Ended(r)
	l.front.Ended(r)
}

// claimListener hears how the claim to lead fares.
type claimListener struct{ c *Core }

func (t claimListener) Won()                          { t.c.leader.Won() }
func (t claimListener) Lost(why string, token uint64) { t.c.leader.Lost(why, token) }
func (t claimListener) HolderChanged(from, to string) { t.c.home.HolderChanged(from, to) }

// frontNode is what the front knows of the rest of its node.
type frontNode struct{ c *Core }

func (h frontNode) Refusal() string      { return h.c.refusal() }
func (h frontNode) Heard(ev wire.Change) { h.c.apply(&ev) }

func (h frontNode) Wrote(ev wire.Change) {
	h.c.apply(&ev)
	if l := h.c.claim.Elsewhere(); l != "" {
		h.c.box.Emit(msg.Tell{Node: l, Event: ev})
	}
}

// refusal tells why this node doesn't serve; "": it does.
func (c *Core) refusal() string {
	switch {
	case c.foreign:
		return "the records are of a later version"
	case !c.loaded:
		return "starting"
	}
	return ""
}

// hint takes what another node has just written, ahead of the watch.
func (c *Core) hint(ev *wire.Change) {
	if id, n, ok := job.ParseKey(ev.Put); ok && n == 0 && id != "" && c.loaded {
		c.apply(ev)
	}
}

// report answers a worker. Only an owner whose records are read may do so; a
// 200 from anybody else would hold the worker there while its lease runs out.
func (c *Core) report(x msg.ReportIn) {
	r := &x.Report
	if c.foreign {
		c.box.Later(x.Req, c.refusal())
		return
	}
	if !c.leader.Ready() {
		if c.claim.Elsewhere() != "" && r.Machine != "" {
			c.home.Relay(x)
			return
		}
		if c.claim.Held() && r.Machine != "" && c.home.KeepsAlive(x) {
			return // the records are still being read
		}
		c.box.Later(x.Req, "no leader")
		return
	}
	if r.Token > c.claim.Token() && !c.claim.Raising() {
		c.box.Answer(x.Req, http.StatusMisdirectedRequest, wire.Redirect{})
		c.claim.Resign("a worker has seen a higher token")
		return
	}
	if r.Machine == "" || r.Session == 0 {
		c.box.Answer(x.Req, http.StatusBadRequest, wire.Error{Error: "no machine or session"})
		return
	}
	if !x.Forwarded && c.home.SendHome(x) {
		return
	}
	c.owner.Report(x)
}
