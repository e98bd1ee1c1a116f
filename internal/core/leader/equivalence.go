package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/autoscaler"
	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// A flood's jobs are alike: thousands that ask for the same. Within a pass room only gets
// less, so once one of them has found none, none of the others will, and a pass needs to
// say so only once. What it costs goes with how much it places and with how many kinds of
// jobs there are; of each of the others it does no more than count it.

// equivalenceKey is all that decides, beside its level, whether a job that has no places yet
// finds any.
type equivalenceKey struct {
	needs           zone.Resources
	types           string
	zone            string
	shape           string
	spot            bool
	oneZone, spread bool
	tasks           int    // of a gang
	team            string // whose room it may take from others
	priority        string // of its own; its level doesn't tell it for what is beyond a guarantee
}

// maxEquivalenceClasses is how many likenesses are kept before all are numbered anew: users choose the
// sizes of their jobs, and most of what was numbered is over by then.
const maxEquivalenceClasses = 4096

// equivalenceClasses numbers the likenesses of the jobs of a reign.
type equivalenceClasses map[equivalenceKey]int

// classOf returns the number of a job's likeness, from 1 on.
func (a equivalenceClasses) classOf(j *Job, priority string) int {
	spec := j.Record.Spec
	k := equivalenceKey{needs: taskResources(spec), types: j.types.text, zone: spec.Zone, shape: spec.Shape, spot: spec.Spot,
		oneZone: spec.OneZone, spread: spec.Spread, team: spec.Team, priority: priority}
	if spec.Shape == wire.Gang {
		k.tasks = spec.Tasks
	}
	n := a[k]
	if n == 0 {
		n = len(a) + 1
		a[k] = n
	}
	return n
}

// unschedulableCache tells of which likenesses a pass has found that no job of a level finds room:
// a bit for each level.
type unschedulableCache []uint32

func (x unschedulableCache) has(like, level int) bool {
	return like < len(x) && x[like]&(1<<level) != 0
}

func (x *unschedulableCache) add(like, level int) {
	for len(*x) <= like {
		*x = append(*x, 0)
	}
	(*x)[like] |= 1 << level
}

// isOrdinary tells whether nothing about a job but its likeness and its level decides whether it
// finds room now: it has failed nowhere, nothing is kept for it, and what it has already
// doesn't bind the rest.
func (sc *scheduler) isOrdinary(j *Job) bool {
	spec := j.Record.Spec
	return len(j.failedOn) == 0 && sc.outbox.Now() >= j.preemptingUntil && (j.OpenTasks == 0 || spec.Shape != wire.Gang && !spec.OneZone && !spec.Spread)
}

// knownUnschedulable tells whether one like a job has found no room in this pass. Then it counts it
// among those without, and what it lacks among what machines are rented for.
func (sc *scheduler) knownUnschedulable(s *cycle, j *Job, level int) bool {
	if !s.unschedulable.has(j.equivalenceClass, level) || !sc.isOrdinary(j) {
		return false
	}
	spec := j.Record.Spec
	lacks := min(spec.Tasks-j.DoneTasks-j.OpenTasks, sc.maxTasksAtOnce(j))
	if !queue.UnderLimit(sc.teams[spec.Team], s.used[spec.Team].Plus(taskAmount(spec), float64(lacks))) {
		return false // its team's limit has a say as well
	}
	j.reservedMachines = nil
	sc.addDemand(s, j, sc.demandOf(j, lacks))
	return true
}

// maxTasksAtOnce is how many tasks of a job are placed at a time: as many as one transaction
// can hold. A gang needs room for all.
func (sc *scheduler) maxTasksAtOnce(j *Job) int {
	switch {
	case j.Record.Spec.Shape == wire.Gang:
		return j.Record.Spec.Tasks
	case sc.encoding.Format >= job.FormatGrouped:
		return job.TasksPerShard * (sc.encoding.MaxOps() - 1)
	}
	return job.TasksPerShard
}

// demandOf is what so many tasks of a job, which has been described, call for.
func (sc *scheduler) demandOf(j *Job, count int) autoscaler.Demand {
	spec := j.Record.Spec
	return autoscaler.Demand{Task: taskResources(spec), Count: count, Types: j.types.set, Zone: spec.Zone, Spot: spec.Spot}
}

// addDemand notes that some of a job found no room.
func (sc *scheduler) addDemand(s *cycle, j *Job, n autoscaler.Demand) {
	sc.diagnostics.counters.without++
	s.demands = append(s.demands, n)
	if sc.outbox.Now()-j.arrivedAt > config.FromSeconds(sc.cfg.Settings.AgeCapS) && len(s.reservedZones) == 0 && sc.mayReserveZone() {
		if z := sc.zoneWithMostCapacity(s, j.Record.Spec); z != "" {
			s.reservedZones[z] = true
		}
	}
}

// zoneReservationTime is how long a zone is barred at a time for jobs past the age cap; for as long the others have
// their turn then, whichever job asks. What is in such a job's way may never end, and room that fits may not
// lie idle for 90 s while a job waits.
const zoneReservationTime = 45 * config.Second

// mayReserveZone tells whether it is the turn of those past the age cap.
func (sc *scheduler) mayReserveZone() bool {
	return alternate(&sc.snapshot.reservedSince, sc.outbox.Now(), zoneReservationTime)
}

// alternate tells whether it is the turn of what asks for it: for so long from when it first asks, and then not for as
// long, however often it does. It notes when the turn began.
func alternate(since *Micros, now, length Micros) bool {
	if *since == 0 || now-*since > 2*length {
		*since = now
	}
	return now-*since <= length
}

const (
	// entryTime is about what a pass takes for a job that waits, on a whole core
	// (BenchmarkFlood).
	entryTime = 2 // microseconds
	// cycleShare is the part of its share of the processor that a node may spend on that.
	cycleShare = 0.4
)

// cycleInterval is the least time between two passes. It grows with the line, so that a
// flood leaves the leader time for its workers: a line of 100,000 jobs is gone over every
// 2.5 s by a node with a fifth of a core.
func (sc *scheduler) cycleInterval() Micros {
	least := config.FromMillis(sc.cfg.Settings.CycleIntervalMS)
	cores := sc.cfg.Cluster.Limits.Cores
	if cores <= 0 || cores > 1 {
		cores = 1 // one loop uses no more
	}
	return max(least, Micros(float64(len(sc.snapshot.wanting))*entryTime/(cores*cycleShare)))
}
