package emulator

import (
	"fmt"

	"coralhub/wire"
)

// Checker checks what happens on the machines against the rules of the protocol.
type Checker struct {
	Violations []string // the violations found

	protocol *Protocol
	cloud    *Cloud
	jobs     *JobRegistry
}

func (c *Checker) addViolation(now Micros, format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%.1fs ", float64(now)/1e6)+fmt.Sprintf(format, args...))
}

// checkCancelled finds tasks that are still on a machine more than CancelTimeout after a user received the
// answer that their job is cancelled.
func (c *Checker) checkCancelled(now Micros) {
	for _, name := range c.cloud.MachineNames() {
		for _, t := range c.cloud.Machines[name].tasks {
			id, _, _ := wire.ParseTaskName(t.Task)
			cancelledAt := c.jobs.CancelledAt(id)
			if t.State != wire.Exited && cancelledAt != 0 && now-cancelledAt > c.protocol.CancelTimeout {
				c.addViolation(now, "ran_cancelled %s.%d %s %s", t.Task, t.Attempt, name, t.State)
			}
		}
	}
}

// checkStart checks that a task may start at this time and on this machine.
func (c *Checker) checkStart(now Micros, m *Machine, t *task) {
	id, _, _ := wire.ParseTaskName(t.Task)
	j := c.jobs.Jobs[id]
	for _, need := range j.Dependencies {
		if !c.jobs.Done(need) {
			c.addViolation(now, "too_early %s before %s", t.Task, need)
		}
	}
	if j.CancelledAt != 0 { // no task of the job may be started from then on
		afterMS := (now - j.CancelledAt) / 1000
		c.addViolation(now, "started_cancelled %s on %s, %d ms after its cancellation was confirmed to the user",
			t.Task, m.Name, afterMS)
	}
	zones := c.checkRanTwice(now, m, t)
	outsideZone := j.OneZone && len(zones) > 0 && zones[m.Zone] == 0
	tooMany := j.Spread && zones[m.Zone] >= (j.Tasks+1)/2
	otherZone := j.Zone != "" && j.Zone != m.Zone
	if outsideZone || tooMany || otherZone || m.Spot && !j.Spot {
		c.addViolation(now, "wrong_place %s on %s", t.Task, m.Name)
	}
}

// checkRanTwice checks that no other attempt of a starting task is on a machine, and returns the number
// of other tasks of its job by zone.
func (c *Checker) checkRanTwice(now Micros, m *Machine, t *task) (zones map[string]int) {
	id, n, _ := wire.ParseTaskName(t.Task)
	zones = map[string]int{}
	for _, name := range c.cloud.MachineNames() {
		for _, other := range c.cloud.Machines[name].tasks {
			otherID, otherN, _ := wire.ParseTaskName(other.Task)
			if other == t || otherID != id || other.State == wire.Exited {
				continue
			}
			zones[c.cloud.Machines[name].Zone]++
			if otherN == n {
				c.addViolation(now, "ran_twice %s on %s and %s", t.Task, m.Name, name)
			}
		}
	}
	return zones
}

// UsedGPUs returns the number of GPUs that a team's tasks use, on all machines, including those that hang.
func (c *Checker) UsedGPUs(team string) float64 {
	tasks := map[*SubmittedJob]int{}
	for _, m := range c.cloud.Machines {
		for _, t := range m.tasks {
			id, _, _ := wire.ParseTaskName(t.Task)
			if j := c.jobs.Jobs[id]; j != nil && j.Team == team && t.State != wire.Exited {
				tasks[j]++
			}
		}
	}
	used := 0.0
	for j, n := range tasks {
		used += j.GPUs * float64(n)
	}
	return used
}
