package leader

import (
	"cmp"
	"maps"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/preemption"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
)

const (
	// minPreemptionWait is the minimum time for which machines are reserved while victims on them
	// end.
	minPreemptionWait = 5 * config.Second
	// stopAllowance is the time that the end of a victim takes in addition to saving its progress.
	stopAllowance = 6 * config.Second
)

// waitingPreemptor is a job for which others were preempted, and which gets the machines that they
// free.
type waitingPreemptor struct {
	level int
	job   *Job
}

// sortWaitingPreemptors sorts by level, highest first.
func sortWaitingPreemptors(waiting []waitingPreemptor) {
	slices.SortFunc(waiting, func(a, b waitingPreemptor) int {
		return cmp.Or(cmp.Compare(b.level, a.level), compareByID(a.job, b.job))
	})
}

// reserveForPreemptors reserves machines for the preemptors of a level and above, before any job
// that ranks no higher is placed: that job would otherwise be placed on capacity that is already
// taken.
func (sc *scheduler) reserveForPreemptors(c *cycle, level int) {
	for len(c.waitingPreemptors) > 0 && c.waitingPreemptors[0].level >= level {
		for name := range c.waitingPreemptors[0].job.reservedMachines {
			if m := sc.reconciler.Registry().Get(name); m != nil && m.Offer != nil {
				m.Offer.Reserved = true
				sc.snapshot.markMachineStale(m)
			}
		}
		c.waitingPreemptors = c.waitingPreemptors[1:]
	}
}

// preempt decides to stop the victims of a bid and reserves the machines of the bid for the job.
func (sc *scheduler) preempt(j *Job, bid *zone.Bid, level int) {
	if !sc.preemptions.committer.CanAdd() {
		return
	}
	machines := map[string]bool{}
	for _, offer := range bid.Offers {
		machines[offer.Machine.Name] = true
		offer.Reserved = true
		sc.snapshot.markMachineStale(offer.Machine)
	}
	wait, reason := minPreemptionWait, preemption.ReasonGuarantee
	var victims []preemption.Victim
	for _, v := range bid.Victims {
		v.Preempted = true
		victim := sc.jobs[v.Job]
		victims = append(victims, sc.preemptions.newVictim(victim, v.Task))
		wait = max(wait, config.FromSeconds(victim.Record.Spec.SaveS)+stopAllowance)
		if queue.Level(victim.Priority(), true) < queue.Level(j.Priority(), true) {
			reason = preemption.ReasonPriority
		}
	}
	sc.preemptions.addDecision(j, reason, level, slices.Sorted(maps.Keys(machines)), victims, wait)
	if j.queuedLast {
		sc.startOrder.addClaim(j)
	}
}
