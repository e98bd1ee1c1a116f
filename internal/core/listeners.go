package core

import (
	"net/http"

	"coralhub/internal/core/frontend"
	"coralhub/internal/core/job"
	"coralhub/internal/core/leader"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/internal/core/relay"
	"coralhub/wire"
)

// recordsListener passes what the records say on to the roles.
type recordsListener struct {
	*leader.Leader
	frontend *frontend.Frontend
	relay    *relay.Relay
}

// RecordChanged has the home tell the leader soon that it knows of a cancellation.
func (l recordsListener) RecordChanged(r *records.Job) {
	l.Leader.RecordChanged(r)
	if r.Record.CancelRequested && !r.Record.Final() {
		l.relay.OnCancelRequested()
	}
}

// JobFinished has the front answer who waits for a job to be over as well.
func (l recordsListener) JobFinished(r *records.Job) {
	l.Leader.JobFinished(r)
	l.frontend.JobFinished(r)
}

// electionListener hears how the claim to lead fares.
type electionListener struct{ core *Core }

func (t electionListener) OnElected()                         { t.core.leader.OnElected() }
func (t electionListener) OnDeposed(why string, token uint64) { t.core.leader.OnDeposed(why, token) }
func (t electionListener) OnHolderChanged(from, to string)    { t.core.relay.OnHolderChanged(from, to) }

// frontendNode is what the front knows of the rest of its node.
type frontendNode struct{ core *Core }

func (h frontendNode) NotServingReason() string { return h.core.notServingReason() }
func (h frontendNode) ApplyRead(ev wire.Change) { h.core.apply(&ev) }

func (h frontendNode) ApplyWritten(ev wire.Change) {
	h.core.apply(&ev)
	if l := h.core.elector.OtherHolder(); l != "" {
		h.core.outbox.Emit(msg.SendPeerUpdate{Node: l, Change: ev})
	}
}

// notServingReason tells why this node doesn't serve; "": it does.
func (c *Core) notServingReason() string {
	switch {
	case c.formatUnknown:
		return "the records are of a later version"
	case !c.loaded:
		return "starting"
	}
	return ""
}

// applyPeerUpdate takes what another node has just written, ahead of the watch.
func (c *Core) applyPeerUpdate(ev *wire.Change) {
	if id, n, ok := job.ParseKey(ev.Put); ok && n == 0 && id != "" && c.loaded {
		c.apply(ev)
	}
}

// handleHeartbeat answers a worker. Only an owner whose records are read may do so; a
// 200 from anybody else would hold the worker there while its lease runs out.
func (c *Core) handleHeartbeat(x msg.HeartbeatIn) {
	r := &x.Heartbeat
	if c.formatUnknown {
		c.outbox.RetryLater(x.RequestID, c.notServingReason())
		return
	}
	if !c.leader.Ready() {
		if c.elector.OtherHolder() != "" && r.Machine != "" {
			c.relay.HandleHeartbeat(x)
			return
		}
		if c.elector.IsLeader() && r.Machine != "" && c.relay.KeepAlive(x) {
			return // the records are still being read
		}
		c.outbox.RetryLater(x.RequestID, "no leader")
		return
	}
	if r.FencingToken > c.elector.FencingToken() && !c.elector.TokenChangePending() {
		c.outbox.Respond(x.RequestID, http.StatusMisdirectedRequest, wire.Redirect{})
		c.elector.Resign("a worker has seen a higher fencing token")
		return
	}
	if r.Machine == "" || r.Incarnation == 0 {
		c.outbox.Respond(x.RequestID, http.StatusBadRequest, wire.Error{Error: "no machine or session"})
		return
	}
	if !x.Forwarded && c.relay.Redirect(x) {
		return
	}
	c.reconciler.HandleHeartbeat(x)
}
