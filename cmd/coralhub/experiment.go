package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"coralhub/internal/faulttest"
)

func experimentCommand() *cobra.Command {
	var asJSON bool
	var dir string
	cmd := &cobra.Command{
		Use:   "experiment FILE",
		Short: "Compare variants of a scenario in paired runs, with the verdict better, worse or noise",
		Long: "Run a scenario with each variant of an experiment (settings, scales, programs), for each seed\n" +
			"one after the other, and compare each variant with the first, pair by pair.",
		Example: "  coralhub experiment testdata/experiments/rank.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := faulttest.LoadExperiment(args[0])
			if err != nil {
				return err
			}
			program, err := os.Executable()
			if err != nil {
				return err
			}
			return runUntilSignal(cmd.Context(), func(ctx context.Context, _ context.CancelFunc) error {
				runDir, err := createRunDir(dir, e.Name)
				if err != nil {
					return err
				}
				opt := faulttest.Options{Program: program, LogLevel: "info", Dir: runDir}
				opt.OnProgress = func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) }
				table, err := e.Run(ctx, opt)
				if err != nil {
					return err
				}
				return printTable(cmd.OutOrStdout(), table, asJSON)
			})
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	cmd.Flags().StringVar(&dir, "dir", filepath.Join(os.TempDir(), "coralhub-runs"), "`DIR` for the runs")
	return cmd
}

func printTable(out io.Writer, table *faulttest.Table, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(table)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "measure\tvariant\tmedian\tspread\tratio\tverdict\t")
	for _, r := range table.Rows {
		fmt.Fprintf(w, "%s\t%s\t%.3g\t%.3g\t%.3f\t%s\t\n", r.Measure, r.Variant, r.Median, r.Spread, r.MedianRatio, r.Verdict)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, f := range table.Failed {
		fmt.Fprintln(out, "failed:", f)
	}
	return nil
}
