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

// The jobs of a flood are equivalent: thousands of them ask for the same. Within a cycle free
// capacity only shrinks, so once one of them could not be placed none of the others can be, and a
// cycle needs to find that out only once. The cost of a cycle is therefore proportional to the number
// of tasks that it places and of equivalence classes; each of the other jobs is only counted.

// equivalenceKey is everything that decides, beside its level, whether a job without placements can
// be placed.
type equivalenceKey struct {
	needs           zone.Resources
	types           string
	zone            string
	shape           string
	spot            bool
	oneZone, spread bool
	tasks           int    // of a gang
	team            string // whose guarantee it may claim
	priority        string // its own: beyond a guarantee the level doesn't imply it
}

// maxEquivalenceClasses is the number of classes from which on all are numbered anew: users choose
// the sizes of their jobs, and most jobs of the numbered classes have ended by then.
const maxEquivalenceClasses = 4096

// equivalenceClasses numbers the equivalence classes of the jobs of a term.
type equivalenceClasses map[equivalenceKey]int

// classOf returns the number of a job's class, from 1 on.
func (ec equivalenceClasses) classOf(j *Job, priority string) int {
	spec := j.Record.Spec
	key := equivalenceKey{needs: taskResources(spec), types: j.types.text, zone: spec.Zone, shape: spec.Shape, spot: spec.Spot,
		oneZone: spec.OneZone, spread: spec.Spread, team: spec.Team, priority: priority}
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

// unschedulableCache holds the equivalence classes of which a cycle could not place a job, with a bit
// for each level.
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

// isOrdinary reports whether nothing about a job but its equivalence class and its level decides
// whether it can be placed now: it has failed on no machine, nothing is reserved for it, and the
// tasks that are placed don't constrain the others.
func (sc *scheduler) isOrdinary(j *Job) bool {
	spec := j.Record.Spec
	unconstrained := j.OpenTasks == 0 || spec.Shape != wire.Gang && !spec.OneZone && !spec.Spread
	return len(j.failedOn) == 0 && sc.outbox.Now() >= j.preemptingUntil && unconstrained
}

// knownUnschedulable reports whether an equivalent job could not be placed in this cycle. It then
// counts the job as unplaced and adds its missing tasks to the demand for machines.
func (sc *scheduler) knownUnschedulable(c *cycle, j *Job, level int) bool {
	if !c.unschedulable.has(j.equivalenceClass, level) || !sc.isOrdinary(j) {
		return false
	}
	spec := j.Record.Spec
	missing := min(spec.Tasks-j.DoneTasks-j.OpenTasks, sc.maxTasksAtOnce(j))
	if !queue.UnderLimit(sc.teams[spec.Team], c.used[spec.Team].Plus(taskAmount(spec), float64(missing))) {
		return false // the team's limit matters as well
	}
	j.reservedMachines = nil
	sc.addDemand(c, j, sc.demandOf(j, missing))
	return true
}

// maxTasksAtOnce is the number of tasks of a job that are placed at a time: as many as one
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

// demandOf returns the demand for machines of some tasks of a job that has been classified.
func (sc *scheduler) demandOf(j *Job, count int) autoscaler.Demand {
	spec := j.Record.Spec
	return autoscaler.Demand{Task: taskResources(spec), Count: count, Types: j.types.set, Zone: spec.Zone, Spot: spec.Spot}
}

// addDemand records that some tasks of a job could not be placed. For a job that is older than the
// age cap it reserves a zone for the rest of the cycle.
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
// cap; for as long after that it is not, whichever job asks. What such a job waits for may never end,
// and capacity that fits a job may not lie idle for 90 s while the job waits.
const zoneReservationTime = 45 * config.Second

// mayReserveZone reports whether a zone may be reserved now for jobs that are older than the age cap.
func (sc *scheduler) mayReserveZone() bool {
	return alternate(&sc.snapshot.reservedSince, sc.outbox.Now(), zoneReservationTime)
}

// alternate reports whether a reservation is allowed now: it is for a length of time from the first
// request on, and then is not for the same length, however often it is requested. It stores when the
// allowed time began.
func alternate(since *Micros, now, length Micros) bool {
	if *since == 0 || now-*since > 2*length {
		*since = now
	}
	return now-*since <= length
}

// classify brings the machine types that suit a job and its equivalence class up to date.
func (ss *clusterSnapshot) classify(j *Job) {
	if j.types.set == nil {
		j.types.set = map[string]bool{}
		for name, t := range ss.catalog.Types {
			if zone.Allows(j.Record.Spec, t) {
				j.types.set[name] = true
			}
		}
		j.types.text = strings.Join(slices.Sorted(maps.Keys(j.types.set)), " ")
		j.equivalenceClass = 0
	}
	if p := j.Priority(); j.equivalenceClass == 0 || j.classifiedAs != p {
		j.equivalenceClass = ss.classes.classOf(j, p)
		j.classifiedAs = p
	}
}
