package leader

import (
	"coralhub/internal/core/delegation"
	"coralhub/internal/core/job"
)

// cancellations decides when cancellations may be confirmed to users.
type cancellations struct {
	*environment
	delegations *delegation.Delegations
}

// confirm decides whether the cancellation of a job may be confirmed to the user. If so, nodes get
// no further delegation before they know of it.
func (cn *cancellations) confirm(j *Job) {
	if !j.Record.CancelRequested || j.Record.Final() {
		j.cancelling = false
		return
	}
	if !cn.isCertain(j) {
		return
	}
	j.cancelling = true
	if j.OpenTasks > 0 {
		cn.delegations.AcknowledgeCancel(j.Version)
	}
}

// isCertain reports whether a cancelled job is certain to stop: every
// open placement must be on a worker that follows this leader, so that the leader will stop the
// task or the worker's lease ends, and no start may still be in flight that
// could take effect after that. Where a lease may outlast the time allowed for a cancellation, or a delegate that
// doesn't know of the cancellation could keep a task alive, only proof that all of the job is over
// will do: a worker that receives nothing keeps its tasks until its lease ends.
func (cn *cancellations) isCertain(j *Job) bool {
	stopsWithLease := cn.cfg.Cluster.Workers.LeaseEndsInTime() && cn.delegations.CancelKnown(j.Version)
	certain := j.OpenTasks == 0 || stopsWithLease
	j.EachPlacement(func(p job.Placement) {
		m := cn.reconciler.Registry().Get(p.Machine)
		if m == nil || m.FencingToken < cn.elector.TermStart() {
			certain = false
			return
		}
		if _, reported := m.Tasks[p.AttemptKey(j.ID)]; reported || !m.StartMayArrive(cn.outbox.Now()) {
			return
		}
		certain = false
		if !m.StartInFlight && m.StartUncertain() {
			cn.elector.RequestNewToken()
		}
	})
	return certain
}
