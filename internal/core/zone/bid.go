package zone

import (
	"container/heap"
	"math"
	"slices"
	"sort"
)

// Resources is what a task takes, or a machine has free.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

const tolerance = 1e-6

// Fits tells whether a task that takes r fits into what is free.
func (r Resources) Fits(free Resources) bool {
	return r.CPUs <= free.CPUs+tolerance && r.GPUs <= free.GPUs+tolerance && r.MemoryGB <= free.MemoryGB+tolerance
}

// Count tells how many tasks that take r fit into what is free.
func (r Resources) Count(free Resources) int {
	n := math.MaxInt32
	for _, x := range [...][2]float64{{r.CPUs, free.CPUs}, {r.GPUs, free.GPUs}, {r.MemoryGB, free.MemoryGB}} {
		if x[0] > 0 {
			n = min(n, max(0, int((x[1]+tolerance)/x[0])))
		} else if x[1] < -tolerance {
			return 0
		}
	}
	return n
}

// Plus adds n times b.
func (r Resources) Plus(b Resources, n float64) Resources {
	return Resources{r.CPUs + n*b.CPUs, r.GPUs + n*b.GPUs, r.MemoryGB + n*b.MemoryGB}
}

// Weight makes one number of r; a GPU counts for far more than a CPU.
func (r Resources) Weight() float64 { return r.GPUs*64 + r.CPUs }

// Zone is what a zone bids with. It lasts from pass to pass: only rooms that
// change are put anew.
type Zone struct {
	Name    string
	buckets []*bucket                  // in a set order
	plans   uint64                     // counts the plans that took victims
	byImage map[string]map[*Offer]bool // rooms by the images that their machines had when they were put
	// Victims lists the work that could be stopped, in the order of ByLoss. It
	// is asked only when free room is short.
	Victims func() []*Victim
}

// Offer is what a machine can offer in a pass.
type Offer struct {
	Machine       *Machine
	Zone          string
	Free          Resources
	Reserved      bool     // kept for a job that ranks higher
	Idle          bool     // nothing is placed there
	PendingImages []string // images of what is placed there, or about to be: they are there or being fetched

	bucket       *bucket
	images       []string  // by which its zone finds it
	candidateFor bool      // scratch of one Plan: it is among the offers
	plan         uint64    // which plan that takes victims looked at it last, and found:
	reclaimable  bool      // the request may use it
	gain         Resources // what victims leave
}

// Reclaim is what a victim has of a machine.
type Reclaim struct {
	Offer *Offer
	Resources
}

// Victim is work that could be stopped. A gang is one victim for all of its
// tasks: it comes with every machine that it is on.
type Victim struct {
	Job       string
	Task      int // -1: the whole gang
	Level     int
	Since     Micros // when it started
	Loss      Micros // work that it can't save and will have to do again
	Left      Micros // what it is expected to go on for; 0 where that is not asked
	Reclaims  []Reclaim
	Preempted bool // taken by an earlier grant of the pass
}

// SortByLoss sorts victims in the order in which they go: lowest priority first,
// then what loses least, then what has run longest: the last alone supposes that
// everything can be saved.
func SortByLoss(vs []*Victim) {
	sort.Slice(vs, func(i, j int) bool {
		a, b := vs[i], vs[j]
		switch {
		case a.Level != b.Level:
			return a.Level < b.Level
		case a.Loss != b.Loss:
			return a.Loss < b.Loss
		case a.Left != b.Left:
			return a.Left > b.Left
		case a.Since != b.Since:
			return a.Since < b.Since
		case a.Job != b.Job:
			return a.Job < b.Job
		}
		return a.Task < b.Task
	})
}

// Request asks a zone for places.
type Request struct {
	Job              string
	Needs            Resources
	Count            int
	AllOrNothing     bool // all of Count or nothing
	Spot             bool // spot machines will do
	Types            map[string]bool
	TypeKey          string // the types in one text
	Image            string
	Avoid            map[string]Micros
	MayPreempt       func(v *Victim) bool // nil: no preemption
	ReservedMachines map[string]bool      // machines barred for others but not for this job
	ShareFetches     bool                 // a machine that is fetching the image is better than one that isn't
}

// Bid is a zone's offer: a machine for each of the tasks it can take, and the
// work that has to go first.
type Bid struct {
	Zone         string
	Offers       []*Offer
	Victims      []*Victim
	CachedImages int     // tasks that find their image
	FreeCapacity float64 // free in the zone
}

// Better orders bids: more tasks, then no preemption, then less preemption of
// lower priority, then warm images, then the zone with most room.
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
	if bl, ol := highest(b.Victims), highest(o.Victims); bl != ol {
		return bl < ol
	}
	if b.CachedImages != o.CachedImages {
		return b.CachedImages > o.CachedImages
	}
	return b.FreeCapacity > o.FreeCapacity
}

func highest(vs []*Victim) int {
	h := -1
	for _, v := range vs {
		h = max(h, v.Level)
	}
	return h
}

// Plan makes a zone's bid, nil if it has nothing to offer. Free room is used
// first: machines that have the image, then those with most free room. Only if
// that is short are victims taken.
func (z *Zone) Plan(now Micros, q *Request) *Bid {
	bid := &Bid{Zone: z.Name, FreeCapacity: z.freeFor(q)}
	bid.fill(z.candidates(now, q), q)
	if len(bid.Offers) == q.Count || len(bid.Offers) > 0 && !q.AllOrNothing {
		return bid
	}
	if q.MayPreempt != nil {
		return z.preempt(now, bid, q)
	}
	return nil
}

// FindOffers lists where tasks of a request would go if it had to take what there is, as many as it
// asks for.
func (z *Zone) FindOffers(now Micros, q *Request) []*Offer {
	b := &Bid{}
	b.fill(z.candidates(now, q), q)
	return b.Offers
}

// mayUse tells whether a request may use a room, whatever is free there.
func (q *Request) mayUse(now Micros, r *Offer) bool {
	m := r.Machine
	return (!r.Reserved || q.ReservedMachines[m.Name]) && m.FullUntil <= now && (len(q.Avoid) == 0 || q.Avoid[m.Name] <= now)
}

// candidate is a machine on which a task of the request fits.
type candidate struct {
	*Offer
	free     Resources
	distance int
}

// How near a machine is to having an image.
const (
	imageMissing = iota
	imagePending // it is being fetched, and comes once for all tasks that want it
	imageCached
)

// imageDistance tells how near the room's machine is to having a request's image.
func (r *Offer) imageDistance(q *Request) int {
	switch {
	case r.Machine.Images.Has(q.Image):
		return imageCached
	case q.ShareFetches && slices.Contains(r.PendingImages, q.Image):
		return imagePending
	}
	return imageMissing
}

// candidateHeap is a heap of them, the best first.
type candidateHeap []candidate

func (o candidateHeap) Len() int           { return len(o) }
func (o candidateHeap) Less(i, j int) bool { return o[i].better(&o[j]) }
func (o candidateHeap) Swap(i, j int)      { o[i], o[j] = o[j], o[i] }
func (o *candidateHeap) Push(x any)        { *o = append(*o, x.(candidate)) }

func (o *candidateHeap) Pop() any {
	last := len(*o) - 1
	x := (*o)[last]
	*o = (*o)[:last]
	return x
}

// fill places as many tasks as fit.
func (b *Bid) fill(from candidateHeap, q *Request) {
	b.Offers, b.CachedImages = nil, 0
	heap.Init(&from)
	for len(b.Offers) < q.Count && len(from) > 0 {
		o := &from[0]
		b.Offers = append(b.Offers, o.Offer)
		if o.distance == imageCached {
			b.CachedImages++
		} else if q.ShareFetches {
			o.distance = imagePending
		}
		if o.free = o.free.Plus(q.Needs, -1); q.Needs.Fits(o.free) {
			heap.Fix(&from, 0)
		} else {
			heap.Pop(&from)
		}
	}
}

func (a *candidate) better(b *candidate) bool {
	if a.Machine.Spot != b.Machine.Spot { // what may use spot machines leaves the others free
		return a.Machine.Spot
	}
	if a.distance != b.distance {
		return a.distance > b.distance
	}
	if a.Idle != b.Idle { // whole machines are kept for what needs them, or go back
		return b.Idle
	}
	if a.free.GPUs != b.free.GPUs {
		return a.free.GPUs > b.free.GPUs
	}
	if a.free.CPUs != b.free.CPUs {
		return a.free.CPUs > b.free.CPUs
	}
	return a.Machine.Name < b.Machine.Name
}

// preempt takes victims until the request fits, and then keeps only the largest
// that are needed. How many tasks fit is counted by machine, so that a victim
// costs no more than the machines that it is on.
func (z *Zone) preempt(now Micros, bid *Bid, q *Request) *Bid {
	want := q.Count
	if !q.AllOrNothing {
		want = 1
	}
	z.plans++
	// usable looks at a room once a plan, and only if something comes to it.
	usable := func(r *Offer) bool {
		if r.plan != z.plans {
			r.plan, r.gain, r.reclaimable = z.plans, Resources{}, r.bucket.suits(q) && q.mayUse(now, r)
		}
		return r.reclaimable
	}
	fit := 0
	z.eachFit(q, func(r *Offer) bool {
		if usable(r) {
			fit += q.Needs.Count(r.Free)
		}
		return true
	})
	// move gives a victim's room away, or back.
	move := func(v *Victim, n float64) (here bool) {
		for i := range v.Reclaims {
			r := v.Reclaims[i].Offer
			if r.Machine.Zone != z.Name || !usable(r) {
				continue
			}
			here = true
			fit -= q.Needs.Count(r.Free.Plus(r.gain, 1))
			r.gain = r.gain.Plus(v.Reclaims[i].Resources, n)
			fit += q.Needs.Count(r.Free.Plus(r.gain, 1))
		}
		return here
	}
	var taken []*Victim
	for _, v := range z.Victims() {
		if fit >= want {
			break
		}
		if !v.Preempted && v.Job != q.Job && q.MayPreempt(v) && move(v, 1) {
			taken = append(taken, v)
		}
	}
	if fit < want {
		return nil
	}
	sort.SliceStable(taken, func(i, j int) bool { return taken[i].size() > taken[j].size() })
	// Leave out, smallest first, whatever is not needed.
	for i := len(taken) - 1; i >= 0; i-- {
		move(taken[i], -1)
		if fit < want {
			move(taken[i], 1)
			continue
		}
		taken = append(taken[:i], taken[i+1:]...)
	}
	left := slices.DeleteFunc(z.candidates(now, q), func(o candidate) bool { return o.plan == z.plans && o.gain != Resources{} })
	listed := map[*Offer]bool{}
	for _, v := range taken {
		for i := range v.Reclaims {
			r := v.Reclaims[i].Offer
			if r.Machine.Zone != z.Name || listed[r] || !usable(r) {
				continue
			}
			listed[r] = true
			if free := r.Free.Plus(r.gain, 1); q.Needs.Fits(free) {
				left = append(left, candidate{r, free, r.imageDistance(q)})
			}
		}
	}
	bid.fill(left, q)
	bid.Offers = bid.Offers[:min(want, len(bid.Offers))]
	bid.Victims = taken
	return bid
}

// size is how much of all machines a victim has.
func (v *Victim) size() float64 {
	s := 0.0
	for i := range v.Reclaims {
		s += v.Reclaims[i].Weight()
	}
	return s
}
