package core

import (
	"coralhub/internal/core/frontend"
	"coralhub/internal/core/leader"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/internal/core/relay"
	"coralhub/wire"
)

// recordsListener forwards changes of the replica to the leader, and some of them to other components.
type recordsListener struct {
	leader.RecordHandler
	frontend *frontend.Frontend
	relay    *relay.Relay
}

// RecordChanged also makes the relay confirm to the leader that the replica holds the cancellation of a job.
func (l recordsListener) RecordChanged(j *records.Job) {
	l.RecordHandler.RecordChanged(j)
	if j.Record.CancelRequested && !j.Record.Final() {
		l.relay.OnCancelRequested()
	}
}

// JobFinished also makes the frontend answer clients that wait for the end of the job.
func (l recordsListener) JobFinished(j *records.Job) {
	l.RecordHandler.JobFinished(j)
	l.frontend.JobFinished(j)
}

// electionListener forwards changes of leadership to the leader and the relay.
type electionListener struct{ core *Core }

func (l electionListener) OnElected()                         { l.core.leader.OnElected() }
func (l electionListener) OnDeposed(why string, token uint64) { l.core.leader.OnDeposed(why, token) }
func (l electionListener) OnHolderChanged(from, to string)    { l.core.relay.OnHolderChanged(from, to) }

// frontendNode is the frontend's interface to the rest of its node.
type frontendNode struct{ core *Core }

func (n frontendNode) NotServingReason() string     { return n.core.notServingReason() }
func (n frontendNode) ApplyRead(change wire.Change) { n.core.apply(&change) }

// ApplyWritten applies a change that this node has committed, and sends it to the leader, whose watch may report it
// later.
func (n frontendNode) ApplyWritten(change wire.Change) {
	n.core.apply(&change)
	if leaderNode := n.core.elector.OtherHolder(); leaderNode != "" {
		n.core.outbox.Emit(msg.SendPeerUpdate{Node: leaderNode, Change: change})
	}
}
