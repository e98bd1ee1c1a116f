package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"coralhub/internal/startbound"
)

// boundCommand tells what anyone could have begun in time, beside what the log says had.
func boundCommand() *cobra.Command {
	var gpus, within float64
	cmd := &cobra.Command{
		Use:   "bound LOG...",
		Short: "tells from nodes' debug logs which part of the jobs anyone could have begun in time, and which had",
		Example: `  LOG_LEVEL=debug coralhub serve --config node.toml 2>node.log
  coralhub bound --gpus 4 node.log`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var l startbound.Log
			for _, name := range args {
				f, err := os.Open(name)
				if err != nil {
					return err
				}
				err = l.Read(f)
				if closed := f.Close(); err == nil {
					err = closed
				}
				if err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
			}
			rows, err := l.Rows(gpus, within)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "class\tjobs\tcould have begun\thad\tof the largest tenth")
			for _, r := range rows {
				fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\n", r.Class, r.Jobs, r.Bound, r.StartedShare, r.LargestStartedShare)
			}
			return w.Flush()
		},
	}
	cmd.Flags().Float64Var(&gpus, "gpus", 1, "GPUs of a machine")
	cmd.Flags().Float64Var(&within, "within", 240, "seconds that a job has to begin")
	return cmd
}
