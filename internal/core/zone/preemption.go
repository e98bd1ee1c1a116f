package zone

import (
	"cmp"
	"slices"
)

// Reclaim is the capacity that preempting a victim frees on a machine.
type Reclaim struct {
	Offer *Offer
	Resources
}

// Victim is work that could be preempted. A gang is one victim for all of its tasks, on all of its
// machines.
type Victim struct {
	Job       string
	Task      int    // -1 for a whole gang
	Level     int    // priority level
	Since     Micros // when it started
	Loss      Micros // running time to be repeated, 0 for services and for work that saves checkpoints
	Remaining Micros // expected remaining run time, 0 if unknown or not considered
	Reclaims  []Reclaim
	Preempted bool // by an earlier placement of the scheduling cycle
}

// weight returns the weight of the resources that a victim holds on all machines.
func (v *Victim) weight() float64 {
	sum := 0.0
	for i := range v.Reclaims {
		sum += v.Reclaims[i].Weight()
	}
	return sum
}

// highestLevel returns the highest priority level of victims, or -1 if there are none.
func highestLevel(victims []*Victim) int {
	highest := -1
	for _, v := range victims {
		highest = max(highest, v.Level)
	}
	return highest
}

// SortByLoss sorts victims into the order of preemption: lowest priority first, then the least loss,
// then the longest remaining run time, then the longest running. To sort by running time alone would
// assume that all work can be saved in a checkpoint.
func SortByLoss(victims []*Victim) {
	slices.SortFunc(victims, func(a, b *Victim) int {
		switch {
		case a.Level != b.Level:
			return cmp.Compare(a.Level, b.Level)
		case a.Loss != b.Loss:
			return cmp.Compare(a.Loss, b.Loss)
		case a.Remaining != b.Remaining:
			return cmp.Compare(b.Remaining, a.Remaining)
		case a.Since != b.Since:
			return cmp.Compare(a.Since, b.Since)
		case a.Job != b.Job:
			return cmp.Compare(a.Job, b.Job)
		}
		return cmp.Compare(a.Task, b.Task)
	})
}

// preemption is the state of the search for victims for one request. The number of tasks that fit is
// updated per machine, so that the time for a victim depends only on the number of its machines.
type preemption struct {
	zone    *Zone
	id      uint64
	now     Micros
	request *Request
	wanted  int // tasks to place
	fit     int // tasks that fit into free capacity and what the chosen victims free
}

// preempt completes a bid by choosing victims until the request fits, and then drops those that are not
// needed, smallest first. It returns nil if all victims together do not suffice.
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

// usable reports whether the request may use an offer. The result is computed on demand and cached for
// the preemption.
func (p *preemption) usable(o *Offer) bool {
	if o.reclaim.preemption != p.id {
		o.reclaim = reclaimState{preemption: p.id, usable: o.bucket.suits(p.request) && p.request.mayUse(p.now, o)}
	}
	return o.reclaim.usable
}

// usableInZone reports whether an offer is in the zone and the request may use it.
func (p *preemption) usableInZone(o *Offer) bool { return o.Machine.Zone == p.zone.Name && p.usable(o) }

// countFree counts the tasks that fit into free capacity.
func (p *preemption) countFree() {
	p.zone.eachFit(p.request, func(o *Offer) bool {
		if p.usable(o) {
			p.fit += p.request.Needs.Count(o.Free)
		}
		return true
	})
}

// reclaim adds the resources of a victim to the gains of its machines n times: 1 to choose the victim,
// -1 to drop it. It reports whether the request may use any machine of the victim.
func (p *preemption) reclaim(v *Victim, n float64) bool {
	needs := p.request.Needs
	held := false
	for i := range v.Reclaims {
		o := v.Reclaims[i].Offer
		if !p.usableInZone(o) {
			continue
		}
		held = true
		p.fit -= needs.Count(o.Free.Plus(o.reclaim.gain, 1))
		o.reclaim.gain = o.reclaim.gain.Plus(v.Reclaims[i].Resources, n)
		p.fit += needs.Count(o.Free.Plus(o.reclaim.gain, 1))
	}
	return held
}

// chooseVictims chooses victims in the order of SortByLoss until enough tasks fit or no victim is left.
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

// dropUnneeded drops, smallest first, the victims without which enough tasks still fit, and returns
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

// candidates returns the machines on which the request may be placed once the victims are preempted.
func (p *preemption) candidates(victims []*Victim) candidateHeap {
	out := slices.DeleteFunc(p.zone.candidates(p.now, p.request), func(c candidate) bool {
		return c.reclaim.preemption == p.id && c.reclaim.gain != Resources{}
	})
	added := map[*Offer]bool{}
	for _, v := range victims {
		for i := range v.Reclaims {
			o := v.Reclaims[i].Offer
			if added[o] || !p.usableInZone(o) {
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
