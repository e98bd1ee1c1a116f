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

// newSaturatedFleet returns a fleet whose machines are all full, with pending arrays that are within their
// team's limit but for which there is no free capacity.
func newSaturatedFleet(tb testing.TB, machines, pending int) *fleet {
	tb.Helper()
	f := newFleetWithPending(tb, machines, 0)
	for i := range pending {
		f.put(tb, pendingName(i), &job.Record{Spec: &wire.Job{ID: pendingName(i), Class: "flood", Team: "red",
			Shape: wire.Array, Priority: wire.Low, Tasks: 1 + i*7%50, CPUs: 5, GPUs: 1, MemoryGB: 36,
			Image: fmt.Sprint("image-", i%5), ImageGB: 3.5, EstimateS: 40, CheckpointS: 30, Spot: true},
			CreatedAt: int64(machines + i + 1)})
	}
	return f
}

// changeLastJob applies a change of the last pending job, which is followed by a scheduling cycle.
func (f *fleet) changeLastJob() {
	item := f.records[len(f.records)-1]
	f.version++
	f.step(10*config.Second, msg.PeerUpdate{
		Change: wire.Change{Put: item.Key, Value: item.Value, Version: f.version + 1<<40}})
}

// A scheduling cycle tries to place only one job of each equivalence class for which there is no free
// capacity, so that ten times the jobs only make its lists longer. The test counts allocations, which do
// not depend on a clock.
func TestCycleCostsByEquivalenceClass(t *testing.T) {
	var allocs [2]float64
	for i, pending := range []int{300, 3000} {
		f := newSaturatedFleet(t, 500, pending)
		f.takeOver(t)
		f.heartbeatAll()
		f.step(config.Second, msg.Tick{WallClock: f.now})
		f.changeLastJob()
		before := f.core.CycleStatistics().Cycles
		allocs[i] = testing.AllocsPerRun(3, f.changeLastJob)
		if f.core.CycleStatistics().Cycles-before < 3 {
			t.Fatal("no cycles")
		}
		if err := f.core.Audit(); err != nil {
			t.Error(err)
		}
	}
	if allocs[1] > allocs[0]+60 {
		t.Errorf("allocations per cycle: %v with 300 pending jobs and %v with 3,000, want at most 60 more",
			allocs[0], allocs[1])
	}
}

// BenchmarkFlood measures scheduling cycles with many pending jobs: the first one after a takeover, and
// later ones.
func BenchmarkFlood(b *testing.B) {
	for _, pending := range []int{300, 1000, 3000, 10000} {
		b.Run(fmt.Sprintf("takeover/%d", pending), func(b *testing.B) { // the first cycle, before any heartbeat
			f := newSaturatedFleet(b, 1250, pending)
			for b.Loop() {
				b.StopTimer()
				f.takeOver(b)
				// the machines are listed, but none has sent a heartbeat yet
				list := msg.ListDone{Outcome: msg.OK}
				for i := range f.machines {
					list.Machines = append(list.Machines, wire.Machine{
						Name: machineName(i), Addr: "10.0.0.1:9000", Type: "t4", Zone: machineZone(i), State: "running", AgeS: 600})
				}
				b.StartTimer()
				f.step(1000, list)
				f.step(11*config.Second, msg.Tick{WallClock: f.now})
			}
		})
		b.Run(fmt.Sprintf("cycle/%d", pending), func(b *testing.B) {
			f := newSaturatedFleet(b, 1250, pending)
			f.takeOver(b)
			f.heartbeatAll()
			f.step(config.Second, msg.Tick{WallClock: f.now})
			rounds := 0
			var total time.Duration
			for b.Loop() {
				f.toggleNotices(rounds)
				f.heartbeatAll()
				start := time.Now()
				f.changeLastJob()
				total += time.Since(start)
				rounds++
			}
			b.ReportMetric(float64(total.Nanoseconds())/float64(rounds), "ns/cycle")
		})
	}
}
