package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"coralhub/internal/faulttest"
	"coralhub/internal/view"
)

func rehearseCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "rehearse",
		Short: "Play scripted failures on a cluster of this machine's own and tell whether they pass",
	}
	cmd.AddCommand(rehearseList(), rehearseRun(), rehearseReport())
	return cmd
}

func rehearseList() *cobra.Command {
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
				fmt.Fprintf(w, "%s\t%.0f s\t%s\n", name, s.DurationS, s.About)
			}
			return w.Flush()
		},
	}
}

// errFailed ends the program with 1 and nothing more to say.
var errFailed = errors.New("a scenario failed")

func rehearseRun() *cobra.Command {
	var plain, asJSON bool
	var seed uint64
	var scale, speed float64
	var dir, settings, level string
	cmd := &cobra.Command{
		Use:   "run SCENARIO...",
		Short: "Play scenarios, by their names or from files",
		Long: "Play scenarios on real processes of this program and stand-ins on loopback sockets.\n" +
			"Each prints PASS or FAIL, with what failed; the exit code is 1 if any failed.",
		Example: "  coralhub rehearse run surge\n  coralhub rehearse run --plain --seed 7 leader-killed ./my-night.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			program, err := os.Executable()
			if err != nil {
				return err
			}
			if scale <= 0 || speed <= 0 {
				return errors.New("--scale and --speed must be above 0")
			}
			out, failed := cmd.OutOrStdout(), false
			for _, name := range args {
				s, err := faulttest.Load(name)
				if err != nil {
					return err
				}
				if scale != 1 {
					s = s.Scaled(scale)
				}
				if speed != 1 {
					s = s.Sped(speed)
				}
				folder, err := runFolder(dir, s.Name)
				if err != nil {
					return err
				}
				opt := faulttest.Options{Program: program, Seed: seed, Settings: settings, Log: level, Dir: folder}
				began := time.Now()
				var screen *view.Screen
				if f, ok := out.(*os.File); ok && !plain && !asJSON && isatty.IsTerminal(f.Fd()) {
					screen = view.Open(ctx, f, stop, s.Name+": "+s.About)
					opt.Watch = screen.Show
				} else if !plain && !asJSON {
					opt.Say = func(line string) { fmt.Fprintf(out, "%7.1f  %s\n", time.Since(began).Seconds(), line) }
					fmt.Fprintf(out, "%s: %s\n", s.Name, s.About)
				}
				res, err := faulttest.Run(ctx, s, opt)
				screen.Close()
				if err != nil {
					if ctx.Err() != nil {
						return err
					}
					res = &faulttest.Result{Scenario: s.Name, Seed: seed, Why: err.Error()}
				}
				failed = failed || !res.Passed
				if err := tell(out, res, opt.Dir, plain, asJSON); err != nil {
					return err
				}
			}
			if failed {
				return errFailed
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.BoolVar(&plain, "plain", false, "print nothing but the verdict")
	f.BoolVar(&asJSON, "json", false, "print each result as JSON")
	f.Uint64Var(&seed, "seed", 1, "draws arrivals, run times and machines")
	f.Float64Var(&scale, "scale", 1, "so many times the machines and the load")
	f.Float64Var(&speed, "speed", 1, "so many times the jobs, as much shorter each; the protocol's times stay")
	f.StringVar(&dir, "dir", filepath.Join(os.TempDir(), "coralhub-runs"), "`FOLDER` for results, settings and logs")
	f.StringVar(&settings, "settings", "", "the operators' settings `FILE` for the nodes")
	f.StringVar(&level, "log", "info", "how much the nodes log")
	return cmd
}

// runFolder makes a run's folder. Two that begin at the same moment get one each: in one,
// each would start its nodes with the other's settings.
func runFolder(dir, name string) (string, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	return os.MkdirTemp(dir, fmt.Sprintf("%s-%s-", name, time.Now().Format("20060102-150405")))
}

func tell(out io.Writer, res *faulttest.Result, dir string, plain, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(res)
	}
	if !plain {
		if err := printResult(out, res); err != nil {
			return err
		}
		fmt.Fprintf(out, "logs and result in %s\n", dir)
	}
	if res.Passed {
		_, err := fmt.Fprintf(out, "PASS %s\n", res.Scenario)
		return err
	}
	_, err := fmt.Fprintf(out, "FAIL %s: %s\n", res.Scenario, res.Why)
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
		fmt.Fprintf(out, "%s %s: %.3f of %d\n", mark, f.Expect, f.Found, f.Of)
	}
	return nil
}

func rehearseReport() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:     "report RUN",
		Short:   "Write the result of a run as a page of HTML that needs nothing else",
		Example: "  coralhub rehearse report /tmp/coralhub-runs/surge-20261201-101500-123456789 --out surge.html",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			res, err := faulttest.Open(args[0])
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
			if err := errors.Join(faulttest.Report(f, res), f.Close()); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), out)
			return err
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "the page's `FILE`; otherwise report.html beside the result")
	return cmd
}

// runUntilSignal runs f until it ends or the program is told to.
func runUntilSignal(ctx context.Context, f func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return f(ctx)
}
