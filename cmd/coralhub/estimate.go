package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"coralhub/internal/chart"
	"coralhub/internal/history"
	"coralhub/internal/recorder"
)

func estimateCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "estimate",
		Short: "Record histories of runs, and evaluate the estimates of run times on them",
	}
	cmd.AddCommand(replayCommand(), recordCommand())
	return cmd
}

func replayCommand() *cobra.Command {
	var asJSON bool
	var plot string
	cmd := &cobra.Command{
		Use:   "replay HISTORY.jsonl",
		Short: "Replay a recorded history and report the accuracy of the run-time estimates",
		Long: "Replay a recorded history through the model of run times, in order: each run is estimated\n" +
			"when it starts, from the runs that have ended by then, and never from later ones.\n" +
			"Lines that can't be read are reported on standard error, counted and skipped.",
		Example: "  coralhub estimate replay runs.jsonl --plot runs.html\n  coralhub estimate replay runs.jsonl --json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := replay(args[0], cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			if plot != "" {
				if err := writeCharts(plot, r); err != nil {
					return err
				}
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(r)
			}
			return printReplay(cmd.OutOrStdout(), r)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	cmd.Flags().StringVar(&plot, "plot", "", "write charts of runs and estimates to `FILE` (.png or .html)")
	return cmd
}

// maxProblems bounds the number of problems of a history that are reported one by one.
const maxProblems = 20

func replay(path string, errOut io.Writer) (*history.Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the file is only read
	problems := 0
	lines, skipped, err := history.Read(f, func(p history.Problem) {
		if problems++; problems <= maxProblems {
			fmt.Fprintln(errOut, p)
		}
	})
	if problems > maxProblems {
		fmt.Fprintf(errOut, "%d more problems\n", problems-maxProblems)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return history.Replay(lines, skipped), nil
}

func writeCharts(path string, r *history.Result) error {
	write := chart.HTML
	switch strings.ToLower(filepath.Ext(path)) {
	case ".html":
	case ".png":
		write = chart.PNG
	default:
		return fmt.Errorf("--plot %s: neither .png nor .html", path)
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f, r), f.Close())
}

func printReplay(out io.Writer, r *history.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tjobs\twith similar runs\twithin 1.25\t1.5\t2\t"+
		"0.5 covers\t0.8\t0.95\tlog error\tusers'\tfirst seen\twithin 2\tunknown\t")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%.3f\t%d\t\n", c.Class, c.Jobs,
			c.WithSimilar, c.Within["1.25"], c.Within["1.5"], c.Within["2"],
			c.Coverage["0.5"], c.Coverage["0.8"], c.Coverage["0.95"],
			c.LogError, c.UserLogError, c.FirstSeen.Jobs, c.FirstSeen.Within2, c.FirstSeen.Unknown)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d lines skipped, %d sudden changes found\n", r.Skipped, r.Changes)
	return err
}

func recordCommand() *cobra.Command {
	var nodes []string
	var out string
	var duration time.Duration
	cmd := &cobra.Command{
		Use:   "record --node HOST:PORT",
		Short: "Record the runs of a running cluster as a history",
		Long: "Record the runs that end in a running cluster as a history, until interrupted or for the\n" +
			"time given by --for. The nodes must be started with the setting admin; the leader is found\n" +
			"among the nodes given by --node. Runs that were missed, for example because of a change of\n" +
			"leader, are reported on standard error.",
		Example: "  coralhub estimate record --node 10.0.0.1:8080 --node 10.0.0.2:8080 --out runs.jsonl --for 1h",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) (err error) {
			w := cmd.OutOrStdout()
			if out != "" {
				f, err := os.OpenFile(out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
				if err != nil {
					return err
				}
				defer func() { err = errors.Join(err, f.Close()) }()
				w = f
			}
			r := &recorder.Recorder{Nodes: nodes, Client: &http.Client{Timeout: 5 * time.Second},
				OnProblem: func(s string) { fmt.Fprintln(cmd.ErrOrStderr(), s) }}
			return runUntilSignal(cmd.Context(), func(ctx context.Context, _ context.CancelFunc) error {
				if duration > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, duration)
					defer cancel()
				}
				return r.Run(ctx, w)
			})
		},
	}
	cmd.Flags().StringArrayVar(&nodes, "node", nil, "`HOST:PORT` of a node; may be repeated")
	cmd.Flags().StringVar(&out, "out", "", "append to `FILE` instead of standard output")
	cmd.Flags().DurationVar(&duration, "for", 0, "stop after this `DURATION`; 0 to record until interrupted")
	if err := cmd.MarkFlagRequired("node"); err != nil {
		panic(err) // the flag is defined above
	}
	return cmd
}
