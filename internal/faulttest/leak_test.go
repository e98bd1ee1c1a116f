package faulttest

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"coralhub/internal/leaktest"
)

// All goroutines of an interrupted run have ended when Run returns. The test isn't parallel, since the
// check would find the goroutines of runs in other tests.
func TestInterruptedRunLeavesNothingRunning(t *testing.T) {
	s, err := Parse([]byte(shortScenario))
	if err != nil {
		t.Fatal(err)
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ctx, interrupt := context.WithCancel(t.Context())
	defer interrupt()
	opt := Options{Program: program, Dir: t.TempDir(), Seed: 3, LogLevel: "error", OnStatus: func(Status) {}}
	opt.OnProgress = func(line string) {
		if strings.Contains(line, "all jobs submitted") {
			time.AfterFunc(time.Second, interrupt)
		}
	}
	if _, err := Run(ctx, s, opt); err == nil {
		t.Fatal("interrupted run returned a result, want an error")
	}
	leaktest.Check(t, "faulttest.(*run)", "faulttest.(*faultInjector)", "faulttest.(*users)",
		"faulttest.(*watcher)", "emulator.(*Servers)")
}
