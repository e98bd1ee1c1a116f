package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"coralhub/internal/load"
	"coralhub/wire"
)

func loadCommand() *cobra.Command {
	var asJSON bool
	opt := load.Options{Spec: wire.Job{Priority: wire.Normal, Image: "demo", ImageGB: 0.1}}
	shape := "array"
	cmd := &cobra.Command{
		Use:   "load --to HOST:PORT",
		Short: "Submit jobs at set times, whatever the answers take, and tell what users met",
		Long: "Submit jobs at random times of a given rate, not slowed by slow answers. Times count from\n" +
			"when a submission was due. It makes no more than --jobs of them and ends by itself.",
		Example: "  coralhub load --to 127.0.0.1:8080 --jobs 200 --rate 20 --tasks 4 --expect 5 --wait",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var ok bool
			if opt.Spec.Shape, ok = wire.ParseShape(shape); !ok {
				return fmt.Errorf("--shape %q: neither array, gang nor service", shape)
			}
			return runUntilSignal(cmd.Context(), func(ctx context.Context, _ context.CancelFunc) error {
				res, err := load.Run(ctx, opt)
				if err != nil {
					return err
				}
				out := cmd.OutOrStdout()
				if asJSON {
					return json.NewEncoder(out).Encode(res)
				}
				fmt.Fprintf(out, "%d jobs, %d accepted, %d ended, %d not sent since too many were on their way; answers %v\n",
					res.Jobs, res.Accepted, res.Ended, res.Missed, res.Statuses)
				fmt.Fprintf(out, "submission p50 %.3f p90 %.3f p99 %.3f max %.3f s\n", res.Submit.P50, res.Submit.P90, res.Submit.P99, res.Submit.Max)
				if opt.Wait {
					fmt.Fprintf(out, "end        p50 %.3f p90 %.3f p99 %.3f max %.3f s\n", res.End.P50, res.End.P90, res.End.P99, res.End.Max)
				}
				return nil
			})
		},
	}
	f := cmd.Flags()
	f.StringArrayVar(&opt.To, "to", nil, "`HOST:PORT` of a node or balancer, repeated for several")
	f.IntVar(&opt.Jobs, "jobs", 20, "how many jobs")
	f.Float64Var(&opt.Rate, "rate", 5, "how many a second")
	f.Uint64Var(&opt.Seed, "seed", 1, "draws the times")
	f.IntVar(&opt.First, "first", 1, "number of the first job's id")
	f.IntVar(&opt.Limit, "limit", 1000, "requests at a time")
	f.BoolVar(&opt.Wait, "wait", false, "follow the jobs to their end")
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	f.StringVar(&shape, "shape", "array", "array, gang or service")
	f.StringVar(&opt.Spec.Class, "class", "demo", "class of the jobs")
	f.StringVar(&opt.Spec.Team, "team", "team", "team of the jobs")
	f.IntVar(&opt.Spec.Tasks, "tasks", 1, "tasks of a job")
	f.Float64Var(&opt.Spec.CPUs, "cpus", 1, "CPUs of a task")
	f.Float64Var(&opt.Spec.GPUs, "gpus", 1, "GPUs of a task")
	f.Float64Var(&opt.Spec.MemoryGB, "memory-gb", 1, "memory of a task")
	f.Float64Var(&opt.Spec.EstimateS, "expect", 3, "seconds that a task is thought to run")
	if err := cmd.MarkFlagRequired("to"); err != nil {
		panic(err) // the flag is defined above
	}
	return cmd
}
