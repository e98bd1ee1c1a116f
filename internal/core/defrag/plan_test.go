package defrag

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"coralhub/internal/core/zone"
)

// Every run checks the same cases; -rapid.seed selects others.
var _ = flag.Set("rapid.seed", "1")

var (
	any8  = map[string]bool{"g8": true}
	whole = zone.Resources{CPUs: 57, GPUs: 8}
	one   = zone.Resources{CPUs: 5, GPUs: 1}
)

// machine returns a machine with a number of replicas, each of a different job.
func machine(name string, replicas int) *Machine {
	m := &Machine{Name: name, Type: "g8", Suitable: true, Movable: true,
		Free: zone.Resources{CPUs: 64, GPUs: 8, MemoryGB: 256}.Plus(one, -float64(replicas))}
	for i := range replicas {
		m.Replicas = append(m.Replicas, Replica{Job: fmt.Sprint(name, "-", i), Needs: one, Types: any8})
	}
	return m
}

func TestPlanClearsMachinesWithFewestMoves(t *testing.T) {
	ms := []*Machine{machine("a", 4), machine("b", 2), machine("c", 3), machine("d", 3)}
	p := NewPlan(whole, 1, 10, ms)
	if p == nil || len(p.Clear) != 1 || p.Clear[0].Name != "b" || p.MovedReplicas != 2 {
		t.Fatalf("%+v", p)
	}
	if p := NewPlan(whole, 2, 10, ms); p == nil || p.MovedReplicas != 5 {
		t.Fatalf("%+v", p)
	}
	if p := NewPlan(whole, 2, 4, ms); p != nil {
		t.Errorf("plan with more moves than allowed: %+v", p)
	}
	if p := NewPlan(whole, 3, 99, ms); p != nil {
		t.Errorf("plan that moves twelve replicas to one machine: %+v", p)
	}
	ms[1].Movable = false
	if p := NewPlan(whole, 1, 10, ms); p == nil || p.Clear[0].Name != "c" {
		t.Errorf("%+v", p)
	}
	ms = append(ms, machine("e", 0))
	if p := NewPlan(whole, 2, 10, ms); p == nil || len(p.WithCapacity) != 1 || p.WithCapacity[0].Name != "e" ||
		len(p.Clear) != 1 {
		t.Errorf("machine e is free, want it in WithCapacity: %+v", p)
	}
	if p := NewPlan(whole, 1, 10, ms); p != nil {
		t.Errorf("plan though the gang fits without one: %+v", p)
	}
}

// For any zone, the moved replicas fit on other machines, their number is within the limit, no two are of the same
// job, and the cleared machines and those with free capacity have enough capacity for the gang.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ms []*Machine
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			m := machine(fmt.Sprint("m", i), rapid.IntRange(0, 8).Draw(t, "replicas"))
			m.Suitable, m.Movable = rapid.IntRange(0, 4).Draw(t, "suitable") > 0, rapid.IntRange(0, 4).Draw(t, "movable") > 0
			m.Spot = rapid.IntRange(0, 4).Draw(t, "spot") == 0
			for k := range m.Replicas {
				m.Replicas[k].Job = fmt.Sprint("j-", rapid.IntRange(0, 40).Draw(t, "job"))
			}
			ms = append(ms, m)
		}
		count, maxMoves := rapid.IntRange(1, 4).Draw(t, "count"), rapid.IntRange(0, 20).Draw(t, "max moves")
		p := NewPlan(whole, count, maxMoves, ms)
		if p == nil {
			return
		}
		usable, moves := len(p.WithCapacity), 0
		jobs, cleared := map[string]bool{}, map[*Machine]bool{}
		for _, m := range p.Clear {
			cleared[m] = true
			if !m.Suitable || !m.Movable {
				t.Fatalf("plan clears %s: Suitable = %v, Movable = %v", m.Name, m.Suitable, m.Movable)
			}
			usable++
			for _, r := range m.Replicas {
				moves++
				if jobs[r.Job] {
					t.Fatalf("plan moves two replicas of job %s", r.Job)
				}
				jobs[r.Job] = true
			}
		}
		if usable < count || moves != p.MovedReplicas || moves > maxMoves || len(p.Clear) == 0 {
			t.Fatalf("%d machines for %d tasks, %d moves (MovedReplicas %d) with a limit of %d",
				usable, count, moves, p.MovedReplicas, maxMoves)
		}
		free := 0
		for _, m := range ms {
			if !cleared[m] && !m.Spot && !whole.Fits(m.Free) {
				free += one.Count(m.Free)
			}
		}
		if free < moves {
			t.Fatalf("%d replicas moved, free capacity for %d", moves, free)
		}
	})
}
