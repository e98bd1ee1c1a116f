package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"coralhub/internal/faulttest"
	"coralhub/internal/view"
)

func faulttestCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "faulttest",
		Aliases: []string{"rehearse"}, // its name in earlier versions
		Short:   "Run fault scenarios on a cluster on this machine and report whether they pass",
	}
	cmd.AddCommand(faulttestListCommand(), faulttestRunCommand(), faulttestReportCommand())
	return cmd
}

func faulttestListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the scenarios that are built into the program",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, name := range faulttest.Names() {
				s, err := faulttest.Load(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(w, "%s\t%.0f s\t%s\n", name, s.DurationS, s.Description)
			}
			return w.Flush()
		},
	}
}

// errScenarioFailed makes the program exit with status 1, after the results have been printed.
var errScenarioFailed = errors.New("a scenario failed")

// faulttestFlags holds the flags of faulttest run.
type faulttestFlags struct {
	plain, asJSON bool
	seed          uint64
	scale, speed  float64
	dir           string
	settings      string
	logLevel      string
}

func faulttestRunCommand() *cobra.Command {
	var flags faulttestFlags
	cmd := &cobra.Command{
		Use:   "run SCENARIO...",
		Short: "Run scenarios, given by name or as files",
		Long: "Run scenarios on real processes of this program and emulators on loopback sockets.\n" +
			"For each it prints PASS, or FAIL with the reason; the exit status is 1 if any failed.",
		Example: "  coralhub faulttest run surge\n  coralhub faulttest run --plain --seed 7 leader-killed ./my-night.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runUntilSignal(cmd.Context(), func(ctx context.Context, stop context.CancelFunc) error {
				return flags.runAll(ctx, stop, cmd.OutOrStdout(), args)
			})
		},
	}
	f := cmd.Flags()
	f.BoolVar(&flags.plain, "plain", false, "print only the verdict")
	f.BoolVar(&flags.asJSON, "json", false, "print each result as JSON")
	f.Uint64Var(&flags.seed, "seed", 1, "random seed of arrivals, run times and machines")
	f.Float64Var(&flags.scale, "scale", 1, "factor of the machines and the load")
	f.Float64Var(&flags.speed, "speed", 1,
		"factor by which there are more jobs and each is shorter; the protocol's times are unchanged")
	f.StringVar(&flags.dir, "dir", filepath.Join(os.TempDir(), "coralhub-runs"), "`DIR` for results, settings and logs")
	f.StringVar(&flags.settings, "settings", "", "operators' settings `FILE` for the nodes")
	f.StringVar(&flags.logLevel, "log", "info", "log level of the nodes: error, info or debug")
	return cmd
}

// runAll runs scenarios one after the other. It returns errScenarioFailed if any has failed.
func (f *faulttestFlags) runAll(ctx context.Context, stop func(), out io.Writer, names []string) error {
	if f.scale <= 0 || f.speed <= 0 {
		return fmt.Errorf("--scale %g --speed %g: both must be above 0", f.scale, f.speed)
	}
	failed := false
	for _, name := range names {
		s, err := f.load(name)
		if err != nil {
			return err
		}
		runDir, err := createRunDir(f.dir, s.Name)
		if err != nil {
			return err
		}
		res, err := f.runScenario(ctx, stop, out, s, runDir)
		if err != nil {
			return err
		}
		failed = failed || !res.Passed
		if err := f.print(out, res, runDir); err != nil {
			return err
		}
	}
	if failed {
		return errScenarioFailed
	}
	return nil
}

// load reads a scenario and applies --scale and --speed.
func (f *faulttestFlags) load(name string) (*faulttest.Scenario, error) {
	s, err := faulttest.Load(name)
	if err != nil {
		return nil, err
	}
	if f.scale != 1 {
		s = s.Scaled(f.scale)
	}
	if f.speed != 1 {
		s = s.SpedUp(f.speed)
	}
	return s, nil
}

// runScenario runs a scenario. It returns the error of a run that could not be made as a failed result, unless the run
// was interrupted.
func (f *faulttestFlags) runScenario(ctx context.Context, stop func(), out io.Writer, s *faulttest.Scenario,
	runDir string) (*faulttest.Result, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	opt := faulttest.Options{Program: program, Seed: f.seed, Settings: f.settings, LogLevel: f.logLevel, Dir: runDir}
	screen := f.showProgress(ctx, stop, out, s, &opt)
	res, err := faulttest.Run(ctx, s, opt)
	if screenErr := screen.Close(); screenErr != nil {
		fmt.Fprintln(os.Stderr, "coralhub: show progress:", screenErr)
	}
	if err != nil && ctx.Err() != nil {
		return nil, err
	}
	if err != nil {
		return &faulttest.Result{Scenario: s.Name, Seed: f.seed, FailureReason: err.Error()}, nil
	}
	return res, nil
}

// showProgress sets opt to report the progress of a run, on a screen if out is a terminal and line by line otherwise.
// It returns the screen, or nil if there is none. With --plain or --json, no progress is reported.
func (f *faulttestFlags) showProgress(ctx context.Context, stop func(), out io.Writer, s *faulttest.Scenario,
	opt *faulttest.Options) *view.Screen {
	if f.plain || f.asJSON {
		return nil
	}
	title := s.Name + ": " + s.Description
	if file, ok := out.(*os.File); ok && isatty.IsTerminal(file.Fd()) {
		screen := view.Open(ctx, file, stop, title)
		opt.OnStatus = screen.Show
		return screen
	}
	startedAt := time.Now()
	opt.OnProgress = func(line string) { fmt.Fprintf(out, "%7.1f  %s\n", time.Since(startedAt).Seconds(), line) }
	fmt.Fprintln(out, title)
	return nil
}

// createRunDir creates a directory for a run in dir. Its name is unique even if two runs start at the same time: in the
// same directory, each would start its nodes with the settings of the other.
func createRunDir(dir, name string) (string, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	return os.MkdirTemp(dir, fmt.Sprintf("%s-%s-", name, time.Now().Format("20060102-150405")))
}

// print prints a result in the form that the flags select.
func (f *faulttestFlags) print(out io.Writer, res *faulttest.Result, dir string) error {
	if f.asJSON {
		return json.NewEncoder(out).Encode(res)
	}
	if !f.plain {
		if err := printResult(out, res); err != nil {
			return err
		}
		fmt.Fprintf(out, "logs and result in %s\n", dir)
	}
	if res.Passed {
		_, err := fmt.Fprintf(out, "PASS %s\n", res.Scenario)
		return err
	}
	_, err := fmt.Fprintf(out, "FAIL %s: %s\n", res.Scenario, res.FailureReason)
	return err
}

func printResult(out io.Writer, res *faulttest.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tsubmitted\taccepted\tstarted\tdone\tcancelled\tsubmit p50/p99 ms\t"+
		"start p50/p90/max s\tdone p50/p90/max s\t")
	for _, c := range res.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f/%.0f\t%.1f/%.1f/%.1f\t%.1f/%.1f/%.1f\t\n", c.Class, c.Submitted,
			c.Accepted, c.Started, c.Done, c.Cancelled,
			c.SubmitMS.P50, c.SubmitMS.P99, c.StartS.P50, c.StartS.P90, c.StartS.Max, c.DoneS.P50, c.DoneS.P90, c.DoneS.Max)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, n := range res.Nodes {
		fmt.Fprintf(out, "%s: %.1f s of CPU time, %.0f MB of memory at peak, %d restarts\n", n.Node, n.CPUS, n.PeakMB,
			n.Restarts)
	}
	fmt.Fprintf(out, "state service: %d requests (%d refused), %d changes; %d machines rented\n", res.Requests,
		res.Refused, res.Changes, res.Machines)
	for _, b := range res.Violations {
		fmt.Fprintf(out, "rule violation: %s\n", b)
	}
	for _, f := range res.Findings {
		mark := "met   "
		if !f.Met {
			mark = "missed"
		}
		fmt.Fprintf(out, "%s %s: %.3f of %d\n", mark, f.Expect, f.Share, f.Jobs)
	}
	return nil
}

func faulttestReportCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:     "report RUN",
		Short:   "Write the result of a run as a self-contained HTML page",
		Example: "  coralhub faulttest report /tmp/coralhub-runs/surge-20261201-101500-123456789 --out surge.html",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			res, err := faulttest.ReadResult(args[0])
			if err != nil {
				return err
			}
			if out == "" {
				out = filepath.Join(args[0], "report.html")
			}
			f, err := os.Create(out)
			if err != nil {
				return err
			}
			if err := errors.Join(faulttest.WriteReport(f, res), f.Close()); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), out)
			return err
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "`FILE` of the page; by default report.html beside the result")
	return cmd
}
