package relay

import (
	"net/http"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

const (
	// replicaAgeMargin is how much earlier than strictly needed a node stops relying on its replica.
	replicaAgeMargin = 4 * config.Second
	// listingGrace is how long after an election the leader is taken to have read the records, if
	// the key-value store has answered this node since.
	listingGrace = 2 * config.Second
)

// delegation is a leader's permission to answer workers on its behalf even if this node's replica
// is old: until it expires, the leader confirms no cancellation to a client before this node has
// confirmed that it knows of it.
type delegation struct {
	fencingToken uint64 // of the leader that gave it
	until        Micros
}

// extendDelegation extends the delegation under a fencing token. Responses may overtake each other,
// so it is never shortened.
func (r *Relay) extendDelegation(token uint64, until Micros) {
	if r.delegation.fencingToken != token {
		r.delegation = delegation{fencingToken: token}
	}
	r.delegation.until = max(r.delegation.until, until)
}

// delegated reports whether this node has a delegation of the present leader.
func (r *Relay) delegated() bool {
	return r.delegation.fencingToken == r.elector.Holder().Version && r.outbox.Now() < r.delegation.until
}

// replicaFresh reports whether this node's replica is recent enough to answer workers by. What the
// replica lacks may be a cancellation that was confirmed to the client. So the node stops answering
// early enough for the lease of a worker to expire within the time that a cancellation may take,
// unless it has a delegation.
func (r *Relay) replicaFresh() bool {
	workers := &r.cfg.Cluster.Workers
	maxAge := config.FromSeconds(workers.CancelS-workers.LeaseS) - replicaAgeMargin
	return r.outbox.Now()-r.replica.CurrentAt() < maxAge || r.delegated()
}

// actAsDelegate answers a heartbeat in place of a leader that cannot be reached, if this node's
// replica is fresh. If enqueue is set the heartbeat is relayed through the key-value store. It is
// not for a leader that is only busy: that would cost it more than the heartbeat itself, which is
// sent again.
func (r *Relay) actAsDelegate(in msg.HeartbeatIn, enqueue bool) {
	caughtUp := r.leaderCaughtUp()
	if !caughtUp && r.KeepAlive(in) {
		return
	}
	// A worker that has seen no token has nothing to lose, and would show the new token to the
	// previous leader.
	newWorker := in.Heartbeat.FencingToken == 0
	if !caughtUp && newWorker || !r.replicaFresh() {
		r.outbox.RetryLater(in.RequestID, "not the leader")
		return
	}
	if r.respond(in, r.elector.Holder().Version) && enqueue {
		r.enqueue(&in.Heartbeat)
	}
}

// leaderCaughtUp reports whether the leader is believed to have read the records since its election.
// Until then it answers nobody, and a worker that has seen its token can be kept alive by no other
// node: not by the previous leader, and by delegates only as long as their replicas are recent. If
// the key-value store fails between an election and the listing, that would be every worker.
func (r *Relay) leaderCaughtUp() bool {
	return r.leaderResponded || r.replica.CurrentAt() >= r.leaderChangedAt+listingGrace
}

// KeepAlive answers a worker that has seen no token of the present leader's term with the token that
// it has seen, if that is safe, and reports whether it did. However old the replica gets, this does
// not keep a task of a cancelled job running. What earlier leaders have confirmed to clients is in
// the replica if that goes up to the start of the term, since transactions of earlier leaders fail
// from then on. What the present leader or a successor confirms relies on workers that have seen
// its token, and those ignore this answer.
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
// It asks the worker to retry later and returns false if the worker has a task of a job that the
// replica doesn't know.
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
