package leader

import (
	"maps"

	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// replicaSpread keeps the replicas of a service on more than one machine: most-room packing and images
// draw them all to the same one, and its loss would take the whole service. No machine gets more
// than half of them, rounded up, as long as there is room elsewhere.
type replicaSpread struct {
	maxPerMachine int            // on one machine
	on            map[string]int // replicas by machine
}

// newReplicaSpread tells where a service's replicas are; nil: a job whose tasks may be anywhere.
func (sc *scheduler) newReplicaSpread(j *Job) *replicaSpread {
	spec := j.Record.Spec
	if spec.Shape != wire.Service || spec.Tasks < 2 {
		return nil
	}
	a := &replicaSpread{maxPerMachine: (spec.Tasks + 1) / 2, on: map[string]int{}}
	j.EachPlacement(func(p job.Placement) { a.on[p.Machine]++ })
	return a
}

func (a *replicaSpread) place(machine string) {
	if a != nil {
		a.on[machine]++
	}
}

// bid asks for a bid without the machines that have enough of the replicas, and if there is none that
// needs no victims, with them.
func (a *replicaSpread) bid(q *zone.Request, ask func() *zone.Bid) *zone.Bid {
	if a == nil {
		return ask()
	}
	avoid := q.Avoid
	full := false
	for name, n := range a.on {
		if n < a.maxPerMachine {
			continue
		}
		if !full {
			full, q.Avoid = true, maps.Clone(q.Avoid)
			if q.Avoid == nil {
				q.Avoid = map[string]Micros{}
			}
		}
		q.Avoid[name] = longRunLevel
	}
	if !full {
		return ask()
	}
	b := ask()
	q.Avoid = avoid
	if b != nil && len(b.Victims) == 0 {
		return b
	}
	return ask()
}

// longRunLevel is beyond any time that a pass has.
const longRunLevel = Micros(1) << 62
