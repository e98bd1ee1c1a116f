package leader

import (
	"slices"

	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
	"coralhub/internal/core/slo"
)

// The Leader implements the listener of the replica of the records (package records).

// JobAdded is called for a job that the replica did not hold.
func (l *Leader) JobAdded(r *records.Job) {
	l.jobs[r.ID] = &Job{Job: r, runState: runState{arrivedAt: l.outbox.Now()}}
}

// PlacementsChanged is called with the open placements of one shard of a job, before and after a change.
func (l *Leader) PlacementsChanged(r *records.Job, old, now []job.Placement) {
	l.updatePlacements(l.jobs[r.ID], old, now)
}

// PlanOutdated is called when plans for a job are out of date.
func (l *Leader) PlanOutdated(r *records.Job) { l.dropOutdatedPlan(l.jobs[r.ID]) }

// RecordChanged is called for a newer record of a job.
func (l *Leader) RecordChanged(r *records.Job) {
	j := l.jobs[r.ID]
	l.setUnfinished(j, r.Record.Spec != nil)
	l.setArrival(j)
}

// JobFinished is called when a job's phase is final.
func (l *Leader) JobFinished(r *records.Job) {
	if r.Record.Spec != nil {
		return
	}
	j := l.jobs[r.ID]
	j.startedAt = nil
	j.failedOn = nil
	j.completions = nil
	j.reservedMachines = nil
	j.runHistory = runHistory{}
	l.reconciler.JobTerminated(r.ID)
	l.snapshot.setPlan(j, nil) // what is in flight fails by the record's version: its capacity is free
}

// JobChanged is called when anything about a job has changed.
func (l *Leader) JobChanged(r *records.Job) {
	j := l.jobs[r.ID]
	l.startOrder.noteStarted(j)
	l.usageAccounts.chargeUsage(j)
	j.tracked = l.slo.Record(l.wallClock(), j.tracked, &j.Record, slo.Progress{Started: j.hasStarted(), Complete: j.meetsObjective()})
	l.snapshot.markJobStale(j)
	l.commits.markForReview(j)
}

// DependenciesMet is called when a job waits for no other any more.
func (l *Leader) DependenciesMet(r *records.Job) {
	j := l.jobs[r.ID]
	j.arrivedAt = l.outbox.Now() // its waiting time counts from now on
	l.snapshot.markJobStale(j)
	l.scheduler.requestCycle()
}

// DependencyCancelled is called when a job is to be cancelled because one that it depends on was.
func (l *Leader) DependencyCancelled(r *records.Job) {
	l.snapshot.markJobStale(l.jobs[r.ID])
	if l.ready {
		l.commits.requestCommit(r.ID)
	}
}

// dropOutdatedPlan drops a plan that was made for an older record. A transaction
// that had no answer may have placed the same tasks after all: placed once more
// they would run twice. A transaction in flight keeps its plan, because its placements count.
func (l *Leader) dropOutdatedPlan(j *Job) {
	if j.transaction == nil {
		l.snapshot.setPlan(j, nil)
	}
}

// updatePlacements marks the machines stale on which something was placed or closed, and has the reconciler
// act on new placements if this node leads.
func (l *Leader) updatePlacements(j *Job, old, now []job.Placement) {
	for _, p := range old {
		if !slices.Contains(now, p) {
			delete(j.startedAt, p.Task)
			delete(j.ownAttempts, p.Task)
		}
	}
	l.markMachinesStale(old)
	l.markMachinesStale(now)
	if l.ready {
		l.startPlacements(j, old, now)
	}
}

func (l *Leader) markMachinesStale(placements []job.Placement) {
	for _, p := range placements {
		if m := l.reconciler.Registry().Get(p.Machine); m != nil {
			l.snapshot.markMachineStale(m)
		}
	}
}

// startPlacements has the machines of new placements contacted at once.
func (l *Leader) startPlacements(j *Job, old, now []job.Placement) {
	known := make(map[job.AttemptKey]bool, len(old))
	for _, p := range old {
		known[p.AttemptKey(j.ID)] = true
	}
	for _, p := range now {
		if known[p.AttemptKey(j.ID)] {
			continue
		}
		if m := l.reconciler.Registry().Get(p.Machine); m != nil {
			l.reconciler.MarkUrgent(m)
		} else if l.autoscaler.IsDeleted(p.Machine) {
			// Deleted while the transaction was in flight: nothing else would
			// ever close the placement.
			l.commits.closePlacement(p.AttemptKey(j.ID), p.Machine, false)
		}
	}
}

// setArrival sets the arrival time of a job from its record.
func (l *Leader) setArrival(j *Job) {
	if j.Record.CreatedAt > 0 && l.wallClockOffset > 0 && !j.HasDependencies() {
		j.arrivedAt = min(l.outbox.Now(), j.Record.CreatedAt-l.wallClockOffset)
	}
}
