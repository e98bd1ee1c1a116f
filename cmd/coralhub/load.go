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
		Short: "Submit jobs at times that don't depend on the responses, and report the latency of users",
		Long: "Submit jobs at random times with a given mean rate; slow responses delay no other submission.\n" +
			"Latencies are measured from the time at which a submission was due. At most --jobs jobs are\n" +
			"submitted, then the command exits.",
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
				fmt.Fprintf(out, "%d jobs, %d accepted, %d ended, %d not sent "+
					"because the limit of concurrent jobs was reached; responses by status %v\n",
					res.Jobs, res.Accepted, res.Ended, res.Missed, res.Statuses)
				fmt.Fprintf(out, "submission p50 %.3f p90 %.3f p99 %.3f max %.3f s\n", res.Submit.P50, res.Submit.P90,
					res.Submit.P99, res.Submit.Max)
				if opt.Wait {
					fmt.Fprintf(out, "end        p50 %.3f p90 %.3f p99 %.3f max %.3f s\n", res.End.P50, res.End.P90, res.End.P99,
						res.End.Max)
				}
				return nil
			})
		},
	}
	f := cmd.Flags()
	f.StringArrayVar(&opt.Addresses, "to", nil, "`HOST:PORT` of a node or load balancer; may be repeated")
	f.IntVar(&opt.Jobs, "jobs", 20, "number of jobs")
	f.Float64Var(&opt.Rate, "rate", 5, "mean number of submissions per second")
	f.Uint64Var(&opt.Seed, "seed", 1, "random seed of the submission times")
	f.IntVar(&opt.FirstJobNumber, "first", 1, "number in the ID of the first job")
	f.IntVar(&opt.MaxConcurrent, "limit", 1000, "maximum number of concurrent jobs; submissions beyond it are not sent")
	f.BoolVar(&opt.Wait, "wait", false, "wait until the jobs have ended")
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	f.StringVar(&shape, "shape", "array", "array, gang or service")
	f.StringVar(&opt.Spec.Class, "class", "demo", "class of the jobs")
	f.StringVar(&opt.Spec.Team, "team", "team", "team of the jobs")
	f.IntVar(&opt.Spec.Tasks, "tasks", 1, "tasks of a job")
	f.Float64Var(&opt.Spec.CPUs, "cpus", 1, "CPUs of a task")
	f.Float64Var(&opt.Spec.GPUs, "gpus", 1, "GPUs of a task")
	f.Float64Var(&opt.Spec.MemoryGB, "memory-gb", 1, "memory of a task in GB")
	f.Float64Var(&opt.Spec.EstimateS, "expect", 3, "estimated run time of a task in seconds")
	if err := cmd.MarkFlagRequired("to"); err != nil {
		panic(err) // the flag is defined above
	}
	return cmd
}
