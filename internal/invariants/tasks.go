package invariants

import "slices"

// quotaTolerance is how far usage may exceed a quota, to allow for rounding errors.
const quotaTolerance = 1e-6

// taskStarted checks the start of a task and records its placement.
func (c *checker) taskStarted(e *Event) {
	c.started = true
	j := c.job(e.Job)
	if j.spec == nil {
		c.report(ruleNeverSubmitted, e.At, "task %s/%d: starts on %s, but its job was never submitted",
			e.Job, e.Task, e.Machine)
		return
	}
	for _, p := range j.placements {
		if p.task == e.Task && p.machine != e.Machine {
			c.report(ruleRanTwice, e.At, "task %s/%d: starts on %s while on %s", e.Job, e.Task, e.Machine, p.machine)
		}
	}
	if j.cancelledAt != 0 && e.At-j.cancelledAt > c.rules.CancelTimeout {
		c.report(ruleRanCancelled, e.At, "task %s/%d: starts on %s, %.3f s after the cancellation was answered",
			e.Job, e.Task, e.Machine, seconds(e.At-j.cancelledAt))
	}
	for _, n := range j.spec.Needs {
		if dependency := c.job(n); dependency.spec == nil || len(dependency.done) < dependency.spec.Tasks {
			c.report(ruleDependencyNotDone, e.At, "task %s/%d: starts before dependency %s is done", e.Job, e.Task, n)
		}
	}
	c.checkPlacement(e, j)
	p := placement{e.Task, e.Attempt, e.Machine}
	if !slices.Contains(j.placements, p) {
		c.addPlacement(e.Job, j, p)
		c.checkQuota(e.At, j.spec.Team)
	}
}

// addPlacement records a placement and adds its resources to the usage of its team.
func (c *checker) addPlacement(id string, j *job, p placement) {
	j.placements = append(j.placements, p)
	if c.byMachine[p.machine] == nil {
		c.byMachine[p.machine] = map[placement]string{}
	}
	c.byMachine[p.machine][p] = id
	used := c.used[j.spec.Team]
	used.CPUs += j.spec.CPUs
	used.GPUs += j.spec.GPUs
	c.used[j.spec.Team] = used
}

// checkQuota checks the usage of a team against its quota.
func (c *checker) checkQuota(now Micros, team string) {
	used := c.used[team]
	limit := c.rules.Teams[team]
	overCPUs := limit.CPUs > 0 && used.CPUs > limit.CPUs+quotaTolerance
	overGPUs := limit.GPUs > 0 && used.GPUs > limit.GPUs+quotaTolerance
	if overCPUs || overGPUs {
		c.report(ruleQuota, now, "team %s: usage of %v CPUs and %v GPUs exceeds quota of %v and %v",
			team, used.CPUs, used.GPUs, limit.CPUs, limit.GPUs)
	}
}

// checkPlacement checks that the machine on which a task starts satisfies the constraints of its job,
// including those relative to the job's other tasks.
func (c *checker) checkPlacement(e *Event, j *job) {
	m := c.machines[e.Machine]
	if m == nil {
		c.report(ruleExcludedMachine, e.At, "task %s/%d: starts on %s, which is not rented", e.Job, e.Task, e.Machine)
		return
	}
	inZone, elsewhere := c.countZones(e, j, m.Zone)
	why := ""
	switch s := j.spec; {
	case len(s.Types) > 0 && !slices.Contains(s.Types, m.Type):
		why = "job excludes machine type " + m.Type
	case s.Zone != "" && s.Zone != m.Zone:
		why = "job excludes zone " + m.Zone
	case m.Spot && !s.Spot:
		why = "job excludes spot instances"
	case s.OneZone && elsewhere > 0:
		why = "other tasks of the job are in another zone"
	case s.Spread && inZone > (s.Tasks+1)/2:
		why = "too many tasks of the job are in its zone"
	}
	if why != "" {
		c.report(ruleExcludedMachine, e.At, "task %s/%d: starts on %s: %s", e.Job, e.Task, e.Machine, why)
	}
}

// countZones counts the tasks of a job in a zone, including the task that starts, and those in other zones.
func (c *checker) countZones(e *Event, j *job, zone string) (inZone, elsewhere int) {
	inZone = 1
	for _, p := range j.placements {
		host := c.machines[p.machine]
		switch {
		case host == nil || p.task == e.Task:
		case host.Zone == zone:
			inZone++
		default:
			elsewhere++
		}
	}
	return inZone, elsewhere
}

// taskStopped removes a placement and its resources from the usage of its team. It ignores unknown
// placements.
func (c *checker) taskStopped(id string, p placement) {
	j := c.job(id)
	i := slices.Index(j.placements, p)
	if i < 0 {
		return
	}
	j.placements = slices.Delete(j.placements, i, i+1)
	delete(c.byMachine[p.machine], p)
	if len(j.placements) == 0 {
		delete(c.cancelPending, id)
	}
	used := c.used[j.spec.Team]
	used.CPUs -= j.spec.CPUs
	used.GPUs -= j.spec.GPUs
	c.used[j.spec.Team] = used
}

// checkCancelDeadlines finds cancelled jobs with tasks that are still on machines after Rules.CancelTimeout.
// Each job is reported once.
func (c *checker) checkCancelDeadlines(now Micros) {
	for id, j := range c.cancelPending {
		if now-j.cancelledAt <= c.rules.CancelTimeout {
			continue
		}
		delete(c.cancelPending, id)
		p := j.placements[0]
		c.report(ruleRanCancelled, now, "task %s/%d: still on %s, %.3f s after the cancellation was answered",
			id, p.task, p.machine, seconds(now-j.cancelledAt))
	}
}
