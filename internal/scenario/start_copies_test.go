package scenario

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"coralhub/internal/emulator"
)

// failingMachine rents a machine and lets all later tasks on it fail.
const failingMachine = `
		submit id=j-9 shape=array tasks=4 run=1s
		until id=j-9 status=done
		machine name=m-000000 fail`

// startCopyScripts are scripts after which copies of all executed calls arrive, again and again.
var startCopyScripts = map[string]string{
	"next attempt after an error": `
		environment` + failingMachine + `
		submit id=j-1 shape=array tasks=6 run=40s
		run for=6s`,
	"many attempts of an array": `
		environment
		submit id=j-1 shape=array tasks=8 run=2s
		submit id=j-2 shape=array tasks=8 run=60s mistaken
		run for=60s`,
	"preempted": `
		environment
		submit id=j-1 shape=array tasks=12 gpus=2 team=red rank=idle run=40s save=2
		run for=8s
		submit id=j-2 shape=service tasks=10 gpus=2 team=red rank=critical
		run for=4s`,
	"cancelled": `
		environment
		submit id=j-1 shape=service tasks=4
		run for=6s
		cancel_with_retries id=j-1
		run for=3s`,
	"cancelled after errors": `
		environment` + failingMachine + `
		submit id=j-1 shape=array tasks=6 run=60s
		run for=6s
		cancel_with_retries id=j-1
		run for=3s`,
	"done, and jobs that need it": `
		environment
		submit id=j-1 shape=array tasks=4 run=1s
		submit id=j-2 shape=array tasks=4 run=1s needs=j-1
		submit id=j-3 shape=array tasks=4 run=1s needs=j-2
		until id=j-3 status=done`,
	"gang": `
		environment
		submit id=j-1 shape=gang tasks=4 gpus=2 run=60s save=2
		run for=6s
		machine of=j-1 restart
		run for=6s`,
	"leader back within a second": `
		environment` + failingMachine + `
		submit id=j-1 shape=array tasks=6 run=40s
		run for=4s
		node node=leader kill
		run for=300ms
		start_all
		run for=8s`,
	"successor without a history of calls": `
		environment` + failingMachine + `
		submit id=j-1 shape=array tasks=6 run=40s
		run for=4s
		node node=leader kill
		run for=10s
		start_all`,
	"successor at once": `
		environment` + failingMachine + `
		submit id=j-1 shape=array tasks=6 run=40s
		run for=6s
		node node=leader kill`,
	"machine hung": `
		environment lease=10s
		submit id=j-1 shape=array tasks=4 run=1s
		until id=j-1 status=done
		submit id=j-2 shape=array tasks=4 run=60s mistaken
		run for=3s
		machine nth=0 hang
		run for=5s
		machine nth=0 resume
		run for=2s`,
	"outage of the state service": `
		environment` + failingMachine + `
		submit id=j-1 shape=array tasks=6 run=20s
		run for=4s
		state down
		run for=60s
		state up
		run for=1s`,
	"older version beside it": `
		environment held=n1+n2` + failingMachine + `
		submit id=j-1 shape=array tasks=6 run=20s
		run for=6s`,
}

func TestCopyOfExecutedStartStartsNothing(t *testing.T) {
	t.Parallel()
	for _, name := range slices.Sorted(maps.Keys(startCopyScripts)) {
		s := runScript(t, startCopyScripts[name], meetsCondition(t))
		for range 60 { // minutes later, too
			s.repeatCalls()
			s.run(2 * emulator.Second)
		}
		if len(s.executedCalls) == 0 {
			t.Errorf("%s: no call was executed", name)
		}
		if n := len(s.env.Violations); n > 0 {
			t.Errorf("%s: %d violations, first:\n%s", name, n, strings.Join(s.env.Violations[:min(n, maxProblems)], "\n"))
		}
	}
}

// meetsCondition fails the test if a command names a machine that does not exist or waits in vain.
func meetsCondition(t *testing.T) afterCommand {
	t.Helper()
	return func(_ *Sim, d *datadriven.TestData, out string) {
		t.Helper()
		if strings.HasPrefix(out, "no such") || out == "never\n" {
			t.Fatalf("%s: %s", d.Pos, out)
		}
	}
}
