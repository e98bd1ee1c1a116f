package scale

import (
	"context"
	"strings"
	"testing"
	"time"

	"coralhub/internal/leaktest"
	"coralhub/internal/process"
)

// ownFunctions are name parts of the functions that goroutines of a run execute.
var ownFunctions = []string{"scale.(*run)", "scale.(*region)", "scale.(*host)", "scale.(*users)", "emulator.(*Servers)",
	"wait.Every"}

// smallRegion returns a region with the settings of smallRun. It is not started.
func smallRegion(t *testing.T) *region {
	t.Helper()
	s, opt := smallRun(t)
	s.RampS, s.StartsPerS = 0.3, 5000
	return newRegion(t.Context(), &s, &run{Options: opt, stop: func() {}}, 0)
}

// Closing a region ends its goroutines, also if the run continues.
func TestClosedRegionLeavesNothingRunning(t *testing.T) {
	r := smallRegion(t)
	if err := r.startServers(); err != nil {
		t.Fatal(err)
	}
	r.close()
	leaktest.Check(t, ownFunctions...)
}

// A failed measurement ends the goroutines of the load that it started.
func TestFailedMeasurementLeavesNothingRunning(t *testing.T) {
	r := smallRegion(t)
	r.controllers = []*controller{{Process: &process.Process{}, name: "unreachable", listen: "127.0.0.1:1"}}
	if _, err := r.measure(t.Context(), 1); err == nil {
		t.Fatal("measured an unreachable controller without an error")
	}
	leaktest.Check(t, ownFunctions...)
}

// Interrupting a run during the measurement ends all its goroutines.
func TestInterruptedRunLeavesNothingRunning(t *testing.T) {
	s, opt := smallRun(t)
	s.Workers, s.RampS = 40, 60
	ctx, interrupt := context.WithCancel(t.Context())
	defer interrupt()
	var interruptedAt time.Time
	opt.OnProgress = func(line string) {
		if strings.Contains(line, "workers listen") {
			time.AfterFunc(2*time.Second, func() {
				interruptedAt = time.Now()
				interrupt()
			})
		}
	}
	if _, err := Run(ctx, s, opt); err == nil {
		t.Fatal("an interrupted run returned a result")
	}
	leaktest.Check(t, ownFunctions...)
	if took := time.Since(interruptedAt); took > 3*time.Second {
		t.Errorf("the run ended %v after the interrupt, want 3 s or less", took)
	}
}
