package leader

import (
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// The pace at which a class begins is told by its last minute, and by nothing before enough was seen.
func TestPace(t *testing.T) {
	var p startRate
	now := Micros(100 * config.Second)
	if _, known := p.timeToStart(now, 5); known {
		t.Error("nothing has begun, and the pace is known")
	}
	p.add(now)
	if _, known := p.timeToStart(now+5*config.Second, 5); known {
		t.Error("known after five seconds")
	}
	for range 60 { // one each second
		now += config.Second
		p.add(now)
	}
	if lasts, known := p.timeToStart(now, 100); !known || lasts < 90*config.Second || lasts > 110*config.Second {
		t.Errorf("100 jobs at one a second last %d s", lasts/config.Second)
	}
	for range 120 { // then ten a second
		now += config.Second
		for range 10 {
			p.add(now)
		}
	}
	if lasts, _ := p.timeToStart(now, 100); lasts > 12*config.Second {
		t.Errorf("100 jobs at ten a second last %d s: the pace of before counts", lasts/config.Second)
	}
	if lasts, known := p.timeToStart(now+300*config.Second, 100); known && lasts < 20*config.Second {
		t.Errorf("nothing has begun for five minutes, and 100 jobs last %d s", lasts/config.Second)
	}
}

// Waiting work is held against the scarcest of what machines have; services don't count, for nobody
// knows how long they run.
func TestWorkLasts(t *testing.T) {
	var w pendingWork
	w.add(&wire.Job{Shape: wire.Gang, Tasks: 4, GPUs: 4, CPUs: 21, EstimateS: 100})
	w.add(&wire.Job{Shape: wire.Array, Tasks: 10, GPUs: 1, CPUs: 5, EstimateS: 40, Spot: true})
	w.add(&wire.Job{Shape: wire.Service, Tasks: 1000, GPUs: 8})
	// 2,000 GPU seconds and 10,400 core seconds.
	for _, tt := range []struct {
		room zone.Resources
		want float64
	}{{zone.Resources{GPUs: 10, CPUs: 1000}, 200}, {zone.Resources{GPUs: 100, CPUs: 100}, 104}, {zone.Resources{}, 0}} {
		if got := w.drainTime(tt.room); got != config.FromSeconds(tt.want) {
			t.Errorf("%+v: %d us", tt.room, got)
		}
	}
	if !w.spot {
		t.Error("some of it may use spot machines")
	}
	w.add(&wire.Job{Shape: wire.Array, Tasks: wire.MaxTasks, GPUs: 8, EstimateS: 1e12})
	if got := w.drainTime(zone.Resources{GPUs: 1}); got != config.FromSeconds(maxEstimateS) {
		t.Errorf("an estimate beyond all bounds lasts %d us", got)
	}
}
