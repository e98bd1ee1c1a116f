// Command coralhub runs a controller node of the coralhub cluster scheduler, and the tools to test and measure it.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"coralhub/internal/config"
	"coralhub/internal/node"
)

// version can be set by the linker.
var version = "dev"

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "coralhub:", strings.ReplaceAll(err.Error(), "\n", " "))
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	// Without a subcommand, it serves as a controller node: that is how the platform starts it.
	cmd := serveCommand("coralhub --config FILE")
	cmd.Long = "coralhub schedules batch jobs, gangs and services on rented machines.\n" +
		"Without a subcommand it serves as a controller node."
	cmd.Version = version
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	cmd.AddCommand(
		serveCommand("serve --config FILE"),
		upCommand(),
		faulttestCommand(),
		loadCommand(),
		experimentCommand(),
		estimateCommand(),
		boundCommand(),
		scaleCommand(),
		capacityCommand(),
		hollowCommand(),
	)
	return cmd
}

func serveCommand(use string) *cobra.Command {
	var platformFile, settingsFile string
	var withParent bool
	cmd := &cobra.Command{
		Use:   use,
		Short: "Serve as a controller node",
		Long: "Serve as a controller node with the configuration in the platform file.\n" +
			"Logs are written to standard error; LOG_LEVEL is error, info or debug.",
		Example: "  coralhub serve --config node.toml --settings deploy/settings.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			level, err := logLevel(os.Getenv("LOG_LEVEL"))
			if err != nil {
				return err
			}
			slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
			cfg, err := config.Load(platformFile, settingsFile)
			if err != nil {
				return err
			}
			if withParent {
				go exitWithParent()
			}
			return node.New(cfg).Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&platformFile, "config", "", "platform `FILE` (TOML)")
	cmd.Flags().StringVar(&settingsFile, "settings", "", "operators' settings `FILE` (JSON)")
	cmd.Flags().BoolVar(&withParent, "with-parent", false, "exit when standard input ends")
	if err := cmd.Flags().MarkHidden("with-parent"); err != nil {
		panic(err) // the flag is defined above
	}
	if err := cmd.MarkFlagRequired("config"); err != nil {
		panic(err) // the flag is defined above
	}
	return cmd
}

// exitWithParent exits the process when standard input ends, which happens when the parent process ends for any reason.
func exitWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}

// logLevel parses the value of LOG_LEVEL.
func logLevel(s string) (slog.Level, error) {
	switch s {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", s)
}
