// Package fleet decides which machines to rent and keeps track of the requests
// to the cloud.
package fleet

import (
	"fmt"
	"sort"

	"coralhub/internal/config"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// refusedPause is how long a kind of machine isn't asked for after the cloud
// had none of it.
const refusedPause = 10 * config.Second

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
	pending map[string]*request
	none    map[Kind]Micros // no capacity before then
}

type request struct {
	wire.Rent
	out     bool
	retryAt Micros
}

// New returns a Fleet without requests.
func New() *Fleet { return &Fleet{pending: map[string]*request{}, none: map[Kind]Micros{}} }

// Plan tells how many machines of each kind the needs call for beyond the
// booting ones. count tells how many machines of a kind there are.
func (f *Fleet) Plan(now Micros, needs []Need, booting []Kind, count map[Kind]int, types []*wire.MachineType) map[Kind]int {
	type box struct {
		kind Kind
		free zone.Res
	}
	full := map[string]zone.Res{}
	for _, t := range types {
		full[t.Name] = zone.Res{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
	}
	var boxes []box
	for _, k := range booting {
		boxes = append(boxes, box{k, full[k.Type]})
	}
	for _, p := range f.sorted() {
		for range p.Count {
			boxes = append(boxes, box{Kind{p.Type, p.Zone, p.Spot}, full[p.Type]})
		}
	}
	least := smallest(needs)
	rent := map[Kind]int{}
	for _, n := range needs {
		left := n.Count
		kept := boxes[:0]
		for _, b := range boxes {
			if left > 0 && n.Types[b.kind.Type] && (n.Spot || !b.kind.Spot) && (n.Zone == "" || n.Zone == b.kind.Zone) {
				fit := min(left, n.Task.Times(b.free))
				b.free = b.free.Plus(n.Task, -float64(fit))
				left -= fit
			}
			if least.Fits(b.free) { // what nothing fits into need not be looked at again
				kept = append(kept, b)
			}
		}
		boxes = kept
		for left > 0 {
			k, ok := f.cheapest(now, &n, rent, count, types)
			if !ok {
				break
			}
			rent[k]++
			fit := min(left, max(1, n.Task.Times(full[k.Type])))
			boxes = append(boxes, box{k, full[k.Type].Plus(n.Task, -float64(fit))})
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
		if !n.Types[t.Name] || !n.Task.Fits(zone.Res{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}) {
			continue
		}
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				k := Kind{t.Name, z, spot}
				if spot && !n.Spot || n.Zone != "" && n.Zone != z || f.none[k] > now {
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
			f.pending[name] = &request{Rent: wire.Rent{Name: name, Type: k.Type, Zone: k.Zone, Spot: k.Spot, Count: min(left, wire.MaxRent)}}
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

// Due lists the requests to send now.
func (f *Fleet) Due(now Micros) []wire.Rent {
	var due []wire.Rent
	for _, p := range f.sorted() {
		if !p.out && p.retryAt <= now {
			p.out = true
			due = append(due, p.Rent)
		}
	}
	return due
}

// Done settles a request that the cloud has answered for good.
func (f *Fleet) Done(now Micros, name string, got int, noCapacity bool) (wire.Rent, bool) {
	p := f.pending[name]
	if p == nil {
		return wire.Rent{}, false
	}
	delete(f.pending, name)
	if noCapacity || got < p.Count {
		f.none[Kind{p.Type, p.Zone, p.Spot}] = now + refusedPause
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
	out := make([]*request, 0, len(f.pending))
	for _, p := range f.pending {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
