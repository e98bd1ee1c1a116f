package leader

import (
	"slices"

	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
	"coralhub/internal/core/slo"
)

// RecordHandler receives the changes of the replica of the records, and passes them to the components that
// they concern. It is a part of the replica's listener (package records).
type RecordHandler struct{ leader *Leader }

// RecordHandler returns the handler to which the replica is to report its changes.
func (l *Leader) RecordHandler() RecordHandler { return RecordHandler{l} }

// JobAdded is called for a job that the replica did not hold.
func (h RecordHandler) JobAdded(r *records.Job) {
	h.leader.jobs[r.ID] = &Job{Job: r, runState: runState{arrivedAt: h.leader.outbox.Now()}}
}

// PlacementsChanged is called with the open placements of one shard of a job, before and after a change.
func (h RecordHandler) PlacementsChanged(r *records.Job, old, now []job.Placement) {
	h.updatePlacements(h.leader.jobs[r.ID], old, now)
}

// PlanOutdated is called when plans for a job are out of date.
func (h RecordHandler) PlanOutdated(r *records.Job) { h.dropOutdatedPlan(h.leader.jobs[r.ID]) }

// RecordChanged is called for a newer record of a job.
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
	j.failedOn = nil
	j.completions = nil
	j.reservedMachines = nil
	j.runHistory = runHistory{}
	h.leader.reconciler.JobTerminated(r.ID)
	h.leader.snapshot.setPlan(j, nil) // what is in flight fails by the record's version: its capacity is free
}

// JobChanged is called when anything about a job has changed.
func (h RecordHandler) JobChanged(r *records.Job) {
	j := h.leader.jobs[r.ID]
	h.leader.startOrder.noteStarted(j)
	h.leader.usageAccounts.chargeUsage(j)
	progress := slo.Progress{Started: j.hasStarted(), Complete: j.meetsObjective()}
	j.tracked = h.leader.slo.Record(h.leader.wallClock(), j.tracked, &j.Record, progress)
	h.leader.snapshot.markJobStale(j)
	h.leader.commits.markForReview(j)
}

// DependenciesMet is called when a job waits for no other any more.
func (h RecordHandler) DependenciesMet(r *records.Job) {
	j := h.leader.jobs[r.ID]
	j.arrivedAt = h.leader.outbox.Now() // its waiting time counts from now on
	h.leader.snapshot.markJobStale(j)
	h.leader.scheduler.requestCycle()
}

// DependencyCancelled is called when a job is to be cancelled because one that it depends on was.
func (h RecordHandler) DependencyCancelled(r *records.Job) {
	h.leader.snapshot.markJobStale(h.leader.jobs[r.ID])
	if h.leader.ready {
		h.leader.commits.requestCommit(r.ID)
	}
}

// dropOutdatedPlan drops a plan that was made for an older record. A transaction
// that had no answer may have placed the same tasks after all: placed once more
// they would run twice. A transaction in flight keeps its plan, because its placements count.
func (h RecordHandler) dropOutdatedPlan(j *Job) {
	if j.transaction == nil {
		h.leader.snapshot.setPlan(j, nil)
	}
}

// updatePlacements marks the machines stale on which something was placed or closed, and has the reconciler
// act on new placements if this node leads.
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

// startPlacements has the machines of new placements contacted at once.
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
			// Deleted while the transaction was in flight: nothing else would
			// ever close the placement.
			h.leader.completions.closePlacement(p.AttemptKey(j.ID), p.Machine, false)
		}
	}
}
