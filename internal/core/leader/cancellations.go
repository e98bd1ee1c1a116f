package leader

import (
	"coralhub/internal/core/delegation"
	"coralhub/internal/core/job"
)

// cancellations determines when the cancellation of a job may be confirmed to its user.
type cancellations struct {
	*environment
	delegations *delegation.Delegations
}

// evaluate updates whether the cancellation of a job may be confirmed to its user. If it may while tasks are still
// open, a node gets no further delegation until its replica contains the cancellation.
func (cn *cancellations) evaluate(j *Job) {
	if !j.Record.CancelRequested || j.Record.Final() {
		j.cancelConfirmable = false
		return
	}
	if !cn.stopIsCertain(j) {
		return
	}
	j.cancelConfirmable = true
	if j.OpenTasks > 0 {
		cn.delegations.RecordConfirmedCancel(j.Version)
	}
}

// stopIsCertain reports whether a cancelled job is certain to stop. Two conditions have to hold for every open
// placement. First, its worker has reported a fencing token of this term, so that either the leader stops the task or
// the worker's lease expires. Second, no start command that could take effect after that is still in flight.
//
// If a lease may outlast the time allowed for a cancellation, or if a delegate whose replica lacks the cancellation
// could keep a task alive, the job is certain to stop only once all of its placements are closed: a worker that
// receives nothing keeps its tasks until its lease expires.
func (cn *cancellations) stopIsCertain(j *Job) bool {
	stopsWithLease := cn.cfg.Cluster.Workers.LeaseExpiresBeforeCancel() && cn.delegations.DelegatesReached(j.Version)
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
