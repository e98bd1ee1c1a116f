package scenario

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"coralhub/internal/emulator"
)

// scriptLine is a line of a script and the time at which it is run.
type scriptLine struct {
	at   emulator.Micros
	line string
}

// dayGenerator generates the script of a day. All times are in seconds. The script of a seed depends
// on the order in which random numbers are drawn.
type dayGenerator struct {
	rnd        *rand.Rand
	nodes      int
	lease      float64 // of workers
	cancelTime float64 // time limit of a cancellation
	jobs       int     // number of jobs that addJobs submits, j-0 and on
	extraJobs  int     // number of jobs that fault combinations have submitted so far, j-1000 and on
	lines      []scriptLine
}

// submit adds the submission of an extra job and returns its ID.
func (d *dayGenerator) submit(at float64, format string, args ...any) string {
	id := fmt.Sprintf("j-%d", 1000+d.extraJobs)
	d.extraJobs++
	d.add(at, "submit id=%s node=%s %s", id, d.node(), fmt.Sprintf(format, args...))
	return id
}

// add adds a line that is run at the given time, rounded down to a tick.
func (d *dayGenerator) add(at float64, format string, args ...any) {
	d.lines = append(d.lines, scriptLine{emulator.Micros(at*10) * tick, fmt.Sprintf(format, args...)})
}

// uniform draws a uniformly distributed number from low to high.
func (d *dayGenerator) uniform(low, high float64) float64 {
	return low + d.rnd.Float64()*(high-low)
}

// node draws the name of a node.
func (d *dayGenerator) node() string { return fmt.Sprintf("n%d", 1+d.rnd.IntN(d.nodes)) }

// mode draws the mode of a cut link.
func (d *dayGenerator) mode() string { return []string{"drop", "hold"}[d.rnd.IntN(2)] }

// job draws the ID of a job that addJobs submits.
func (d *dayGenerator) job() string { return fmt.Sprintf("j-%d", d.rnd.IntN(d.jobs)) }

// cancelJobs adds 2*count cancellations of random jobs at random times of an interval.
func (d *dayGenerator) cancelJobs(from, to float64, count int) {
	for range 2 * count {
		d.add(d.uniform(from, to), "cancel_with_retries id=%s", d.job())
	}
}

// outage adds an outage of the state service and returns its end. Its duration ranges from somewhat
// less to much more than the time limit of a cancellation.
func (d *dayGenerator) outage(at float64) float64 {
	end := at + d.cancelTime*d.uniform(0.6, 1.6)
	d.add(at, "state down")
	d.add(end, "state up")
	return end
}

// isolateWorkers adds faults by which some workers, all of them or none reach only the node that leads
// at that time.
func (d *dayGenerator) isolateWorkers(at float64) {
	from := at - d.uniform(0, 3)
	if d.rnd.IntN(2) == 0 { // otherwise machines without heartbeats are released
		d.add(from, "cloud down")
		d.add(at+d.uniform(10, 40), "cloud up")
	}
	for range d.rnd.IntN(4) { // copies of earlier heartbeats reach the successor
		d.add(d.uniform(at+2, at+9), "duplicate_heartbeats node=successor count=%d", 1+d.rnd.IntN(40))
	}
	switch d.rnd.IntN(4) {
	case 0:
		for range 1 + d.rnd.IntN(8) {
			d.add(from, "machine nth=%d only=leader", d.rnd.IntN(12))
		}
	case 1:
		d.add(from, "cut node=others link=workers mode=%s", d.mode())
	case 2:
		d.add(d.uniform(at, at+8), "cut node=successor link=workers mode=%s", d.mode())
	}
}

// workerTimings are pairs of the lease of workers and the time limit of a cancellation, in seconds:
// values as operators use them, a fifth of these values, nearly equal values, and a limit shorter than
// the lease.
var workerTimings = [][2]float64{{4, 20}, {10, 40}, {16, 36}, {26.5, 46.5}, {26.5, 56.5}, {4, 9}, {4, 8}, {5, 5.5},
	{6, 4}}

// generateDay generates a day with a combination of faults of the given kind, mostly with other
// combinations and with message faults. The order in which random numbers are drawn is part of the
// test: a change of it changes the days of all seeds.
func generateDay(seed uint64, kind string) string {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(kind))
	rnd := rand.New(rand.NewPCG(seed, sum.Sum64()))
	timing := workerTimings[rnd.IntN(len(workerTimings))]
	d := &dayGenerator{rnd: rnd, nodes: []int{3, 3, 5}[rnd.IntN(3)], lease: timing[0], cancelTime: timing[1],
		jobs: 6 + rnd.IntN(10)}
	environment := d.environmentLine(kind)
	faults := d.messageFaultsLine(seed)
	d.addJobs()
	end := d.addCombinations(kind)
	d.cancelJobs(0, end, rnd.IntN(5))
	return d.script(environment, faults)
}

// environmentLine returns the command that creates the simulation.
func (d *dayGenerator) environmentLine(kind string) string {
	rnd := d.rnd
	heartbeatInterval := []string{"1s", "2s"}[rnd.IntN(2)]
	quota := []int{0, 0, 25}[rnd.IntN(3)]
	if kind == "flood" && rnd.IntN(2) == 0 {
		// The state service accepts fewer changes than submissions and cancellations need.
		quota = 6 + rnd.IntN(6)
	}
	machineOptions := ""
	if kind == "newborn" || rnd.IntN(6) == 0 {
		machineOptions = fmt.Sprintf(" boot=%dms listing_delay=%ds", 100*(1+rnd.IntN(20)), rnd.IntN(9))
	}
	return fmt.Sprintf("environment nodes=%d scale=%d quota=%d lease=%gs cancel=%gs heartbeat=%s", d.nodes,
		1+rnd.IntN(3), quota, d.lease, d.cancelTime, heartbeatInterval) + machineOptions
}

// messageFaultsLine returns the command that sets the message faults.
func (d *dayGenerator) messageFaultsLine(seed uint64) string {
	line := "message_faults seed=" + fmt.Sprint(seed)
	for _, fault := range []string{"late_writes", "lost_writes", "slow_writes", "slow_there", "slow_watch",
		"late_copies", "slow_reports", "slow_beats", "held_calls", "lost_calls"} {
		if d.rnd.IntN(3) == 0 {
			line += fmt.Sprintf(" %s=%.2f", fault, d.rnd.Float64()*0.4)
		}
	}
	return line + repeatedMessages(seed)
}

// repeatedMessages returns the arguments for messages that are delivered again after their answer. They are drawn
// separately, so that the rest of a seed's day does not depend on them.
func repeatedMessages(seed uint64) string {
	rnd := rand.New(rand.NewPCG(seed, repeatStream))
	line := ""
	for _, fault := range []string{"repeated_calls", "repeated_writes"} {
		if rnd.IntN(2) == 0 {
			line += fmt.Sprintf(" %s=%.2f", fault, rnd.Float64())
		}
	}
	return line
}

// addJobs adds the submissions of jobs that don't belong to a fault combination.
func (d *dayGenerator) addJobs() {
	rnd := d.rnd
	for i := range d.jobs {
		at := d.uniform(0, 4)
		if i > 4 {
			at = d.uniform(0, 60)
		}
		shape := []string{"array", "array", "gang", "service"}[rnd.IntN(4)]
		tasks := []int{1, 2, 3, 2 + rnd.IntN(8), 33 + rnd.IntN(30)}[rnd.IntN(5)]
		line := fmt.Sprintf("submit id=j-%d node=%s shape=%s tasks=%d gpus=%d team=%s rank=%s run=%ds", i, d.node(), shape,
			tasks, 1+rnd.IntN(2), []string{"red", "blue"}[rnd.IntN(2)],
			[]string{"production", "high", "normal", "low"}[rnd.IntN(4)], []int{2, 10, 60, 200, 200}[rnd.IntN(5)])
		for _, option := range []string{"one_zone", "spread", "spot", "save=2", "steps=20s"} {
			if rnd.IntN(5) == 0 && (option != "spread" || !strings.Contains(line, "one_zone")) {
				line += " " + option
			}
		}
		if i > 0 && rnd.IntN(5) == 0 { // refused if the dependency is a service or wasn't submitted yet
			line += fmt.Sprintf(" needs=j-%d", rnd.IntN(i))
		}
		d.add(at, "%s", line)
	}
}

// addCombinations adds a combination of the given kind and up to two others at about the same time,
// and possibly one of these kinds again later. It returns the time at which all have ended.
func (d *dayGenerator) addCombinations(kind string) (end float64) {
	rnd := d.rnd
	at := d.uniform(6, 20)
	kinds := []string{kind}
	names := combinationNames()
	for rnd.IntN(2) == 0 && len(kinds) < 3 {
		kinds = append(kinds, names[rnd.IntN(len(names))])
	}
	end = at
	for _, k := range kinds {
		end = max(end, faultCombinations[k](d, at+d.uniform(0, 6)*float64(rnd.IntN(2))))
	}
	if rnd.IntN(3) == 0 {
		end = max(end, faultCombinations[kinds[rnd.IntN(len(kinds))]](d, end+d.uniform(0, 5)))
	}
	return end
}

// script returns a script of the given first lines and the added lines in order of time, with run
// commands between them.
func (d *dayGenerator) script(first ...string) string {
	slices.SortStableFunc(d.lines, func(a, b scriptLine) int { return cmp.Compare(a.at, b.at) })
	var b strings.Builder
	for _, line := range first {
		fmt.Fprintln(&b, line)
	}
	now := emulator.Micros(0)
	for _, l := range d.lines {
		if at := max(l.at, 0); at > now {
			fmt.Fprintf(&b, "run for=%dms\n", (at-now)/1000)
			now = at
		}
		fmt.Fprintln(&b, l.line)
	}
	return b.String()
}

// combinationNames returns the names of the fault combinations in alphabetical order.
func combinationNames() []string { return slices.Sorted(maps.Keys(faultCombinations)) }
