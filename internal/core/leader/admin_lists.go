package leader

import (
	"coralhub/internal/core/accounting"
	"coralhub/internal/core/job"
	"coralhub/internal/core/preemption"
	"coralhub/internal/core/query"
)

// listUsage lists at most limit accounts. It works on any node, not only the leader.
func (oq *operatorQueries) listUsage(limit int) []query.UsageRow {
	out := []query.UsageRow{}
	oq.usageAccounts.ledger.Each(func(k accounting.Key, u job.ResourceUsage) {
		if len(out) == limit {
			return
		}
		kind := query.KindBatch
		if k.Service {
			kind = query.KindService
		}
		out = append(out, query.UsageRow{
			Team:                k.Team,
			Class:               k.Class,
			Kind:                kind,
			GPUSeconds:          roundedSeconds(u.GPU),
			CPUSeconds:          roundedSeconds(u.CPU),
			MemoryGBSeconds:     roundedSeconds(u.Memory),
			TaskSeconds:         roundedSeconds(u.Time),
			SpotTaskSeconds:     roundedSeconds(u.Spot),
			RepeatedTaskSeconds: roundedSeconds(u.Lost),
		})
	})
	return out
}

// listPreemptions lists at most limit decisions in force, and at most limit counts.
func (oq *operatorQueries) listPreemptions(limit int) query.Preemptions {
	out := query.Preemptions{Decisions: []query.DecisionRow{}, Counts: []query.PreemptionRow{}}
	wall := oq.wallClock()
	for _, decision := range oq.preemptions.committer.InForce(wall) {
		if len(out.Decisions) == limit {
			break
		}
		row := query.DecisionRow{
			Preemptor:     decision.Preemptor,
			Reason:        decision.Reason.String(),
			RemainingS:    roundedSeconds(decision.Until - wall),
			Machines:      decision.ReservedMachines,
			PreemptedJobs: []string{},
		}
		for _, victim := range decision.Victims {
			row.PreemptedJobs = append(row.PreemptedJobs, victim.Job)
		}
		out.Decisions = append(out.Decisions, row)
	}
	oq.preemptions.committer.Counts().Each(func(pair preemption.Pair, tasks uint64) {
		if len(out.Counts) < limit {
			out.Counts = append(out.Counts, query.PreemptionRow{
				VictimClass:    pair.Victim,
				PreemptorClass: pair.Preemptor,
				Reason:         pair.Reason.String(),
				Tasks:          tasks,
			})
		}
	})
	return out
}
