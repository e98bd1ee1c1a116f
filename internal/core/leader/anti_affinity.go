package leader

import (
	"maps"

	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// replicaSpread implements the anti-affinity of a service's replicas: bin packing and cached images
// would place them all on the same machine, and losing it would take down the whole service. No
// machine gets more than half of the replicas, rounded up, as long as there is free capacity
// elsewhere.
type replicaSpread struct {
	maxPerMachine int
	byMachine     map[string]int // number of replicas
}

// newReplicaSpread returns the current distribution of the replicas of a service. It returns nil
// for a job without anti-affinity, whose tasks may run anywhere.
func (bd *bidder) newReplicaSpread(j *Job) *replicaSpread {
	spec := j.Record.Spec
	if spec.Shape != wire.Service || spec.Tasks < 2 {
		return nil
	}
	rs := &replicaSpread{maxPerMachine: (spec.Tasks + 1) / 2, byMachine: map[string]int{}}
	j.EachPlacement(func(p job.Placement) { rs.byMachine[p.Machine]++ })
	return rs
}

// place counts a replica that is placed on a machine.
func (rs *replicaSpread) place(machine string) {
	if rs != nil {
		rs.byMachine[machine]++
	}
}

// bid requests a bid that avoids the machines with enough of the replicas. If there is none without
// victims, it requests one that may use these machines.
func (rs *replicaSpread) bid(q *zone.Request, requestBid func() *zone.Bid) *zone.Bid {
	if rs == nil {
		return requestBid()
	}
	avoid := q.Avoid
	if !rs.avoidFullMachines(q) {
		return requestBid()
	}
	bid := requestBid()
	q.Avoid = avoid
	if bid != nil && len(bid.Victims) == 0 {
		return bid
	}
	return requestBid()
}

// avoidFullMachines adds the machines with enough of the replicas to those that a request avoids. It
// reports whether there are any.
func (rs *replicaSpread) avoidFullMachines(q *zone.Request) bool {
	anyFull := false
	for name, n := range rs.byMachine {
		if n < rs.maxPerMachine {
			continue
		}
		if !anyFull {
			anyFull = true
			q.Avoid = maps.Clone(q.Avoid)
			if q.Avoid == nil {
				q.Avoid = map[string]Micros{}
			}
		}
		q.Avoid[name] = farFuture
	}
	return anyFull
}

// farFuture is later than the time of any cycle.
const farFuture = Micros(1) << 62
