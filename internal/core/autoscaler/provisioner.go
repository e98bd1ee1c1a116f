// Package autoscaler decides which machines to rent and keeps track of the requests
// to the cloud.
package autoscaler

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
	// exhaustedBackoff is how long a kind of machine isn't asked for after the cloud
	// had none of it.
	exhaustedBackoff = 10 * config.Second
	// lookaheadSeconds is how much is asked for at a time: what the cloud takes in so many
	// seconds. A flood's whole need at once, some 300 requests, kept the list of machines
	// and the return of dead ones waiting for a minute, though the first answer would
	// have said that there is nothing to rent.
	lookaheadSeconds = 5
	// maxInFlight is how many requests are on their way at a time.
	maxInFlight = 8
)

// Pool is a type of machine in a zone, spot or ordinary.
type Pool struct {
	Type, Zone string
	Spot       bool
}

// Demand is work that found no room.
type Demand struct {
	Task  zone.Resources
	Count int
	Types map[string]bool
	Zone  string // the only zone allowed, if not empty
	Spot  bool
}

// Provisioner is the state of the leader's dealings with the cloud.
type Provisioner struct {
	seq            uint64
	maxPending     int // requests that may be unanswered
	pending        map[string]*request
	exhaustedUntil map[Pool]Micros // no capacity before then
}

type request struct {
	wire.RentalRequest
	seq      uint64
	sent     bool // at least once
	inFlight bool
	retryAt  Micros
}

func (r *request) pool() Pool { return Pool{r.Type, r.Zone, r.Spot} }

// NewProvisioner returns a Fleet without requests, to a cloud that takes so many a second.
func NewProvisioner(rps float64) *Provisioner {
	return &Provisioner{maxPending: max(maxInFlight, int(rps*lookaheadSeconds)), pending: map[string]*request{}, exhaustedUntil: map[Pool]Micros{}}
}

// run is machines of one kind with the same room, one after the other.
type run struct {
	pool  Pool
	free  zone.Resources
	count int
}

// runs are machines in the order in which they are filled. What is alike is packed at
// once: neither 3,000 jobs that wait nor 1,250 machines that boot are gone through one by
// the other.
type runs []run

func (rs runs) add(k Pool, free zone.Resources, n int) runs {
	if last := len(rs) - 1; last >= 0 && rs[last].pool == k && rs[last].free == free {
		rs[last].count += n
		return rs
	}
	return append(rs, run{k, free, n})
}

// pack puts a need's tasks where they fit, first come first filled. It returns what is
// left of the need and of the room; what nothing fits into need not be looked at again.
func (rs runs) pack(n *Demand, least zone.Resources) (left int, rest runs) {
	left = n.Count
	rest = make(runs, 0, len(rs)+1)
	keep := func(r run, tasks, count int) {
		if free := r.free.Plus(n.Task, -float64(tasks)); count > 0 && least.Fits(free) {
			rest = rest.add(r.pool, free, count)
		}
	}
	for _, r := range rs {
		each := 0
		if left > 0 && n.suits(r.pool) {
			each = n.Task.Count(r.free)
		}
		filled, partly := 0, 0
		if each > 0 {
			if filled = min(r.count, left/each); filled < r.count && left > filled*each {
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
		keep(r, 0, r.count-filled)
	}
	return left, rest
}

// merge makes one of needs that follow each other and ask for the same.
func merge(needs []Demand) []Demand {
	var out []Demand
	for _, n := range needs {
		if last := len(out) - 1; last >= 0 && out[last].sameAs(&n) {
			out[last].Count += n.Count
			continue
		}
		out = append(out, n)
	}
	return out
}

// suits tells whether a kind of machine will do for a need, whatever its size.
func (n *Demand) suits(k Pool) bool {
	return n.Types[k.Type] && (n.Spot || !k.Spot) && (n.Zone == "" || n.Zone == k.Zone)
}

func (n *Demand) sameAs(o *Demand) bool {
	return n.Task == o.Task && n.Zone == o.Zone && n.Spot == o.Spot && maps.Equal(n.Types, o.Types)
}

// Plan tells how many machines of each kind the needs call for beyond the
// booting ones, and no more than may be asked for now. count tells how many machines of
// a kind there are.
func (f *Provisioner) Plan(now Micros, needs []Demand, booting []Pool, count map[Pool]int, types []*wire.MachineType) map[Pool]int {
	full := map[string]zone.Resources{}
	for _, t := range types {
		full[t.Name] = zone.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
	}
	var room runs
	for _, k := range booting {
		room = room.add(k, full[k.Type], 1)
	}
	for _, p := range f.sorted() {
		room = room.add(p.pool(), full[p.Type], p.Count)
	}
	requests := len(f.pending)
	least := smallest(needs)
	rent := map[Pool]int{}
	for _, n := range merge(needs) {
		var left int
		left, room = room.pack(&n, least)
		for left > 0 {
			k, ok := f.cheapest(now, &n, rent, count, types)
			if !ok {
				break
			}
			if rent[k]%wire.MaxRental == 0 {
				if requests >= f.maxPending {
					return rent
				}
				requests++
			}
			rent[k]++
			fit := min(left, max(1, n.Task.Count(full[k.Type])))
			room = room.add(k, full[k.Type].Plus(n.Task, -float64(fit)), 1)
			left -= fit
		}
	}
	return rent
}

// smallest is no larger than any of the needs' tasks in any respect.
func smallest(needs []Demand) zone.Resources {
	var least zone.Resources
	for i, n := range needs {
		if i == 0 {
			least = n.Task
		}
		least = zone.Resources{CPUs: min(least.CPUs, n.Task.CPUs), GPUs: min(least.GPUs, n.Task.GPUs), MemoryGB: min(least.MemoryGB, n.Task.MemoryGB)}
	}
	return least
}

// cheapest picks the kind of machine for a task: the lowest price for it, then
// the zone with the fewest machines.
func (f *Provisioner) cheapest(now Micros, n *Demand, rent, count map[Pool]int, types []*wire.MachineType) (best Pool, ok bool) {
	bestPrice := 0.0
	for _, t := range types {
		if !n.Task.Fits(zone.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}) {
			continue
		}
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				k := Pool{t.Name, z, spot}
				if !n.suits(k) || f.exhaustedUntil[k] > now {
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

// Enqueue makes the requests for what Plan found. Their names carry the token,
// so that no other leader ever uses them.
func (f *Provisioner) Enqueue(token uint64, rent map[Pool]int) {
	kinds := make([]Pool, 0, len(rent))
	for k := range rent {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return less(kinds[i], kinds[j]) })
	for _, k := range kinds {
		for left := rent[k]; left > 0; left -= wire.MaxRental {
			f.seq++
			name := fmt.Sprintf("r-%d-%d", token, f.seq)
			f.pending[name] = &request{seq: f.seq, RentalRequest: wire.RentalRequest{Name: name, Type: k.Type, Zone: k.Zone, Spot: k.Spot, Count: min(left, wire.MaxRental)}}
		}
	}
}

func less(a, b Pool) bool {
	if a.Type != b.Type {
		return a.Type < b.Type
	}
	if a.Zone != b.Zone {
		return a.Zone < b.Zone
	}
	return a.Spot && !b.Spot
}

// Due lists the requests to send now, in the order in which they were made.
func (f *Provisioner) Due(now Micros) []wire.RentalRequest {
	out := 0
	for _, p := range f.pending {
		if p.inFlight {
			out++
		}
	}
	var due []wire.RentalRequest
	for _, p := range f.sorted() {
		if out+len(due) >= maxInFlight {
			break
		}
		if !p.inFlight && p.retryAt <= now {
			p.inFlight, p.sent = true, true
			due = append(due, p.RentalRequest)
		}
	}
	return due
}

// Complete settles a request that the cloud has answered for good. If it had no more of the
// kind, others for it that were never sent are dropped: the next plan may ask for another
// kind. One that was sent may have been executed, and its name is what finds out.
func (f *Provisioner) Complete(now Micros, name string, got int, noCapacity bool) (wire.RentalRequest, bool) {
	p := f.pending[name]
	if p == nil {
		return wire.RentalRequest{}, false
	}
	delete(f.pending, name)
	if noCapacity || got < p.Count {
		f.exhaustedUntil[p.pool()] = now + exhaustedBackoff
		maps.DeleteFunc(f.pending, func(_ string, o *request) bool { return !o.sent && o.pool() == p.pool() })
	}
	return p.RentalRequest, true
}

// Retry sends a request again later, under its name: if it was executed after
// all, the cloud gives the same answer and rents nothing.
func (f *Provisioner) Retry(now Micros, name string) {
	if p := f.pending[name]; p != nil {
		p.inFlight, p.retryAt = false, now+config.Second
	}
}

func (f *Provisioner) sorted() []*request {
	return slices.SortedFunc(maps.Values(f.pending), func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
}
