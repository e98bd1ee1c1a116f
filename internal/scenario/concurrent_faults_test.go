package scenario

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"coralhub/internal/emulator"
	"coralhub/wire"
)

// combinationSeeds is the number of seeds of TestConcurrentFaults for each kind of combination. The
// default takes a few seconds.
var combinationSeeds = flag.Int("days", 4, "number of days of TestConcurrentFaults for each kind of combination")

// firstSeed is the first seed of TestConcurrentFaults.
var firstSeed = flag.Int("from", 0, "first seed of TestConcurrentFaults")

// maxShrinkTries is the maximum number of runs with lines left out to shrink a failing day.
var maxShrinkTries = flag.Int("shrink", 300, "maximum number of runs to shrink a failing day of TestConcurrentFaults")

// replayFile is a file with a day as TestConcurrentFaults prints it, to be run instead of generated
// days.
var replayFile = flag.String("replay", "", "file with a day for TestConcurrentFaults to run instead of generated ones")

// TestConcurrentFaults generates days, which are scripts in which up to three combinations of faults
// coincide. No invariant may be violated. Once the faults have ended every poll is answered within
// 75 s, every cancellation is confirmed, and every job that isn't cancelled ends. A failing day is
// shrunk to a small script that fails in the same way and printed as a scenario.
func TestConcurrentFaults(t *testing.T) {
	if *replayFile != "" {
		script, err := os.ReadFile(*replayFile)
		if err != nil {
			t.Fatal(err)
		}
		for _, problem := range runDay(t, strings.ReplaceAll(string(script), "----\n", "")) {
			t.Error(problem)
		}
		return
	}
	for _, kind := range combinationNames() {
		for i := range uint64(*combinationSeeds) {
			seed := uint64(*firstSeed) + i
			t.Run(fmt.Sprintf("%s/%d", kind, seed), func(t *testing.T) {
				t.Parallel()
				script := generateDay(seed, kind)
				problems := runDay(t, script)
				if len(problems) == 0 {
					return
				}
				script = shrink(t, script, problems[0])
				t.Errorf("%s\n\nshrunk day:\n\n%s", strings.Join(problems, "\n"), asScenario(script))
			})
		}
	}
}

// runDay runs a script, ends all faults and returns the problems found.
func runDay(t *testing.T, script string) (problems []string) {
	t.Helper()
	s := runScript(t, script, func(s *Sim, d *datadriven.TestData, _ string) {
		if d.Cmd == "submit" {
			id := ""
			d.ScanArgs(t, "id", &id)
			s.pollUntilFinal(id)
		}
	})
	return s.settle()
}

// maxProblems bounds the problems that are reported: a task that isn't stopped violates an invariant
// in every tick.
const maxProblems = 8

const (
	// settleTimeout is the maximum time from the end of all faults to the end of all jobs.
	settleTimeout = 250 * emulator.Second
	// cancelLongJobsAfter is the time from the end of all faults until jobs are cancelled that
	// wouldn't end before settleTimeout.
	cancelLongJobsAfter = 40 * emulator.Second
	// longRun is the run time beyond which cancelLongJobs cancels a job.
	longRun = 10 * emulator.Second
)

// settle ends all faults, runs the simulation until the jobs have ended and returns the problems
// found.
func (s *Sim) settle() (problems []string) {
	s.endFaults()
	faultsEnded := s.now
	s.run(emulator.Second)
	waiting := waitingSince{}
	for ; s.now-faultsEnded < settleTimeout; s.run(emulator.Second) {
		problems = append(problems, s.unansweredUsers(faultsEnded)...)
		problems = append(problems, waiting.check(s)...)
		if len(problems) > 0 {
			break
		}
		if !slices.ContainsFunc(s.users, func(u *user) bool { return s.lastStatus[u.id] != "" }) {
			break // the users of every accepted job have received its final status
		}
		if s.now-faultsEnded > cancelLongJobsAfter && len(waiting) == 0 {
			s.cancelLongJobs()
		}
	}
	for _, u := range s.users {
		if st := s.lastStatus[u.id]; st != "" && st != wire.Done && st != wire.Cancelled {
			problems = append(problems, fmt.Sprintf("%s has not ended: %s", u.id, st))
		}
	}
	problems = append(slices.Clone(s.env.Violations), problems...)
	if len(problems) == 0 {
		problems = s.compareUsage()
	}
	return problems[:min(len(problems), maxProblems)]
}

// endFaults ends all faults, starts the nodes that are down and delivers what was held back.
func (s *Sim) endFaults() {
	s.messageFaults = nil
	s.crash = crashTrigger{}
	s.state.SetDown(s.now, false)
	s.env.CloudDown = false
	clear(s.reachableOnlyBy)
	s.isolatedZone = ""
	for _, n := range s.nodes {
		n.cutLinks = map[string]string{}
		if !n.alive {
			s.start(n)
		}
	}
	for _, name := range s.env.MachineNames() {
		m := s.env.Machines[name]
		m.InboundLost = ""
		m.Hanging = false
		m.OutboundLost = false
	}
	s.releaseHeld()
}

// unansweredUsers returns a problem for each user of an accepted job who has received no response for
// longer than maxUnanswered.
func (s *Sim) unansweredUsers(faultsEnded emulator.Micros) (problems []string) {
	for _, u := range s.users {
		if s.lastStatus[u.id] == "" {
			continue // possibly never accepted
		}
		if s.now-max(faultsEnded, u.answeredAt, s.acceptedAt[u.id]) > maxUnanswered {
			problems = append(problems, fmt.Sprintf("forgotten %s: no response for 75 s", u.id))
		}
	}
	return problems
}

// cancelLongJobs cancels accepted jobs that never complete or would take too long.
func (s *Sim) cancelLongJobs() {
	for _, id := range s.jobIDs() {
		j := s.env.Jobs[id]
		if s.lastStatus[id] != "" && (j.Shape == wire.Service || j.RunTimeOf(j.Tasks) > longRun) {
			s.cancelUntilFinal(id)
		}
	}
}

// shrink leaves out lines of a script as long as the remaining script fails in the same way. It makes
// at most maxShrinkTries runs.
func shrink(t *testing.T, script, problem string) string {
	t.Helper()
	kind := violatedRule(problem)
	lines := strings.Split(strings.TrimSpace(script), "\n")
	tries := *maxShrinkTries
	for size := len(lines) / 2; size >= 1; size /= 2 {
		for i := 1; i < len(lines) && tries > 0; {
			to := min(i+size, len(lines))
			without := slices.Concat(lines[:i], lines[to:])
			tries--
			if problems := runDay(t, strings.Join(without, "\n")); len(problems) > 0 && violatedRule(problems[0]) == kind {
				lines = without
				continue
			}
			i += size
		}
	}
	return strings.Join(lines, "\n")
}

// violatedRule returns the rule that a problem violates, or the problem itself if it names none.
func violatedRule(problem string) string {
	for _, rule := range []string{"ran_twice", "quota", "wrong_place", "ran_cancelled", "started_cancelled", "forgotten",
		"idle_room", "invented", "not_done", "went_back", "orphaned", "not ended", "audit", "usage records",
		"placed twice", "not conditional on leadership"} {
		if strings.Contains(problem, rule) {
			return rule
		}
	}
	return problem
}

// asScenario returns a script in the format of the files in testdata.
func asScenario(script string) string {
	return strings.ReplaceAll(strings.TrimSpace(script), "\n", "\n----\n\n") + "\n----\n"
}
