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
		Short:   "Play scripted failures on a cluster of this machine's own and tell whether they pass",
	}
	cmd.AddCommand(faulttestList(), faulttestRun(), faulttestReport())
	return cmd
}

func faulttestList() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the scenarios that come with the program",
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

// errFailed ends the program with 1 and nothing more to say.
var errFailed = errors.New("a scenario failed")

// faulttestFlags are the flags of faulttest run.
type faulttestFlags struct {
	plain, asJSON bool
	seed          uint64
	scale, speed  float64
	dir           string
	settings      string
	logLevel      string
}

func faulttestRun() *cobra.Command {
	var flags faulttestFlags
	cmd := &cobra.Command{
		Use:   "run SCENARIO...",
		Short: "Play scenarios, by their names or from files",
		Long: "Play scenarios on real processes of this program and emulators on loopback sockets.\n" +
			"Each prints PASS or FAIL, with what failed; the exit code is 1 if any failed.",
		Example: "  coralhub faulttest run surge\n  coralhub faulttest run --plain --seed 7 leader-killed ./my-night.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runUntilSignal(cmd.Context(), func(ctx context.Context, stop context.CancelFunc) error {
				return flags.playAll(ctx, stop, cmd.OutOrStdout(), args)
			})
		},
	}
	f := cmd.Flags()
	f.BoolVar(&flags.plain, "plain", false, "print nothing but the verdict")
	f.BoolVar(&flags.asJSON, "json", false, "print each result as JSON")
	f.Uint64Var(&flags.seed, "seed", 1, "draws arrivals, run times and machines")
	f.Float64Var(&flags.scale, "scale", 1, "so many times the machines and the load")
	f.Float64Var(&flags.speed, "speed", 1, "so many times the jobs, as much shorter each; the protocol's times stay")
	f.StringVar(&flags.dir, "dir", filepath.Join(os.TempDir(), "coralhub-runs"), "`FOLDER` for results, settings and logs")
	f.StringVar(&flags.settings, "settings", "", "the operators' settings `FILE` for the nodes")
	f.StringVar(&flags.logLevel, "log", "info", "how much the nodes log")
	return cmd
}

// playAll plays scenarios one after the other. It returns errFailed if any has failed.
func (f *faulttestFlags) playAll(ctx context.Context, stop func(), out io.Writer, names []string) error {
	if f.scale <= 0 || f.speed <= 0 {
		return errors.New("--scale and --speed must be above 0")
	}
	failed := false
	for _, name := range names {
		s, err := f.load(name)
		if err != nil {
			return err
		}
		folder, err := runFolder(f.dir, s.Name)
		if err != nil {
			return err
		}
		res, err := f.play(ctx, stop, out, s, folder)
		if err != nil {
			return err
		}
		failed = failed || !res.Passed
		if err := f.print(out, res, folder); err != nil {
			return err
		}
	}
	if failed {
		return errFailed
	}
	return nil
}

// load reads a scenario and scales it.
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

// play plays a scenario. A run that could not be made is a failed result, unless it was interrupted.
func (f *faulttestFlags) play(ctx context.Context, stop func(), out io.Writer, s *faulttest.Scenario, folder string) (*faulttest.Result, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	opt := faulttest.Options{Program: program, Seed: f.seed, Settings: f.settings, LogLevel: f.logLevel, Dir: folder}
	screen := f.showProgress(ctx, stop, out, s, &opt)
	res, err := faulttest.Run(ctx, s, opt)
	if screenErr := screen.Close(); screenErr != nil {
		fmt.Fprintln(os.Stderr, "coralhub: the progress could not be shown:", screenErr)
	}
	if err != nil && ctx.Err() != nil {
		return nil, err
	}
	if err != nil {
		return &faulttest.Result{Scenario: s.Name, Seed: f.seed, FailureReason: err.Error()}, nil
	}
	return res, nil
}

// showProgress has a run shown on a terminal, or told line by line elsewhere. The screen is nil if there is none.
func (f *faulttestFlags) showProgress(ctx context.Context, stop func(), out io.Writer, s *faulttest.Scenario, opt *faulttest.Options) *view.Screen {
	if f.plain || f.asJSON {
		return nil
	}
	title := s.Name + ": " + s.Description
	if file, ok := out.(*os.File); ok && isatty.IsTerminal(file.Fd()) {
		screen := view.Open(ctx, file, stop, title)
		opt.OnStatus = screen.Show
		return screen
	}
	began := time.Now()
	opt.OnProgress = func(line string) { fmt.Fprintf(out, "%7.1f  %s\n", time.Since(began).Seconds(), line) }
	fmt.Fprintln(out, title)
	return nil
}

// runFolder makes a run's folder. Two that begin at the same moment get one each: in one,
// each would start its nodes with the other's settings.
func runFolder(dir, name string) (string, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	return os.MkdirTemp(dir, fmt.Sprintf("%s-%s-", name, time.Now().Format("20060102-150405")))
}

// print prints a result as the flags ask.
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
	fmt.Fprintln(w, "class\tsubmitted\taccepted\tstarted\tdone\tcancelled\tsubmit p50/p99 ms\tstart p50/p90/max s\tdone p50/p90/max s\t")
	for _, c := range res.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f/%.0f\t%.1f/%.1f/%.1f\t%.1f/%.1f/%.1f\t\n", c.Class, c.Submitted, c.Accepted, c.Started, c.Done, c.Cancelled,
			c.SubmitMS.P50, c.SubmitMS.P99, c.StartS.P50, c.StartS.P90, c.StartS.Max, c.DoneS.P50, c.DoneS.P90, c.DoneS.Max)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, n := range res.Nodes {
		fmt.Fprintf(out, "%s: %.1f s of processor, %.0f MB at most, %d restarts\n", n.Node, n.CPUS, n.PeakMB, n.Restarts)
	}
	fmt.Fprintf(out, "state service: %d requests (%d refused), %d changes; %d machines rented\n", res.Requests, res.Refused, res.Changes, res.Machines)
	for _, b := range res.Violations {
		fmt.Fprintf(out, "broken: %s\n", b)
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

func faulttestReport() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:     "report RUN",
		Short:   "Write the result of a run as a page of HTML that needs nothing else",
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
	cmd.Flags().StringVar(&out, "out", "", "the page's `FILE`; otherwise report.html beside the result")
	return cmd
}
