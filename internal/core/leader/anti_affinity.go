package leader

import (
	"maps"

	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// replicaSpread is the anti-affinity of a service's replicas: bin packing and cached images draw
// them all to the same machine, and losing it would take down the whole service. No machine gets more
// than half of the replicas, rounded up, as long as there is free capacity elsewhere.
type replicaSpread struct {
	maxPerMachine int
	on            map[string]int // replicas by machine
}

// newReplicaSpread returns where the replicas of a service are; nil: a job whose tasks may run
// anywhere.
func (bd *bidder) newReplicaSpread(j *Job) *replicaSpread {
	spec := j.Record.Spec
	if spec.Shape != wire.Service || spec.Tasks < 2 {
		return nil
	}
	rs := &replicaSpread{maxPerMachine: (spec.Tasks + 1) / 2, on: map[string]int{}}
	j.EachPlacement(func(p job.Placement) { rs.on[p.Machine]++ })
	return rs
}

// place counts a replica that is placed on a machine.
func (rs *replicaSpread) place(machine string) {
	if rs != nil {
		rs.on[machine]++
	}
}

// bid asks for a bid that avoids the machines with enough of the replicas and, if there is none
// without victims, for one that may use them.
func (rs *replicaSpread) bid(q *zone.Request, ask func() *zone.Bid) *zone.Bid {
	if rs == nil {
		return ask()
	}
	avoid := q.Avoid
	if !rs.avoidFullMachines(q) {
		return ask()
	}
	bid := ask()
	q.Avoid = avoid
	if bid != nil && len(bid.Victims) == 0 {
		return bid
	}
	return ask()
}

// avoidFullMachines adds the machines with enough of the replicas to those that a request avoids. It
// reports whether there are any.
func (rs *replicaSpread) avoidFullMachines(q *zone.Request) bool {
	anyFull := false
	for name, n := range rs.on {
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
