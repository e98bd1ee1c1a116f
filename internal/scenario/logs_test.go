package scenario

import (
	"fmt"
	"strings"
	"testing"

	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// logLines returns the lines with a message, as text. Lines at debug level begin with "debug".
func logLines(logs []msg.Log, message string) []string {
	var lines []string
	for _, l := range logs {
		if l.Message != message {
			continue
		}
		line := ""
		if l.Debug {
			line = "debug "
		}
		for i := 0; i < len(l.Args); i += 2 {
			line += fmt.Sprintf("%v=%v ", l.Args[i], l.Args[i+1])
		}
		lines = append(lines, line)
	}
	return lines
}

func TestTakeoverLogsJoinedWorkersInOneLine(t *testing.T) {
	t.Parallel()
	s := runScript(t, `
		environment
		submit id=j-1 shape=service tasks=12
		run for=10s`, meetsCondition(t))
	s.logs = nil
	machines := len(s.env.Machines)
	s.node(s.leader()).alive = false
	s.run(15 * emulator.Second)
	want := fmt.Sprintf("joined=%d missing=0", machines)
	if lines := logLines(s.logs, "workers joined the new leader"); len(lines) != 1 || !strings.HasPrefix(lines[0], want) {
		t.Errorf("%d machines, logged %q", machines, lines)
	}
	for _, line := range logLines(s.logs, "worker joined") {
		if !strings.HasPrefix(line, "debug ") {
			t.Errorf("logged at info: %s", line)
		}
	}
}

func TestCommandsAreLoggedWithTokenAndReason(t *testing.T) {
	t.Parallel()
	s := runScript(t, startCopyScripts["next attempt after an error"], meetsCondition(t))
	lines := strings.Join(logLines(s.logs, "command"), "\n")
	for _, verb := range []string{wire.CommandStart, wire.CommandForget} {
		want := "debug verb=" + verb + " task=j-1/0 attempt=1 machine=m-000000 incarnation=1 fencing_token="
		if !strings.Contains(lines, want) {
			t.Errorf("no line with %q in:\n%s", want, lines)
		}
	}
	if raised := logLines(s.logs, "fencing token of a worker raised"); len(raised) == 0 {
		t.Error("no raised token is logged")
	}
}

func TestTaskWithoutPlacementIsLogged(t *testing.T) {
	t.Parallel()
	s := runScript(t, `
		environment
		submit id=j-1 shape=service tasks=2
		run for=6s`, meetsCondition(t))
	s.logs = nil
	for _, m := range s.env.Machines {
		foreign := wire.Command{Verb: wire.CommandStart, Task: "j-1/0", Attempt: 99}
		s.env.Commands(s.now, m, wire.CommandRequest{FencingToken: m.FencingToken, Incarnation: m.Incarnation,
			Commands: []wire.Command{foreign}})
		break
	}
	s.run(2 * emulator.Second)
	lines := logLines(s.logs, "task runs without a placement")
	if len(lines) != 1 || !strings.HasPrefix(lines[0], "task=j-1/0 attempt=99") {
		t.Errorf("logged %q", lines)
	}
}
