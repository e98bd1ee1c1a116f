package zone

// Zone plans placements on the machines of a zone. It persists between scheduling cycles: only the
// offers of changed machines are replaced.
type Zone struct {
	Name string
	// Victims returns the work that could be preempted, in the order of SortByLoss. It is called
	// only when free capacity is insufficient.
	Victims func() []*Victim

	buckets []*bucket // sorted by key
	// byImage holds the offers by the images that their machines had when they were added, and by the
	// images allocated since.
	byImage     map[string]map[*Offer]bool
	preemptions uint64 // number of plans that tried to preempt
}

// Offer is the capacity that a machine offers in a scheduling cycle.
type Offer struct {
	Machine       *Machine
	Zone          string
	Free          Resources
	Reserved      bool     // reserved for a job of higher priority
	Idle          bool     // nothing is placed on the machine
	PendingImages []string // images of the tasks placed or planned on the machine: cached or being fetched

	bucket      *bucket
	images      []string // keys of the offer in Zone.byImage
	isCandidate bool     // whether it is a candidate already; set only during Zone.candidates
	reclaim     reclaimState
}

// reclaimState is the state of an offer in the search for victims of one preemption.
type reclaimState struct {
	preemption uint64    // ID of the preemption, see Zone.preemptions
	usable     bool      // whether the request may use the machine
	gain       Resources // resources freed by the chosen victims
}

// Request asks a zone for machines for the tasks of a job.
type Request struct {
	Job              string
	Needs            Resources // of one task
	Count            int
	AllOrNothing     bool // a gang: machines for all of Count, or none
	Spot             bool // spot instances are allowed
	Types            map[string]bool
	TypeKey          string // Types encoded as one string, for comparison
	Image            string
	Avoid            map[string]Micros    // machines to avoid, with the time until which to avoid them
	MayPreempt       func(v *Victim) bool // nil if nothing may be preempted
	ReservedMachines map[string]bool      // machines that are reserved for this job
	ShareFetches     bool                 // prefer machines that are fetching the image to those that are not
}

// mayUse reports whether a request may use an offer, regardless of its free capacity.
func (q *Request) mayUse(now Micros, o *Offer) bool {
	m := o.Machine
	if o.Reserved && !q.ReservedMachines[m.Name] {
		return false
	}
	return m.FullUntil <= now && (len(q.Avoid) == 0 || q.Avoid[m.Name] <= now)
}

// Bid is a zone's plan for a request: a machine for each task that the zone can place, and the
// work that has to be preempted first.
type Bid struct {
	Zone         string
	Offers       []*Offer // one for each placed task; an offer may occur more than once
	Victims      []*Victim
	CachedImages int     // tasks whose image is cached on their machine
	FreeCapacity float64 // weight of the capacity that is free for the request in the zone
}

// BetterThan reports whether b is a better bid than o. Any bid is better than nil. The criteria are, in this
// order: more tasks, fewer victims, victims of lower priority, more cached images, more free capacity.
func (b *Bid) BetterThan(o *Bid) bool {
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

// complete reports whether a bid meets a request: it has to place all tasks of a gang, and at least one of other jobs.
func (b *Bid) complete(q *Request) bool {
	return len(b.Offers) == q.Count || len(b.Offers) > 0 && !q.AllOrNothing
}

// Plan returns the zone's bid for a request, or nil if the zone cannot place it. Free capacity is used
// first, with the machines in the order of candidate.better. Work is preempted only if free capacity is
// insufficient.
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

// FindOffers returns a machine for each task of a request that fits into the free capacity, even if
// they are too few for a gang.
func (z *Zone) FindOffers(now Micros, q *Request) []*Offer {
	bid := &Bid{}
	bid.fill(z.candidates(now, q), q)
	return bid.Offers
}
