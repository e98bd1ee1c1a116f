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

// inZone returns the placed work of a zone that could be preempted. It is listed only when a job
// first requires it, because most cycles find free capacity without preemption.
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

// addVictims adds what could be preempted of a job to the victims of a cycle: each task, or a gang
// as a whole.
func (vf *victimFinder) addVictims(c *cycle, j *Job) {
	spec := j.Record.Spec
	needs := taskResources(spec)
	level := queue.Level(j.Priority(), vf.snapshot.withinGuarantee(j))
	var gang *zone.Victim // the same victim in each zone of the gang
	listed := map[string]bool{}
	j.EachPlacement(func(p job.Placement) {
		m := vf.reconciler.Registry().Get(p.Machine)
		if vf.reconciler.IsTerminating(p.AttemptKey(j.ID)) || vf.preemptions.isPendingVictim(j.ID, p.Task) ||
			m == nil || m.Offer == nil {
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

// describeVictim returns a victim with the cost of preempting a placed task, but without the
// resources that this would free.
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
			v.Remaining = remaining.Median
		}
	}
	if spec.Shape != wire.Service && spec.CheckpointS == 0 {
		v.Loss = vf.outbox.Now() - startedAt
	}
	return v
}

// runningSummary summarizes what is placed during a cycle. Listing all of it in preemption order
// costs more than the rest of a cycle. If many jobs wait and nothing runs below their priority,
// every cycle would list it only to find that nothing may be preempted.
type runningSummary struct {
	lowestLevel    int             // by priority alone, as if within the guarantee
	borrowingTeams map[string]bool // teams that use more than their guarantee
}

// summarizeRunning returns the summary of a cycle, which is computed on first use.
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

// anyPlacedBelow reports whether any work of a priority below a level is placed.
func (vf *victimFinder) anyPlacedBelow(c *cycle, level int) bool {
	return level > queue.Level(wire.Low, true) && vf.summarizeRunning(c).lowestLevel < level
}

// anyTeamBorrows reports whether any team other than the given one uses more than its guarantee.
func (vf *victimFinder) anyTeamBorrows(c *cycle, team string) bool {
	for other := range vf.summarizeRunning(c).borrowingTeams {
		if other != team {
			return true
		}
	}
	return false
}
