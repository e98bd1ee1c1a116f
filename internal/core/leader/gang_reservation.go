package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// reservesFreedMachines reports whether capacity that becomes free is reserved for a job until there
// is enough of it: for a gang among the largest of a class that is short of capacity, or for the first
// of the class's late ones. Smaller jobs would otherwise take each machine as it becomes free. The
// reservation lasts for a bounded time; for as long after it the others are placed as usual.
func (so *startOrder) reservesFreedMachines(j *Job) bool {
	duration := config.FromSeconds(so.cfg.Settings.ReserveFreedS)
	cs := so.shortClass(j)
	if duration <= 0 || j.Record.Spec.Shape != wire.Gang || cs == nil {
		return false
	}
	if j != cs.firstLate && cs.sizeBand(j) != largestBand {
		return false
	}
	return alternate(&j.reservingSince, so.outbox.Now(), duration)
}

// reserveFreedMachines reserves free machines of a zone for a gang that could not be placed. There is
// one such gang at a time in a zone.
func (so *startOrder) reserveFreedMachines(c *cycle, j *Job, q *zone.Request) {
	if !so.reservesFreedMachines(j) {
		return
	}
	now := so.outbox.Now()
	var best []*zone.Offer
	bestZone := ""
	for _, z := range c.zones {
		if !c.isOpenTo(j.Record.Spec, z.Name) || c.gangReservedZones[z.Name] {
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
