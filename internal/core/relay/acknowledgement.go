package relay

import (
	"net/http"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

const (
	// batchInterval is the time between the batches that report to the leader which heartbeats were
	// answered on its behalf.
	batchInterval = 400 * millisecond
	// emptyBatchInterval is the time after the last batch at which one is sent even if it is empty.
	emptyBatchInterval = config.Second
	// ackLifetime is how long unchanged heartbeats are answered by this node before one is forwarded.
	ackLifetime = 10 * config.Second
)

// ackedHeartbeat is the content of a heartbeat that a leader has answered without any commands.
type ackedHeartbeat struct {
	leaderVersion uint64 // version of the leader key
	fencingToken  uint64 // of the answer
	incarnation   uint64
	ackedAt       Micros
	tasks         []wire.TaskStatus
}

// ForwardDone handles the result of a forwarded heartbeat: it passes on the leader's response, or acts
// as the leader's delegate if there is none.
func (r *Relay) ForwardDone(done msg.ForwardDone) {
	hb := &done.Heartbeat
	leader := r.elector.Holder()
	if done.Response != nil {
		token := done.Response.FencingToken
		fromLeader := leader.Version != 0 && token >= leader.Version && r.knowsToken(token)
		if fromLeader {
			r.leaderResponded = true
		}
		if fromLeader && len(done.Response.Commands) == 0 {
			r.acked[hb.Machine] = ackedHeartbeat{leader.Version, token, hb.Incarnation, r.outbox.Now(), hb.Tasks}
		}
		r.outbox.Respond(done.RequestID, http.StatusOK, *done.Response)
		return
	}
	if r.elector.IsLeader() || r.elector.OtherHolder() == "" || !r.knowsToken(hb.FencingToken) {
		r.outbox.RetryLater(done.RequestID, "no leader")
		return
	}
	r.actAsDelegate(msg.HeartbeatIn{RequestID: done.RequestID, Heartbeat: done.Heartbeat}, !done.Busy)
}

// knowsToken reports whether a token is of the current leader or an earlier one.
func (r *Relay) knowsToken(token uint64) bool {
	return token <= r.elector.HighestToken(r.replica.Revision())
}

// unchanged reports whether a heartbeat repeats what the leader has acknowledged before, and the
// records require nothing of the worker.
func (r *Relay) unchanged(hb *wire.Heartbeat) bool {
	return hb.NoticeS == nil && r.matchesAck(hb) && r.replicaFresh() && r.matchesPlacements(hb)
}

// matchesAck reports whether the current leader has acknowledged a heartbeat with the same content
// within ackLifetime.
func (r *Relay) matchesAck(hb *wire.Heartbeat) bool {
	ack, ok := r.acked[hb.Machine]
	if !ok || r.outbox.Now()-ack.ackedAt > ackLifetime {
		return false
	}
	return ack.leaderVersion == r.elector.Holder().Version && ack.fencingToken == hb.FencingToken &&
		ack.incarnation == hb.Incarnation && slices.Equal(ack.tasks, hb.Tasks)
}

// matchesPlacements reports whether the worker runs exactly the tasks that the records place on its
// machine, and none of them is to be stopped.
func (r *Relay) matchesPlacements(hb *wire.Heartbeat) bool {
	placements := r.replica.PlacementsOn(hb.Machine)
	if len(placements) != len(hb.Tasks) {
		return false
	}
	for i := range hb.Tasks {
		status := &hb.Tasks[i]
		id, task, ok := wire.ParseTaskName(status.Task)
		if !ok || status.State == wire.Exited {
			return false
		}
		placement, open := placements[job.AttemptKey{Job: id, Task: task, Attempt: status.Attempt}]
		if !open || placement.Incarnation != hb.Incarnation {
			return false
		}
		if j := r.replica.Job(id); j.Record.CancelRequested || j.Record.Final() {
			return false
		}
	}
	return true
}

// sendBatch reports to the leader which heartbeats were answered on its behalf, and which revision
// this node's replica has reached.
func (r *Relay) sendBatch(isLeader bool) {
	now := r.outbox.Now()
	if now < r.nextBatchAt {
		return
	}
	emptyBatchAt := r.nextBatchAt + emptyBatchInterval - batchInterval
	if len(r.pendingAcks) == 0 && now < emptyBatchAt {
		return
	}
	r.nextBatchAt = now + batchInterval
	if !isLeader && r.elector.OtherHolder() != "" {
		leader := r.elector.Holder()
		r.outbox.Emit(msg.HeartbeatBatch{
			Node:     leader.Node,
			Term:     leader.Version,
			SentAt:   now,
			Revision: r.replica.Revision(),
			Acks:     r.pendingAcks,
		})
	}
	r.pendingAcks = nil
}

// OnCancelRequested is called when the request to cancel a job has reached the replica. If this node
// has a delegation, the leader may be waiting for it to confirm that, so the next batch is sent at
// once.
func (r *Relay) OnCancelRequested() {
	if r.delegated() {
		r.nextBatchAt = r.outbox.Now() - emptyBatchInterval
	}
}

// HeartbeatBatchDone handles the leader's response to a batch.
func (r *Relay) HeartbeatBatchDone(done msg.HeartbeatBatchDone) {
	for _, machine := range done.ResendMachines {
		delete(r.acked, machine)
	}
	if done.Delegation > 0 && done.Batch.Term == r.elector.Holder().Version {
		r.leaderResponded = true
		r.extendDelegation(done.Batch.Term, done.Batch.SentAt+done.Delegation)
	}
}
