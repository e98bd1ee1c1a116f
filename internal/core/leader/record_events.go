package leader

import (
	"slices"

	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
	"coralhub/internal/core/slo"
)

// RecordHandler receives changes of the replica of the records and passes them to the components that handle them. It
// is a part of the node's implementation of records.Listener.
type RecordHandler struct{ leader *Leader }

// RecordHandler returns the handler for changes of the replica.
func (l *Leader) RecordHandler() RecordHandler { return RecordHandler{l} }

// JobAdded is called when a job is added to the replica.
func (h RecordHandler) JobAdded(r *records.Job) {
	h.leader.jobs[r.ID] = &Job{Job: r, runState: runState{arrivedAt: h.leader.outbox.Now()}}
}

// PlacementsChanged is called with the open placements of one shard or placement page entry of a job, before and after
// a change.
func (h RecordHandler) PlacementsChanged(r *records.Job, old, now []job.Placement) {
	h.updatePlacements(h.leader.jobs[r.ID], old, now)
}

// PlanOutdated is called when a newer value has been applied than the one that a job's plan was based on.
func (h RecordHandler) PlanOutdated(r *records.Job) { h.dropOutdatedPlan(h.leader.jobs[r.ID]) }

// RecordChanged is called when a newer record of a job has been applied.
func (h RecordHandler) RecordChanged(r *records.Job) {
	j := h.leader.jobs[r.ID]
	h.leader.setUnfinished(j, r.Record.Spec != nil)
	h.leader.setArrival(j)
}

// JobFinished is called when a job's phase is final.
func (h RecordHandler) JobFinished(r *records.Job) {
	if r.Record.Spec != nil {
		return
	}
	j := h.leader.jobs[r.ID]
	j.startedAt = nil
	j.avoidUntil = nil
	j.completions = nil
	j.reservedMachines = nil
	j.runHistory = runHistory{}
	h.leader.reconciler.JobTerminated(r.ID)
	h.leader.snapshot.setPlan(j, nil) // a transaction in flight fails by the record's version, so its capacity is free
}

// JobChanged is called when anything about a job has changed.
func (h RecordHandler) JobChanged(r *records.Job) {
	j := h.leader.jobs[r.ID]
	h.leader.startOrder.recordStart(j)
	h.leader.usageAccounts.chargeUsage(j)
	progress := slo.Progress{Started: j.hasStarted(), Complete: j.meetsObjective()}
	j.tracked = h.leader.slo.Record(h.leader.wallClock(), j.tracked, &j.Record, progress)
	h.leader.snapshot.markJobStale(j)
	h.leader.commits.markForReview(j)
}

// DependenciesMet is called when the last of a job's dependencies is done.
func (h RecordHandler) DependenciesMet(r *records.Job) {
	j := h.leader.jobs[r.ID]
	j.arrivedAt = h.leader.outbox.Now() // the waiting time is measured from now on
	h.leader.snapshot.markJobStale(j)
	h.leader.scheduler.requestCycle()
}

// DependencyCancelled is called when a direct or indirect dependency of a job is cancelled, so that the job has to be
// cancelled as well.
func (h RecordHandler) DependencyCancelled(r *records.Job) {
	h.leader.snapshot.markJobStale(h.leader.jobs[r.ID])
	if h.leader.ready {
		h.leader.commits.requestCommit(r.ID)
	}
}

// dropOutdatedPlan drops a plan that was based on an older record. A transaction without a response may have placed the
// same tasks; if they were placed again, they would run twice. A plan with a transaction in flight is kept, because its
// placements count as used capacity.
func (h RecordHandler) dropOutdatedPlan(j *Job) {
	if j.transaction == nil {
		h.leader.snapshot.setPlan(j, nil)
	}
}

// updatePlacements marks the machines of old and new placements as stale. If this node leads and has read the records,
// it also starts new placements.
func (h RecordHandler) updatePlacements(j *Job, old, now []job.Placement) {
	for _, p := range old {
		if !slices.Contains(now, p) {
			delete(j.startedAt, p.Task)
			delete(j.ownAttempts, p.Task)
		}
	}
	h.markMachinesStale(old)
	h.markMachinesStale(now)
	if h.leader.ready {
		h.startPlacements(j, old, now)
	}
}

func (h RecordHandler) markMachinesStale(placements []job.Placement) {
	for _, p := range placements {
		if m := h.leader.reconciler.Registry().Get(p.Machine); m != nil {
			h.leader.snapshot.markMachineStale(m)
		}
	}
}

// startPlacements has the reconciler contact the machines of new placements at once.
func (h RecordHandler) startPlacements(j *Job, old, now []job.Placement) {
	known := make(map[job.AttemptKey]bool, len(old))
	for _, p := range old {
		known[p.AttemptKey(j.ID)] = true
	}
	for _, p := range now {
		if known[p.AttemptKey(j.ID)] {
			continue
		}
		if m := h.leader.reconciler.Registry().Get(p.Machine); m != nil {
			h.leader.reconciler.MarkUrgent(m)
		} else if h.leader.autoscaler.IsDeleted(p.Machine) {
			// The machine was deleted while the transaction was in flight, and nothing else would ever close the
			// placement.
			h.leader.completions.closePlacement(p.AttemptKey(j.ID), p.Machine, false)
		}
	}
}
