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

// combinationSeeds is the number of seeds of TestConcurrentFaults for each kind of combination; the
// default takes a few seconds.
var combinationSeeds = flag.Int("days", 4, "days of TestConcurrentFaults, of each kind")

// firstSeed is the first of these seeds.
var firstSeed = flag.Int("from", 0, "first seed of TestConcurrentFaults")

// maxShrinkTries is how often a failing day is run with lines left out, to make it smaller.
var maxShrinkTries = flag.Int("shrink", 300, "tries to make a failing day of TestConcurrentFaults smaller")

// replayFile is a day as TestConcurrentFaults prints it, to be run instead of generated ones.
var replayFile = flag.String("replay", "", "file with a day for TestConcurrentFaults to play again")

// TestConcurrentFaults generates days on which two or three combinations of faults coincide. No
// invariant may be violated meanwhile; once the faults have ended every poll is answered
// within 75 s, every cancellation is confirmed, and every job that isn't cancelled ends. A
// failing day is made as small as possible and printed as a scenario.
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
				t.Errorf("%s\n\nthe smallest day found:\n\n%s", strings.Join(problems, "\n"), asScenario(script))
			})
		}
	}
}

// runDay runs a script, ends all faults, and returns what is wrong then.
func runDay(t *testing.T, script string) (problems []string) {
	t.Helper()
	var s *Sim
	for _, line := range strings.Split(strings.TrimSpace(script), "\n") {
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
		if cmd == "submit" {
			if strings.HasPrefix(out, "400") {
				t.Fatalf("%s: a drawn submission is malformed", line)
			}
			id := ""
			d.ScanArgs(t, "id", &id)
			s.pollUntilFinal(id)
		}
	}
	return s.settle()
}

// maxProblems bounds the problems that are reported: a task that isn't stopped violates an
// invariant with every tick.
const maxProblems = 8

const (
	// maxSettling is how long jobs may take to end once all faults have ended.
	maxSettling = 250 * emulator.Second
	// cancelEndlessAfter is when jobs that wouldn't end in time are cancelled.
	cancelEndlessAfter = 40 * emulator.Second
	// longRun is the run time of a job that wouldn't end in time.
	longRun = 10 * emulator.Second
)

// settle ends all faults, waits until the jobs have ended and returns what is wrong then.
func (s *Sim) settle() (problems []string) {
	s.endFaults()
	faultsEnded := s.now
	s.run(emulator.Second)
	waiting := waitingSince{}
	for ; s.now-faultsEnded < maxSettling; s.run(emulator.Second) {
		problems = append(problems, s.unansweredUsers(faultsEnded)...)
		problems = append(problems, waiting.check(s)...)
		if len(problems) > 0 {
			break
		}
		if !slices.ContainsFunc(s.users, func(u *user) bool { return s.lastStatus[u.id] != "" }) {
			break // every accepted job has ended, and its users were told
		}
		if s.now-faultsEnded > cancelEndlessAfter && len(waiting) == 0 {
			s.cancelEndless()
		}
	}
	for _, u := range s.users {
		if st := s.lastStatus[u.id]; st != "" && st != wire.Done && st != wire.Cancelled {
			problems = append(problems, fmt.Sprintf("%s has not ended: %s", u.id, st))
		}
	}
	problems = append(slices.Clone(s.env.Broken), problems...)
	if len(problems) == 0 {
		problems = s.compareUsage()
	}
	return problems[:min(len(problems), maxProblems)]
}

// endFaults ends all faults.
func (s *Sim) endFaults() {
	s.messageFaults = nil
	s.crash = crashTrigger{}
	s.state.SetDown(s.now, false)
	s.env.CloudOff = false
	clear(s.reachableOnlyBy)
	s.isolatedZone = ""
	for _, n := range s.nodes {
		n.cutLinks = map[string]string{}
		if !n.alive {
			s.start(n)
		}
	}
	for _, name := range s.env.Names() {
		m := s.env.Machines[name]
		m.InboundLost = ""
		m.Hang = false
		m.OutboundLost = false
	}
	s.releaseHeld()
}

// unansweredUsers returns a problem for each user of an accepted job without an answer for
// too long.
func (s *Sim) unansweredUsers(faultsEnded emulator.Micros) (problems []string) {
	for _, u := range s.users {
		if s.lastStatus[u.id] == "" {
			continue // it may never have been accepted
		}
		if s.now-max(faultsEnded, u.answeredAt, s.acceptedAt[u.id]) > maxUnanswered {
			problems = append(problems, fmt.Sprintf("forgotten %s: no answer for 75 s", u.id))
		}
	}
	return problems
}

// cancelEndless cancels the accepted jobs that never end by themselves, or not in time.
func (s *Sim) cancelEndless() {
	for _, id := range s.jobIDs() {
		j := s.env.Jobs[id]
		if s.lastStatus[id] != "" && (j.Shape == wire.Service || j.RunOf(j.Tasks) > longRun) {
			s.cancelUntilFinal(id)
		}
	}
}

// shrink leaves out lines of a script as long as it fails in the same way, with a bounded
// number of tries.
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

// violatedRule returns the rule that a problem is about, or the problem itself.
func violatedRule(problem string) string {
	for _, rule := range []string{"ran_twice", "quota", "wrong_place", "ran_cancelled", "started_cancelled", "forgotten", "idle_room", "invented", "not_done", "went_back", "orphaned", "not ended", "survey", "accounts", "placed twice", "without a claim"} {
		if strings.Contains(problem, rule) {
			return rule
		}
	}
	return problem
}

// asScenario returns a script in the form of the files in testdata.
func asScenario(script string) string {
	return strings.ReplaceAll(strings.TrimSpace(script), "\n", "\n----\n\n") + "\n----\n"
}
