package autoscaler

import (
	"flag"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Every run checks the same cases. Other values of -rapid.seed give other cases.
var _ = flag.Set("rapid.seed", "1")

var types = []*wire.MachineType{
	{Name: "t4", CPUs: 16, GPUs: 4, MemoryGB: 64, Price: 4, SpotPrice: 2, Zones: []string{"a", "b"}},
	{Name: "t8", CPUs: 32, GPUs: 8, MemoryGB: 128, Price: 9, SpotPrice: 3, Zones: []string{"a"}},
}

// planOneByOne is a reference implementation of Plan that packs each demand into each machine
// individually.
func planOneByOne(demands []Demand, booting []Pool, cheapest func(*Demand, map[Pool]int) (Pool, bool)) map[Pool]int {
	type machine struct {
		pool Pool
		free zone.Resources
	}
	capacity := map[string]zone.Resources{}
	for _, t := range types {
		capacity[t.Name] = zone.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
	}
	var machines []*machine
	for _, pool := range booting {
		machines = append(machines, &machine{pool, capacity[pool.Type]})
	}
	rentals := map[Pool]int{}
	for _, d := range demands {
		left := d.Count
		fill := func(m *machine) {
			placed := min(left, d.Task.Count(m.free))
			m.free = m.free.Plus(d.Task, -float64(placed))
			left -= placed
		}
		for _, m := range machines {
			if d.Types[m.pool.Type] && (d.Spot || !m.pool.Spot) && (d.Zone == "" || d.Zone == m.pool.Zone) {
				fill(m)
			}
		}
		for left > 0 {
			pool, ok := cheapest(&d, rentals)
			if !ok {
				break
			}
			rentals[pool]++
			m := &machine{pool, capacity[pool.Type]}
			machines = append(machines, m)
			fill(m)
		}
	}
	return rentals
}

func TestPlanAgreesWithPackingOneByOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shapes := []Demand{
			{Task: zone.Resources{CPUs: 5, GPUs: 1, MemoryGB: 9}, Spot: true},
			{Task: zone.Resources{CPUs: 16, GPUs: 4, MemoryGB: 60}},
			{Task: zone.Resources{CPUs: 3, GPUs: 0, MemoryGB: 20}, Zone: "b"},
			{Task: zone.Resources{CPUs: 7, GPUs: 2, MemoryGB: 16}, Zone: "a", Spot: true},
		}
		var demands []Demand
		for range rapid.IntRange(0, 30).Draw(t, "demands") {
			d := rapid.SampledFrom(shapes).Draw(t, "shape")
			d.Count = rapid.IntRange(1, 20).Draw(t, "tasks")
			d.Types = map[string]bool{"t4": true, "t8": rapid.Bool().Draw(t, "large")}
			demands = append(demands, d)
		}
		var booting []Pool
		for range rapid.IntRange(0, 20).Draw(t, "booting") {
			booting = append(booting, rapid.SampledFrom([]Pool{
				{"t4", "a", false},
				{"t4", "b", true},
				{"t8", "a", true},
			}).Draw(t, "pool"))
		}
		p := NewProvisioner(1000)
		if rapid.Bool().Draw(t, "scarce") {
			p.exhaustedUntil[Pool{"t4", "b", true}], p.exhaustedUntil[Pool{"t4", "b", false}] = 10, 10
		}
		got := p.Plan(1, demands, booting, map[Pool]int{}, types)
		want := planOneByOne(demands, booting, func(d *Demand, rentals map[Pool]int) (Pool, bool) {
			return p.cheapest(1, d, rentals, map[Pool]int{}, types)
		})
		if !maps.Equal(got, want) {
			t.Fatalf("planned %v, want %v", got, want)
		}
	})
}

// A demand that exceeds the capacity of any cloud leads to a limited number of requests, and to none
// for a pool once the cloud has no capacity there.
func TestPendingRequestsLimitedByCloudRate(t *testing.T) {
	p := NewProvisioner(8)
	demands := []Demand{{Task: zone.Resources{CPUs: 4, GPUs: 1}, Count: 1_000_000, Types: map[string]bool{"t4": true}}}
	plan := func(now Micros) {
		p.Enqueue(1, p.Plan(now, demands, nil, map[Pool]int{}, types))
	}
	plan(1)
	if len(p.pending) != 40 {
		t.Errorf("%d pending requests, want 40: a cloud that accepts 8 a second accepts 40 in 5 s", len(p.pending))
	}
	due := p.Due(1)
	if len(due) != maxInFlight || len(p.Due(1)) != 0 {
		t.Fatalf("%d requests in flight, want %d, and none due after that", len(due), maxInFlight)
	}
	p.Complete(2, due[0].Name, 0, true)
	for _, r := range p.pending {
		if !r.sent && r.Zone == due[0].Zone {
			t.Fatalf("%s is still to be sent for %s, which has no capacity", r.Name, r.Zone)
		}
	}
	sent := 0
	for _, r := range due[1:] { // requests that were sent may have been executed
		if p.pending[r.Name] != nil {
			sent++
		}
	}
	if sent != maxInFlight-1 {
		t.Errorf("%d of the other requests that were sent are still pending, want %d", sent, maxInFlight-1)
	}
	plan(2)
	for _, r := range p.pending {
		if !r.sent && r.Zone == due[0].Zone {
			t.Errorf("%s is for a pool without capacity", r.Name)
		}
	}
	if name := p.sorted()[0].Name; name != due[1].Name {
		t.Errorf("first pending request is %s, want %s", name, due[1].Name)
	}
}
