package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"coralhub/internal/hollow"
	"coralhub/internal/scale"
)

func scaleCommand() *cobra.Command {
	var overrides struct {
		regions, workers, controllers int
		starts, duration              float64
	}
	var asJSON bool
	var dir, level string
	cmd := &cobra.Command{
		Use:   "scale [SETTINGS]",
		Short: "Measure controllers with hollow workers, at sizes for which there are no machines",
		Long: "Start real controller processes, hollow workers (which speak the protocol but do no work, with\n" +
			"thousands in a process) and emulators of the state service and the cloud. Put them under load,\n" +
			"and report how many tasks start, after which time, and which resources are used. SETTINGS is a\n" +
			"TOML file; the default is one region of the target. The command exits when the run is complete,\n" +
			"with status 1 if a rule was violated or the run could not be completed.",
		Example: "  coralhub scale\n  coralhub scale --workers 500 --controllers 3 --starts 50 --duration 20\n" +
			"  coralhub scale region.toml --json",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file := ""
			if len(args) > 0 {
				file = args[0]
			}
			s, err := scale.Load(file)
			if err != nil {
				return err
			}
			flags := cmd.Flags()
			if flags.Changed("regions") {
				s.Regions = overrides.regions
			}
			if flags.Changed("workers") {
				s.Workers = overrides.workers
			}
			if flags.Changed("controllers") {
				s.Controllers = overrides.controllers
			}
			if flags.Changed("starts") {
				s.StartsPerS = overrides.starts
			}
			if flags.Changed("duration") {
				s.DurationS = overrides.duration
			}
			return runUntilSignal(cmd.Context(), func(ctx context.Context, _ context.CancelFunc) error {
				return runScale(ctx, cmd, s, dir, level, asJSON)
			})
		},
	}
	f := cmd.Flags()
	f.IntVar(&overrides.regions, "regions", 0, "number of regions that run side by side")
	f.IntVar(&overrides.workers, "workers", 0, "number of workers in each region")
	f.IntVar(&overrides.controllers, "controllers", 0, "number of controllers in each region")
	f.Float64Var(&overrides.starts, "starts", 0, "requested task starts per second in each region")
	f.Float64Var(&overrides.duration, "duration", 0, "duration of the measurement in seconds")
	f.BoolVar(&asJSON, "json", false, "print the result as one JSON object")
	f.StringVar(&dir, "dir", filepath.Join(os.TempDir(), "coralhub-runs"), "`DIR` for results, settings and logs")
	f.StringVar(&level, "log", "info", "log level of the controllers: error, info or debug")
	return cmd
}

// runScale performs a run, writes its result to a new directory and prints it.
func runScale(ctx context.Context, cmd *cobra.Command, s scale.Settings, dir, level string, asJSON bool) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	runDir, err := createRunDir(dir, "scale")
	if err != nil {
		return err
	}
	out, startedAt := cmd.OutOrStdout(), time.Now()
	opt := scale.Options{Program: program, ServeArgs: []string{"serve", "--with-parent"},
		HollowArgs: []string{hollowCommandName}, Dir: runDir, LogLevel: level}
	if !asJSON {
		opt.OnProgress = func(line string) { fmt.Fprintf(out, "%7.1f  %s\n", time.Since(startedAt).Seconds(), line) }
	}
	res, err := scale.Run(ctx, s, opt)
	if err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	raw, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(runDir, "result.json"), raw, 0o600); err != nil {
		return err
	}
	if asJSON {
		_, err = fmt.Fprintln(out, string(raw))
	} else {
		err = res.Print(out)
		fmt.Fprintf(out, "logs and result in %s\n", runDir)
	}
	if err != nil {
		return err
	}
	for i := range res.Regions {
		if n := len(res.Regions[i].Violations); n > 0 {
			return fmt.Errorf("scale: %d rule violations in %s, first: %s", n, res.Regions[i].Region,
				res.Regions[i].Violations[0])
		}
	}
	return nil
}

// hollowCommandName is the subcommand with which scale starts processes of hollow workers.
const hollowCommandName = "hollow-workers"

func hollowCommand() *cobra.Command {
	return &cobra.Command{
		Use:    hollowCommandName,
		Short:  "Host hollow workers, which do no work; started by scale",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return hollow.Run(cmd.Context(), os.Stdin, os.Stdout)
		},
	}
}
