package zone

import (
	"cmp"
	"math"
	"slices"

	"github.com/google/btree"
)

// kind is what the rooms of a shelf have in common: what a request asks for or goes by
// before it compares what is free.
type kind struct {
	typ        string
	spot, idle bool
}

func (a kind) compare(b kind) int {
	bit := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.typ, b.typ), bit(a.spot)-bit(b.spot), bit(a.idle)-bit(b.idle))
}

// shelf holds the rooms of a kind, those with most room first: a bid looks at as many as
// it has tasks, however many there are.
type shelf struct {
	kind
	rooms  *btree.BTreeG[*Room]
	levels []int64 // what is free, in millionths of a weight, by whole free GPUs of a room
}

// degree is how many rooms a node of the tree holds about half of.
const degree = 16

// roomiest orders rooms of a kind. It goes by nothing that changes while a room is on its
// shelf.
func roomiest(a, b *Room) bool {
	return cmp.Or(cmp.Compare(b.Free.GPUs, a.Free.GPUs), cmp.Compare(b.Free.CPUs, a.Free.CPUs), cmp.Compare(a.Machine.Name, b.Machine.Name)) < 0
}

func (s *shelf) suits(q *Request) bool { return q.Types[s.typ] && (q.Spot || !s.spot) }

func (r *Room) level() int { return max(0, int(r.Free.GPUs+slack)) }

func (s *shelf) weigh(r *Room, times int64) {
	for len(s.levels) <= r.level() {
		s.levels = append(s.levels, 0)
	}
	s.levels[r.level()] += times * int64(math.Round(r.Free.Weight()*1e6))
}

// shelve puts a room where it belongs.
func (z *Zone) shelve(r *Room) {
	k := kind{r.Machine.Type, r.Machine.Spot, r.Idle}
	i, ok := slices.BinarySearchFunc(z.shelves, k, func(s *shelf, k kind) int { return s.compare(k) })
	if !ok {
		z.shelves = slices.Insert(z.shelves, i, &shelf{kind: k, rooms: btree.NewG(degree, roomiest)})
	}
	r.shelf = z.shelves[i]
	r.shelf.rooms.ReplaceOrInsert(r)
	r.shelf.weigh(r, 1)
}

func (r *Room) unshelve() {
	r.shelf.rooms.Delete(r)
	r.shelf.weigh(r, -1)
}

// Put takes a room that is not in the zone.
func (z *Zone) Put(r *Room) {
	z.shelve(r)
	if z.warm == nil {
		z.warm = map[string]map[*Room]bool{}
	}
	r.images = append(r.Machine.Cache.Names(), r.Coming...)
	for _, image := range r.images {
		z.index(r, image)
	}
}

func (z *Zone) index(r *Room, image string) {
	if z.warm[image] == nil {
		z.warm[image] = map[*Room]bool{}
	}
	z.warm[image][r] = true
}

// Drop gives up a room that is in the zone.
func (z *Zone) Drop(r *Room) {
	r.unshelve()
	for _, image := range r.images {
		if delete(z.warm[image], r); len(z.warm[image]) == 0 {
			delete(z.warm, image)
		}
	}
}

// Use takes what a task with an image needs from a room that is in the zone.
func (z *Zone) Use(r *Room, needs Res, image string) {
	r.unshelve()
	r.Free, r.Idle = r.Free.Plus(needs, -1), false
	z.shelve(r)
	if image != "" && !slices.Contains(r.Coming, image) {
		r.Coming = append(r.Coming, image)
		r.images = append(r.images, image)
		z.index(r, image)
	}
}

// Free adds up the room that is left in the zone.
func (z *Zone) Free() float64 { return z.free(0, func(*shelf) bool { return true }) }

// roomFor adds up what is free where there are enough whole GPUs for a request.
func (z *Zone) roomFor(q *Request) float64 {
	return z.free(int(q.Needs.GPUs), func(s *shelf) bool { return s.suits(q) })
}

func (z *Zone) free(level int, counts func(*shelf) bool) float64 {
	sum := int64(0)
	for _, s := range z.shelves {
		if !counts(s) {
			continue
		}
		for _, free := range s.levels[min(level, len(s.levels)):] {
			sum += free
		}
	}
	return float64(sum) / 1e6
}

// eachFit calls f for the rooms that suit a request and have its GPUs free, shelf by shelf,
// the roomiest first. Once f returns false the next shelf follows.
func (z *Zone) eachFit(q *Request, f func(*Room) bool) {
	for _, s := range z.shelves {
		if !s.suits(q) {
			continue
		}
		s.rooms.Ascend(func(r *Room) bool {
			return r.Free.GPUs+slack >= q.Needs.GPUs && f(r) // those that follow have no more
		})
	}
}

// offers lists the rooms that a request may come to: the roomiest of each shelf, as many as
// it has tasks, and those that have its image. Any other room would only be used after one
// of these.
func (z *Zone) offers(now Micros, q *Request) offers {
	var out offers
	add := func(r *Room) bool {
		if r.offered || !q.Needs.Fits(r.Free) || !q.mayUse(now, r) {
			return false
		}
		r.offered = true
		out = append(out, offer{r, r.Free, r.near(q)})
		return true
	}
	var on *shelf
	left := 0
	z.eachFit(q, func(r *Room) bool {
		if r.shelf != on {
			on, left = r.shelf, q.Count
		}
		if add(r) {
			left--
		}
		return left > 0
	})
	for r := range z.warm[q.Image] { // in any order: the best are picked by one that knows no ties
		if r.shelf.suits(q) {
			add(r)
		}
	}
	for i := range out {
		out[i].offered = false
	}
	return out
}
