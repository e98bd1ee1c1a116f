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
	// batchInterval is how often the leader is told of the heartbeats answered on its behalf.
	batchInterval = 400 * millisecond
	// keepAliveInterval is how often a batch is sent though there is nothing to tell.
	keepAliveInterval = config.Second
	// ackLifetime is how long unchanged heartbeats are answered here before one is forwarded.
	ackLifetime = 10 * config.Second
)

// ackedHeartbeat is the content of a heartbeat that a leader has answered without any commands.
type ackedHeartbeat struct {
	fencingToken uint64 // of the leader
	incarnation  uint64
	ackedAt      Micros
	tasks        []wire.TaskStatus
}

// ForwardDone passes on the leader's response to a heartbeat, or acts as its delegate if there is none.
func (r *Relay) ForwardDone(done msg.ForwardDone) {
	hb := &done.Heartbeat
	leader := r.elector.Holder()
	if done.Response != nil {
		fromLeader := done.Response.FencingToken == leader.Version
		if fromLeader {
			r.leaderResponded = true
		}
		if fromLeader && len(done.Response.Commands) == 0 {
			r.acked[hb.Machine] = ackedHeartbeat{leader.Version, hb.Incarnation, r.outbox.Now(), hb.Tasks}
		}
		r.outbox.Respond(done.RequestID, http.StatusOK, *done.Response)
		return
	}
	if r.elector.IsLeader() || r.elector.OtherHolder() == "" || hb.FencingToken > leader.Version {
		r.outbox.RetryLater(done.RequestID, "no leader")
		return
	}
	r.actAsDelegate(msg.HeartbeatIn{RequestID: done.RequestID, Heartbeat: done.Heartbeat}, !done.Busy)
}

// unchanged reports whether a heartbeat says only what the leader has acknowledged before, and the
// records require nothing of the worker.
func (r *Relay) unchanged(hb *wire.Heartbeat) bool {
	return hb.NoticeS == nil && r.matchesAck(hb) && r.replicaFresh() && r.matchesPlacements(hb)
}

// matchesAck reports whether the present leader has lately acknowledged a heartbeat with the same content.
func (r *Relay) matchesAck(hb *wire.Heartbeat) bool {
	ack, ok := r.acked[hb.Machine]
	if !ok || r.outbox.Now()-ack.ackedAt > ackLifetime {
		return false
	}
	leaderVersion := r.elector.Holder().Version
	return ack.fencingToken == leaderVersion && hb.FencingToken == leaderVersion &&
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

// sendBatch tells the leader which heartbeats were answered on its behalf, and up to which revision
// this node knows the records.
func (r *Relay) sendBatch(leads bool) {
	now := r.outbox.Now()
	if now < r.nextBatchAt {
		return
	}
	keepAliveAt := r.nextBatchAt + keepAliveInterval - batchInterval
	if len(r.pendingAcks) == 0 && now < keepAliveAt {
		return
	}
	r.nextBatchAt = now + batchInterval
	if !leads && r.elector.OtherHolder() != "" {
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

// OnCancelRequested is called when the replica holds that a job is to be cancelled. The leader may
// be waiting for this node to confirm that, so the next batch is sent at once.
func (r *Relay) OnCancelRequested() {
	if r.delegated() {
		r.nextBatchAt = r.outbox.Now() - keepAliveInterval
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
