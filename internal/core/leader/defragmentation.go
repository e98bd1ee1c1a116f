package leader

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"coralhub/internal/config"
	"coralhub/internal/core/autoscaler"
	"coralhub/internal/core/defrag"
	"coralhub/internal/core/job"
	"coralhub/internal/core/preemption"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// defragmenter clears machines of service replicas, at a limited rate, for gangs that wait for
// whole machines.
type defragmenter struct {
	*environment
	diagnostics *diagnostics
	preemptions *preemptionDecisions
	snapshot    *clusterSnapshot

	moveLimiter  *rate.Limiter // limits moved replicas, by the time of the node's clock; nil until it is first used
	nextSearchAt Micros        // no search for machines to clear before then
}

// reset discards the state of a term.
func (df *defragmenter) reset() { df.moveLimiter, df.nextSearchAt = nil, 0 }

const (
	// defragAfter is how long a gang waits before machines are cleared for it: tasks that end free
	// capacity sooner, and each move leaves a service without a replica for a few seconds.
	defragAfter = 20 * config.Second
	// defragInterval is the minimum time between two searches for machines to clear.
	defragInterval = config.Second
	// defragReservation is how long cleared machines are reserved for the gang.
	defragReservation = 10 * config.Second
	// moveCooldown is how long a replica that was moved is not moved again.
	moveCooldown = 2 * 60 * config.Second
	// defragBurstSeconds is the number of seconds whose allowance of moves may be used at once,
	// because a gang is placed as a whole or not at all.
	defragBurstSeconds = 12
)

// defragment clears machines of replicas for a gang that could not be placed, if the gang has
// waited for defragAfter, the cloud has no more machines that suit it, and the free capacity would
// suffice if it were not fragmented. The replicas are started on other machines of their zone;
// nothing else is stopped.
func (df *defragmenter) defragment(c *cycle, j *Job, q *zone.Request, demand *autoscaler.Demand, level int) {
	if !df.mayDefragment(j, q, demand) {
		return
	}
	df.nextSearchAt = df.outbox.Now() + defragInterval
	if df.moveLimiter == nil {
		df.moveLimiter = newMoveLimiter(df.cfg.Settings.DefragMovesPerS)
	}
	now := time.UnixMicro(df.outbox.Now())
	plan := df.bestDefragPlan(c, j, q, demand, int(df.moveLimiter.TokensAt(now)))
	if plan == nil {
		return
	}
	df.moveLimiter.AllowN(now, plan.MovedReplicas)
	machines := df.reserveForDefrag(plan)
	victims := df.moveReplicas(plan)
	df.preemptions.addDecision(j, preemption.ReasonDefragmentation, level, machines, victims, defragReservation)
	df.diagnostics.counters.moved += plan.MovedReplicas
	df.outbox.Debug("defragmenting", "job", j.ID, "class", j.Record.Spec.Class, "machines", len(plan.Clear),
		"whole", len(plan.WithCapacity), "replicas", plan.MovedReplicas)
}

// newMoveLimiter returns the limiter of moves per second. At least one may be made at once.
func newMoveLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*defragBurstSeconds)))
}

// mayDefragment reports whether machines may be cleared now for a job that could not be placed.
func (df *defragmenter) mayDefragment(j *Job, q *zone.Request, demand *autoscaler.Demand) bool {
	if df.cfg.Settings.DefragMovesPerS <= 0 || !q.AllOrNothing {
		return false
	}
	now := df.outbox.Now()
	tooEarly := now < df.nextSearchAt || now-j.arrivedAt < defragAfter || now < j.preemptingUntil
	return !tooEarly && df.preemptions.committer.CanAdd() && df.autoscaler.CapacityExhausted(demand)
}

// bestDefragPlan returns the plan that moves the fewest replicas, and no more than maxMoves, or nil
// if there is none.
func (df *defragmenter) bestDefragPlan(
	c *cycle,
	j *Job,
	q *zone.Request,
	demand *autoscaler.Demand,
	maxMoves int,
) *defrag.Plan {
	var best *defrag.Plan
	for _, z := range c.zones {
		if !c.mayUseZone(j.Record.Spec, z.Name) {
			continue
		}
		plan := defrag.NewPlan(demand.Task, demand.Count, maxMoves, df.defragMachines(z, q, queue.Level(j.Priority(), true)))
		if plan != nil && (best == nil || plan.MovedReplicas < best.MovedReplicas) {
			best = plan
		}
	}
	return best
}

// reserveForDefrag reserves the machines of a plan and returns their names.
func (df *defragmenter) reserveForDefrag(plan *defrag.Plan) []string {
	var names []string
	for _, planned := range slices.Concat(plan.Clear, plan.WithCapacity) {
		names = append(names, planned.Name)
		m := df.reconciler.Registry().Get(planned.Name)
		m.Offer.Reserved = true
		df.snapshot.markMachineStale(m)
	}
	return names
}

// moveReplicas returns the replicas that a plan moves, as victims, and records the time of their
// moves.
func (df *defragmenter) moveReplicas(plan *defrag.Plan) []preemption.Victim {
	var victims []preemption.Victim
	for _, m := range plan.Clear {
		for _, r := range m.Replicas {
			service := df.jobs[r.Job]
			if service.movedAt == nil {
				service.movedAt = map[int]Micros{}
			}
			service.movedAt[r.Task] = df.outbox.Now()
			victims = append(victims, df.preemptions.newVictim(service, r.Task))
		}
	}
	return victims
}

// defragMachines describes the machines of a zone for the request of a gang of a level. Work of a
// lower level is not movable: it could be preempted instead, and if it were moved, other jobs might
// take its new place, or its team's limit, before it has restarted.
func (df *defragmenter) defragMachines(z *zone.Zone, q *zone.Request, level int) []*defrag.Machine {
	var out []*defrag.Machine
	for _, m := range df.reconciler.Registry().All() {
		if m.Zone != z.Name || m.Offer == nil || m.Offer.Reserved {
			continue
		}
		described := &defrag.Machine{
			Name:     m.Name,
			Type:     m.Type,
			Spot:     m.Spot,
			Free:     m.Offer.Free,
			Movable:  len(df.snapshot.planned[m.Name]) == 0,
			Suitable: q.Types[m.Type] && (q.Spot || !m.Spot) && q.Avoid[m.Name] <= df.outbox.Now(),
		}
		open := df.replica.PlacementsOn(m.Name)
		for _, key := range job.SortedAttemptKeys(open) {
			j := df.jobs[key.Job]
			if j == nil || !df.mayMoveReplica(j, key.Task) || queue.Level(j.Priority(), true) < level {
				described.Movable = false
				continue
			}
			df.snapshot.classify(j)
			described.Replicas = append(described.Replicas, defrag.Replica{
				Job:   key.Job,
				Task:  key.Task,
				Needs: taskResources(j.Record.Spec),
				Types: j.types.set,
				Spot:  j.Record.Spec.Spot,
			})
		}
		out = append(out, described)
	}
	return out
}

// mayMoveReplica reports whether a task may be stopped to be restarted on another machine. It must
// be a replica that was not moved within moveCooldown, of a service that has all of its replicas up
// and none of them being moved.
func (df *defragmenter) mayMoveReplica(j *Job, task int) bool {
	spec := j.Record.Spec
	if spec == nil || spec.Shape != wire.Service || j.Record.CancelRequested || j.Record.Final() {
		return false
	}
	allUp := j.OpenTasks >= spec.Tasks && len(j.startedAt) >= spec.Tasks
	committing := j.transaction != nil || len(j.plan) > 0 || len(j.completions) > 0
	if !allUp || committing || df.reconciler.HasTerminations(j.ID) || len(df.preemptions.pendingVictims[j.ID]) > 0 {
		return false
	}
	if !queue.WithinLimit(df.teams[spec.Team], df.snapshot.used[spec.Team]) {
		return false
	}
	maps.DeleteFunc(j.movedAt, func(_ int, at Micros) bool { return df.outbox.Now()-at > moveCooldown })
	_, movedLately := j.movedAt[task]
	return !movedLately
}
