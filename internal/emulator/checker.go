package emulator

import (
	"fmt"

	"coralhub/wire"
)

// Checker checks the rules of the protocol.
type Checker struct {
	Broken []string // the violations found

	protocol *Protocol
	cloud    *Cloud
	jobs     *JobRegistry
}

// violated notes a violation of a rule.
func (c *Checker) violated(now Micros, format string, args ...any) {
	c.Broken = append(c.Broken, fmt.Sprintf("%.1fs ", float64(now)/1e6)+fmt.Sprintf(format, args...))
}

// checkCancelled finds tasks that remain too long after a user was answered that their job is cancelled.
func (c *Checker) checkCancelled(now Micros) {
	for id := range c.jobs.Jobs {
		cancelledAt := c.jobs.CancelledAt(id)
		if cancelledAt == 0 || now-cancelledAt <= c.protocol.CancelIn {
			continue
		}
		for _, task := range c.cloud.On(id, true) {
			c.violated(now, "ran_cancelled %s", task)
		}
	}
}

// checkStart checks the start of a task against the rules.
func (c *Checker) checkStart(now Micros, m *Machine, t *task) {
	id, _, _ := wire.ParseTaskName(t.Task)
	j := c.jobs.Jobs[id]
	for _, need := range j.Needs {
		if !c.jobs.Done(need) {
			c.violated(now, "too_early %s before %s", t.Task, need)
		}
	}
	if j.Cancelled != 0 { // the protocol says that no task may be started from then on
		afterMS := (now - j.Cancelled) / 1000
		c.violated(now, "started_cancelled %s on %s, %d ms after its user was told", t.Task, m.Name, afterMS)
	}
	zones := c.checkRanTwice(now, m, t)
	outsideZone := j.OneZone && len(zones) > 0 && zones[m.Zone] == 0
	tooMany := j.Spread && zones[m.Zone] >= (j.Tasks+1)/2
	otherZone := j.Zone != "" && j.Zone != m.Zone
	if outsideZone || tooMany || otherZone || m.Spot && !j.Spot {
		c.violated(now, "wrong_place %s on %s", t.Task, m.Name)
	}
}

// checkRanTwice checks that no other attempt of a task that starts is on a machine, and counts the other
// tasks of its job by zone.
func (c *Checker) checkRanTwice(now Micros, m *Machine, t *task) (zones map[string]int) {
	id, n, _ := wire.ParseTaskName(t.Task)
	zones = map[string]int{}
	for _, name := range c.cloud.Names() {
		for _, other := range c.cloud.Machines[name].tasks {
			otherID, otherN, _ := wire.ParseTaskName(other.Task)
			if other == t || otherID != id || other.State == wire.Exited {
				continue
			}
			zones[c.cloud.Machines[name].Zone]++
			if otherN == n {
				c.violated(now, "ran_twice %s on %s and %s", t.Task, m.Name, name)
			}
		}
	}
	return zones
}

// Used is how many GPUs the tasks of a team use.
func (c *Checker) Used(team string) float64 {
	used := 0.0
	for id, j := range c.jobs.Jobs {
		if j.Team == team {
			used += j.GPUs * float64(len(c.cloud.On(id, true)))
		}
	}
	return used
}
