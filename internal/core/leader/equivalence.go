package leader

import (
	"maps"
	"slices"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/autoscaler"
	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// In a long queue thousands of jobs are equivalent: they request the same. Within a cycle free
// capacity only shrinks, so once one of them could not be placed none of the others can be, and a
// cycle has to find that out only once. The cost of a cycle is therefore proportional to the number
// of tasks that it places and of equivalence classes; each of the other jobs is only counted.

// equivalenceKey is everything apart from the level that determines whether a job without
// placements can be placed.
type equivalenceKey struct {
	needs           zone.Resources
	types           string
	zone            string
	shape           string
	spot            bool
	oneZone, spread bool
	tasks           int    // number of tasks of a gang; 0 for other shapes
	team            string // team whose guarantee the job may claim
	priority        string // the job's own priority: beyond a guarantee the level doesn't imply it
}

// maxEquivalenceClasses is the number of classes above which all are numbered anew: users choose
// the sizes of their jobs, and most jobs of the numbered classes have ended by then.
const maxEquivalenceClasses = 4096

// equivalenceClasses holds the numbers of the equivalence classes of the jobs of a term.
type equivalenceClasses map[equivalenceKey]int

// classOf returns the number of a job's class, starting at 1.
func (ec equivalenceClasses) classOf(j *Job, priority string) int {
	spec := j.Record.Spec
	key := equivalenceKey{
		needs:    taskResources(spec),
		types:    j.types.key,
		zone:     spec.Zone,
		shape:    spec.Shape,
		spot:     spec.Spot,
		oneZone:  spec.OneZone,
		spread:   spec.Spread,
		team:     spec.Team,
		priority: priority,
	}
	if spec.Shape == wire.Gang {
		key.tasks = spec.Tasks
	}
	n := ec[key]
	if n == 0 {
		n = len(ec) + 1
		ec[key] = n
	}
	return n
}

// unschedulableCache holds, by equivalence class, a bit for each level at which a cycle could not
// place a job of the class.
type unschedulableCache []uint32

func (uc unschedulableCache) has(class, level int) bool {
	return class < len(uc) && uc[class]&(1<<level) != 0
}

func (uc *unschedulableCache) add(class, level int) {
	for len(*uc) <= class {
		*uc = append(*uc, 0)
	}
	(*uc)[class] |= 1 << level
}

// dependsOnClassOnly reports whether the equivalence class and the level of a job alone determine
// whether it can be placed now: it has failed on no machine, nothing is reserved for it, and its
// placed tasks don't constrain the others.
func (sc *scheduler) dependsOnClassOnly(j *Job) bool {
	spec := j.Record.Spec
	unconstrained := j.OpenTasks == 0 || spec.Shape != wire.Gang && !spec.OneZone && !spec.Spread
	return len(j.avoidUntil) == 0 && sc.outbox.Now() >= j.preemptingUntil && unconstrained
}

// skipIfUnschedulable reports whether an equivalent job could not be placed in this cycle. If so,
// it counts the job as unplaced and adds its missing tasks to the demand for machines.
func (sc *scheduler) skipIfUnschedulable(c *cycle, j *Job, level int) bool {
	if !c.unschedulable.has(j.equivalenceClass, level) || !sc.dependsOnClassOnly(j) {
		return false
	}
	spec := j.Record.Spec
	missing := min(spec.Tasks-j.DoneTasks-j.OpenTasks, sc.maxTasksAtOnce(j))
	if !queue.WithinLimit(sc.teams[spec.Team], c.used[spec.Team].Plus(taskAmount(spec), missing)) {
		return false // the team's limit may also prevent the placement
	}
	j.reservedMachines = nil
	sc.addDemand(c, j, sc.demandOf(j, missing))
	return true
}

// maxTasksAtOnce returns the number of tasks of a job that are placed at a time: as many as one
// transaction can hold. A gang is placed as a whole.
func (sc *scheduler) maxTasksAtOnce(j *Job) int {
	switch {
	case j.Record.Spec.Shape == wire.Gang:
		return j.Record.Spec.Tasks
	case sc.encoding.Format >= job.FormatGrouped:
		return job.TasksPerShard * (sc.encoding.MaxOps() - 1)
	}
	return job.TasksPerShard
}

// demandOf returns the demand for machines for some tasks of a job, which must have been
// classified.
func (sc *scheduler) demandOf(j *Job, count int) autoscaler.Demand {
	spec := j.Record.Spec
	return autoscaler.Demand{Task: taskResources(spec), Count: count, Types: j.types.set, Zone: spec.Zone, Spot: spec.Spot}
}

// addDemand records that some tasks of a job could not be placed. For a job that is older than the
// age cap it reserves a zone for the rest of the cycle, if that is allowed and no zone is reserved
// yet.
func (sc *scheduler) addDemand(c *cycle, j *Job, demand autoscaler.Demand) {
	sc.diagnostics.counters.unplaced++
	c.demands = append(c.demands, demand)
	pastAgeCap := sc.outbox.Now()-j.arrivedAt > config.FromSeconds(sc.cfg.Settings.AgeCapS)
	if pastAgeCap && len(c.reservedZones) == 0 && sc.mayReserveZone() {
		if name := sc.bidder.zoneWithMostCapacity(c, j.Record.Spec); name != "" {
			c.reservedZones[name] = true
		}
	}
}

// zoneReservationTime is how long a zone is reserved at a time for jobs that are older than the age
// cap. For the same time after that no zone is reserved, whichever job requests it: the capacity
// that such a job waits for may never become free, and capacity that fits a job must not be idle
// for 90 s while the job waits.
const zoneReservationTime = 45 * config.Second

// mayReserveZone reports whether a zone may be reserved now for jobs that are older than the age cap.
func (sc *scheduler) mayReserveZone() bool {
	return reservationAllowed(&sc.snapshot.zoneReservedSince, sc.outbox.Now(), zoneReservationTime)
}

// reservationAllowed reports whether a reservation is allowed now. The first request begins a period
// of the given length in which it is. In the period of the same length after that it is not, however
// often it is requested, and the next request then begins again. The beginning of the period in
// which it is allowed is stored in since.
func reservationAllowed(since *Micros, now, length Micros) bool {
	if *since == 0 || now-*since > 2*length {
		*since = now
	}
	return now-*since <= length
}

// classify updates the machine types that suit a job, and its equivalence class.
func (ss *clusterSnapshot) classify(j *Job) {
	if j.types.set == nil {
		j.types.set = map[string]bool{}
		for name, t := range ss.catalog.Types {
			if zone.Allows(j.Record.Spec, t) {
				j.types.set[name] = true
			}
		}
		j.types.key = strings.Join(slices.Sorted(maps.Keys(j.types.set)), " ")
		j.equivalenceClass = 0
	}
	if p := j.Priority(); j.equivalenceClass == 0 || j.classifiedAs != p {
		j.equivalenceClass = ss.classes.classOf(j, p)
		j.classifiedAs = p
	}
}
