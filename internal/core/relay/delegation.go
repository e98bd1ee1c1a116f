package relay

import (
	"net/http"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

const (
	// replicaAgeMargin is how much earlier than necessary a node without a delegation stops relying on its replica.
	replicaAgeMargin = 4 * config.Second
	// listingGrace is how long after an election the leader is assumed to have read the records,
	// provided that the state service has responded to this node after that time.
	listingGrace = 2 * config.Second
)

// delegation is a leader's permission to answer workers on its behalf even if this node's replica
// is old. Until it expires, the leader confirms a cancellation to a client only after this node has
// confirmed that its replica holds the cancellation.
type delegation struct {
	fencingToken uint64 // of the leader that gave it
	until        Micros
}

// extendDelegation extends the delegation under a fencing token. Responses may arrive out of order,
// so it is never shortened.
func (r *Relay) extendDelegation(token uint64, until Micros) {
	if r.delegation.fencingToken != token {
		r.delegation = delegation{fencingToken: token}
	}
	r.delegation.until = max(r.delegation.until, until)
}

// delegated reports whether this node has an unexpired delegation of the current leader.
func (r *Relay) delegated() bool {
	return r.delegation.fencingToken == r.elector.Holder().Version && r.outbox.Now() < r.delegation.until
}

// replicaFresh reports whether this node may answer workers from its replica. An old replica may lack
// a cancellation that was confirmed to the client. So, unless it has a delegation, the node stops
// answering early enough for a worker's lease to expire within the time that a cancellation may take.
func (r *Relay) replicaFresh() bool {
	workers := &r.cfg.Cluster.Workers
	maxAge := config.FromSeconds(workers.CancelS-workers.LeaseS) - replicaAgeMargin
	return r.outbox.Now()-r.replica.CurrentAt() < maxAge || r.delegated()
}

// actAsDelegate answers a heartbeat in place of a leader that did not, if this node's replica is
// fresh. If enqueue is set, the heartbeat is also relayed through the state service. enqueue is not
// set for a leader that is only busy: a relayed heartbeat would cost it more than a direct one, which
// the worker sends again anyway.
func (r *Relay) actAsDelegate(in msg.HeartbeatIn, enqueue bool) {
	caughtUp := r.leaderCaughtUp()
	if !caughtUp && r.KeepAlive(in) {
		return
	}
	// A worker that has received no token has no tasks to keep alive, and would report the new token to the
	// previous leader.
	newWorker := in.Heartbeat.FencingToken == 0
	if !caughtUp && newWorker || !r.replicaFresh() {
		r.outbox.RetryLater(in.RequestID, "not the leader")
		return
	}
	// The leader may have raised the token of this worker alone.
	if r.respond(in, max(r.elector.Holder().Version, in.Heartbeat.FencingToken)) && enqueue {
		r.enqueue(&in.Heartbeat)
	}
}

// leaderCaughtUp reports whether the leader is assumed to have read the records since its election.
// Until then it answers no worker. The previous leader cannot keep a worker alive that has received the
// new token, and delegates can do so only while their replicas are recent. If delegates sent the new
// token at once and the state service failed between the election and the listing of the records, no
// worker could be kept alive for longer than that.
func (r *Relay) leaderCaughtUp() bool {
	return r.leaderResponded || r.replica.CurrentAt() >= r.leaderChangedAt+listingGrace
}

// KeepAlive answers a worker that has received no token of the current leader's term with the token
// that it has received, if that is safe, and reports whether it did. However old the replica gets, this does
// not keep a task of a cancelled job running. What earlier leaders have confirmed to clients is in
// the replica if the replica reaches the start of the term, since transactions of earlier leaders
// fail from then on. What the current leader or a successor confirms depends only on workers that
// have received its token, and those ignore this answer.
func (r *Relay) KeepAlive(in msg.HeartbeatIn) bool {
	termStart := r.elector.Holder().TermStart
	token := in.Heartbeat.FencingToken
	if token == 0 || token >= termStart || r.replica.Revision() < termStart {
		return false
	}
	r.respond(in, token)
	return true
}

// respond answers a worker under a fencing token, with commands to stop the tasks of cancelled jobs.
// It asks the worker to retry later and returns false if the worker reports a task of a job that is
// not in the replica.
func (r *Relay) respond(in msg.HeartbeatIn, token uint64) bool {
	commands := []wire.Command{}
	for _, status := range in.Heartbeat.Tasks {
		id, _, ok := wire.ParseTaskName(status.Task)
		if !ok || status.State == wire.Exited {
			continue
		}
		j := r.replica.Job(id)
		if j == nil {
			r.outbox.RetryLater(in.RequestID, "not the leader")
			return false
		}
		if j.Record.CancelRequested || j.Record.Phase == job.Cancelled {
			grace := 0.0
			commands = append(commands, wire.Command{
				Verb:    wire.CommandStop,
				Task:    status.Task,
				Attempt: status.Attempt,
				GraceS:  &grace,
			})
		}
	}
	delete(r.acked, in.Heartbeat.Machine)
	r.outbox.Respond(in.RequestID, http.StatusOK, wire.HeartbeatResponse{FencingToken: token, Commands: commands})
	return true
}
