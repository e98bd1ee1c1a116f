package zone

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The example from MAST (Choudhury et al., OSDI 2024): of victims with 4, 5 and 12 GPUs, only the largest is
// preempted for a request of 10 GPUs.
func TestPreemptionKeepsTheLargest(t *testing.T) {
	o := newOffer("m1", 0)
	var victims []*Victim
	for i, gpus := range []float64{4, 5, 12} {
		victims = append(victims, &Victim{Job: string(rune('a' + i)), Level: 1, Since: Micros(i),
			Reclaims: []Reclaim{{o, Resources{GPUs: gpus}}}})
	}
	q := newRequest(10, 1, true)
	q.MayPreempt = func(*Victim) bool { return true }
	bid := newZone(victims, o).Plan(1, q)
	if bid == nil || len(bid.Victims) != 1 || bid.Victims[0].Job != "c" {
		t.Fatalf("%+v", bid)
	}
}

func TestPreemptionTakesLowestPriorityFirst(t *testing.T) {
	o := newOffer("m1", 0)
	one := []Reclaim{{o, Resources{GPUs: 1}}}
	victims := []*Victim{
		{Job: "normal", Level: 2, Since: 1, Reclaims: one},
		{Job: "young", Level: 1, Since: 9, Reclaims: one},
		{Job: "old", Level: 1, Since: 2, Reclaims: one},
	}
	q := newRequest(1, 1, false)
	q.MayPreempt = func(v *Victim) bool { return v.Level < 2 }
	bid := newZone(victims, o).Plan(1, q)
	if bid == nil || len(bid.Victims) != 1 || bid.Victims[0].Job != "old" {
		t.Fatalf("%+v", bid)
	}
	if b := (&Bid{Offers: []*Offer{o}, Victims: bid.Victims}); b.BetterThan(&Bid{Offers: []*Offer{o}}) {
		t.Error("BetterThan() = true for a bid with victims compared with one without")
	}
}

// A gang on two machines is one victim, and the gang that preempts it gets both machines.
func TestPreemptionOfGangs(t *testing.T) {
	a, b, c := newOffer("m1", 0), newOffer("m2", 0), newOffer("m3", 0)
	victims := []*Victim{
		{Job: "small", Task: -1, Level: 1, Since: 1, Reclaims: []Reclaim{{c, Resources{GPUs: 4}}}},
		{Job: "gang", Task: -1, Level: 1, Since: 2, Reclaims: []Reclaim{{a, Resources{GPUs: 4}}, {b, Resources{GPUs: 4}}}},
	}
	q := newRequest(4, 2, true)
	q.MayPreempt = func(*Victim) bool { return true }
	bid := newZone(victims, a, b, c).Plan(9, q)
	if bid == nil || len(bid.Victims) != 1 || bid.Victims[0].Job != "gang" ||
		!reflect.DeepEqual(machineNames(bid), []string{"m1", "m2"}) {
		t.Fatalf("%+v", bid)
	}
	q.Count = 4
	if bid := newZone(victims, a, b, c).Plan(9, q); bid != nil {
		t.Fatalf("bid beyond the capacity of the zone: %+v", bid)
	}
}

// The work with the least loss is preempted first, and work without a recent checkpoint last. The order in the MAST
// paper, longest running first, assumes cheap checkpoints.
func TestPreemptionTakesLeastLossFirst(t *testing.T) {
	o := newOffer("m1", 0)
	one := []Reclaim{{o, Resources{GPUs: 1}}}
	victims := []*Victim{{Job: "long", Level: 1, Since: 1, Loss: 90, Reclaims: one},
		{Job: "short", Level: 1, Since: 80, Loss: 11, Reclaims: one}}
	q := newRequest(1, 1, false)
	q.MayPreempt = func(*Victim) bool { return true }
	if bid := newZone(victims, o).Plan(91, q); bid == nil || len(bid.Victims) != 1 || bid.Victims[0].Job != "short" {
		t.Fatalf("%+v", bid)
	}
	victims = append(victims, &Victim{Job: "saves", Level: 1, Since: 1, Reclaims: one})
	if bid := newZone(victims, o).Plan(91, q); bid == nil || len(bid.Victims) != 1 || bid.Victims[0].Job != "saves" {
		t.Fatalf("%+v", bid)
	}
}

// victimsExhaustively is a reference implementation of the choice of victims that recounts the free capacity of every
// machine for each victim.
func victimsExhaustively(z *Zone, offers map[string]*Offer, q *Request) (victims []*Victim) {
	want := 1
	if q.AllOrNothing {
		want = q.Count
	}
	fit := func(preempted []*Victim) int {
		n := 0
		for _, o := range offers {
			free := o.Free
			for _, v := range preempted {
				for _, t := range v.Reclaims {
					if t.Offer == o {
						free = free.Plus(t.Resources, 1)
					}
				}
			}
			if (q.Spot || !o.Machine.Spot) && q.mayUse(1, o) {
				n += q.Needs.Count(free)
			}
		}
		return n
	}
	for _, v := range z.Victims() {
		if fit(victims) >= want {
			break
		}
		suitable := slices.ContainsFunc(v.Reclaims, func(t Reclaim) bool {
			return (q.Spot || !t.Offer.Machine.Spot) && q.mayUse(1, t.Offer)
		})
		if suitable && !v.Preempted && q.MayPreempt(v) {
			victims = append(victims, v)
		}
	}
	if fit(victims) < want {
		return nil
	}
	slices.SortStableFunc(victims, func(a, b *Victim) int { return cmp.Compare(b.weight(), a.weight()) })
	for i := len(victims) - 1; i >= 0; i-- {
		if without := slices.Delete(slices.Clone(victims), i, i+1); fit(without) >= want {
			victims = without
		}
	}
	return victims
}

// Examining only the machines of victims and those with free capacity finds the same victims as examining every
// machine.
func TestVictimsAgreeWithExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := &Zone{Name: "a"}
		offers := map[string]*Offer{}
		var victims []*Victim
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			o := newOffer(fmt.Sprint("m", i), 0)
			o.Machine.Zone, o.Machine.Spot, o.Reserved = "a", i%3 == 0, i%7 == 6
			left := 4
			for left > 0 {
				gpus := rapid.IntRange(1, left).Draw(t, "gpus")
				if left -= gpus; rapid.IntRange(0, 5).Draw(t, "free") == 0 {
					o.Free.GPUs += float64(gpus)
					continue
				}
				v := &Victim{Job: fmt.Sprint("j", len(victims)), Level: rapid.IntRange(0, 3).Draw(t, "level"),
					Since:    Micros(len(victims)),
					Reclaims: []Reclaim{{o, Resources{GPUs: float64(gpus)}}}}
				if n := len(victims); n > 0 && rapid.IntRange(0, 4).Draw(t, "gang") == 0 {
					victims[n-1].Reclaims = append(victims[n-1].Reclaims, v.Reclaims...)
					continue
				}
				victims = append(victims, v)
			}
			offers[o.Machine.Name] = o
			z.Add(o)
		}
		SortByLoss(victims)
		z.Victims = func() []*Victim { return victims }
		q := newRequest(float64(rapid.IntRange(1, 4).Draw(t, "needs")),
			rapid.IntRange(1, 6).Draw(t, "count"), rapid.Bool().Draw(t, "gang"))
		q.Spot, q.Avoid = rapid.Bool().Draw(t, "spot"), map[string]Micros{"m4": 9}
		q.MayPreempt = func(v *Victim) bool { return v.Level < 3 }
		bid, want := z.Plan(1, q), victimsExhaustively(z, offers, q)
		switch {
		case bid == nil:
			if want != nil {
				t.Fatalf("no bid, want one with %d victims", len(want))
			}
		case !slices.Equal(bid.Victims, want) && len(bid.Victims)+len(want) > 0:
			t.Fatalf("%d victims, want %d: %+v, want %+v", len(bid.Victims), len(want), bid.Victims, want)
		case q.AllOrNothing && len(bid.Offers) != q.Count:
			t.Fatalf("%+v", bid)
		}
		if again := z.Plan(1, q); !reflect.DeepEqual(bid, again) {
			t.Fatalf("repeated plan differs: %+v and then %+v", bid, again)
		}
	})
}
