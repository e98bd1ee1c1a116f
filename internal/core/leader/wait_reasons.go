package leader

import (
	"slices"

	"coralhub/internal/core/query"
	"coralhub/internal/core/queue"
)

// maxJobsAhead is the maximum number of jobs listed that are ranked before a job.
const maxJobsAhead = 20

// waitReasonText returns a short text on why a job lacks placements.
func (oq *operatorQueries) waitReasonText(j *Job) string {
	spec := j.Record.Spec
	now := oq.outbox.Now()
	switch {
	case j.Archived() || j.Record.Final():
		return "it is over"
	case j.Record.CancelRequested:
		return "it is being cancelled"
	case j.Blocked():
		return "jobs that it needs are not done"
	case j.DoneTasks+j.OpenTasks >= spec.Tasks:
		return "it has all its places"
	case j.transaction != nil || len(j.plan) > 0 || len(j.completions) > 0:
		return "a change of it is being committed"
	case now < max(j.holdUntil, j.retryAt):
		return "it is held back after failures"
	case now < j.preemptingUntil:
		return "others are leaving machines for it"
	}
	if team := oq.teams[spec.Team]; team != nil &&
		!queue.WithinLimit(team, oq.snapshot.used[spec.Team].Plus(startAmount(spec), 1)) {
		return "its team's limit"
	}
	return "no machine has room, or others go before it"
}

// waitReason returns why a job waits, with its rank in the queue and the preemption decisions in
// force for it.
func (oq *operatorQueries) waitReason(j *Job) query.WaitReason {
	out := query.WaitReason{
		Job:              oq.stateOfJob(j),
		Reason:           oq.waitReasonText(j),
		Ahead:            []string{},
		ReservedMachines: []string{},
		PreemptedJobs:    []string{},
	}
	if j.Record.Spec == nil {
		return out
	}
	out.Priority = j.Priority()
	out.WithinGuarantee = oq.snapshot.withinGuarantee(j)
	out.ClassShortOfCapacity = oq.startOrder.shortClass(j) != nil
	out.Late = !j.hasStarted() && oq.startOrder.isLate(j)
	entries := oq.scheduler.pendingJobs(&cycle{})
	queue.Rank(entries)
	out.QueueLength = len(entries)
	rank := slices.IndexFunc(entries, func(e queue.Entry) bool { return e.ID == j.ID })
	if rank >= 0 {
		out.Rank = rank + 1
		for i := rank - 1; i >= 0 && len(out.Ahead) < maxJobsAhead; i-- {
			out.Ahead = append(out.Ahead, entries[i].ID)
		}
	}
	for _, decision := range oq.preemptions.committer.InForce(oq.wallClock()) {
		if decision.Preemptor != j.ID {
			continue
		}
		out.ReservedMachines = append(out.ReservedMachines, decision.ReservedMachines...)
		for _, victim := range decision.Victims {
			out.PreemptedJobs = append(out.PreemptedJobs, victim.Job)
		}
	}
	return out
}
