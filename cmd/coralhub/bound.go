package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"coralhub/internal/startbound"
)

// boundCommand compares the fraction of jobs that started in time according to the logs with an upper bound.
func boundCommand() *cobra.Command {
	var gpus, within float64
	cmd := &cobra.Command{
		Use: "bound LOG...",
		Short: "Compare the fraction of jobs that started in time with an upper bound for any scheduler, " +
			"from nodes' debug logs",
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
				if closeErr := f.Close(); err == nil {
					err = closeErr
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
			fmt.Fprintln(w, "class\tjobs\tcould start in time\tstarted in time\tof the largest tenth")
			for _, r := range rows {
				fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\n", r.Class, r.Jobs, r.Bound, r.StartedShare, r.LargestStartedShare)
			}
			return w.Flush()
		},
	}
	cmd.Flags().Float64Var(&gpus, "gpus", 1, "GPUs of each machine")
	cmd.Flags().Float64Var(&within, "within", 240, "time within which a job must start, in seconds")
	return cmd
}
