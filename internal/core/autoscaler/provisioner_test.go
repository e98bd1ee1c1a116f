package autoscaler

import (
	"flag"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// The same cases every run; -rapid.seed draws others.
var _ = flag.Set("rapid.seed", "1")

var types = []*wire.MachineType{
	{Name: "t4", CPUs: 16, GPUs: 4, MemoryGB: 64, Price: 4, SpotPrice: 2, Zones: []string{"a", "b"}},
	{Name: "t8", CPUs: 32, GPUs: 8, MemoryGB: 128, Price: 9, SpotPrice: 3, Zones: []string{"a"}},
}

// oneByOne packs every need into every machine by itself.
func oneByOne(needs []Demand, booting []Pool, cheapest func(*Demand, map[Pool]int) (Pool, bool)) map[Pool]int {
	type box struct {
		kind Pool
		free zone.Resources
	}
	full := map[string]zone.Resources{}
	for _, t := range types {
		full[t.Name] = zone.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
	}
	var boxes []*box
	for _, k := range booting {
		boxes = append(boxes, &box{k, full[k.Type]})
	}
	rent := map[Pool]int{}
	for _, n := range needs {
		left := n.Count
		fill := func(b *box) {
			fit := min(left, n.Task.Count(b.free))
			b.free = b.free.Plus(n.Task, -float64(fit))
			left -= fit
		}
		for _, b := range boxes {
			if n.Types[b.kind.Type] && (n.Spot || !b.kind.Spot) && (n.Zone == "" || n.Zone == b.kind.Zone) {
				fill(b)
			}
		}
		for left > 0 {
			k, ok := cheapest(&n, rent)
			if !ok {
				break
			}
			rent[k]++
			b := &box{k, full[k.Type]}
			boxes = append(boxes, b)
			fill(b)
		}
	}
	return rent
}

func TestPlanAgreesWithPackingOneByOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shapes := []Demand{
			{Task: zone.Resources{CPUs: 5, GPUs: 1, MemoryGB: 9}, Spot: true},
			{Task: zone.Resources{CPUs: 16, GPUs: 4, MemoryGB: 60}},
			{Task: zone.Resources{CPUs: 3, GPUs: 0, MemoryGB: 20}, Zone: "b"},
			{Task: zone.Resources{CPUs: 7, GPUs: 2, MemoryGB: 16}, Zone: "a", Spot: true},
		}
		var needs []Demand
		for range rapid.IntRange(0, 30).Draw(t, "needs") {
			n := rapid.SampledFrom(shapes).Draw(t, "shape")
			n.Count = rapid.IntRange(1, 20).Draw(t, "tasks")
			n.Types = map[string]bool{"t4": true, "t8": rapid.Bool().Draw(t, "large")}
			needs = append(needs, n)
		}
		var booting []Pool
		for range rapid.IntRange(0, 20).Draw(t, "booting") {
			booting = append(booting, rapid.SampledFrom([]Pool{{"t4", "a", false}, {"t4", "b", true}, {"t8", "a", true}}).Draw(t, "kind"))
		}
		f := NewProvisioner(1000)
		if rapid.Bool().Draw(t, "scarce") {
			f.exhaustedUntil[Pool{"t4", "b", true}], f.exhaustedUntil[Pool{"t4", "b", false}] = 10, 10
		}
		got := f.Plan(1, needs, booting, map[Pool]int{}, types)
		want := oneByOne(needs, booting, func(n *Demand, rent map[Pool]int) (Pool, bool) { return f.cheapest(1, n, rent, map[Pool]int{}, types) })
		if !maps.Equal(got, want) {
			t.Fatalf("%v, should be %v", got, want)
		}
	})
}

// A need that no cloud could fill leads to a few requests, and to none any more for a kind
// of which there is nothing.
func TestAsksNoMoreThanTheCloudTakes(t *testing.T) {
	f := NewProvisioner(8)
	need := []Demand{{Task: zone.Resources{CPUs: 4, GPUs: 1}, Count: 1_000_000, Types: map[string]bool{"t4": true}}}
	plan := func(now Micros) {
		f.Enqueue(1, f.Plan(now, need, nil, map[Pool]int{}, types))
	}
	plan(1)
	if len(f.pending) != 40 {
		t.Errorf("%d requests, a cloud that takes 8 a second takes 40 in 5 s", len(f.pending))
	}
	due := f.Due(1)
	if len(due) != maxInFlight || len(f.Due(1)) != 0 {
		t.Fatalf("%d requests on their way", len(due))
	}
	f.Complete(2, due[0].Name, 0, true)
	for _, p := range f.pending {
		if !p.sent && p.Zone == due[0].Zone {
			t.Fatalf("%s is still to be asked for in %s, where there is nothing", p.Name, p.Zone)
		}
	}
	sent := 0
	for _, r := range due[1:] { // what was sent may have been executed
		if f.pending[r.Name] != nil {
			sent++
		}
	}
	if sent != maxInFlight-1 {
		t.Errorf("%d of the others are still known", sent)
	}
	plan(2)
	for _, p := range f.pending {
		if !p.sent && p.Zone == due[0].Zone {
			t.Errorf("%s asks for what there is nothing of", p.Name)
		}
	}
	if name := f.sorted()[0].Name; name != due[1].Name {
		t.Errorf("first is %s", name)
	}
}
