package leader

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"coralhub/internal/config"
	"coralhub/internal/core/fleet"
	"coralhub/internal/core/gather"
	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/standing"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

const (
	// gatherAfter is how long a gang waits before machines are cleared for it: what ends by
	// itself makes room sooner, and moving costs a service a few seconds of a replica.
	gatherAfter = 20 * config.Second
	// gatherPause is the least time between two looks for machines to clear.
	gatherPause = config.Second
	// gatherKeep is how long cleared machines are kept for the gang.
	gatherKeep = 10 * config.Second
	// movedFor is how long a replica that was moved stays where it is.
	movedFor = 2 * 60 * config.Second
	// gatherBurst is how many seconds' moves may be made at once: a gang is of use whole.
	gatherBurst = 12
)

// gathering is what is left of the moves that the settings allow.
type gathering struct {
	moves *rate.Limiter // told the time of the step
	next  Micros        // no look before then
}

// gather clears machines of replicas for a gang that has found no room, if it has waited for
// long, the cloud has no more of what would do, and what it lacks is only that free room is in
// pieces. The replicas go elsewhere in their zone; nothing else is stopped.
func (l *Leader) gather(s *scan, j *Job, q *zone.Request, lacks *fleet.Need, level int) {
	perS, g := l.cfg.Settings.GatherPerS, &l.gathering
	if perS <= 0 || !q.Whole || l.box.Now() < g.next || l.box.Now()-j.arrived < gatherAfter || l.box.Now() < j.preempted || !l.mayDecide() ||
		!l.keeper.Exhausted(lacks) {
		return
	}
	g.next = l.box.Now() + gatherPause
	if g.moves == nil {
		g.moves = rate.NewLimiter(rate.Limit(perS), int(perS*gatherBurst))
	}
	now := time.UnixMicro(l.box.Now())
	var best *gather.Plan
	for _, z := range s.zones {
		if zone := j.Rec.Spec.Zone; zone != "" && zone != z.Name || s.barred[z.Name] {
			continue
		}
		p := gather.For(lacks.Task, lacks.Count, int(g.moves.TokensAt(now)), l.gatherable(z, q, queue.Level(j.Priority(), true)))
		if p != nil && (best == nil || p.Moves < best.Moves) {
			best = p
		}
	}
	if best == nil {
		return
	}
	g.moves.AllowN(now, best.Moves)
	var keep []string
	for _, m := range slices.Concat(best.Clear, best.Whole) {
		keep = append(keep, m.Name)
		of := l.owner.Roster().Get(m.Name)
		of.Room.Barred = true
		l.touch(of)
	}
	var victims []standing.Victim
	for _, m := range best.Clear {
		for _, r := range m.Replicas {
			of := l.jobs[r.Job]
			if of.moved == nil {
				of.moved = map[int]Micros{}
			}
			of.moved[r.Task] = l.box.Now()
			victims = append(victims, l.victimOf(of, r.Task))
		}
	}
	l.decide(j, standing.Whole, level, keep, victims, gatherKeep)
	l.counters.moved += best.Moves
	l.box.Debug("gathering", "job", j.ID, "class", j.Rec.Spec.Class, "machines", len(best.Clear), "whole", len(best.Whole), "replicas", best.Moves)
}

// gatherable describes the machines of a zone, for a request of a gang of a level. What ranks
// lower could be preempted; moved, it might not come back before others take its place or its
// team's limit.
func (l *Leader) gatherable(z *zone.Zone, q *zone.Request, level int) []*gather.Machine {
	var out []*gather.Machine
	for _, m := range l.owner.Roster().All() {
		if m.Zone != z.Name || m.Room == nil || m.Room.Barred {
			continue
		}
		x := &gather.Machine{Name: m.Name, Type: m.Type, Spot: m.Spot, Free: m.Room.Free, Movable: len(l.survey.plans[m.Name]) == 0,
			Suits: q.Types[m.Type] && (q.Spot || !m.Spot) && q.Avoid[m.Name] <= l.box.Now()}
		open := l.replica.OpenOn(m.Name)
		for _, key := range job.SortedKeys(open) {
			of := l.jobs[key.Job]
			if of == nil || !l.mayMove(of, key.Task) || queue.Level(of.Priority(), true) < level {
				x.Movable = false
				continue
			}
			l.describe(of)
			x.Replicas = append(x.Replicas, gather.Replica{Job: key.Job, Task: key.Task, Needs: taskRes(of.Rec.Spec), Types: of.types.set, Spot: of.Rec.Spec.Spot})
		}
		out = append(out, x)
	}
	return out
}

// mayMove tells whether a task may be stopped to be started elsewhere: a replica of a service
// that has all of them up, and none of it on the move or just moved.
func (l *Leader) mayMove(j *Job, task int) bool {
	spec := j.Rec.Spec
	if spec == nil || spec.Shape != wire.Service || j.Rec.Cancel || j.Rec.Final() || j.Open < spec.Tasks || j.txn != nil || len(j.plan) > 0 || len(j.closes) > 0 ||
		l.owner.StopsAny(j.ID) || len(l.deciding.yields[j.ID]) > 0 || len(j.started) < spec.Tasks || !queue.UnderLimit(l.teams[spec.Team], l.survey.used[spec.Team]) {
		return false
	}
	maps.DeleteFunc(j.moved, func(_ int, at Micros) bool { return l.box.Now()-at > movedFor })
	_, lately := j.moved[task]
	return !lately
}
