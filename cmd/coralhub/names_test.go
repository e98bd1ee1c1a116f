package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"coralhub/internal/golden"
)

// Scripts go by the names of commands and flags and by what flags are unless they are set.
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
	list(command(), "")
	golden.Check(t, "commands.txt", out.String())
	if run, _, err := command().Find([]string{"rehearse", "run"}); err != nil || run.CommandPath() != "coralhub faulttest run" {
		t.Errorf("the old name of faulttest finds %v, %v", run, err)
	}
}

// Deploy files and shells set LOG_LEVEL. A wrong value is refused before the settings are read, whichever command line
// starts the service.
func TestNameOfLogLevelVariable(t *testing.T) {
	t.Setenv("LOG_LEVEL", "loud")
	for _, args := range [][]string{{"--config", "none.toml"}, {"serve", "--config", "none.toml"}} {
		cmd := command()
		cmd.SetArgs(args)
		if err := cmd.Execute(); err == nil || err.Error() != `LOG_LEVEL: "loud" is not error, info or debug` {
			t.Errorf("coralhub %s: %v", strings.Join(args, " "), err)
		}
	}
}
