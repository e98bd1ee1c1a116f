package leader

import (
	"cmp"
	"maps"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/slo"
	"coralhub/wire"
)

// When more jobs arrive than there is capacity for, first come, first served makes nearly all of
// them late: once the queue is longer than the time that a job has to start, each job that starts
// is late already. Therefore, while a class is short of capacity, its jobs of one level that can
// still start in time rank first, until a sufficient share of them has started, both of the largest
// jobs of the class and of the others. Late jobs rank behind these in unchanged order. At intervals
// the oldest late job ranks before all others, so that none waits forever. Priority takes
// precedence over this order, and jobs of one tier are ordered by credit as usual.

const (
	// tierInterval is the minimum time between two assignments of tiers, which are based on the
	// share of each size band that has started.
	tierInterval = config.Second
	// sufficientRatio is the share of the largest jobs of a class, and of its other jobs, that has
	// to start in time before they return to the usual order.
	sufficientRatio = 0.65
	// startsPerLateStart and lateStartInterval guarantee starts to late jobs: the oldest late job
	// of a class ranks before all others once this many jobs have started, or this much time has
	// passed, since the last late start.
	startsPerLateStart = 8
	lateStartInterval  = 30 * config.Second
	// initialTasksDivisor limits the tasks of an array or a service that are placed at its start to
	// one in initialTasksDivisor, rounded up; see initialTasks.
	initialTasksDivisor = 8
)

// Tiers of the jobs of a level; lower tiers rank first. Jobs of classes that are not short of
// capacity are in firstTier.
const (
	firstTier       = 0
	bandTier        = 1 // first of the tiers of size bands of which not enough has started
	normalTier      = 1 << 19
	lateTierOffset  = 1 << 20         // added to the tier of a late job's size band
	queueLastOffset = Micros(1) << 55 // added to the position in a team's queue: behind all jobs that have started
)

// startOrder decides the order in which jobs start while there is less capacity than they need.
type startOrder struct {
	*environment
	slo      *slo.Recorder
	snapshot *clusterSnapshot

	byClass          map[string]*classStats
	tiersAssignedAt  Micros
	claimedGuarantee map[string]queue.Amount // by team: claims of jobs that wait for their victims to end
}

// reset discards the state of a term.
func (so *startOrder) reset() {
	so.byClass = map[string]*classStats{}
	so.claimedGuarantee = map[string]queue.Amount{}
	so.tiersAssignedAt = 0
}

// assignTiers assigns a tier to each size band of the classes that are short of capacity. Bands of
// which an insufficient share has started in time rank first, those with the smallest share before
// the others.
func (so *startOrder) assignTiers() {
	if so.tiersAssignedAt != 0 && so.outbox.Now()-so.tiersAssignedAt < tierInterval {
		return
	}
	so.tiersAssignedAt = so.outbox.Now()
	type bandShare struct {
		*classStats
		band    int
		started float64
	}
	var shares []bandShare
	attainment := so.slo.Tracker().Classes(so.wallClock())
	for _, name := range slices.Sorted(maps.Keys(so.byClass)) {
		cs := so.byClass[name]
		if !cs.short {
			continue
		}
		ofClass := attainment[name]
		cs.largestFrom = ofClass.LargestBucket
		cs.tiers = [sizeBands]int{normalTier, normalTier}
		shares = append(shares,
			bandShare{cs, otherBand, ofClass.Rest.Value()},
			bandShare{cs, largestBand, ofClass.Largest.Value()})
	}
	slices.SortStableFunc(shares, func(a, b bandShare) int { return cmp.Compare(a.started, b.started) })
	for i, share := range shares {
		if share.started < sufficientRatio {
			share.tiers[share.band] = bandTier + i
		}
	}
}

// startTier returns the tier of a waiting job within its level. A nonzero cost orders the jobs of a
// tier before credit does.
func (so *startOrder) startTier(j *Job) (tier int, cost float64) {
	cs := so.shortClass(j)
	// While its class is short of capacity, a job that has not started claims its team's guarantee
	// when its tier's turn comes, and not by its age.
	if behind := cs != nil; behind != j.queuedLast {
		j.queuedLast = behind
		so.snapshot.markJobStale(j)
	}
	if cs == nil {
		if j.classStats != nil && j.classStats.short {
			return normalTier, 0
		}
		return firstTier, 0
	}
	late := so.isLate(j)
	if late && j == cs.oldestLate && so.lateStartDue(cs) {
		return firstTier, 0
	}
	spec := j.Record.Spec
	band := cs.sizeBand(j)
	tier = cs.tiers[band]
	if tier < normalTier && band == otherBand && spec.Shape == wire.Gang {
		// A gang starts as a whole: with smaller ones first, more of them start.
		cost = float64(spec.Tasks) * taskResources(spec).Weight()
	}
	if late {
		tier += lateTierOffset // in unchanged order: late jobs can still complete in time
	}
	return tier, cost
}

// lateStartDue reports whether the oldest late job of a class is due to rank before all others.
func (so *startOrder) lateStartDue(cs *classStats) bool {
	return cs.startsSinceLateStart >= startsPerLateStart || so.outbox.Now()-cs.lastLateStartAt >= lateStartInterval
}

// initialTasks returns the tasks of a job that are to be placed now: only the first part of them if
// the job is in a tier for bands of which not enough has started, so that other jobs can start as
// well, and otherwise all of them.
func (so *startOrder) initialTasks(j *Job, tasks []int) []int {
	cs := so.shortClass(j)
	if cs == nil || j.Record.Spec.Shape == wire.Gang || so.isLate(j) || cs.tiers[cs.sizeBand(j)] >= normalTier {
		return tasks
	}
	initial := (j.Record.Spec.Tasks + initialTasksDivisor - 1) / initialTasksDivisor
	return tasks[:min(len(tasks), initial)]
}
