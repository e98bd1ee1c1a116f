package leader

import (
	"math"

	"coralhub/internal/core/job"
	"coralhub/internal/core/preemption"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// victimFinder lists what could be preempted in a cycle.
type victimFinder struct {
	*environment
	estimates   *runTimeEstimates
	preemptions *preemptionDecisions
	snapshot    *clusterSnapshot
}

// inZone returns the running work of a zone that could be preempted. Most cycles find free
// capacity without preemption, so it is listed only when a job asks.
func (vf *victimFinder) inZone(c *cycle, zoneName string) []*zone.Victim {
	if c.victims == nil {
		c.victims = map[string][]*zone.Victim{}
		for _, j := range vf.unfinished {
			if !j.Record.Final() && !j.Record.CancelRequested {
				vf.addVictims(c, j)
			}
		}
		for _, vs := range c.victims {
			zone.SortByLoss(vs)
		}
	}
	return c.victims[zoneName]
}

// addVictims lists what could be preempted of a job: each task, or a gang as a whole.
func (vf *victimFinder) addVictims(c *cycle, j *Job) {
	spec := j.Record.Spec
	needs := taskResources(spec)
	level := queue.Level(j.Priority(), vf.snapshot.withinGuarantee(j))
	var gang *zone.Victim // the same one in each of its zones
	listed := map[string]bool{}
	j.EachPlacement(func(p job.Placement) {
		m := vf.reconciler.Registry().Get(p.Machine)
		if vf.reconciler.IsTerminating(p.AttemptKey(j.ID)) || vf.preemptions.isPreempted(j.ID, p.Task) || m == nil || m.Offer == nil {
			return
		}
		reclaim := zone.Reclaim{Offer: m.Offer, Resources: needs}
		described := vf.describeVictim(j, &p, level)
		if spec.Shape != wire.Gang {
			task := described
			task.Reclaims = []zone.Reclaim{reclaim}
			c.victims[m.Zone] = append(c.victims[m.Zone], &task)
			return
		}
		if gang == nil {
			whole := described
			whole.Task = preemption.WholeGang
			gang = &whole
		}
		gang.Reclaims = append(gang.Reclaims, reclaim)
		if !listed[m.Zone] {
			listed[m.Zone] = true
			c.victims[m.Zone] = append(c.victims[m.Zone], gang)
		}
	})
}

// describeVictim returns what preempting a placed task would cost, without the resources that it
// would free.
func (vf *victimFinder) describeVictim(j *Job, p *job.Placement, level int) zone.Victim {
	spec := j.Record.Spec
	v := zone.Victim{Job: j.ID, Task: p.Task, Level: level}
	startedAt, started := j.startedAt[p.Task]
	if !started {
		startedAt = vf.outbox.Now()
	}
	v.Since = startedAt
	if vf.cfg.Settings.VictimsByRemaining && spec.Shape != wire.Service {
		if remaining, ok := vf.estimates.remainingTime(j, p); ok {
			v.Left = remaining.Median
		}
	}
	if spec.Shape != wire.Service && spec.CheckpointS == 0 {
		v.Loss = vf.outbox.Now() - startedAt
	}
	return v
}

// runningSummary is a short description of what is placed during a cycle. Listing all of it in
// the order in which it would be preempted costs more than the rest of a cycle; in a flood of a
// class below which nothing runs, every cycle would do so only to find that nothing may be
// preempted.
type runningSummary struct {
	lowestLevel    int             // by priority alone
	borrowingTeams map[string]bool // teams that use more than their guarantee
}

// summarizeRunning returns the summary of a cycle. It is computed when it is first asked for.
func (vf *victimFinder) summarizeRunning(c *cycle) *runningSummary {
	if c.running == nil {
		c.running = &runningSummary{lowestLevel: math.MaxInt, borrowingTeams: map[string]bool{}}
		for _, j := range vf.unfinished {
			if j.OpenTasks == 0 || j.Record.Final() || j.Record.CancelRequested {
				continue
			}
			c.running.lowestLevel = min(c.running.lowestLevel, queue.Level(j.Priority(), true))
			if !vf.snapshot.withinGuarantee(j) {
				c.running.borrowingTeams[j.Record.Spec.Team] = true
			}
		}
	}
	return c.running
}

// anyRunsBelow reports whether anything of a priority below a level is placed.
func (vf *victimFinder) anyRunsBelow(c *cycle, level int) bool {
	return level > queue.Level(wire.Low, true) && vf.summarizeRunning(c).lowestLevel < level
}

// anyTeamBorrows reports whether any other team uses more than its guarantee.
func (vf *victimFinder) anyTeamBorrows(c *cycle, team string) bool {
	for other := range vf.summarizeRunning(c).borrowingTeams {
		if other != team {
			return true
		}
	}
	return false
}
