package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// mayReserveFreedMachines reports whether capacity that becomes free may be reserved for a job
// until there is enough of it. The job must be a gang of a class that is short of capacity, and be
// among the largest jobs or the oldest late job of that class. Smaller jobs would otherwise take
// each machine as it becomes free. The reservation lasts for a bounded time; for the same time
// after that other jobs are placed as usual.
func (so *startOrder) mayReserveFreedMachines(j *Job) bool {
	duration := config.FromSeconds(so.cfg.Settings.ReserveFreedS)
	cs := so.shortClass(j)
	if duration <= 0 || j.Record.Spec.Shape != wire.Gang || cs == nil {
		return false
	}
	if j != cs.oldestLate && cs.sizeBand(j) != largestBand {
		return false
	}
	return reservationAllowed(&j.reservingSince, so.outbox.Now(), duration)
}

// reserveFreedMachines reserves free machines of a zone for a gang that could not be placed. In each
// cycle, machines of a zone are reserved for at most one such gang.
func (so *startOrder) reserveFreedMachines(c *cycle, j *Job, q *zone.Request) {
	if !so.mayReserveFreedMachines(j) {
		return
	}
	now := so.outbox.Now()
	var best []*zone.Offer
	bestZone := ""
	for _, z := range c.zones {
		if !c.mayUseZone(j.Record.Spec, z.Name) || c.gangReservedZones[z.Name] {
			continue
		}
		whole := *q
		whole.Count = j.Record.Spec.Tasks
		if offers := z.FindOffers(now, &whole); bestZone == "" || len(offers) > len(best) {
			best, bestZone = offers, z.Name
		}
	}
	if bestZone == "" {
		return
	}
	c.gangReservedZones[bestZone] = true
	for _, offer := range best {
		offer.Reserved = true
		so.snapshot.markMachineStale(offer.Machine)
	}
}
