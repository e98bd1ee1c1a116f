package scenario

import (
	"cmp"
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"coralhub/internal/emulator"
	"coralhub/wire"
)

// combinationSeeds is how many days TestMeetings plays of each kind; the usual ones take a few seconds.
var combinationSeeds = flag.Int("meetings", 4, "days of TestMeetings, of each kind")

// firstSeed is the first seed.
var firstSeed = flag.Int("from", 0, "first seed of TestMeetings")

// maxShrinkTries is how often a day that fails is played with lines left out.
var maxShrinkTries = flag.Int("shrink", 300, "tries to make a failing day of TestMeetings smaller")

// replayFile is a day as TestMeetings prints it, to be played instead of drawn ones.
var replayFile = flag.String("replay", "", "file with a day for TestMeetings to play again")

// scriptLine is a line of a script and when it is played.
type scriptLine struct {
	at   emulator.Micros
	line string
}

// dayGenerator is a day that is being drawn.
type dayGenerator struct {
	rnd        *rand.Rand
	nodes      int
	lease      float64
	cancelTime float64 // a cancellation's time
	jobs       int     // those of the day itself: j-0 and on
	extraJobs  int     // those that a meeting brings: j-1000 and on
	lines      []scriptLine
}

// submit has a job of a meeting's own submitted, and returns its id.
func (d *dayGenerator) submit(at float64, format string, args ...any) string {
	id := fmt.Sprintf("j-%d", 1000+d.extraJobs)
	d.extraJobs++
	d.add(at, "submit id=%s node=%s %s", id, d.node(), fmt.Sprintf(format, args...))
	return id
}

func (d *dayGenerator) add(at float64, format string, args ...any) {
	d.lines = append(d.lines, scriptLine{emulator.Micros(at*10) * tick, fmt.Sprintf(format, args...)})
}

// uniform draws a time.
func (d *dayGenerator) uniform(least, most float64) float64 {
	return least + d.rnd.Float64()*(most-least)
}

func (d *dayGenerator) node() string { return fmt.Sprintf("n%d", 1+d.rnd.IntN(d.nodes)) }

func (d *dayGenerator) mode() string { return []string{"drop", "hold"}[d.rnd.IntN(2)] }

func (d *dayGenerator) job() string { return fmt.Sprintf("j-%d", d.rnd.IntN(d.jobs)) }

// cancelJobs has jobs cancelled over a while.
func (d *dayGenerator) cancelJobs(from, to float64, count int) {
	for range 2 * count {
		d.add(d.uniform(from, to), "withdraw id=%s", d.job())
	}
}

// outage has the state service down for everybody, for a little less or much longer than a
// cancellation has.
func (d *dayGenerator) outage(at float64) float64 {
	end := at + d.cancelTime*d.uniform(0.6, 1.6)
	d.add(at, "state down")
	d.add(end, "state up")
	return end
}

// isolateWorkers has some workers, all of them or none reach nobody but the leader of that moment.
func (d *dayGenerator) isolateWorkers(at float64) {
	from := at - d.uniform(0, 3)
	if d.rnd.IntN(2) == 0 { // or what is silent is deleted
		d.add(from, "cloud down")
		d.add(at+d.uniform(10, 40), "cloud up")
	}
	for range d.rnd.IntN(4) { // what they said before comes to the heir
		d.add(d.uniform(at+2, at+9), "again node=heir count=%d", 1+d.rnd.IntN(40))
	}
	switch d.rnd.IntN(4) {
	case 0:
		for range 1 + d.rnd.IntN(8) {
			d.add(from, "machine nth=%d only=leader", d.rnd.IntN(12))
		}
	case 1:
		d.add(from, "cut node=others link=workers mode=%s", d.mode())
	case 2:
		d.add(d.uniform(at, at+8), "cut node=heir link=workers mode=%s", d.mode())
	}
}

// The meetings of two troubles that are drawn. Each returns when its troubles are over.
var faultCombinations = map[string]func(d *dayGenerator, at float64) float64{
	// The state service refuses the leader alone; others confirm cancellations; then it is down for all.
	"gap": func(d *dayGenerator, at float64) float64 {
		d.add(at, "cut node=leader link=state")
		if d.rnd.IntN(3) == 0 {
			d.add(at, "cut node=old link=peers mode=%s", d.mode())
		}
		down := at + d.uniform(0, 12)
		d.isolateWorkers(at)
		d.cancelJobs(at, down+2, 1+d.rnd.IntN(6))
		if d.rnd.IntN(3) == 0 {
			d.add(d.uniform(at, down+5), "node node=leader kill")
			d.add(d.uniform(down, down+10), "revive")
		}
		if d.rnd.IntN(3) == 0 { // what was confirmed is confirmed by one that is back within a second
			again := d.uniform(at+4, down+8)
			d.add(again, "node node=heir kill")
			d.add(again+d.uniform(0.1, 0.9), "revive")
		}
		end := d.outage(down)
		d.cancelJobs(down, end, d.rnd.IntN(4))
		d.add(max(end, at+14), "heal node=all")
		return max(end, at+14)
	},
	// The state service goes down for all between an heir's claim and its listing, or soon after.
	"claimed": func(d *dayGenerator, at float64) float64 {
		if d.rnd.IntN(3) == 0 {
			d.add(at-1, "cut node=%s link=peers mode=%s", d.node(), d.mode())
		}
		d.isolateWorkers(at)
		if d.rnd.IntN(4) == 0 {
			d.add(at, "node node=leader kill")
		} else {
			d.add(at, "cut node=leader link=state")
		}
		d.cancelJobs(at, at+0.2, d.rnd.IntN(4))
		down := at + 0.2
		d.add(down, "await heir")
		if late := d.rnd.IntN(5); late > 2 {
			down += float64(late-2) * 0.3
		} else if late == 2 {
			d.cancelJobs(down, down+3, 2)
			down += d.uniform(0.5, 6)
		}
		end := d.outage(down)
		d.cancelJobs(down, end, d.rnd.IntN(4))
		if d.rnd.IntN(3) == 0 {
			d.add(d.uniform(down, end), "node node=heir kill")
			d.add(d.uniform(down, end)+1, "revive")
		}
		d.add(end+d.uniform(0, 5), "heal node=all")
		d.add(end+6, "revive")
		return end + 6
	},
	// The leader ends while machines with long tasks are not reached, or don't hear the heir.
	"unreached": func(d *dayGenerator, at float64) float64 {
		for range 1 + d.rnd.IntN(4) {
			how, back := "hang", "resume"
			switch d.rnd.IntN(3) {
			case 0:
				how, back = "deaf mode="+d.mode(), "hears"
			case 1:
				how = "deaf mode=hold"
				back = "hears"
			}
			i, from := d.rnd.IntN(12), d.uniform(at-2, at+2)
			d.add(from, "machine nth=%d %s", i, how)
			d.add(from+d.uniform(0.5, 2*d.lease), "machine nth=%d %s", i, back)
		}
		d.cancelJobs(at-2, at+8, 1+d.rnd.IntN(4))
		d.add(at, "node node=leader kill")
		end := at + d.uniform(0.2, 12)
		d.add(end, "revive")
		return max(end, at+2*d.lease+2)
	},
	// Controllers hand over and back, all end, one returns, also within a second.
	"handover": func(d *dayGenerator, at float64) float64 {
		for range 2 + d.rnd.IntN(4) {
			d.add(at, "node node=leader kill")
			at += d.uniform(0.1, 5)
			d.cancelJobs(at-1, at+1, 1)
			d.add(at, "revive")
			at += d.uniform(0.1, 6)
		}
		if d.rnd.IntN(2) == 0 {
			for i := range d.nodes {
				d.add(at, "node node=n%d kill", i+1)
			}
			at += d.uniform(0.1, 1)
			d.add(at, "node node=%s start", d.node())
			at += d.uniform(0.1, 10)
			d.add(at, "revive")
		}
		return at
	},
	// A leader has nothing but its workers and users, and jobs are cancelled through the heir.
	"alone": func(d *dayGenerator, at float64) float64 {
		mode := d.mode()
		d.add(at, "cut node=leader link=state mode=%s", []string{mode, "stall"}[d.rnd.IntN(2)])
		d.add(at, "cut node=old link=peers mode=%s", mode)
		d.isolateWorkers(at)
		end := at + d.uniform(4, d.cancelTime*1.5)
		d.cancelJobs(at, end, 2+d.rnd.IntN(5))
		d.add(end, "heal node=all")
		return end
	},
	// A zone's home loses the leader, or everybody, and jobs are cancelled.
	"homes": func(d *dayGenerator, at float64) float64 {
		n := d.node()
		for _, link := range []string{"peers", "state"} {
			if d.rnd.IntN(3) > 0 {
				d.add(d.uniform(at, at+3), "cut node=%s link=%s mode=%s", n, link, d.mode())
			}
		}
		if d.rnd.IntN(2) == 0 {
			d.add(at, "cut node=leader link=workers mode=%s", d.mode())
		}
		end := at + d.uniform(4, d.cancelTime*1.5)
		d.cancelJobs(at, end, 2+d.rnd.IntN(5))
		d.add(end, "heal node=%s", n)
		d.add(end, "heal node=old")
		return end
	},
	// Copies of reports come late, to whichever node, also after a takeover.
	"copies": func(d *dayGenerator, at float64) float64 {
		if d.rnd.IntN(2) == 0 {
			d.add(at, "node node=leader kill")
			d.add(at+d.uniform(0.1, 4), "revive")
		}
		for range 6 + d.rnd.IntN(10) {
			d.add(at+d.uniform(0, 10), "again node=%s count=%d", []string{"leader", d.node()}[d.rnd.IntN(2)], 1+d.rnd.IntN(20))
		}
		for range d.rnd.IntN(3) {
			d.add(at+d.uniform(0, 10), "machine nth=%d restart", d.rnd.IntN(12))
		}
		d.cancelJobs(at, at+10, d.rnd.IntN(4))
		return at + 10
	},
	// The state service refuses the leader, and then all, while users cancel and ask: the second
	// trouble comes before the first is over, or after.
	"refused": func(d *dayGenerator, at float64) float64 {
		d.add(at, "cut node=leader link=state")
		healed := at + d.uniform(1, 14)
		d.add(healed, "heal node=old")
		end := d.outage(at + d.uniform(0, 16))
		d.cancelJobs(at, end, 4+d.rnd.IntN(4))
		return max(end, healed)
	},
	// A node ends with a transaction: a claim, a placement, a mark, an end, a line of the log.
	"struck": func(d *dayGenerator, at float64) float64 {
		for range 1 + d.rnd.IntN(3) {
			key := []string{"ch/leader", "ch/job", "ch/part", "ch/ended", "ch/mail"}[d.rnd.IntN(5)]
			d.add(at, "node kill on=%s%s", key, []string{"", " after"}[d.rnd.IntN(2)])
			d.cancelJobs(at, at+3, 1)
			at += d.uniform(0.5, 6)
			d.add(at, "revive")
		}
		return at
	},
	// Users ask closely, at all nodes, right after a job was accepted, ended or confirmed as cancelled,
	// and repeat its submission; some cancel then. In some worlds answers are lost or held.
	"looks": func(d *dayGenerator, at float64) float64 {
		d.add(0, "looks cancel=%.2f at_end=%.2f seed=%d", d.uniform(0, 0.5), d.uniform(0, 0.8), d.rnd.IntN(1000))
		if d.rnd.IntN(3) == 0 {
			d.add(at, "node node=leader kill")
			d.add(at+d.uniform(0.1, 3), "revive")
		}
		for range d.rnd.IntN(6) {
			d.submit(d.uniform(at, at+8), "tasks=%d run=%ds", 1+d.rnd.IntN(2), 1+d.rnd.IntN(4))
		}
		return at + 10
	},
	// Jobs are cancelled, asked about and repeated as their last task ends, with no other trouble of the kind's own.
	"at_end": func(d *dayGenerator, at float64) float64 {
		d.add(0, "looks at_end=1 seed=%d", d.rnd.IntN(1000))
		for range 6 {
			d.submit(d.uniform(at, at+4), "tasks=%d run=%dms steps=%dms", 1+d.rnd.IntN(3), 500+100*d.rnd.IntN(30), 100*d.rnd.IntN(20))
		}
		return at + 10
	},
	// Every team is at its limit; jobs are cancelled whose machines hang or are cut off, and the leader changes.
	"limits": func(d *dayGenerator, at float64) float64 {
		var ids []string
		for i := range 8 {
			ids = append(ids, d.submit(d.uniform(0, 2), "shape=%s tasks=%d gpus=%d team=%s run=%ds", []string{"array", "service", "gang", "array"}[i%4],
				[]int{40, 8, 4, 70}[i%4], 1+d.rnd.IntN(2), []string{"red", "blue"}[i/4], []int{20, 200}[d.rnd.IntN(2)]))
		}
		at = max(at, 10)
		for range 2 + d.rnd.IntN(6) {
			i, from := d.rnd.IntN(16), d.uniform(at-1, at+1)
			how, back := "hang", "resume"
			if d.rnd.IntN(2) == 0 {
				how, back = "deaf mode="+d.mode(), "hears"
			}
			d.add(from, "machine nth=%d %s", i, how)
			d.add(from+d.uniform(0.5, 2*d.lease), "machine nth=%d %s", i, back)
		}
		if d.rnd.IntN(2) == 0 {
			d.add(at-1, "cloud down")
			d.add(at+d.lease, "cloud up")
		}
		for _, id := range ids {
			if d.rnd.IntN(2) == 0 {
				d.add(d.uniform(at, at+4), "withdraw id=%s", id)
			}
		}
		end := at + d.uniform(1, 8)
		if d.rnd.IntN(2) == 0 {
			d.add(at+d.uniform(0, 3), "node node=leader kill")
			d.add(end, "revive")
		} else {
			d.add(at+d.uniform(0, 3), "cut node=leader link=state mode=%s", d.mode())
			d.add(end+6, "heal node=all")
		}
		d.add(at+2*d.lease+2, "machine nth=0 resume")
		return max(end+6, at+2*d.lease+2)
	},
	// Jobs are cancelled in the seconds in which one controller's work changes hands: the leader's or a home's.
	"hands": func(d *dayGenerator, at float64) float64 {
		who := []string{"leader", "leader", "other"}[d.rnd.IntN(3)]
		switch d.rnd.IntN(3) {
		case 0:
			d.add(at, "node node=%s kill", who)
		case 1:
			d.add(at, "cut node=%s link=state", who)
			d.add(at, "cut node=old link=peers mode=%s", d.mode())
		case 2:
			d.add(at, "cut node=%s link=workers mode=%s", who, d.mode())
			d.add(at+d.uniform(0, 2), "node node=%s kill", who)
		}
		for i := range d.jobs {
			if d.rnd.IntN(2) == 0 {
				d.add(d.uniform(at-0.5, at+6), "withdraw id=j-%d", i)
			}
		}
		d.add(at+8, "revive")
		d.add(at+8, "heal node=all")
		return at + 8
	},
	// New machines are up within two seconds, before the cloud lists them, and get work at once while writes lag,
	// and the leader ends.
	"newborn": func(d *dayGenerator, at float64) float64 {
		for range 4 {
			d.submit(at+d.uniform(0, 1), "shape=%s tasks=%d gpus=2 run=%ds", []string{"array", "gang", "service"}[d.rnd.IntN(3)], 2+d.rnd.IntN(6), []int{5, 60}[d.rnd.IntN(2)])
		}
		d.add(at+d.uniform(0.3, 4), "node node=leader kill")
		if d.rnd.IntN(2) == 0 {
			d.add(at+d.uniform(4, 8), "node node=leader kill")
		}
		d.cancelJobs(at, at+8, d.rnd.IntN(3))
		d.add(at+10, "revive")
		return at + 10
	},
	// An old report reaches every controller just as a new leader begins.
	"old_word": func(d *dayGenerator, at float64) float64 {
		for range 1 + d.rnd.IntN(3) {
			if d.rnd.IntN(2) == 0 {
				d.add(at, "node node=leader kill")
			} else {
				d.add(at, "cut node=leader link=state")
			}
			d.add(at, "machine nth=%d restart", d.rnd.IntN(12))
			d.cancelJobs(at-1, at+3, d.rnd.IntN(3))
			d.add(at+0.3, "until leads")
			for range 4 {
				d.add(at+0.3+d.uniform(0, 2), "again node=all count=%d", 1+d.rnd.IntN(15))
			}
			d.add(at+4, "revive")
			d.add(at+4, "heal node=all")
			at += 6
		}
		return at
	},
	// One-task jobs come four a second, a quarter of them cancelled.
	"flood": func(d *dayGenerator, at float64) float64 {
		for i := range 4 * (10 + d.rnd.IntN(30)) {
			when := at + float64(i)/4
			id := d.submit(when, "tasks=1 team=%s run=%ds", []string{"red", "blue"}[i%2], 1+d.rnd.IntN(4))
			if i%4 == 0 {
				d.add(when+d.uniform(0, 5), "withdraw id=%s", id)
			}
		}
		if d.rnd.IntN(2) == 0 {
			d.add(at+d.uniform(1, 10), "node node=leader kill")
			d.add(at+d.uniform(11, 14), "revive")
		}
		return at + 40
	},
	// Workers reach no controller, while direct commands reach them.
	"mute": func(d *dayGenerator, at float64) float64 {
		end := at
		for range 1 + d.rnd.IntN(5) {
			i, from := d.rnd.IntN(12), d.uniform(at, at+2)
			back := from + d.uniform(1, 3*d.lease)
			d.add(from, "machine nth=%d mute", i)
			d.add(back, "machine nth=%d speaks", i)
			end = max(end, back)
		}
		if d.rnd.IntN(2) == 0 {
			d.add(at+d.uniform(0, 4), "node node=leader kill")
			d.add(at+d.uniform(4, 9), "revive")
		}
		d.cancelJobs(at, at+10, d.rnd.IntN(4))
		return end
	},
	// Jobs bound to one zone lose machines.
	"bound": func(d *dayGenerator, at float64) float64 {
		for range 5 {
			d.submit(d.uniform(0, 2), "shape=%s tasks=%d gpus=%d zone=%s run=%ds save=%d", []string{"array", "gang", "service"}[d.rnd.IntN(3)],
				2+d.rnd.IntN(6), 1+d.rnd.IntN(2), []string{"a", "b"}[d.rnd.IntN(2)], []int{20, 60}[d.rnd.IntN(2)], 2*d.rnd.IntN(2))
		}
		at = max(at, 8)
		for range 2 + d.rnd.IntN(5) {
			d.add(d.uniform(at, at+6), "machine nth=%d %s", d.rnd.IntN(12), []string{"die", "hang", "restart", "fail"}[d.rnd.IntN(4)])
		}
		if d.rnd.IntN(3) == 0 {
			d.add(at+d.uniform(0, 6), "node node=leader kill")
			d.add(at+8, "revive")
		}
		for i := range 16 {
			d.add(at+10+d.uniform(0, d.lease), "machine nth=%d resume", i)
		}
		return at + 10 + d.lease
	},
	// All controllers are away for longer than a lease; one may be back before the others.
	"away": func(d *dayGenerator, at float64) float64 {
		for i := range d.nodes {
			d.add(at, "node node=n%d kill", i+1)
		}
		if d.rnd.IntN(2) == 0 {
			d.cancelJobs(at-1, at, 3)
		}
		end := at + d.lease*d.uniform(1.05, 1.6)
		d.add(end, "node node=%s start", d.node())
		d.add(end+d.uniform(0, 4), "revive")
		return end + 4
	},
	// The leader changes ten times in two minutes, also inside an outage.
	"ten": func(d *dayGenerator, at float64) float64 {
		out := d.rnd.IntN(12)
		for i := range 10 {
			d.add(at, "node node=leader kill")
			if i == out {
				d.add(at+0.5, "state down")
				d.add(at+9, "state up")
			}
			d.add(at+d.uniform(0.1, 10), "revive")
			d.cancelJobs(at, at+10, d.rnd.IntN(2))
			at += 12
		}
		return at
	},
	// A zone with its workers and a controller is cut off from everything for longer than a lease.
	"zone": func(d *dayGenerator, at float64) float64 {
		n, mode := 1+d.rnd.IntN(d.nodes), d.mode()
		zone := location(fmt.Sprintf("n%d", n))
		end := at + d.lease*d.uniform(1.05, 2)
		d.add(at, "zone name=%s cut mode=%s", zone, mode)
		d.cancelJobs(at-1, end, 1+d.rnd.IntN(5))
		if d.rnd.IntN(3) == 0 {
			d.add(d.uniform(at, end), "node node=leader kill")
			d.add(end, "revive")
		}
		d.add(end, "heal node=all")
		return end
	},
	// Jobs are cancelled just as they are placed, with their starts on the way over slow links.
	"just_placed": func(d *dayGenerator, at float64) float64 {
		d.add(0, "weather seed=%d slow_reports=%.2f held_calls=%.2f lost_calls=%.2f slow_there=%.2f", d.rnd.IntN(1000), d.uniform(0.3, 1), d.uniform(0, 0.3), d.uniform(0, 0.3), d.uniform(0, 0.3))
		for range 12 {
			when := at + d.uniform(0, 10)
			id := d.submit(when, "shape=%s tasks=%d run=60s", []string{"array", "array", "gang", "service"}[d.rnd.IntN(4)], 1+d.rnd.IntN(5))
			d.add(when+d.uniform(0.1, 3), "withdraw id=%s", id)
		}
		if d.rnd.IntN(3) == 0 {
			d.add(at+d.uniform(0, 10), "node node=leader kill")
			d.add(at+12, "revive")
		}
		return at + 14
	},
	// There is more work than room, urgent and not, over slow links.
	"crowd": func(d *dayGenerator, at float64) float64 {
		d.add(0, "weather seed=%d slow_reports=%.2f slow_beats=%.2f slow_writes=%.2f slow_there=%.2f", d.rnd.IntN(1000), d.uniform(0.2, 0.6), d.uniform(0.2, 0.6), d.uniform(0, 0.4), d.uniform(0, 0.3))
		for range 25 {
			d.submit(d.uniform(0, 12), "shape=%s tasks=%d gpus=%d team=%s rank=%s run=%ds", []string{"array", "array", "gang", "service"}[d.rnd.IntN(4)],
				1+d.rnd.IntN(8), 1+d.rnd.IntN(4), []string{"red", "blue"}[d.rnd.IntN(2)], []string{"production", "high", "normal", "low"}[d.rnd.IntN(4)], 2+d.rnd.IntN(10))
		}
		d.cancelJobs(at, at+10, 3)
		return at + 15
	},
	// A machine's worker begins with the next session while its node ends. One that counts sessions
	// from the start again is not in the protocol: a late report of its earlier life is the newer one then.
	"machines": func(d *dayGenerator, at float64) float64 {
		for range 1 + d.rnd.IntN(4) {
			d.add(d.uniform(at, at+4), "machine nth=%d restart", d.rnd.IntN(12))
		}
		if d.rnd.IntN(2) == 0 {
			d.add(at, "node node=leader kill")
			d.add(at+d.uniform(0.1, 5), "revive")
		}
		d.cancelJobs(at, at+5, d.rnd.IntN(3))
		return at + 5
	},
}

// workerTimings of workers: lease and a cancellation's time, as they are at the operators', at a
// fifth of it, and where the two are hardly apart or the wrong way round.
var workerTimings = [][2]float64{{4, 20}, {10, 40}, {16, 36}, {26.5, 46.5}, {26.5, 56.5}, {4, 9}, {4, 8}, {5, 5.5}, {6, 4}}

// drawDay makes a day of so many troubles of a kind, others and weather thrown in.
func drawDay(seed uint64, kind string) string {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(kind))
	rnd := rand.New(rand.NewPCG(seed, sum.Sum64()))
	pair := workerTimings[rnd.IntN(len(workerTimings))]
	d := &dayGenerator{rnd: rnd, nodes: []int{3, 3, 5}[rnd.IntN(3)], lease: pair[0], cancelTime: pair[1], jobs: 6 + rnd.IntN(10)}
	report := []string{"1s", "2s"}[rnd.IntN(2)]
	quota := []int{0, 0, 25}[rnd.IntN(3)]
	if kind == "flood" && rnd.IntN(2) == 0 { // cancellations meet admission: the state service takes fewer changes than come
		quota = 6 + rnd.IntN(6)
	}
	young := ""
	if kind == "newborn" || rnd.IntN(6) == 0 {
		young = fmt.Sprintf(" boot=%dms unlisted=%ds", 100*(1+rnd.IntN(20)), rnd.IntN(9))
	}
	head := fmt.Sprintf("world nodes=%d scale=%d quota=%d lease=%gs cancel=%gs report=%s", d.nodes, 1+rnd.IntN(3), quota, d.lease, d.cancelTime, report) + young
	weather := "weather seed=" + fmt.Sprint(seed)
	for _, w := range []string{"late_writes", "lost_writes", "slow_writes", "slow_there", "slow_watch", "late_copies", "slow_reports", "slow_beats", "held_calls", "lost_calls"} {
		if rnd.IntN(3) == 0 {
			weather += fmt.Sprintf(" %s=%.2f", w, rnd.Float64()*0.4)
		}
	}
	for i := range d.jobs {
		at := d.uniform(0, 4)
		if i > 4 {
			at = d.uniform(0, 60)
		}
		shape := []string{"array", "array", "gang", "service"}[rnd.IntN(4)]
		tasks := []int{1, 2, 3, 2 + rnd.IntN(8), 33 + rnd.IntN(30)}[rnd.IntN(5)]
		line := fmt.Sprintf("submit id=j-%d node=%s shape=%s tasks=%d gpus=%d team=%s rank=%s run=%ds", i, d.node(), shape, tasks, 1+rnd.IntN(2),
			[]string{"red", "blue"}[rnd.IntN(2)], []string{"production", "high", "normal", "low"}[rnd.IntN(4)], []int{2, 10, 60, 200, 200}[rnd.IntN(5)])
		for _, word := range []string{"one_zone", "spread", "spot", "save=2", "steps=20s"} {
			if rnd.IntN(5) == 0 && (word != "spread" || !strings.Contains(line, "one_zone")) {
				line += " " + word
			}
		}
		if i > 0 && rnd.IntN(5) == 0 { // one that may be a service, or not have come yet, is refused
			line += fmt.Sprintf(" needs=j-%d", rnd.IntN(i))
		}
		d.add(at, "%s", line)
	}
	at := d.uniform(6, 20)
	kinds := []string{kind}
	names := combinationNames()
	for rnd.IntN(2) == 0 && len(kinds) < 3 {
		kinds = append(kinds, names[rnd.IntN(len(names))])
	}
	end := at
	for _, k := range kinds {
		end = max(end, faultCombinations[k](d, at+d.uniform(0, 6)*float64(rnd.IntN(2))))
	}
	if rnd.IntN(3) == 0 {
		end = max(end, faultCombinations[kinds[rnd.IntN(len(kinds))]](d, end+d.uniform(0, 5)))
	}
	d.cancelJobs(0, end, rnd.IntN(5))
	slices.SortStableFunc(d.lines, func(a, b scriptLine) int { return cmp.Compare(a.at, b.at) })
	var b strings.Builder
	fmt.Fprintln(&b, head)
	now := emulator.Micros(0)
	fmt.Fprintln(&b, weather)
	for _, m := range d.lines {
		if at := max(m.at, 0); at > now {
			fmt.Fprintf(&b, "run for=%dms\n", (at-now)/1000)
			now = at
		}
		fmt.Fprintln(&b, m.line)
	}
	return b.String()
}

func combinationNames() []string {
	names := make([]string, 0, len(faultCombinations))
	for name := range faultCombinations {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// TestMeetings draws days on which two or three troubles meet. No rule may be broken, whatever
// meets; once the troubles are over every question is answered within 75 s, every cancellation
// told, and every job that isn't cancelled ends. A day that fails is made as small as it
// goes and printed as a scenario.
func TestMeetings(t *testing.T) {
	if *replayFile != "" {
		script, err := os.ReadFile(*replayFile)
		if err != nil {
			t.Fatal(err)
		}
		for _, wrong := range playDay(t, strings.ReplaceAll(string(script), "----\n", "")) {
			t.Error(wrong)
		}
		return
	}
	for _, kind := range combinationNames() {
		for i := range uint64(*combinationSeeds) {
			seed := uint64(*firstSeed) + i
			t.Run(fmt.Sprintf("%s/%d", kind, seed), func(t *testing.T) {
				t.Parallel()
				script := drawDay(seed, kind)
				wrong := playDay(t, script)
				if len(wrong) == 0 {
					return
				}
				script = shrink(t, script, wrong[0])
				t.Errorf("%s\n\nthe smallest day found:\n\n%s", strings.Join(wrong, "\n"), asScenario(script))
			})
		}
	}
}

// playDay plays a script, lets things calm down, and returns what was wrong.
func playDay(t *testing.T, script string) (wrong []string) {
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
		if cmd == "world" {
			s = newScriptSim(t, d)
			continue
		}
		out := runCommand(t, s, d)
		if cmd == "submit" {
			if strings.HasPrefix(out, "400") {
				t.Fatalf("%s: a drawn submission is malformed", line)
			}
			id := ""
			d.ScanArgs(t, "id", &id)
			s.pollUntilFinal(id)
		}
	}
	return s.endFaults()
}

// maxProblems bounds how much of what is wrong is told: a task that stays breaks a rule with every tick.
const maxProblems = 8

// maxUnanswered is how long a question may go unanswered once all troubles are over.
const maxUnanswered = 75 * emulator.Second

// endFaults ends all troubles and returns what is wrong then.
func (s *Sim) endFaults() (wrong []string) {
	s.messageFaults, s.crash = nil, crashTrigger{}
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
		m.InboundLost, m.Hang, m.OutboundLost = "", false, false
	}
	s.releaseHeld()
	over := s.now
	s.run(emulator.Second)
	waits := waitingSince{}
	for ; s.now-over < 250*emulator.Second; s.run(emulator.Second) {
		for _, u := range s.users {
			if s.lastStatus[u.id] == "" && !u.cancel {
				continue // it may never have been accepted
			}
			if s.lastStatus[u.id] != "" && s.now-max(over, u.answeredAt, s.acceptedAt[u.id]) > maxUnanswered {
				wrong = append(wrong, fmt.Sprintf("forgotten %s: no answer for 75 s", u.id))
			}
		}
		wrong = append(wrong, waits.check(s)...)
		if len(wrong) > 0 {
			break
		}
		if !slices.ContainsFunc(s.users, func(u *user) bool { return s.lastStatus[u.id] != "" }) {
			break // every job that was accepted is over, and its user knows
		}
		if s.now-over > 40*emulator.Second && len(waits) == 0 { // what never ends by itself, or not in time
			for _, id := range slices.Sorted(maps.Keys(s.env.Jobs)) {
				if j := s.env.Jobs[id]; s.lastStatus[id] != "" && (j.Shape == wire.Service || j.RunOf(j.Tasks) > 10*emulator.Second) {
					s.cancelUntilFinal(id)
				}
			}
		}
	}
	for _, u := range s.users {
		if st := s.lastStatus[u.id]; st != "" && st != wire.Done && st != wire.Cancelled {
			wrong = append(wrong, fmt.Sprintf("%s has not ended: %s", u.id, st))
		}
	}
	wrong = append(slices.Clone(s.env.Broken), wrong...)
	if len(wrong) == 0 {
		wrong = s.compareUsage()
	}
	return wrong[:min(len(wrong), maxProblems)]
}

// shrink leaves out lines of a script as long as the same thing goes wrong, a bounded number
// of times.
func shrink(t *testing.T, script, wrong string) string {
	t.Helper()
	kind := symptom(wrong)
	lines := strings.Split(strings.TrimSpace(script), "\n")
	tries := *maxShrinkTries
	for size := len(lines) / 2; size >= 1; size /= 2 {
		for i := 1; i < len(lines) && tries > 0; {
			to := min(i+size, len(lines))
			without := slices.Concat(lines[:i], lines[to:])
			tries--
			if again := playDay(t, strings.Join(without, "\n")); len(again) > 0 && symptom(again[0]) == kind {
				lines = without
				continue
			}
			i += size
		}
	}
	return strings.Join(lines, "\n")
}

// symptom is what kind of thing is wrong.
func symptom(wrong string) string {
	for _, rule := range []string{"ran_twice", "quota", "wrong_place", "ran_cancelled", "started_cancelled", "forgotten", "idle_room", "invented", "not_done", "went_back", "orphaned", "not ended", "survey", "accounts", "placed twice", "without a claim"} {
		if strings.Contains(wrong, rule) {
			return rule
		}
	}
	return wrong
}

// asScenario writes a script as a file of testdata.
func asScenario(script string) string {
	return strings.ReplaceAll(strings.TrimSpace(script), "\n", "\n----\n\n") + "\n----\n"
}
