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
		Short: "Record histories of runs, and see how well run times would have been estimated",
	}
	cmd.AddCommand(replayCommand(), recordCommand())
	return cmd
}

func replayCommand() *cobra.Command {
	var asJSON bool
	var plot string
	cmd := &cobra.Command{
		Use:   "replay HISTORY.jsonl",
		Short: "Run a recorded history through the learner and tell how its estimates fared",
		Long: "Run a recorded history through the learner, in order and never looking ahead: what is\n" +
			"said of a run is said when it starts, on the strength of the runs that have ended by then.\n" +
			"Lines that can't be read are told of on standard error, counted and skipped.",
		Example: "  coralhub estimate replay runs.jsonl --plot runs.html\n  coralhub estimate replay runs.jsonl --json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := replay(args[0], cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			if plot != "" {
				if err := draw(plot, r); err != nil {
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
	cmd.Flags().StringVar(&plot, "plot", "", "draw runs and estimates into `FILE`, .png or .html")
	return cmd
}

// maxProblems is how many problems of a history are reported one by one.
const maxProblems = 20

func replay(path string, errOut io.Writer) (*history.Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // nothing was written
	problems := 0
	lines, skipped, err := history.Read(f, func(p history.Problem) {
		if problems++; problems <= maxProblems {
			fmt.Fprintln(errOut, p)
		}
	})
	if problems > maxProblems {
		fmt.Fprintf(errOut, "and %d problems more\n", problems-maxProblems)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return history.Replay(lines, skipped), nil
}

func draw(path string, r *history.Result) error {
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
	fmt.Fprintln(w, "class\tjobs\twith kin\twithin 1.25\t1.5\t2\t0.5 covers\t0.8\t0.95\tlog error\towners'\tfirst seen\twithin 2\tunknown\t")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%.3f\t%d\t\n", c.Class, c.Jobs, c.WithSimilar,
			c.Within["1.25"], c.Within["1.5"], c.Within["2"], c.Coverage["0.5"], c.Coverage["0.8"], c.Coverage["0.95"],
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
	var span time.Duration
	cmd := &cobra.Command{
		Use:   "record --node HOST:PORT",
		Short: "Write the runs that a service sees as a history",
		Long: "Write the runs that end in a running service as a history, until interrupted or for the\n" +
			"time given. The nodes must be started with the setting admin; the one that leads is found\n" +
			"among those given. Runs that were missed, as by a change of leader, are told of.",
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
			r := &recorder.Recorder{Nodes: nodes, Client: &http.Client{Timeout: 5 * time.Second}, OnProblem: func(s string) { fmt.Fprintln(cmd.ErrOrStderr(), s) }}
			return runUntilSignal(cmd.Context(), func(ctx context.Context, _ context.CancelFunc) error {
				if span > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, span)
					defer cancel()
				}
				return r.Run(ctx, w)
			})
		},
	}
	cmd.Flags().StringArrayVar(&nodes, "node", nil, "`HOST:PORT` of a node, repeated for each")
	cmd.Flags().StringVar(&out, "out", "", "append to `FILE` instead of standard output")
	cmd.Flags().DurationVar(&span, "for", 0, "stop after this long")
	if err := cmd.MarkFlagRequired("node"); err != nil {
		panic(err) // the flag is defined above
	}
	return cmd
}
