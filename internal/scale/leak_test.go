package scale

import (
	"context"
	"strings"
	"testing"
	"time"

	"coralhub/internal/leaktest"
	"coralhub/internal/process"
)

// ownFunctions are the functions that goroutines of a run execute.
var ownFunctions = []string{"scale.(*run)", "scale.(*region)", "scale.(*host)", "scale.(*users)", "emulator.(*Servers)", "wait.Every"}

// smallRegion returns a region that has not been started.
func smallRegion(t *testing.T) *region {
	t.Helper()
	s, opt := smallRun(t)
	s.RampS, s.StartsPerS = 0.3, 5000
	return newRegion(t.Context(), &s, &run{Options: opt, stop: func() {}}, 0)
}

// A region that is closed leaves nothing running, also while the run goes on.
func TestClosedRegionLeavesNothingRunning(t *testing.T) {
	r := smallRegion(t)
	if err := r.startServers(); err != nil {
		t.Fatal(err)
	}
	r.close()
	leaktest.Check(t, ownFunctions...)
}

// A measurement that fails ends the load that it has begun.
func TestFailedMeasurementLeavesNothingRunning(t *testing.T) {
	r := smallRegion(t)
	r.controllers = []*controller{{Process: &process.Process{}, name: "unreachable", listen: "127.0.0.1:1"}}
	if _, err := r.measure(t.Context(), 1); err == nil {
		t.Fatal("a measurement of a controller that isn't there")
	}
	leaktest.Check(t, ownFunctions...)
}

// A run that is interrupted while it measures leaves nothing running.
func TestInterruptedRunLeavesNothingRunning(t *testing.T) {
	s, opt := smallRun(t)
	s.Workers, s.RampS = 40, 60
	ctx, interrupt := context.WithCancel(t.Context())
	defer interrupt()
	var interruptedAt time.Time
	opt.Progress = func(line string) {
		if strings.Contains(line, "workers listen") {
			time.AfterFunc(2*time.Second, func() {
				interruptedAt = time.Now()
				interrupt()
			})
		}
	}
	if _, err := Run(ctx, s, opt); err == nil {
		t.Fatal("an interrupted run has a result")
	}
	leaktest.Check(t, ownFunctions...)
	if took := time.Since(interruptedAt); took > 3*time.Second {
		t.Errorf("the end took %v", took)
	}
}
