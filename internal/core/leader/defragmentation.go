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
	// defragAfter is how long a gang waits before machines are cleared for it: what ends by
	// itself makes room sooner, and moving costs a service a few seconds of a replica.
	defragAfter = 20 * config.Second
	// defragInterval is the least time between two looks for machines to clear.
	defragInterval = config.Second
	// defragReservation is how long cleared machines are kept for the gang.
	defragReservation = 10 * config.Second
	// moveCooldown is how long a replica that was moved stays where it is.
	moveCooldown = 2 * 60 * config.Second
	// defragBurstSeconds is how many seconds' moves may be made at once: a gang is of use whole.
	defragBurstSeconds = 12
)

// defragState is what is left of the moves that the settings allow.
type defragState struct {
	moves  *rate.Limiter // told the time of the step
	nextAt Micros        // no look before then
}

// defragment clears machines of replicas for a gang that has found no room, if it has waited for
// long, the cloud has no more of what would do, and what it lacks is only that free room is in
// pieces. The replicas go elsewhere in their zone; nothing else is stopped.
func (sc *scheduler) defragment(s *cycle, j *Job, q *zone.Request, lacks *autoscaler.Demand, level int) {
	perS, g := sc.cfg.Settings.DefragMovesPerS, &sc.defragmentation
	if perS <= 0 || !q.AllOrNothing || sc.outbox.Now() < g.nextAt || sc.outbox.Now()-j.arrivedAt < defragAfter || sc.outbox.Now() < j.preemptingUntil || !sc.preemptions.canAddDecision() ||
		!sc.autoscaler.CapacityExhausted(lacks) {
		return
	}
	g.nextAt = sc.outbox.Now() + defragInterval
	if g.moves == nil {
		g.moves = rate.NewLimiter(rate.Limit(perS), int(perS*defragBurstSeconds))
	}
	now := time.UnixMicro(sc.outbox.Now())
	var best *defrag.Plan
	for _, z := range s.zones {
		if zone := j.Record.Spec.Zone; zone != "" && zone != z.Name || s.reservedZones[z.Name] {
			continue
		}
		p := defrag.NewPlan(lacks.Task, lacks.Count, int(g.moves.TokensAt(now)), sc.defragMachines(z, q, queue.Level(j.Priority(), true)))
		if p != nil && (best == nil || p.MovedReplicas < best.MovedReplicas) {
			best = p
		}
	}
	if best == nil {
		return
	}
	g.moves.AllowN(now, best.MovedReplicas)
	var keep []string
	for _, m := range slices.Concat(best.Clear, best.Whole) {
		keep = append(keep, m.Name)
		of := sc.reconciler.Registry().Get(m.Name)
		of.Offer.Reserved = true
		sc.snapshot.markMachineStale(of)
	}
	var victims []preemption.Victim
	for _, m := range best.Clear {
		for _, r := range m.Replicas {
			of := sc.jobs[r.Job]
			if of.movedAt == nil {
				of.movedAt = map[int]Micros{}
			}
			of.movedAt[r.Task] = sc.outbox.Now()
			victims = append(victims, sc.preemptions.victimOf(of, r.Task))
		}
	}
	sc.preemptions.addDecision(j, preemption.ReasonDefragmentation, level, keep, victims, defragReservation)
	sc.diagnostics.counters.moved += best.MovedReplicas
	sc.outbox.Debug("defragmenting", "job", j.ID, "class", j.Record.Spec.Class, "machines", len(best.Clear), "whole", len(best.Whole), "replicas", best.MovedReplicas)
}

// defragMachines describes the machines of a zone, for a request of a gang of a level. What ranks
// lower could be preempted; moved, it might not come back before others take its place or its
// team's limit.
func (sc *scheduler) defragMachines(z *zone.Zone, q *zone.Request, level int) []*defrag.Machine {
	var out []*defrag.Machine
	for _, m := range sc.reconciler.Registry().All() {
		if m.Zone != z.Name || m.Offer == nil || m.Offer.Reserved {
			continue
		}
		x := &defrag.Machine{Name: m.Name, Type: m.Type, Spot: m.Spot, Free: m.Offer.Free, Movable: len(sc.snapshot.planned[m.Name]) == 0,
			Suitable: q.Types[m.Type] && (q.Spot || !m.Spot) && q.Avoid[m.Name] <= sc.outbox.Now()}
		open := sc.replica.PlacementsOn(m.Name)
		for _, key := range job.SortedAttemptKeys(open) {
			of := sc.jobs[key.Job]
			if of == nil || !sc.mayMoveReplica(of, key.Task) || queue.Level(of.Priority(), true) < level {
				x.Movable = false
				continue
			}
			sc.classify(of)
			x.Replicas = append(x.Replicas, defrag.Replica{Job: key.Job, Task: key.Task, Needs: taskResources(of.Record.Spec), Types: of.types.set, Spot: of.Record.Spec.Spot})
		}
		out = append(out, x)
	}
	return out
}

// mayMoveReplica tells whether a task may be stopped to be started elsewhere: a replica of a service
// that has all of them up, and none of it on the move or just moved.
func (sc *scheduler) mayMoveReplica(j *Job, task int) bool {
	spec := j.Record.Spec
	if spec == nil || spec.Shape != wire.Service || j.Record.CancelRequested || j.Record.Final() || j.OpenTasks < spec.Tasks || j.transaction != nil || len(j.plan) > 0 || len(j.completions) > 0 ||
		sc.reconciler.IsTerminatingAny(j.ID) || len(sc.preemptions.preempted[j.ID]) > 0 || len(j.startedAt) < spec.Tasks || !queue.UnderLimit(sc.teams[spec.Team], sc.snapshot.used[spec.Team]) {
		return false
	}
	maps.DeleteFunc(j.movedAt, func(_ int, at Micros) bool { return sc.outbox.Now()-at > moveCooldown })
	_, lately := j.movedAt[task]
	return !lately
}
