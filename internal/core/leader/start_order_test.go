package leader

import (
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// A start rate covers the last minute, and is unknown until it has been measured for long enough.
func TestStartRateCoversLastMinute(t *testing.T) {
	var rate startRate
	now := 100 * config.Second
	if _, known := rate.timeToStart(now, 5); known {
		t.Error("start rate known before the first start")
	}
	rate.add(now)
	if _, known := rate.timeToStart(now+5*config.Second, 5); known {
		t.Error("start rate known after 5 s of measurement")
	}
	for range 60 { // one start per second
		now += config.Second
		rate.add(now)
	}
	if lasts, known := rate.timeToStart(now, 100); !known || lasts < 90*config.Second || lasts > 110*config.Second {
		t.Errorf("time to start 100 jobs at 1/s: got %d s, want 90 s to 110 s", lasts/config.Second)
	}
	for range 120 { // then ten starts per second
		now += config.Second
		for range 10 {
			rate.add(now)
		}
	}
	if lasts, _ := rate.timeToStart(now, 100); lasts > 12*config.Second {
		t.Errorf("time to start 100 jobs at 10/s: got %d s, want 12 s or less", lasts/config.Second)
	}
	if lasts, known := rate.timeToStart(now+300*config.Second, 100); known && lasts < 20*config.Second {
		t.Errorf("time to start 100 jobs, 5 min after the last start: got %d s, want 20 s or more", lasts/config.Second)
	}
}

// The drain time is determined by the scarcest resource. Services are not counted because their run
// time is unknown.
func TestDrainTimeUsesScarcestResource(t *testing.T) {
	var work pendingWork
	work.add(&wire.Job{Shape: wire.Gang, Tasks: 4, GPUs: 4, CPUs: 21, EstimateS: 100})
	work.add(&wire.Job{Shape: wire.Array, Tasks: 10, GPUs: 1, CPUs: 5, EstimateS: 40, Spot: true})
	work.add(&wire.Job{Shape: wire.Service, Tasks: 1000, GPUs: 8})
	// 2,000 GPU seconds and 10,400 core seconds.
	for _, tt := range []struct {
		capacity zone.Resources
		want     float64
	}{{zone.Resources{GPUs: 10, CPUs: 1000}, 200}, {zone.Resources{GPUs: 100, CPUs: 100}, 104}, {zone.Resources{}, 0}} {
		if got := work.drainTime(tt.capacity); got != config.FromSeconds(tt.want) {
			t.Errorf("drain time with capacity %+v: got %d us, want %d us", tt.capacity, got, config.FromSeconds(tt.want))
		}
	}
	if !work.spot {
		t.Error("spot is not set, although the array may use spot instances")
	}
	work.add(&wire.Job{Shape: wire.Array, Tasks: wire.MaxTasksPerJob, GPUs: 8, EstimateS: 1e12})
	if got := work.drainTime(zone.Resources{GPUs: 1}); got != config.FromSeconds(maxEstimateS) {
		t.Errorf("drain time of an estimate beyond the bound: got %d us, want %d us", got, config.FromSeconds(maxEstimateS))
	}
}

// Guards against a class that counts as free of waiting work, because the sum of the work that its users have submitted
// overflows.
func TestDrainTimeOfVeryMuchWork(t *testing.T) {
	for name, needs := range map[string]wire.Job{
		"cores":             {CPUs: 64},
		"GPUs":              {GPUs: 8},
		"memory":            {MemoryGB: 256},
		"memory of one job": {MemoryGB: wire.MaxAmount},
	} {
		t.Run(name, func(t *testing.T) {
			var work pendingWork
			for n := range 100_000 {
				waiting := needs
				waiting.Shape, waiting.Tasks, waiting.EstimateS = wire.Array, wire.MaxTasksPerJob, wire.MaxAmount
				work.add(&waiting)
				got := work.drainTime(zone.Resources{CPUs: 10, GPUs: 10, MemoryGB: 10})
				if want := config.FromSeconds(maxEstimateS); got != want {
					t.Fatalf("drain time of %d jobs is %d us, want %d us", n+1, got, want)
				}
			}
		})
	}
}
