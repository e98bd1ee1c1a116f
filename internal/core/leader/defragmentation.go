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

const (
	// defragAfter is how long a gang waits before machines are cleared for it: tasks that end make
	// capacity free sooner, and each move leaves a service without a replica for a few seconds.
	defragAfter = 20 * config.Second
	// defragInterval is the least time between two searches for machines to clear.
	defragInterval = config.Second
	// defragReservation is how long cleared machines are reserved for the gang.
	defragReservation = 10 * config.Second
	// moveCooldown is how long a replica that was moved is not moved again.
	moveCooldown = 2 * 60 * config.Second
	// defragBurstSeconds is the number of seconds whose moves may be made at once: a gang is placed
	// as a whole or not at all.
	defragBurstSeconds = 12
)

// defragState limits the rate of defragmentation.
type defragState struct {
	moves  *rate.Limiter // uses the time of the node's clock
	nextAt Micros        // no search before then
}

// defragment clears machines of replicas for a gang that could not be placed, if it has waited for
// long, the cloud has no more machines that suit it, and the free capacity would do if it were not
// fragmented. The replicas are started on other machines of their zone; nothing else is stopped.
func (sc *scheduler) defragment(c *cycle, j *Job, q *zone.Request, demand *autoscaler.Demand, level int) {
	if !sc.mayDefragment(j, q, demand) {
		return
	}
	state := &sc.defragmentation
	state.nextAt = sc.outbox.Now() + defragInterval
	if state.moves == nil {
		perSecond := sc.cfg.Settings.DefragMovesPerS
		state.moves = rate.NewLimiter(rate.Limit(perSecond), int(perSecond*defragBurstSeconds))
	}
	now := time.UnixMicro(sc.outbox.Now())
	plan := sc.bestDefragPlan(c, j, q, demand, int(state.moves.TokensAt(now)))
	if plan == nil {
		return
	}
	state.moves.AllowN(now, plan.MovedReplicas)
	machines := sc.reserveForDefrag(plan)
	victims := sc.moveReplicas(plan)
	sc.preemptions.addDecision(j, preemption.ReasonDefragmentation, level, machines, victims, defragReservation)
	sc.diagnostics.counters.moved += plan.MovedReplicas
	sc.outbox.Debug("defragmenting", "job", j.ID, "class", j.Record.Spec.Class, "machines", len(plan.Clear), "whole", len(plan.Whole), "replicas", plan.MovedReplicas)
}

// mayDefragment reports whether machines may be cleared now for a job that could not be placed.
func (sc *scheduler) mayDefragment(j *Job, q *zone.Request, demand *autoscaler.Demand) bool {
	if sc.cfg.Settings.DefragMovesPerS <= 0 || !q.AllOrNothing {
		return false
	}
	now := sc.outbox.Now()
	tooEarly := now < sc.defragmentation.nextAt || now-j.arrivedAt < defragAfter || now < j.preemptingUntil
	return !tooEarly && sc.preemptions.canAddDecision() && sc.autoscaler.CapacityExhausted(demand)
}

// bestDefragPlan returns the plan that moves the fewest replicas, and no more than maxMoves; nil:
// there is none.
func (sc *scheduler) bestDefragPlan(c *cycle, j *Job, q *zone.Request, demand *autoscaler.Demand, maxMoves int) *defrag.Plan {
	var best *defrag.Plan
	for _, z := range c.zones {
		if !c.isOpenTo(j.Record.Spec, z.Name) {
			continue
		}
		plan := defrag.NewPlan(demand.Task, demand.Count, maxMoves, sc.defragMachines(z, q, queue.Level(j.Priority(), true)))
		if plan != nil && (best == nil || plan.MovedReplicas < best.MovedReplicas) {
			best = plan
		}
	}
	return best
}

// reserveForDefrag reserves the machines of a plan and returns their names.
func (sc *scheduler) reserveForDefrag(plan *defrag.Plan) []string {
	var names []string
	for _, planned := range slices.Concat(plan.Clear, plan.Whole) {
		names = append(names, planned.Name)
		m := sc.reconciler.Registry().Get(planned.Name)
		m.Offer.Reserved = true
		sc.snapshot.markMachineStale(m)
	}
	return names
}

// moveReplicas returns the replicas that a plan moves, as victims, and records that they were moved.
func (sc *scheduler) moveReplicas(plan *defrag.Plan) []preemption.Victim {
	var victims []preemption.Victim
	for _, m := range plan.Clear {
		for _, r := range m.Replicas {
			service := sc.jobs[r.Job]
			if service.movedAt == nil {
				service.movedAt = map[int]Micros{}
			}
			service.movedAt[r.Task] = sc.outbox.Now()
			victims = append(victims, sc.preemptions.victimOf(service, r.Task))
		}
	}
	return victims
}

// defragMachines describes the machines of a zone for the request of a gang of a level. Work that
// ranks lower could be preempted instead; if it were moved, others might take its new place, or its
// team's limit, before it has started again.
func (sc *scheduler) defragMachines(z *zone.Zone, q *zone.Request, level int) []*defrag.Machine {
	var out []*defrag.Machine
	for _, m := range sc.reconciler.Registry().All() {
		if m.Zone != z.Name || m.Offer == nil || m.Offer.Reserved {
			continue
		}
		described := &defrag.Machine{Name: m.Name, Type: m.Type, Spot: m.Spot, Free: m.Offer.Free, Movable: len(sc.snapshot.planned[m.Name]) == 0,
			Suitable: q.Types[m.Type] && (q.Spot || !m.Spot) && q.Avoid[m.Name] <= sc.outbox.Now()}
		open := sc.replica.PlacementsOn(m.Name)
		for _, key := range job.SortedAttemptKeys(open) {
			j := sc.jobs[key.Job]
			if j == nil || !sc.mayMoveReplica(j, key.Task) || queue.Level(j.Priority(), true) < level {
				described.Movable = false
				continue
			}
			sc.classify(j)
			described.Replicas = append(described.Replicas, defrag.Replica{Job: key.Job, Task: key.Task, Needs: taskResources(j.Record.Spec), Types: j.types.set, Spot: j.Record.Spec.Spot})
		}
		out = append(out, described)
	}
	return out
}

// mayMoveReplica reports whether a task may be stopped to be started on another machine: a replica of
// a service that has all of its replicas up, of which none is being moved, and which was not moved
// lately itself.
func (sc *scheduler) mayMoveReplica(j *Job, task int) bool {
	spec := j.Record.Spec
	if spec == nil || spec.Shape != wire.Service || j.Record.CancelRequested || j.Record.Final() {
		return false
	}
	allUp := j.OpenTasks >= spec.Tasks && len(j.startedAt) >= spec.Tasks
	committing := j.transaction != nil || len(j.plan) > 0 || len(j.completions) > 0
	if !allUp || committing || sc.reconciler.IsTerminatingAny(j.ID) || len(sc.preemptions.preempted[j.ID]) > 0 {
		return false
	}
	if !queue.UnderLimit(sc.teams[spec.Team], sc.snapshot.used[spec.Team]) {
		return false
	}
	maps.DeleteFunc(j.movedAt, func(_ int, at Micros) bool { return sc.outbox.Now()-at > moveCooldown })
	_, movedLately := j.movedAt[task]
	return !movedLately
}
