package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/hollow"
	"coralhub/internal/node"
)

// TestMain runs the test program as a controller or as a process of hollow workers if the first argument is
// "serve" or "hollow-workers". Runs in tests start these processes.
func TestMain(m *testing.M) {
	if len(os.Args) < 2 {
		os.Exit(m.Run())
	}
	var err error
	switch os.Args[1] {
	case "serve":
		err = serve(os.Args)
	case "hollow-workers":
		err = hollow.Run(context.Background(), os.Stdin, os.Stdout)
	default:
		os.Exit(m.Run())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serve runs a controller with the arguments serve --settings FILE --config FILE.
func serve(args []string) error {
	cfg, err := config.Load(args[5], args[3])
	if err != nil {
		return err
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin) // ends when the parent exits
		os.Exit(0)
	}()
	return node.New(cfg).Run(context.Background())
}

// smallRun returns the settings and options of a run that takes some seconds.
func smallRun(t *testing.T) (Settings, Options) {
	t.Helper()
	s, err := Parse([]byte(`
workers = 300
zones = 2
controllers = 3
teams = 20
starts_per_s = 60
ramp_s = 5
duration_s = 6
settle_s = 30
[protocol]
report_s = 1
lease_s = 8
cancel_s = 16
[failures]
failed_per_day = 40
restarted_per_day = 400
times = 500
away_s = 1
[[class]]
name = "urgent"
priority = "production"
share = 1
tasks = [1]
run_s = [1, 2]
gpus = 1
urgent = true
[[class]]
name = "array"
share = 4
tasks = [8, 40]
run_s = [1, 3]
gpus = 1
cancelled = 0.1
[[class]]
name = "gang"
shape = "gang"
priority = "high"
share = 2
tasks = [4, 64]
run_s = [1, 3]
gpus = 1
`))
	if err != nil {
		t.Fatal(err)
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return s, Options{Program: program, ServeArgs: []string{"serve"}, HollowArgs: []string{"hollow-workers"},
		Dir: t.TempDir(), LogLevel: "error"}
}

// A small run completes without rule violations, and all parts of its result are measured.
func TestScale(t *testing.T) {
	s, opt := smallRun(t)
	res, err := Run(t.Context(), s, opt)
	if err != nil {
		t.Fatal(err)
	}
	r := &res.Regions[0]
	if len(r.Violations) > 0 {
		t.Errorf("rule violations: %v", r.Violations)
	}
	if r.Jobs.Accepted == 0 || r.Jobs.Accepted < r.Jobs.Submitted*9/10 || r.Jobs.Ended < r.Jobs.Accepted*9/10 {
		t.Errorf("jobs: %+v", r.Jobs)
	}
	if r.StartsPerS < s.StartsPerS/4 || r.UrgentStartS.P50 <= 0 || r.OtherStartS.P50 <= 0 {
		t.Errorf("%.1f starts per second; time to start: urgent tasks %+v, others %+v", r.StartsPerS, r.UrgentStartS,
			r.OtherStartS)
	}
	leaders, forwarded := 0, 0.0
	for _, c := range r.Controllers {
		forwarded += c.ForwardedPerS
		if c.IsLeader {
			leaders++
		}
		if c.Cores <= 0 || c.MemoryMB <= 0 || c.OpenFiles <= 0 || len(c.StepSecondsPerS) == 0 {
			t.Errorf("controller: %+v", c)
		}
	}
	if leaders != 1 || forwarded == 0 {
		t.Errorf("%d leaders, %.1f heartbeats forwarded per second; want 1 leader and forwarded heartbeats", leaders,
			forwarded)
	}
	if w := r.Workers; w.BytesPerS <= 0 || w.HeartbeatsPerS < 0.5 || w.HeartbeatsPerS > 4 || w.MemoryMBEach <= 0 {
		t.Errorf("workers: %+v", w)
	}
	if r.ChangesPerS["accept"] == 0 || r.ChangesPerS["placement"] == 0 || r.RequestsPerS["watch"] == 0 {
		t.Errorf("changes %v, requests %v", r.ChangesPerS, r.RequestsPerS)
	}
	if r.Faults.Restarted == 0 {
		t.Errorf("no machine was restarted: %+v", r.Faults)
	}
	if err := res.Print(io.Discard); err != nil {
		t.Error(err)
	}
}

// Settings that exceed a limit of the machine or contradict each other are rejected before any process
// starts.
func TestImpossibleRunsAreRejected(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"processes are needed":   func(s *Settings) { s.Regions, s.Controllers = 5, 90 },
		"a process may open":     func(s *Settings) { s.Limits.MaxConnections = 1 << 30 },
		"half of the machine":    func(s *Settings) { s.Limits.MemoryMB = 1 << 30 },
		"each zone needs one":    func(s *Settings) { s.Zones = 16 },
		"a machine has":          func(s *Settings) { s.Classes[0].GPUs = 1000 },
		"a team may use":         func(s *Settings) { s.Classes[2].Tasks = []int{100_000} },
		"no class has a share":   func(s *Settings) { s.Classes = nil },
		"duration_s must be":     func(s *Settings) { s.DurationS = 0 },
		"controllers and teams ": func(s *Settings) { s.Teams = 0 },
	} {
		s, opt := smallRun(t)
		change(&s)
		if _, err := Run(t.Context(), s, opt); err == nil || !strings.Contains(err.Error(), name) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", name, err)
		}
	}
}

// Invalid settings are rejected with an error of one line.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		"workers = 0":               "minimum",
		"workers = \"many\"":        "want integer",
		"worker = 5":                "worker",
		"workers = ":                "line 1",
		"[[class]]\nname = \"c\"\n": "missing properties",
		"[[class]]\nname = \"c\"\nshape = \"x\"\n":  "",
		"[state]\nwrite_rps = 0\n":                  "minimum",
		"controllers = 2":                           "each zone needs one",
		"[failures]\ntimes = -1\n":                  "minimum",
		"[protocol]\nreport_s = 0.1\nlease_s = 3\n": "minimum",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	if _, err := Load("no-such-file.toml"); err == nil {
		t.Error("Load of a missing file returned no error")
	}
	d := Defaults()
	if err := d.Check(); err != nil {
		t.Errorf("check of the defaults: %v", err)
	}
}

// If this process reaches its limit of open files, the run ends with that error, so that it is not counted
// as a failure of the control plane.
func TestOutOfFilesEndsTheRun(t *testing.T) {
	stopped := false
	o := &run{stop: func() { stopped = true }}
	o.requestFailed(errors.New("reset"))
	if o.failure() != nil || stopped {
		t.Error("the run ended because of another error")
	}
	o.requestFailed(&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)})
	if err := o.failure(); err == nil || !stopped || !strings.Contains(err.Error(), "files") {
		t.Errorf("%v, stopped %v", err, stopped)
	}
}

// A gang is reported complete when all its tasks are placed, and broken, once, when one of them stops.
func TestGangsRunAndBreak(t *testing.T) {
	g := newGangs()
	g.add("j-1", 2)
	change := func(kind string, task int, attempt uint64) gangChange {
		return g.taskChanged(&hollow.TaskEvent{Kind: kind, Job: "j-1", Task: task, Attempt: attempt})
	}
	for i, step := range []struct {
		kind    string
		task    int
		attempt uint64
		want    gangChange
	}{
		{hollow.TaskPlaced, 0, 1, gangUnchanged},
		{hollow.TaskPlaced, 0, 1, gangUnchanged}, // repeated
		{hollow.TaskRemoved, 0, 1, gangUnchanged},
		{hollow.TaskPlaced, 0, 1, gangUnchanged},
		{hollow.TaskPlaced, 1, 1, gangComplete},
		{hollow.TaskRemoved, 0, 1, gangBroken},
		{hollow.TaskRemoved, 1, 1, gangUnchanged}, // reported once
		{hollow.TaskPlaced, 1, 2, gangUnchanged},
		{hollow.TaskPlaced, 0, 2, gangComplete},
		{hollow.TaskDone, 0, 2, gangUnchanged},
		{hollow.TaskRemoved, 0, 2, gangUnchanged}, // the gang has completed
	} {
		if got := change(step.kind, step.task, step.attempt); got != step.want {
			t.Errorf("step %d: %v, want %v", i, got, step.want)
		}
	}
	if got := g.taskChanged(&hollow.TaskEvent{Kind: hollow.TaskPlaced, Job: "j-2"}); got != gangUnchanged {
		t.Errorf("job that is not a gang: %v, want gangUnchanged", got)
	}
}
