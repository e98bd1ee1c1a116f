package zone

import (
	"cmp"
	"math"
	"slices"

	"github.com/google/btree"
)

// btreeDegree is about half the number of offers in a node of a tree.
const btreeDegree = 16

// weightScale is the factor by which weights are scaled in sums, which are integers to avoid rounding errors.
const weightScale = 1e6

// maxIndexedGPUs bounds the sums of a bucket: machines with more whole free GPUs are summed up with those that have as
// many.
const maxIndexedGPUs = 1024

// bucketKey is the key shared by the offers of a bucket: the properties that a request requires, or
// prefers before it compares free capacity.
type bucketKey struct {
	machineType string
	spot, idle  bool
}

// compare orders keys by type, then spot instances after others, then idle machines after others.
func (k bucketKey) compare(o bucketKey) int {
	return cmp.Or(cmp.Compare(k.machineType, o.machineType), compareBools(k.spot, o.spot), compareBools(k.idle, o.idle))
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// bucket holds the offers with a key, those with the most free capacity first. A bid examines as many of them
// as it has tasks, regardless of the size of the bucket.
type bucket struct {
	bucketKey
	offers     *btree.BTreeG[*Offer]
	freeByGPUs []int64 // sums of the scaled weights of free capacity, by Offer.wholeGPUs
}

// moreFree orders the offers of a bucket. It compares only values that do not change while an offer is in a bucket.
func moreFree(a, b *Offer) bool {
	return cmp.Or(
		cmp.Compare(b.Free.GPUs, a.Free.GPUs),
		cmp.Compare(b.Free.CPUs, a.Free.CPUs),
		cmp.Compare(a.Machine.Name, b.Machine.Name),
	) < 0
}

// suits reports whether a request allows the machine type of the bucket and, if it holds spot instances, these.
func (b *bucket) suits(q *Request) bool { return q.Types[b.machineType] && (q.Spot || !b.spot) }

// addFree adds the free capacity of an offer to the sums n times: 1 to add it, -1 to remove it.
func (b *bucket) addFree(o *Offer, n int64) {
	gpus := o.wholeGPUs()
	for len(b.freeByGPUs) <= gpus {
		b.freeByGPUs = append(b.freeByGPUs, 0)
	}
	b.freeByGPUs[gpus] += n * int64(math.Round(o.Free.Weight()*weightScale))
}

// wholeGPUs returns the number of whole free GPUs of the machine, at most maxIndexedGPUs.
func (o *Offer) wholeGPUs() int { return indexedGPUs(o.Free.GPUs + tolerance) }

// indexedGPUs returns the whole GPUs of an amount, at least 0 and at most maxIndexedGPUs.
func indexedGPUs(gpus float64) int { return int(min(max(gpus, 0), maxIndexedGPUs)) }

// insert inserts an offer into its bucket, and creates the bucket if it does not exist.
func (z *Zone) insert(o *Offer) {
	key := bucketKey{o.Machine.Type, o.Machine.Spot, o.Idle}
	i, ok := slices.BinarySearchFunc(z.buckets, key, func(b *bucket, key bucketKey) int { return b.compare(key) })
	if !ok {
		z.buckets = slices.Insert(z.buckets, i, &bucket{bucketKey: key, offers: btree.NewG(btreeDegree, moreFree)})
	}
	o.bucket = z.buckets[i]
	o.bucket.offers.ReplaceOrInsert(o)
	o.bucket.addFree(o, 1)
}

// remove removes an offer from its bucket.
func (o *Offer) remove() {
	o.bucket.offers.Delete(o)
	o.bucket.addFree(o, -1)
}

// Add adds an offer that is not in the zone.
func (z *Zone) Add(o *Offer) {
	z.insert(o)
	if z.byImage == nil {
		z.byImage = map[string]map[*Offer]bool{}
	}
	o.images = append(o.Machine.Images.Names(), o.PendingImages...)
	for _, image := range o.images {
		z.indexImage(o, image)
	}
}

func (z *Zone) indexImage(o *Offer, image string) {
	if z.byImage[image] == nil {
		z.byImage[image] = map[*Offer]bool{}
	}
	z.byImage[image][o] = true
}

// Remove removes an offer that is in the zone.
func (z *Zone) Remove(o *Offer) {
	o.remove()
	for _, image := range o.images {
		delete(z.byImage[image], o)
		if len(z.byImage[image]) == 0 {
			delete(z.byImage, image)
		}
	}
}

// Allocate subtracts the needs of a task from an offer that is in the zone, and adds the image of the task, if not
// empty, to the pending images of the offer.
func (z *Zone) Allocate(o *Offer, needs Resources, image string) {
	o.remove()
	o.Free = o.Free.Plus(needs, -1)
	o.Idle = false
	z.insert(o)
	if image != "" && !slices.Contains(o.PendingImages, image) {
		o.PendingImages = append(o.PendingImages, image)
		o.images = append(o.images, image)
		z.indexImage(o, image)
	}
}

// FreeCapacity returns the weight of all free capacity in the zone.
func (z *Zone) FreeCapacity() float64 {
	return z.freeWeight(0, func(*bucket) bool { return true })
}

// freeFor returns the weight of the free capacity on the machines that suit a request and have enough
// whole GPUs free for one of its tasks, or maxIndexedGPUs.
func (z *Zone) freeFor(q *Request) float64 {
	return z.freeWeight(indexedGPUs(q.Needs.GPUs), func(b *bucket) bool { return b.suits(q) })
}

// freeWeight returns the weight of the free capacity on the machines with at least the given number of whole
// free GPUs, in the buckets for which include returns true.
func (z *Zone) freeWeight(gpus int, include func(*bucket) bool) float64 {
	sum := int64(0)
	for _, b := range z.buckets {
		if !include(b) {
			continue
		}
		for _, free := range b.freeByGPUs[min(gpus, len(b.freeByGPUs)):] {
			sum += free
		}
	}
	return float64(sum) / weightScale
}

// eachFit calls f for the offers that suit a request and have enough free GPUs for one of its tasks, bucket by
// bucket, those with the most free capacity first. When f returns false, it continues with the next bucket.
func (z *Zone) eachFit(q *Request, f func(*Offer) bool) {
	for _, b := range z.buckets {
		if !b.suits(q) {
			continue
		}
		b.offers.Ascend(func(o *Offer) bool {
			return o.Free.GPUs+tolerance >= q.Needs.GPUs && f(o) // sorted by GPUs, so later ones do not fit either
		})
	}
}
