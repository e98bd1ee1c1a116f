package core_test

import (
	"strings"
	"testing"
	"time"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// runWithLimits runs a leader with the given configuration for half a minute. A job that fits beside the tasks on its
// machines is in the state service. It returns the effects.
func runWithLimits(t *testing.T, change func(*config.Config)) []msg.Effect {
	t.Helper()
	f := newFleet(t, 2)
	f.put(t, "j-7", &job.Record{CreatedAt: 1, Spec: &wire.Job{ID: "j-7", Class: "c", Team: "red", Shape: wire.Array,
		Priority: wire.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 20}})
	cfg := fleetConfig(2)
	change(cfg)
	f.takeOverWithConfig(t, cfg)
	var effects []msg.Effect
	for range 30 {
		for _, in := range []msg.Input{f.heartbeat(0, nil), f.heartbeat(1, nil)} {
			effects = append(effects, f.step(1, in)...)
		}
		effects = append(effects, f.renewAndTick()...)
	}
	return effects
}

// placesJob reports whether a put of a key may commit a placement of the job of runWithLimits.
func placesJob(key string) bool {
	return key == job.RecordKey("j-7") || strings.HasPrefix(key, job.KeyRoot+"placed/")
}

// Guards against a leader that stops scheduling, because the time between its scheduling cycles has no upper
// bound when the platform allows it little CPU time.
func TestCyclesContinueWithLittleCPU(t *testing.T) {
	for _, cores := range []float64{0, 0.06, 1e-6, 1e-300} {
		effects := runWithLimits(t, func(c *config.Config) { c.Cluster.Limits.Cores = cores })
		if !commitsKey(effects, placesJob) {
			t.Errorf("no placement within 30 s with %v cores, want one in a scan period of 10 s", cores)
		}
	}
}

// Guards against a leader that is stuck in a step, because no value is small enough for the limit of the platform.
func TestLeaderContinuesWithTinyValueLimit(t *testing.T) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		runWithLimits(t, func(c *config.Config) { c.Cluster.State.ValueKB = 0.03 })
	}()
	select {
	case <-ended:
	case <-time.After(time.Minute):
		t.Fatal("the leader did not end a step within a minute")
	}
}
