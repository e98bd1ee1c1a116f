// Package fleet decides which machines to rent and keeps track of the requests
// to the cloud.
package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"

	"coralhub/internal/config"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

const (
	// refusedPause is how long a kind of machine isn't asked for after the cloud
	// had none of it.
	refusedPause = 10 * config.Second
	// askAhead is how much is asked for at a time: what the cloud takes in so many
	// seconds. A flood's whole need at once, some 300 requests, kept the list of machines
	// and the return of dead ones waiting for a minute, though the first answer would
	// have said that there is nothing to rent.
	askAhead = 5
	// mostOut is how many requests are on their way at a time.
	mostOut = 8
)

// Kind is a type of machine in a zone, spot or ordinary.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// Need is work that found no room.
type Need struct {
	Task  zone.Res
	Count int
	Types map[string]bool
	Zone  string // the only zone allowed, if not empty
	Spot  bool
}

// Fleet is the state of the leader's dealings with the cloud.
type Fleet struct {
	seq     uint64
	most    int // requests that may be unanswered
	pending map[string]*request
	none    map[Kind]Micros // no capacity before then
}

type request struct {
	wire.Rent
	seq     uint64
	sent    bool // at least once
	out     bool
	retryAt Micros
}

func (r *request) kind() Kind { return Kind{r.Type, r.Zone, r.Spot} }

// New returns a Fleet without requests, to a cloud that takes so many a second.
func New(rps float64) *Fleet {
	return &Fleet{most: max(mostOut, int(rps*askAhead)), pending: map[string]*request{}, none: map[Kind]Micros{}}
}

// run is machines of one kind with the same room, one after the other.
type run struct {
	kind Kind
	free zone.Res
	n    int
}

// runs are machines in the order in which they are filled. What is alike is packed at
// once: neither 3,000 jobs that wait nor 1,250 machines that boot are gone through one by
// the other.
type runs []run

func (rs runs) add(k Kind, free zone.Res, n int) runs {
	if last := len(rs) - 1; last >= 0 && rs[last].kind == k && rs[last].free == free {
		rs[last].n += n
		return rs
	}
	return append(rs, run{k, free, n})
}

// pack puts a need's tasks where they fit, first come first filled. It returns what is
// left of the need and of the room; what nothing fits into need not be looked at again.
func (rs runs) pack(n *Need, least zone.Res) (left int, rest runs) {
	left = n.Count
	rest = make(runs, 0, len(rs)+1)
	keep := func(r run, tasks, count int) {
		if free := r.free.Plus(n.Task, -float64(tasks)); count > 0 && least.Fits(free) {
			rest = rest.add(r.kind, free, count)
		}
	}
	for _, r := range rs {
		each := 0
		if left > 0 && n.suits(r.kind) {
			each = n.Task.Times(r.free)
		}
		filled, partly := 0, 0
		if each > 0 {
			if filled = min(r.n, left/each); filled < r.n && left > filled*each {
				partly = left - filled*each
			}
		}
		keep(r, each, filled)
		if partly > 0 {
			keep(r, partly, 1)
			filled++
			left -= partly - each
		}
		left -= filled * each
		keep(r, 0, r.n-filled)
	}
	return left, rest
}

// merge makes one of needs that follow each other and ask for the same.
func merge(needs []Need) []Need {
	var out []Need
	for _, n := range needs {
		if last := len(out) - 1; last >= 0 && out[last].like(&n) {
			out[last].Count += n.Count
			continue
		}
		out = append(out, n)
	}
	return out
}

// suits tells whether a kind of machine will do for a need, whatever its size.
func (n *Need) suits(k Kind) bool {
	return n.Types[k.Type] && (n.Spot || !k.Spot) && (n.Zone == "" || n.Zone == k.Zone)
}

func (n *Need) like(o *Need) bool {
	return n.Task == o.Task && n.Zone == o.Zone && n.Spot == o.Spot && maps.Equal(n.Types, o.Types)
}

// Plan tells how many machines of each kind the needs call for beyond the
// booting ones, and no more than may be asked for now. count tells how many machines of
// a kind there are.
func (f *Fleet) Plan(now Micros, needs []Need, booting []Kind, count map[Kind]int, types []*wire.MachineType) map[Kind]int {
	full := map[string]zone.Res{}
	for _, t := range types {
		full[t.Name] = zone.Res{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
	}
	var room runs
	for _, k := range booting {
		room = room.add(k, full[k.Type], 1)
	}
	for _, p := range f.sorted() {
		room = room.add(p.kind(), full[p.Type], p.Count)
	}
	requests := len(f.pending)
	least := smallest(needs)
	rent := map[Kind]int{}
	for _, n := range merge(needs) {
		var left int
		left, room = room.pack(&n, least)
		for left > 0 {
			k, ok := f.cheapest(now, &n, rent, count, types)
			if !ok {
				break
			}
			if rent[k]%wire.MaxRent == 0 {
				if requests >= f.most {
					return rent
				}
				requests++
			}
			rent[k]++
			fit := min(left, max(1, n.Task.Times(full[k.Type])))
			room = room.add(k, full[k.Type].Plus(n.Task, -float64(fit)), 1)
			left -= fit
		}
	}
	return rent
}

// smallest is no larger than any of the needs' tasks in any respect.
func smallest(needs []Need) zone.Res {
	var least zone.Res
	for i, n := range needs {
		if i == 0 {
			least = n.Task
		}
		least = zone.Res{CPUs: min(least.CPUs, n.Task.CPUs), GPUs: min(least.GPUs, n.Task.GPUs), MemoryGB: min(least.MemoryGB, n.Task.MemoryGB)}
	}
	return least
}

// cheapest picks the kind of machine for a task: the lowest price for it, then
// the zone with the fewest machines.
func (f *Fleet) cheapest(now Micros, n *Need, rent, count map[Kind]int, types []*wire.MachineType) (best Kind, ok bool) {
	bestPrice := 0.0
	for _, t := range types {
		if !n.Task.Fits(zone.Res{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}) {
			continue
		}
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				k := Kind{t.Name, z, spot}
				if !n.suits(k) || f.none[k] > now {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				if !ok || price < bestPrice || price == bestPrice && rent[k]+count[k] < rent[best]+count[best] {
					best, bestPrice, ok = k, price, true
				}
			}
		}
	}
	return best, ok
}

// Ask makes the requests for what Plan found. Their names carry the token,
// so that no other leader ever uses them.
func (f *Fleet) Ask(token uint64, rent map[Kind]int) {
	kinds := make([]Kind, 0, len(rent))
	for k := range rent {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return less(kinds[i], kinds[j]) })
	for _, k := range kinds {
		for left := rent[k]; left > 0; left -= wire.MaxRent {
			f.seq++
			name := fmt.Sprintf("r-%d-%d", token, f.seq)
			f.pending[name] = &request{seq: f.seq, Rent: wire.Rent{Name: name, Type: k.Type, Zone: k.Zone, Spot: k.Spot, Count: min(left, wire.MaxRent)}}
		}
	}
}

func less(a, b Kind) bool {
	if a.Type != b.Type {
		return a.Type < b.Type
	}
	if a.Zone != b.Zone {
		return a.Zone < b.Zone
	}
	return a.Spot && !b.Spot
}

// Due lists the requests to send now, in the order in which they were made.
func (f *Fleet) Due(now Micros) []wire.Rent {
	out := 0
	for _, p := range f.pending {
		if p.out {
			out++
		}
	}
	var due []wire.Rent
	for _, p := range f.sorted() {
		if out+len(due) >= mostOut {
			break
		}
		if !p.out && p.retryAt <= now {
			p.out, p.sent = true, true
			due = append(due, p.Rent)
		}
	}
	return due
}

// Done settles a request that the cloud has answered for good. If it had no more of the
// kind, others for it that were never sent are dropped: the next plan may ask for another
// kind. One that was sent may have been executed, and its name is what finds out.
func (f *Fleet) Done(now Micros, name string, got int, noCapacity bool) (wire.Rent, bool) {
	p := f.pending[name]
	if p == nil {
		return wire.Rent{}, false
	}
	delete(f.pending, name)
	if noCapacity || got < p.Count {
		f.none[p.kind()] = now + refusedPause
		maps.DeleteFunc(f.pending, func(_ string, o *request) bool { return !o.sent && o.kind() == p.kind() })
	}
	return p.Rent, true
}

// Retry sends a request again later, under its name: if it was executed after
// all, the cloud gives the same answer and rents nothing.
func (f *Fleet) Retry(now Micros, name string) {
	if p := f.pending[name]; p != nil {
		p.out, p.retryAt = false, now+config.Second
	}
}

func (f *Fleet) sorted() []*request {
	return slices.SortedFunc(maps.Values(f.pending), func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
}
