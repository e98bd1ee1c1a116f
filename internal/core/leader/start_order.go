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

// When more jobs arrive than there is capacity for, first come, first served makes nearly all of them
// late: once the queue is longer than the time that a job has to start, each job that starts is late
// already. So, for a class while it is short of capacity, among jobs of one level those that can still
// start in time go first, until enough of them have: of the largest jobs of the class as of the
// others. Late ones keep their order behind these, and every now and then the first of them goes before
// all others, so that none waits for ever. Priority is decided before that, and within a tier credit
// decides as always.

const (
	// tierInterval is the time between two computations of which share of each size band has started.
	tierInterval = config.Second
	// sufficientRatio is the share of a class's largest jobs, and of its others, that is to start in
	// time before the class goes back to its usual order.
	sufficientRatio = 0.65
	// startsPerLateStart and lateStartInterval give late jobs their share: the first of them goes before
	// all others once so many jobs have started since the last late one, or after so long.
	startsPerLateStart = 8
	lateStartInterval  = 30 * config.Second
	// initialTasksDivisor is the part of its tasks that an array or a service gets at its start.
	initialTasksDivisor = 8
)

// Tiers of the jobs of a level, the first ones first. Jobs of classes that are not short of capacity
// are in the first one.
const (
	firstTier         = 0
	bandTier          = 1 // and those that follow: size bands of which not enough has started
	normalTier        = 1 << 19
	lateTierOffset    = 1 << 20         // added to the tier of the job's size band
	queueBehindOffset = Micros(1) << 55 // in the queue for a team's guarantee: behind all jobs that have started
)

// startOrder decides the order in which jobs start while there is less capacity than they need.
type startOrder struct {
	*environment
	slo      *slo.Recorder
	snapshot *clusterSnapshot

	byClass          map[string]*classStats
	tiersAssignedAt  Micros
	claimedGuarantee map[string]queue.Amount // by team: of jobs that wait for their victims to end
}

// reset forgets the state of a term.
func (so *startOrder) reset() {
	so.byClass = map[string]*classStats{}
	so.claimedGuarantee = map[string]queue.Amount{}
	so.tiersAssignedAt = 0
}

// assignTiers assigns tiers to the largest jobs and to the others of the classes that are short of
// capacity: the bands of which the smallest share has started in time go first, as long as that share
// isn't sufficient.
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
		shares = append(shares, bandShare{cs, otherBand, ofClass.Rest.Value()}, bandShare{cs, largestBand, ofClass.Largest.Value()})
	}
	slices.SortStableFunc(shares, func(a, b bandShare) int { return cmp.Compare(a.started, b.started) })
	for i, share := range shares {
		if share.started < sufficientRatio {
			share.tiers[share.band] = bandTier + i
		}
	}
}

// startTier returns the tier of a waiting job within its level. The cost, if it isn't 0, orders jobs
// of a tier before credit does.
func (so *startOrder) startTier(j *Job) (tier int, cost float64) {
	cs := so.shortClass(j)
	// A job that has not started claims its team's guarantee when it is its tier's turn, and not by its
	// age.
	if behind := cs != nil; behind != j.queuedBehind {
		j.queuedBehind = behind
		so.snapshot.markJobStale(j)
	}
	if cs == nil {
		if j.classStats != nil && j.classStats.short {
			return normalTier, 0
		}
		return firstTier, 0
	}
	late := so.isLate(j)
	if late && j == cs.firstLate && so.lateStartDue(cs) {
		return firstTier, 0
	}
	spec := j.Record.Spec
	band := cs.sizeBand(j)
	tier = cs.tiers[band]
	if tier < normalTier && band == otherBand && spec.Shape == wire.Gang {
		cost = float64(spec.Tasks) * taskResources(spec).Weight() // all or nothing: the smaller, the more start
	}
	if late {
		tier += lateTierOffset // in the same order: they can still complete in time
	}
	return tier, cost
}

// lateStartDue reports whether the first late job of a class goes before all others.
func (so *startOrder) lateStartDue(cs *classStats) bool {
	return cs.startsSinceLate >= startsPerLateStart || so.outbox.Now()-cs.lateStartAt >= lateStartInterval
}

// initialTasks returns the first part of the tasks of a job that is to start while others should start
// as well, and otherwise all of them.
func (so *startOrder) initialTasks(j *Job, tasks []int) []int {
	cs := so.shortClass(j)
	if cs == nil || j.Record.Spec.Shape == wire.Gang || so.isLate(j) || cs.tiers[cs.sizeBand(j)] >= normalTier {
		return tasks
	}
	initial := (j.Record.Spec.Tasks + initialTasksDivisor - 1) / initialTasksDivisor
	return tasks[:min(len(tasks), initial)]
}
