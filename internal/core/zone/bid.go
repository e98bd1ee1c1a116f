package zone

// Zone plans placements on the machines of a zone. It is kept from one scheduling cycle to the
// next: only the offers of changed machines are replaced.
type Zone struct {
	Name string
	// Victims returns the work that could be preempted, in the order of SortByLoss. It is called
	// only when free capacity is short.
	Victims func() []*Victim

	buckets     []*bucket                  // sorted by key
	byImage     map[string]map[*Offer]bool // offers by the images of their machines when they were added
	preemptions uint64                     // number of plans that tried to preempt
}

// Offer is what a machine can offer in a scheduling cycle.
type Offer struct {
	Machine       *Machine
	Zone          string
	Free          Resources
	Reserved      bool     // kept for a job of higher priority
	Idle          bool     // nothing is placed there
	PendingImages []string // images of what is placed or planned there: they are cached or being fetched

	bucket  *bucket
	images  []string // its keys in Zone.byImage
	inPlan  bool     // scratch of one Plan: it is among the candidates
	reclaim reclaimState
}

// reclaimState is what one preemption has found out about an offer.
type reclaimState struct {
	preemption uint64    // the preemption that this state belongs to, as numbered by its zone
	usable     bool      // the request may use the machine
	gain       Resources // what victims free
}

// Request asks a zone for places for the tasks of a job.
type Request struct {
	Job              string
	Needs            Resources // of one task
	Count            int
	AllOrNothing     bool // a gang: places for all of Count, or none
	Spot             bool // spot instances are allowed
	Types            map[string]bool
	TypeKey          string // the types as one string
	Image            string
	Avoid            map[string]Micros    // machines to avoid, and until when
	MayPreempt       func(v *Victim) bool // nil: no preemption
	ReservedMachines map[string]bool      // machines that are reserved for this job
	ShareFetches     bool                 // a machine that is fetching the image is better than one that is not
}

// mayUse reports whether a request may use an offer, whatever is free there.
func (q *Request) mayUse(now Micros, o *Offer) bool {
	m := o.Machine
	if o.Reserved && !q.ReservedMachines[m.Name] {
		return false
	}
	return m.FullUntil <= now && (len(q.Avoid) == 0 || q.Avoid[m.Name] <= now)
}

// Bid is a zone's plan for a request: a machine for each of the tasks that it can place, and the
// work that has to be preempted first.
type Bid struct {
	Zone         string
	Offers       []*Offer // one for each task; an offer may occur more than once
	Victims      []*Victim
	CachedImages int     // tasks whose image is cached on their machine
	FreeCapacity float64 // weight of what is free for the request in the zone
}

// Better reports whether b is a better bid than o, which may be nil: more tasks, then fewer victims,
// then victims of lower priority, then more cached images, then more free capacity.
func (b *Bid) Better(o *Bid) bool {
	if o == nil {
		return true
	}
	if len(b.Offers) != len(o.Offers) {
		return len(b.Offers) > len(o.Offers)
	}
	if len(b.Victims) != len(o.Victims) {
		return len(b.Victims) < len(o.Victims)
	}
	if bl, ol := highestLevel(b.Victims), highestLevel(o.Victims); bl != ol {
		return bl < ol
	}
	if b.CachedImages != o.CachedImages {
		return b.CachedImages > o.CachedImages
	}
	return b.FreeCapacity > o.FreeCapacity
}

// complete reports whether a bid meets a request: all tasks of a gang, at least one of other jobs.
func (b *Bid) complete(q *Request) bool {
	return len(b.Offers) == q.Count || len(b.Offers) > 0 && !q.AllOrNothing
}

// Plan returns the zone's bid for a request, nil if the zone cannot place it. Free capacity is used
// first, see candidate.better for the order of machines. Work is preempted only if that is short.
func (z *Zone) Plan(now Micros, q *Request) *Bid {
	bid := &Bid{Zone: z.Name, FreeCapacity: z.freeFor(q)}
	bid.fill(z.candidates(now, q), q)
	if bid.complete(q) {
		return bid
	}
	if q.MayPreempt != nil {
		return z.preempt(now, bid, q)
	}
	return nil
}

// FindOffers returns a machine for each task of a request that fits into the free capacity, whether
// or not these are enough for a gang.
func (z *Zone) FindOffers(now Micros, q *Request) []*Offer {
	bid := &Bid{}
	bid.fill(z.candidates(now, q), q)
	return bid.Offers
}
