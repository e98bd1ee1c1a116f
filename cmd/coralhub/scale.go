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
	var over struct {
		regions, workers, controllers int
		starts, duration              float64
	}
	var asJSON bool
	var dir, level string
	cmd := &cobra.Command{
		Use:   "scale [SETTINGS]",
		Short: "Measure controllers with hollow workers, at a size for which there are no machines",
		Long: "Start real controller processes, workers that speak the protocol and do no work, thousands a\n" +
			"process, and stand-ins of the state service and the cloud; load them, and tell what starts,\n" +
			"how soon, and what it takes. SETTINGS is a file (TOML); without one, a region of the target.\n" +
			"It ends by itself, and exits with 1 if a rule was broken or the run could not be made.",
		Example: "  coralhub scale\n  coralhub scale --workers 500 --controllers 3 --starts 50 --duration 20\n  coralhub scale region.toml --json",
		Args:    cobra.MaximumNArgs(1),
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
				s.Regions = over.regions
			}
			if flags.Changed("workers") {
				s.Workers = over.workers
			}
			if flags.Changed("controllers") {
				s.Controllers = over.controllers
			}
			if flags.Changed("starts") {
				s.StartsPerS = over.starts
			}
			if flags.Changed("duration") {
				s.DurationS = over.duration
			}
			return runUntilSignal(cmd.Context(), func(ctx context.Context, _ context.CancelFunc) error {
				return runScale(ctx, cmd, s, dir, level, asJSON)
			})
		},
	}
	f := cmd.Flags()
	f.IntVar(&over.regions, "regions", 0, "regions side by side")
	f.IntVar(&over.workers, "workers", 0, "workers of a region")
	f.IntVar(&over.controllers, "controllers", 0, "controllers of a region")
	f.Float64Var(&over.starts, "starts", 0, "task starts a second that are asked of a region")
	f.Float64Var(&over.duration, "duration", 0, "seconds that are measured")
	f.BoolVar(&asJSON, "json", false, "print the result as one JSON object")
	f.StringVar(&dir, "dir", filepath.Join(os.TempDir(), "coralhub-runs"), "`FOLDER` for results, settings and logs")
	f.StringVar(&level, "log", "info", "how much the controllers log")
	return cmd
}

// runScale makes a run, writes its result into a folder of its own and prints it.
func runScale(ctx context.Context, cmd *cobra.Command, s scale.Settings, dir, level string, asJSON bool) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	folder, err := runFolder(dir, "scale")
	if err != nil {
		return err
	}
	out, began := cmd.OutOrStdout(), time.Now()
	opt := scale.Options{Program: program, ServeArgs: []string{"serve", "--with-parent"}, HollowArgs: []string{hollowCommandName}, Dir: folder, Log: level}
	if !asJSON {
		opt.Progress = func(line string) { fmt.Fprintf(out, "%7.1f  %s\n", time.Since(began).Seconds(), line) }
	}
	res, err := scale.Run(ctx, s, opt)
	if err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	raw, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "result.json"), raw, 0o600); err != nil {
		return err
	}
	if asJSON {
		_, err = fmt.Fprintln(out, string(raw))
	} else {
		err = res.Print(out)
		fmt.Fprintf(out, "logs and result in %s\n", folder)
	}
	if err != nil {
		return err
	}
	for i := range res.Regions {
		if n := len(res.Regions[i].Broken); n > 0 {
			return fmt.Errorf("scale: %d rules broken in %s, first %s", n, res.Regions[i].Region, res.Regions[i].Broken[0])
		}
	}
	return nil
}

// hollowCommandName is how a run of scale starts its hollow workers.
const hollowCommandName = "hollow-workers"

func hollowCommand() *cobra.Command {
	return &cobra.Command{
		Use:    hollowCommandName,
		Short:  "Host workers that do no work; started by scale",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return hollow.Run(cmd.Context(), os.Stdin, os.Stdout)
		},
	}
}
