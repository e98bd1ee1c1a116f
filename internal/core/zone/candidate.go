package zone

import (
	"container/heap"
	"slices"
)

// candidate is a machine on which a task of a request fits.
type candidate struct {
	*Offer
	free       Resources
	imageState imageState
}

// imageState is the availability of an image on a machine; higher values are better.
type imageState int

const (
	imageMissing imageState = iota
	imagePending            // being fetched, once for all tasks that use it
	imageCached
)

// imageStateFor returns the state of a request's image on the machine.
func (o *Offer) imageStateFor(q *Request) imageState {
	switch {
	case o.Machine.Images.Has(q.Image):
		return imageCached
	case q.ShareFetches && slices.Contains(o.PendingImages, q.Image):
		return imagePending
	}
	return imageMissing
}

// better reports whether c is used before o. No two candidates of a plan compare equal.
func (c *candidate) better(o *candidate) bool {
	if c.Machine.Spot != o.Machine.Spot { // jobs that may use spot instances leave other machines free
		return c.Machine.Spot
	}
	if c.imageState != o.imageState {
		return c.imageState > o.imageState
	}
	if c.Idle != o.Idle { // idle machines are kept for jobs that need whole machines, or released
		return o.Idle
	}
	if c.free.GPUs != o.free.GPUs {
		return c.free.GPUs > o.free.GPUs
	}
	if c.free.CPUs != o.free.CPUs {
		return c.free.CPUs > o.free.CPUs
	}
	return c.Machine.Name < o.Machine.Name
}

// candidateHeap is a heap of candidates, the best first. It implements heap.Interface.
type candidateHeap []candidate

func (h candidateHeap) Len() int           { return len(h) }
func (h candidateHeap) Less(i, j int) bool { return h[i].better(&h[j]) }
func (h candidateHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// fill sets the bid's offers to the best candidates, one for each task, for as many tasks as fit.
func (b *Bid) fill(candidates candidateHeap, q *Request) {
	b.Offers = nil
	b.CachedImages = 0
	heap.Init(&candidates)
	for len(b.Offers) < q.Count && len(candidates) > 0 {
		best := &candidates[0]
		b.Offers = append(b.Offers, best.Offer)
		if best.imageState == imageCached {
			b.CachedImages++
		} else if q.ShareFetches {
			best.imageState = imagePending
		}
		best.free = best.free.Plus(q.Needs, -1)
		if q.Needs.Fits(best.free) {
			heap.Fix(&candidates, 0)
		} else {
			heap.Pop(&candidates)
		}
	}
}

// candidates returns the machines on which a request may be placed: in each bucket, those with the most
// free capacity, as many as the request has tasks, and all that have its image. Any other machine would
// be used only after one of these.
func (z *Zone) candidates(now Micros, q *Request) candidateHeap {
	var out candidateHeap
	add := func(o *Offer) bool {
		if o.isCandidate || !q.Needs.Fits(o.Free) || !q.mayUse(now, o) {
			return false
		}
		o.isCandidate = true
		out = append(out, candidate{o, o.Free, o.imageStateFor(q)})
		return true
	}
	var current *bucket
	left := 0 // number of candidates still to be found in the current bucket
	z.eachFit(q, func(o *Offer) bool {
		if o.bucket != current {
			current = o.bucket
			left = q.Count
		}
		if add(o) {
			left--
		}
		return left > 0
	})
	for o := range z.byImage[q.Image] { // the order does not matter: candidate.better has no ties
		if o.bucket.suits(q) {
			add(o)
		}
	}
	for i := range out {
		out[i].isCandidate = false
	}
	return out
}
