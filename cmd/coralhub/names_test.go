package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"coralhub/internal/golden"
)

// Scripts depend on the names of commands and flags and on the types and default values of flags.
func TestNamesOfCommandsAndFlags(t *testing.T) {
	t.Setenv("TMPDIR", "/tmp")
	var out strings.Builder
	var list func(cmd *cobra.Command, indent string)
	list = func(cmd *cobra.Command, indent string) {
		fmt.Fprintf(&out, "%s%s\n", indent, strings.Join(append([]string{cmd.Name()}, cmd.Aliases...), " or "))
		cmd.Flags().VisitAll(func(f *pflag.Flag) {
			fmt.Fprintf(&out, "%s  --%s %s = %s\n", indent, f.Name, f.Value.Type(), f.DefValue)
		})
		for _, sub := range cmd.Commands() {
			list(sub, indent+"  ")
		}
	}
	list(rootCommand(), "")
	golden.Check(t, "commands.txt", out.String())
	if run, _, err := rootCommand().Find([]string{"rehearse", "run"}); err != nil ||
		run.CommandPath() != "coralhub faulttest run" {
		t.Errorf("rehearse run, the old name of faulttest run, finds command %v, error %v", run, err)
	}
}

// Deployment files and shells set LOG_LEVEL. An invalid value is rejected before the settings are read, whichever
// command line starts the service.
func TestNameOfLogLevelVariable(t *testing.T) {
	t.Setenv("LOG_LEVEL", "loud")
	for _, args := range [][]string{{"--config", "none.toml"}, {"serve", "--config", "none.toml"}} {
		cmd := rootCommand()
		cmd.SetArgs(args)
		if err := cmd.Execute(); err == nil || err.Error() != `LOG_LEVEL: "loud" is not error, info or debug` {
			t.Errorf("coralhub %s: %v", strings.Join(args, " "), err)
		}
	}
}
