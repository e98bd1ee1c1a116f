package core

import (
	"net/http"

	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// handleHeartbeat answers a worker's heartbeat, directly or through the relay. Only a leader that has read
// the records may answer directly: a 200 from any other node would make the worker continue to report there
// while its lease expires.
func (c *Core) handleHeartbeat(in msg.HeartbeatIn) {
	hb := &in.Heartbeat
	if c.formatUnsupported {
		c.outbox.RetryLater(in.RequestID, c.notServingReason())
		return
	}
	if !c.leader.Ready() {
		c.handleHeartbeatUnready(in)
		return
	}
	if c.reconciler.OfLaterLeader(hb.FencingToken) {
		c.outbox.Respond(in.RequestID, http.StatusMisdirectedRequest, wire.Redirect{})
		c.elector.Resign("a worker has seen a higher fencing token")
		return
	}
	if hb.Machine == "" || hb.Incarnation == 0 {
		c.outbox.Respond(in.RequestID, http.StatusBadRequest, wire.Error{Error: "no machine or session"})
		return
	}
	if !in.Forwarded && c.relay.Redirect(in) {
		return
	}
	c.reconciler.HandleHeartbeat(in)
}

// handleHeartbeatUnready answers a worker's heartbeat while this node is not the leader, or has not
// read the records yet.
func (c *Core) handleHeartbeatUnready(in msg.HeartbeatIn) {
	named := in.Heartbeat.Machine != ""
	if named && c.elector.OtherHolder() != "" {
		c.relay.HandleHeartbeat(in)
		return
	}
	if named && c.elector.IsLeader() && c.relay.KeepAlive(in) {
		return
	}
	c.outbox.RetryLater(in.RequestID, "no leader")
}
