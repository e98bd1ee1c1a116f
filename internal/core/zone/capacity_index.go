package zone

import (
	"cmp"
	"math"
	"slices"

	"github.com/google/btree"
)

// bucketKey is what the rooms of a shelf have in common: what a request asks for or goes by
// before it compares what is free.
type bucketKey struct {
	machineType string
	spot, idle  bool
}

func (a bucketKey) compare(b bucketKey) int {
	bit := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.machineType, b.machineType), bit(a.spot)-bit(b.spot), bit(a.idle)-bit(b.idle))
}

// bucket holds the rooms of a kind, those with most room first: a bid looks at as many as
// it has tasks, however many there are.
type bucket struct {
	bucketKey
	offers     *btree.BTreeG[*Offer]
	freeByGPUs []int64 // what is free, in millionths of a weight, by whole free GPUs of a room
}

// btreeDegree is how many rooms a node of the tree holds about half of.
const btreeDegree = 16

// moreFree orders rooms of a kind. It goes by nothing that changes while a room is on its
// shelf.
func moreFree(a, b *Offer) bool {
	return cmp.Or(cmp.Compare(b.Free.GPUs, a.Free.GPUs), cmp.Compare(b.Free.CPUs, a.Free.CPUs), cmp.Compare(a.Machine.Name, b.Machine.Name)) < 0
}

func (s *bucket) suits(q *Request) bool { return q.Types[s.machineType] && (q.Spot || !s.spot) }

func (r *Offer) wholeGPUs() int { return max(0, int(r.Free.GPUs+tolerance)) }

func (s *bucket) addFree(r *Offer, times int64) {
	for len(s.freeByGPUs) <= r.wholeGPUs() {
		s.freeByGPUs = append(s.freeByGPUs, 0)
	}
	s.freeByGPUs[r.wholeGPUs()] += times * int64(math.Round(r.Free.Weight()*1e6))
}

// insert puts a room where it belongs.
func (z *Zone) insert(r *Offer) {
	k := bucketKey{r.Machine.Type, r.Machine.Spot, r.Idle}
	i, ok := slices.BinarySearchFunc(z.buckets, k, func(s *bucket, k bucketKey) int { return s.compare(k) })
	if !ok {
		z.buckets = slices.Insert(z.buckets, i, &bucket{bucketKey: k, offers: btree.NewG(btreeDegree, moreFree)})
	}
	r.bucket = z.buckets[i]
	r.bucket.offers.ReplaceOrInsert(r)
	r.bucket.addFree(r, 1)
}

func (r *Offer) remove() {
	r.bucket.offers.Delete(r)
	r.bucket.addFree(r, -1)
}

// Add takes a room that is not in the zone.
func (z *Zone) Add(r *Offer) {
	z.insert(r)
	if z.byImage == nil {
		z.byImage = map[string]map[*Offer]bool{}
	}
	r.images = append(r.Machine.Images.Names(), r.PendingImages...)
	for _, image := range r.images {
		z.index(r, image)
	}
}

func (z *Zone) index(r *Offer, image string) {
	if z.byImage[image] == nil {
		z.byImage[image] = map[*Offer]bool{}
	}
	z.byImage[image][r] = true
}

// Remove gives up a room that is in the zone.
func (z *Zone) Remove(r *Offer) {
	r.remove()
	for _, image := range r.images {
		if delete(z.byImage[image], r); len(z.byImage[image]) == 0 {
			delete(z.byImage, image)
		}
	}
}

// Allocate takes what a task with an image needs from a room that is in the zone.
func (z *Zone) Allocate(r *Offer, needs Resources, image string) {
	r.remove()
	r.Free, r.Idle = r.Free.Plus(needs, -1), false
	z.insert(r)
	if image != "" && !slices.Contains(r.PendingImages, image) {
		r.PendingImages = append(r.PendingImages, image)
		r.images = append(r.images, image)
		z.index(r, image)
	}
}

// FreeCapacity adds up the room that is left in the zone.
func (z *Zone) FreeCapacity() float64 { return z.free(0, func(*bucket) bool { return true }) }

// freeFor adds up what is free where there are enough whole GPUs for a request.
func (z *Zone) freeFor(q *Request) float64 {
	return z.free(int(q.Needs.GPUs), func(s *bucket) bool { return s.suits(q) })
}

func (z *Zone) free(level int, counts func(*bucket) bool) float64 {
	sum := int64(0)
	for _, s := range z.buckets {
		if !counts(s) {
			continue
		}
		for _, free := range s.freeByGPUs[min(level, len(s.freeByGPUs)):] {
			sum += free
		}
	}
	return float64(sum) / 1e6
}

// eachFit calls f for the rooms that suit a request and have its GPUs free, shelf by shelf,
// the roomiest first. Once f returns false the next shelf follows.
func (z *Zone) eachFit(q *Request, f func(*Offer) bool) {
	for _, s := range z.buckets {
		if !s.suits(q) {
			continue
		}
		s.offers.Ascend(func(r *Offer) bool {
			return r.Free.GPUs+tolerance >= q.Needs.GPUs && f(r) // those that follow have no more
		})
	}
}

// candidates lists the rooms that a request may come to: the roomiest of each shelf, as many as
// it has tasks, and those that have its image. Any other room would only be used after one
// of these.
func (z *Zone) candidates(now Micros, q *Request) candidateHeap {
	var out candidateHeap
	add := func(r *Offer) bool {
		if r.candidateFor || !q.Needs.Fits(r.Free) || !q.mayUse(now, r) {
			return false
		}
		r.candidateFor = true
		out = append(out, candidate{r, r.Free, r.imageDistance(q)})
		return true
	}
	var on *bucket
	left := 0
	z.eachFit(q, func(r *Offer) bool {
		if r.bucket != on {
			on, left = r.bucket, q.Count
		}
		if add(r) {
			left--
		}
		return left > 0
	})
	for r := range z.byImage[q.Image] { // in any order: the best are picked by one that knows no ties
		if r.bucket.suits(q) {
			add(r)
		}
	}
	for i := range out {
		out[i].candidateFor = false
	}
	return out
}
