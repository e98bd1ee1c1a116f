package zone

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// randomZone returns a zone of machines with eight GPUs each. The given fraction of them is idle, the others hold
// victims of one to four GPUs.
func randomZone(machines int, idle float64) (*Zone, []*Victim) {
	rnd := rand.New(rand.NewPCG(1, 2))
	z := &Zone{Name: "a"}
	var victims []*Victim
	for i := range machines {
		m := New(fmt.Sprintf("m-%06d", i), "", "g8", "a", i%5 == 0, 0)
		o := &Offer{Machine: m, Zone: "a", Free: Resources{CPUs: 96, GPUs: 8, MemoryGB: 768}, Idle: true}
		for rnd.Float64() >= idle && o.Free.GPUs > 0 {
			take := Resources{CPUs: 8, GPUs: min(float64(1+rnd.IntN(4)), o.Free.GPUs), MemoryGB: 32}
			o.Free, o.Idle = o.Free.Plus(take, -1), false
			victims = append(victims, &Victim{Job: fmt.Sprintf("j-%d", len(victims)/4), Task: len(victims) % 4,
				Level: rnd.IntN(3), Since: Micros(rnd.IntN(1e9)), Loss: Micros(rnd.IntN(1e9)), Reclaims: []Reclaim{{o, take}}})
		}
		z.Add(o)
	}
	SortByLoss(victims)
	z.Victims = func() []*Victim { return victims }
	return z, victims
}

// BenchmarkBid measures Zone.Plan for a gang of one task and of sixteen tasks.
func BenchmarkBid(b *testing.B) {
	for _, machines := range []int{1000, 5000, 20000} {
		for _, load := range []struct {
			name     string
			idle     float64
			preempts bool
		}{{"idle", 1, false}, {"busy", 0.02, false}, {"preempting", 0, true}} {
			z, _ := randomZone(machines, load.idle)
			for _, tasks := range []int{1, 16} {
				b.Run(fmt.Sprintf("%s/machines=%d/tasks=%d", load.name, machines, tasks), func(b *testing.B) {
					q := &Request{Job: "new", Needs: Resources{CPUs: 32, GPUs: 4, MemoryGB: 128}, Count: tasks,
						AllOrNothing: true, Spot: true, Types: map[string]bool{"g8": true}, TypeKey: "g8"}
					if load.preempts {
						q.MayPreempt = func(v *Victim) bool { return v.Level < 3 }
					}
					for b.Loop() {
						if bid := z.Plan(0, q); bid == nil || len(bid.Offers) != tasks || (len(bid.Victims) > 0) != load.preempts {
							b.Fatalf("%+v", bid)
						}
					}
				})
			}
		}
	}
}
