package leader

import (
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// The start rate of a class is measured over the last minute, and is unknown before enough was seen.
func TestStartRateIsThatOfTheLastMinute(t *testing.T) {
	var rate startRate
	now := 100 * config.Second
	if _, known := rate.timeToStart(now, 5); known {
		t.Error("nothing has started, and the rate is known")
	}
	rate.add(now)
	if _, known := rate.timeToStart(now+5*config.Second, 5); known {
		t.Error("known after five seconds")
	}
	for range 60 { // one each second
		now += config.Second
		rate.add(now)
	}
	if lasts, known := rate.timeToStart(now, 100); !known || lasts < 90*config.Second || lasts > 110*config.Second {
		t.Errorf("100 jobs at one a second last %d s", lasts/config.Second)
	}
	for range 120 { // then ten a second
		now += config.Second
		for range 10 {
			rate.add(now)
		}
	}
	if lasts, _ := rate.timeToStart(now, 100); lasts > 12*config.Second {
		t.Errorf("100 jobs at ten a second last %d s: the former rate counts", lasts/config.Second)
	}
	if lasts, known := rate.timeToStart(now+300*config.Second, 100); known && lasts < 20*config.Second {
		t.Errorf("nothing has started for five minutes, and 100 jobs last %d s", lasts/config.Second)
	}
}

// The drain time is that of the scarcest resource of the machines; services don't count, because it is
// not known how long they run.
func TestDrainTimeIsThatOfTheScarcestResource(t *testing.T) {
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
			t.Errorf("%+v: %d us", tt.capacity, got)
		}
	}
	if !work.spot {
		t.Error("some of it may use spot instances")
	}
	work.add(&wire.Job{Shape: wire.Array, Tasks: wire.MaxTasks, GPUs: 8, EstimateS: 1e12})
	if got := work.drainTime(zone.Resources{GPUs: 1}); got != config.FromSeconds(maxEstimateS) {
		t.Errorf("an estimate beyond the bound lasts %d us", got)
	}
}
