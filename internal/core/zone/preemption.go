package zone

import (
	"cmp"
	"slices"
)

// Reclaim is what preempting a victim frees on a machine.
type Reclaim struct {
	Offer *Offer
	Resources
}

// Victim is work that could be preempted. A gang is one victim for all of its tasks, with all
// machines that it is on.
type Victim struct {
	Job       string
	Task      int    // -1: the whole gang
	Level     int    // priority level
	Since     Micros // when it started
	Loss      Micros // work since its last checkpoint, which would have to be done again
	Left      Micros // expected remaining duration; 0 where it does not matter
	Reclaims  []Reclaim
	Preempted bool // by an earlier placement of the scheduling cycle
}

// weight returns the weight of what a victim holds on all machines.
func (v *Victim) weight() float64 {
	sum := 0.0
	for i := range v.Reclaims {
		sum += v.Reclaims[i].Weight()
	}
	return sum
}

// highestLevel returns the highest priority level of victims, -1 without any.
func highestLevel(victims []*Victim) int {
	highest := -1
	for _, v := range victims {
		highest = max(highest, v.Level)
	}
	return highest
}

// SortByLoss sorts victims in the order of preemption: lowest priority first, then the least loss,
// then the longest remaining duration, then the longest running. To go by the last alone would
// assume that everything can be saved in a checkpoint.
func SortByLoss(victims []*Victim) {
	slices.SortFunc(victims, func(a, b *Victim) int {
		switch {
		case a.Level != b.Level:
			return cmp.Compare(a.Level, b.Level)
		case a.Loss != b.Loss:
			return cmp.Compare(a.Loss, b.Loss)
		case a.Left != b.Left:
			return cmp.Compare(b.Left, a.Left)
		case a.Since != b.Since:
			return cmp.Compare(a.Since, b.Since)
		case a.Job != b.Job:
			return cmp.Compare(a.Job, b.Job)
		}
		return cmp.Compare(a.Task, b.Task)
	})
}

// preemption is the state of the search for victims for one request. How many tasks fit is counted
// by machine, so that a victim costs no more time than the machines that it is on.
type preemption struct {
	zone    *Zone
	id      uint64
	now     Micros
	request *Request
	wanted  int // tasks to place
	fit     int // tasks that fit into free capacity and what the chosen victims free
}

// preempt completes a bid by choosing victims until the request fits, of which it then keeps only
// the largest that are needed. It returns nil if all victims together do not suffice.
func (z *Zone) preempt(now Micros, bid *Bid, q *Request) *Bid {
	z.preemptions++
	p := &preemption{zone: z, id: z.preemptions, now: now, request: q, wanted: q.Count}
	if !q.AllOrNothing {
		p.wanted = 1
	}
	p.countFree()
	victims := p.chooseVictims()
	if p.fit < p.wanted {
		return nil
	}
	victims = p.dropUnneeded(victims)
	bid.fill(p.candidates(victims), q)
	bid.Offers = bid.Offers[:min(p.wanted, len(bid.Offers))]
	bid.Victims = victims
	return bid
}

// usable reports whether the request may use an offer. It is found out once per preemption, and only
// for offers that are asked for.
func (p *preemption) usable(o *Offer) bool {
	if o.reclaim.preemption != p.id {
		o.reclaim = reclaimState{preemption: p.id, usable: o.bucket.suits(p.request) && p.request.mayUse(p.now, o)}
	}
	return o.reclaim.usable
}

// here reports whether an offer is in the zone and the request may use it.
func (p *preemption) here(o *Offer) bool { return o.Machine.Zone == p.zone.Name && p.usable(o) }

// countFree counts the tasks that fit into free capacity.
func (p *preemption) countFree() {
	p.zone.eachFit(p.request, func(o *Offer) bool {
		if p.usable(o) {
			p.fit += p.request.Needs.Count(o.Free)
		}
		return true
	})
}

// reclaim adds what a victim holds to the gains of its machines n times: 1 to take it, -1 to give it
// back. It reports whether the victim holds anything that the request may use.
func (p *preemption) reclaim(v *Victim, n float64) bool {
	needs := p.request.Needs
	held := false
	for i := range v.Reclaims {
		o := v.Reclaims[i].Offer
		if !p.here(o) {
			continue
		}
		held = true
		p.fit -= needs.Count(o.Free.Plus(o.reclaim.gain, 1))
		o.reclaim.gain = o.reclaim.gain.Plus(v.Reclaims[i].Resources, n)
		p.fit += needs.Count(o.Free.Plus(o.reclaim.gain, 1))
	}
	return held
}

// chooseVictims takes victims in their order until enough tasks fit, or there are no more.
func (p *preemption) chooseVictims() []*Victim {
	var chosen []*Victim
	for _, v := range p.zone.Victims() {
		if p.fit >= p.wanted {
			break
		}
		allowed := !v.Preempted && v.Job != p.request.Job && p.request.MayPreempt(v)
		if allowed && p.reclaim(v, 1) {
			chosen = append(chosen, v)
		}
	}
	return chosen
}

// dropUnneeded gives back, smallest first, the victims without which enough tasks fit, and returns
// the others, largest first.
func (p *preemption) dropUnneeded(victims []*Victim) []*Victim {
	slices.SortStableFunc(victims, func(a, b *Victim) int { return cmp.Compare(b.weight(), a.weight()) })
	for i := len(victims) - 1; i >= 0; i-- {
		p.reclaim(victims[i], -1)
		if p.fit < p.wanted {
			p.reclaim(victims[i], 1)
			continue
		}
		victims = slices.Delete(victims, i, i+1)
	}
	return victims
}

// candidates returns the machines that the request may be placed on once the victims are gone.
func (p *preemption) candidates(victims []*Victim) candidateHeap {
	out := slices.DeleteFunc(p.zone.candidates(p.now, p.request), func(c candidate) bool {
		return c.reclaim.preemption == p.id && c.reclaim.gain != Resources{}
	})
	added := map[*Offer]bool{}
	for _, v := range victims {
		for i := range v.Reclaims {
			o := v.Reclaims[i].Offer
			if added[o] || !p.here(o) {
				continue
			}
			added[o] = true
			if free := o.Free.Plus(o.reclaim.gain, 1); p.request.Needs.Fits(free) {
				out = append(out, candidate{o, free, o.imageStateFor(p.request)})
			}
		}
	}
	return out
}
