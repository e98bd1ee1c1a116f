package scenario

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// afterCommand is called with a command of a script and what it has printed.
type afterCommand func(s *Sim, d *datadriven.TestData, out string)

// runScript runs the commands of a script, one a line, and returns its simulation.
func runScript(t *testing.T, script string, after afterCommand) *Sim {
	t.Helper()
	var s *Sim
	for line := range strings.Lines(script) {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		cmd, args, err := datadriven.ParseLine(line)
		if err != nil {
			t.Fatal(err)
		}
		d := &datadriven.TestData{Cmd: cmd, CmdArgs: args, Pos: line}
		if cmd == "environment" {
			s = newScriptSim(t, d)
			continue
		}
		out := executeCommand(t, s, d)
		if cmd == "submit" && strings.HasPrefix(out, "400") {
			t.Fatalf("%s: submission is malformed: %s", line, out)
		}
		after(s, d, out)
	}
	return s
}
