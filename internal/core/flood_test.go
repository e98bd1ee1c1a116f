package core_test

import (
	"fmt"
	"testing"
	"time"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// newFlood returns a fleet whose machines are all full, and so many arrays that may
// run by their team's limit and find no room.
func newFlood(tb testing.TB, machines, waiting int) *fleet {
	f := newQueue(tb, machines, 0)
	for i := range waiting {
		f.put(tb, waitingName(i), &job.Record{Spec: &wire.Job{ID: waitingName(i), Class: "flood", Team: "red", Shape: wire.Array, Priority: wire.Low, Tasks: 1 + i*7%50,
			CPUs: 5, GPUs: 1, MemoryGB: 36, Image: fmt.Sprint("image-", i%5), ImageGB: 3.5, EstimateS: 40, CheckpointS: 30, Spot: true}, CreatedAt: int64(machines + i + 1)})
	}
	return f
}

// late has a change of the last job that waits come, and a pass after it.
func (f *fleet) late() {
	it := f.records[len(f.records)-1]
	f.version++
	f.step(10*config.Second, msg.PeerUpdate{Change: wire.Change{Put: it.Key, Value: it.Value, Version: f.version + 1<<40}})
}

// A pass bids for one job of each kind that finds no room. Ten times the jobs only make its
// lists longer: memory reserved is counted, for it needs no clock.
func TestPassCostsByKindNotByJob(t *testing.T) {
	var allocs [2]float64
	for i, waiting := range []int{300, 3000} {
		f := newFlood(t, 500, waiting)
		f.takeOver(t)
		f.hear()
		f.step(config.Second, msg.Tick{WallClock: f.now})
		f.late()
		before := f.core.CycleStatistics().Cycles
		allocs[i] = testing.AllocsPerRun(3, f.late)
		if f.core.CycleStatistics().Cycles-before < 3 {
			t.Fatal("no passes")
		}
		if err := f.core.Audit(); err != nil {
			t.Error(err)
		}
	}
	if allocs[1] > allocs[0]+60 {
		t.Errorf("a pass takes %v allocations with 300 jobs that wait and %v with 3,000", allocs[0], allocs[1])
	}
}

func BenchmarkFlood(b *testing.B) {
	for _, waiting := range []int{300, 1000, 3000, 10000} {
		b.Run(fmt.Sprintf("heir/%d", waiting), func(b *testing.B) { // the first pass of one that has heard no worker
			f := newFlood(b, 1250, waiting)
			for b.Loop() {
				b.StopTimer()
				f.takeOver(b)
				// the machines are listed, and none has spoken yet
				list := msg.ListDone{Outcome: msg.OK}
				for i := range f.machines {
					list.Machines = append(list.Machines, wire.Machine{Name: machineName(i), Addr: "10.0.0.1:9000", Type: "t4", Zone: machineZone(i), State: "running", AgeS: 600})
				}
				b.StartTimer()
				f.step(1000, list)
				f.step(11*config.Second, msg.Tick{WallClock: f.now})
			}
		})
		b.Run(fmt.Sprintf("pass/%d", waiting), func(b *testing.B) {
			f := newFlood(b, 1250, waiting)
			f.takeOver(b)
			f.hear()
			f.step(config.Second, msg.Tick{WallClock: f.now})
			rounds := 0
			var spent time.Duration
			for b.Loop() {
				f.change(rounds)
				f.hear()
				began := time.Now()
				f.late()
				spent += time.Since(began)
				rounds++
			}
			b.ReportMetric(float64(spent.Nanoseconds())/float64(rounds), "ns/pass")
		})
	}
}
