package leader

import (
	"slices"

	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
)

// dropOutdatedPlan drops a plan that was made for an older record. A transaction
// that had no answer may have placed the same tasks after all: placed once more
// they would run twice. What is in flight keeps its plan, for its places count.
func (l *Leader) dropOutdatedPlan(j *Job) {
	if j.transaction == nil {
		l.snapshot.setPlan(j, nil)
	}
}

// updatePlacements has the machines looked at on which something was placed or closed.
func (l *Leader) updatePlacements(j *Job, old, now []job.Placement) {
	for _, p := range old {
		if !slices.Contains(now, p) {
			delete(j.startedAt, p.Task)
			delete(j.ownAttempts, p.Task)
		}
		if m := l.reconciler.Registry().Get(p.Machine); m != nil {
			l.snapshot.markMachineStale(m)
		}
	}
	for _, p := range now {
		if m := l.reconciler.Registry().Get(p.Machine); m != nil {
			l.snapshot.markMachineStale(m)
		}
	}
	if !l.ready {
		return
	}
	had := make(map[job.AttemptKey]bool, len(old))
	for _, p := range old {
		had[p.AttemptKey(j.ID)] = true
	}
	for _, p := range now {
		if had[p.AttemptKey(j.ID)] {
			continue
		}
		if m := l.reconciler.Registry().Get(p.Machine); m != nil {
			l.reconciler.MarkUrgent(m)
		} else if l.autoscaler.IsDeleted(p.Machine) {
			// Deleted while the transaction was under way: nobody else would
			// ever close the placement.
			l.commits.closePlacement(p.AttemptKey(j.ID), p.Machine, false)
		}
	}
}

// markForReview has a pass and the writing of records look at a job.
func (jc *jobCommitter) markForReview(j *Job) {
	jc.scheduler.cycleDue = true
	if jc.ready {
		jc.pendingCommits[j.ID] = true
	}
}

// What follows hears of the records.

// JobAdded hears of a job that nothing was known of.
func (l *Leader) JobAdded(r *records.Job) {
	l.jobs[r.ID] = &Job{Job: r, runState: runState{arrivedAt: l.outbox.Now()}}
}

// PlacementsChanged hears what is open of one part of a job.
func (l *Leader) PlacementsChanged(r *records.Job, old, now []job.Placement) {
	l.updatePlacements(l.jobs[r.ID], old, now)
}

// PlanOutdated hears that plans for a job are out of date.
func (l *Leader) PlanOutdated(r *records.Job) { l.dropOutdatedPlan(l.jobs[r.ID]) }

// RecordChanged hears of a newer record of a job.
func (l *Leader) RecordChanged(r *records.Job) {
	j := l.jobs[r.ID]
	l.setUnfinished(j, r.Record.Spec != nil)
	l.setArrival(j)
}

// setArrival takes the age of a job from its record.
func (l *Leader) setArrival(j *Job) {
	if j.Record.CreatedAt > 0 && l.wallClockOffset > 0 && !j.HasDependencies() {
		j.arrivedAt = min(l.outbox.Now(), j.Record.CreatedAt-l.wallClockOffset)
	}
}

// JobFinished hears that a job's phase is final.
func (l *Leader) JobFinished(r *records.Job) {
	if r.Record.Spec == nil {
		j := l.jobs[r.ID]
		j.startedAt, j.failedOn, j.completions, j.reservedMachines = nil, nil, nil, nil
		j.runHistory = runHistory{}
		l.reconciler.JobTerminated(r.ID)
		l.snapshot.setPlan(j, nil) // what is on its way fails by the record's version: its places are free
	}
}

// JobChanged hears that something about a job has changed.
func (l *Leader) JobChanged(r *records.Job) {
	j := l.jobs[r.ID]
	l.startOrder.noteStarted(j)
	l.usageAccounts.chargeUsage(j)
	l.slo.trackJob(j)
	l.snapshot.markJobStale(j)
	l.commits.markForReview(j)
}

// DependenciesMet hears that a job waits for no other any more.
func (l *Leader) DependenciesMet(r *records.Job) {
	j := l.jobs[r.ID]
	j.arrivedAt = l.outbox.Now() // its times count from now on
	l.snapshot.markJobStale(j)
	l.scheduler.cycleDue = true
}

// DependencyCancelled hears that a job is as good as cancelled.
func (l *Leader) DependencyCancelled(r *records.Job) {
	l.snapshot.markJobStale(l.jobs[r.ID])
	if l.ready {
		l.commits.pendingCommits[r.ID] = true
	}
}
