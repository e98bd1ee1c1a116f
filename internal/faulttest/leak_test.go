package faulttest

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"coralhub/internal/leaktest"
)

// A run that is interrupted leaves nothing running. It isn't parallel: others would be found.
func TestInterruptedRunLeavesNothingRunning(t *testing.T) {
	s, err := Parse([]byte(short))
	if err != nil {
		t.Fatal(err)
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ctx, interrupt := context.WithCancel(t.Context())
	defer interrupt()
	opt := Options{Program: program, Dir: t.TempDir(), Seed: 3, Log: "error", Watch: func(Status) {}}
	opt.Say = func(line string) {
		if strings.Contains(line, "no more jobs come") {
			time.AfterFunc(time.Second, interrupt)
		}
	}
	if _, err := Run(ctx, s, opt); err == nil {
		t.Fatal("an interrupted run has a result")
	}
	leaktest.Check(t, "faulttest.(*run)", "faulttest.(*faultInjector)", "faulttest.(*users)",
		"faulttest.(*watcher)", "emulator.(*Servers)")
}
