package leader

import (
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// bidder requests bids from the zones and selects the best one.
type bidder struct {
	*environment
	snapshot   *clusterSnapshot
	startOrder *startOrder
	victims    *victimFinder
}

// failedRequest is an entry of the negative cache of a cycle: the same or a larger request fails
// until the cycle ends, because free capacity only shrinks within a cycle.
type failedRequest struct {
	zone  string
	needs zone.Resources
	spot  bool
	types string
	level int
	count int
}

// minTasks returns the minimum number of tasks that have to be placed for a request to succeed: all
// tasks of a gang, otherwise one.
func minTasks(q *zone.Request) int {
	if q.AllOrNothing {
		return q.Count
	}
	return 1
}

// knownToFail reports whether a request of a level fails in a zone according to the negative cache.
func (c *cycle) knownToFail(zoneName string, q *zone.Request, level int) bool {
	if len(q.ReservedMachines) > 0 {
		return false
	}
	for i := range c.failedRequests {
		f := &c.failedRequests[i]
		if f.zone == zoneName && f.needs.Fits(q.Needs) && (f.spot || !q.Spot) && f.types == q.TypeKey &&
			f.level == level && f.count <= minTasks(q) {
			return true
		}
	}
	return false
}

// mayUseZone reports whether a job may be placed in a zone: the job requests no other zone, and the
// zone is not reserved.
func (c *cycle) mayUseZone(spec *wire.Job, zoneName string) bool {
	requestsOther := spec.Zone != "" && spec.Zone != zoneName
	return !requestsOther && !c.reservedZones[zoneName]
}

// zoneWithMostCapacity returns the zone with the most free capacity among those that a job may use,
// or an empty string if there is none.
func (bd *bidder) zoneWithMostCapacity(c *cycle, spec *wire.Job) string {
	best, most := "", -1.0
	for _, z := range c.zones {
		if spec.Zone != "" && spec.Zone != z.Name {
			continue
		}
		if free := z.FreeCapacity(); free > most {
			best, most = z.Name, free
		}
	}
	return best
}

// zoneRequest returns the request to the zones for a job: what each of its tasks needs, and what
// may be preempted for it.
func (bd *bidder) zoneRequest(c *cycle, j *Job, e *queue.Entry) *zone.Request {
	spec := j.Record.Spec
	q := &zone.Request{
		Job:          j.ID,
		Needs:        taskResources(spec),
		AllOrNothing: spec.Shape == wire.Gang,
		Spot:         spec.Spot,
		Types:        j.types.set,
		TypeKey:      j.types.key,
		Image:        spec.Image,
		Avoid:        j.avoidUntil,
		ShareFetches: bd.cfg.Settings.ShareFetches,
	}
	if bd.outbox.Now() < j.preemptingUntil {
		q.ReservedMachines = j.reservedMachines
		return q
	}
	ownLevel := queue.Level(j.Priority(), true)
	claimsGuarantee := bd.snapshot.withinGuarantee(j) && queue.HasGuarantee(bd.teams[spec.Team]) &&
		(!j.queuedLast || bd.startOrder.mayClaimGuarantee(j, c.used))
	mayPreemptAny := bd.victims.anyPlacedBelow(c, ownLevel) ||
		claimsGuarantee && bd.victims.anyTeamBorrows(c, spec.Team)
	if !mayPreemptAny {
		return q // without MayPreempt, victims are not listed
	}
	q.MayPreempt = func(v *zone.Victim) bool {
		victim := bd.jobs[v.Job]
		if claimsGuarantee && victim.Record.Spec.Team != spec.Team && !bd.snapshot.withinGuarantee(victim) {
			return true // another team's usage beyond its guarantee
		}
		return queue.Level(victim.Priority(), true) < ownLevel && v.Level < e.Level
	}
	return q
}

// bestBid requests a bid on the missing tasks of an attempt from every zone and returns the best
// one, or nil if there is none.
func (bd *bidder) bestBid(a *placementAttempt) *zone.Bid {
	spec := a.job.Record.Spec
	service := spec.Shape == wire.Service
	var best *zone.Bid
	fewest := -1 // placed tasks of the job in the zone of the best bid
	for _, z := range a.cycle.zones {
		bid := bd.zoneBid(a, z)
		if bid == nil {
			continue
		}
		placed := a.inZone[z.Name]
		// The replicas of a service are balanced over the zones unless that costs more victims.
		noMoreVictims := best == nil || len(bid.Victims) <= len(best.Victims)
		balancesReplicas := service && noMoreVictims && (fewest < 0 || placed < fewest)
		if balancesReplicas || (!service || placed == fewest) && bid.BetterThan(best) {
			best, fewest = bid, placed
		}
	}
	if best == nil && a.request.AllOrNothing && !spec.OneZone && len(bd.cfg.Cluster.Zones) > 1 {
		return bd.bidAcrossZones(a)
	}
	return best
}

// zoneBid requests a bid from one zone. It returns nil if the job may not be placed there, or if
// the zone has no capacity for it.
func (bd *bidder) zoneBid(a *placementAttempt, z *zone.Zone) *zone.Bid {
	spec := a.job.Record.Spec
	if !a.cycle.mayUseZone(spec, z.Name) {
		return nil
	}
	if spec.OneZone && len(a.inZone) > 0 && a.inZone[z.Name] == 0 {
		return nil
	}
	count := a.maxInZone(z.Name, len(a.tasks))
	if spec.Shape == wire.Service {
		count = min(count, 1)
	}
	if count <= 0 || a.request.AllOrNothing && count < len(a.tasks) && spec.OneZone {
		return nil
	}
	q := *a.request
	q.Count = count
	if a.cycle.knownToFail(z.Name, &q, a.level) {
		return nil
	}
	bid := z.Plan(bd.outbox.Now(), &q)
	if bid == nil && len(a.request.Avoid) == 0 { // if machines are avoided, the failure need not apply to other jobs
		a.cycle.failedRequests = append(a.cycle.failedRequests,
			failedRequest{z.Name, q.Needs, q.Spot, q.TypeKey, a.level, minTasks(&q)})
	}
	return bid
}

// bidAcrossZones returns a bid of several zones for a gang that fits into no single zone but may be
// split. It returns nil if the gang doesn't fit into all zones together.
func (bd *bidder) bidAcrossZones(a *placementAttempt) *zone.Bid {
	combined := &zone.Bid{}
	for _, z := range a.cycle.zones {
		if !a.cycle.mayUseZone(a.job.Record.Spec, z.Name) {
			continue
		}
		count := a.maxInZone(z.Name, len(a.tasks)-len(combined.Offers))
		if count <= 0 {
			continue
		}
		q := *a.request
		q.AllOrNothing = false
		q.MayPreempt = nil
		q.Count = count
		if bid := z.Plan(bd.outbox.Now(), &q); bid != nil {
			combined.Offers = append(combined.Offers, bid.Offers...)
		}
	}
	if len(combined.Offers) < len(a.tasks) {
		return nil
	}
	return combined
}
