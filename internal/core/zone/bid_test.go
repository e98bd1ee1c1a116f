package zone

import (
	"flag"
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Every run checks the same cases; -rapid.seed selects others.
var _ = flag.Set("rapid.seed", "1")

// newOffer returns an offer of a machine with free GPUs and cached images.
func newOffer(name string, gpus float64, images ...string) *Offer {
	m := New(name, "", "t", "a", false, 0)
	for _, image := range images {
		m.Images.Restore([]string{image})
	}
	return &Offer{Machine: m, Free: Resources{CPUs: 16, GPUs: gpus, MemoryGB: 64}}
}

// newZone returns a zone with offers and victims.
func newZone(victims []*Victim, offers ...*Offer) *Zone {
	SortByLoss(victims)
	z := &Zone{Name: "a", Victims: func() []*Victim { return victims }}
	for _, o := range offers {
		z.Add(o)
	}
	return z
}

// machineNames returns the machines that a bid places its tasks on.
func machineNames(b *Bid) []string {
	var out []string
	for _, o := range b.Offers {
		out = append(out, o.Machine.Name)
	}
	return out
}

// newRequest returns a request for count tasks with the given number of GPUs each. allOrNothing is set for a gang.
func newRequest(gpus float64, count int, allOrNothing bool) *Request {
	return &Request{
		Job:          "j-9",
		Needs:        Resources{CPUs: 1, GPUs: gpus, MemoryGB: 1},
		Count:        count,
		AllOrNothing: allOrNothing,
		Types:        map[string]bool{"t": true},
		Image:        "i",
	}
}

func TestPlanUsesMostFreeMachinesFirst(t *testing.T) {
	z := newZone(nil, newOffer("m1", 2), newOffer("m2", 4), newOffer("m3", 3))
	bid := z.Plan(1, newRequest(1, 3, false))
	if bid == nil || !reflect.DeepEqual(machineNames(bid), []string{"m2", "m3", "m2"}) {
		t.Fatalf("%+v", bid)
	}
	if z.Plan(1, newRequest(4, 2, true)) != nil {
		t.Fatal("part of a gang was placed")
	}
	if bid := z.Plan(1, newRequest(1, 20, false)); len(bid.Offers) != 9 {
		t.Fatalf("%d tasks placed on 9 GPUs, want 9", len(bid.Offers))
	}
}

func TestPlanPrefersCachedImages(t *testing.T) {
	bid := newZone(nil, newOffer("m1", 4), newOffer("m2", 1, "i")).Plan(1, newRequest(1, 1, false))
	if machineNames(bid)[0] != "m2" || bid.CachedImages != 1 {
		t.Fatalf("%+v", bid)
	}
}

// planExhaustively is a reference implementation of Zone.Plan without preemption that examines every offer for every
// task.
func planExhaustively(offers map[string]*Offer, q *Request) *Bid {
	bid := &Bid{}
	used := map[*Offer]Resources{}
	for len(bid.Offers) < q.Count {
		var best *candidate
		for _, o := range offers {
			c := &candidate{o, o.Free.Plus(used[o], -1), o.imageStateFor(q)}
			if _, taken := used[o]; taken && q.ShareFetches {
				c.imageState = max(c.imageState, imagePending)
			}
			if (q.Spot || !o.Machine.Spot) && q.mayUse(1, o) && q.Needs.Fits(c.free) && (best == nil || c.better(best)) {
				best = c
			}
		}
		if best == nil {
			break
		}
		used[best.Offer] = used[best.Offer].Plus(q.Needs, 1)
		bid.Offers = append(bid.Offers, best.Offer)
		if best.imageState == imageCached {
			bid.CachedImages++
		}
	}
	if len(bid.Offers) == q.Count || len(bid.Offers) > 0 && !q.AllOrNothing {
		return bid
	}
	return nil
}

// A zone that persists between cycles makes the same bid as an examination of every offer, in whatever order
// its offers were added, replaced, allocated and removed.
func TestUpdatedZoneAgreesWithExhaustivePlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := &Zone{Name: "a"}
		offers := map[string]*Offer{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprint("m", rapid.IntRange(0, 14).Draw(t, "machine"))
			action := rapid.IntRange(0, 6).Draw(t, "action")
			old := offers[name]
			if old != nil && action > 4 {
				zone.Allocate(old, Resources{CPUs: 1, GPUs: float64(rapid.IntRange(0, 2).Draw(t, "used")) / 2},
					[]string{"", "i1", "i2"}[i%3])
				continue
			}
			if old != nil {
				zone.Remove(old)
				delete(offers, name)
			}
			if action > 0 {
				o := newOffer(name, float64(rapid.IntRange(0, 8).Draw(t, "gpus"))/2, fmt.Sprint("i", i%2))
				o.Machine.Spot, o.Idle, o.Reserved = i%3 == 0, i%5 == 0, i%7 == 0
				if i%4 == 0 {
					o.PendingImages = []string{"i1"}
				}
				offers[name] = o
				zone.Add(o)
			}
		}
		q := newRequest(float64(rapid.IntRange(0, 6).Draw(t, "needs"))/2,
			rapid.IntRange(1, 9).Draw(t, "count"), rapid.Bool().Draw(t, "gang"))
		q.Image, q.Spot = "i1", rapid.Bool().Draw(t, "spot")
		q.ShareFetches = rapid.Bool().Draw(t, "share fetches")
		q.Avoid, q.ReservedMachines = map[string]Micros{"m3": 9}, map[string]bool{"m4": true}
		a, b := zone.Plan(1, q), planExhaustively(offers, q)
		if (a == nil) != (b == nil) ||
			a != nil && (a.CachedImages != b.CachedImages || !slices.Equal(machineNames(a), machineNames(b))) {
			t.Fatalf("bid %+v, want %+v", a, b)
		}
		sum := 0.0
		for _, o := range offers {
			sum += o.Free.Weight()
		}
		if math.Abs(sum-zone.FreeCapacity()) > 1e-6 {
			t.Fatalf("FreeCapacity() = %v, want %v", zone.FreeCapacity(), sum)
		}
	})
}
