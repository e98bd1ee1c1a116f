package leader

import (
	"cmp"
	"maps"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/slo"
)

const (
	// startLeadDivisor determines how much of the time within which a job should start is set aside
	// for fetching its image after its placement: one part in startLeadDivisor.
	startLeadDivisor = 8
	// lateTolerance is the number of jobs of a class that may be late without the class being short
	// of capacity: a single job may need resources that no other job needs.
	lateTolerance = 2
	// longQueueDivisor determines how fast the queue of a class has to drain: within one part in
	// longQueueDivisor of startDeadline. If it takes longer, the class counts as short of capacity
	// before any job is late.
	longQueueDivisor = 2
	// shortageMinWaiting and shortageMinAge are the minimum number of waiting jobs, and the minimum
	// age of the oldest of them, for which the queue indicates a shortage: jobs that have just
	// arrived may be placed at once.
	shortageMinWaiting = 10
	shortageMinAge     = 10 * config.Second
	// shortageCooldown is how long a class counts as short of capacity after the last indication of
	// a shortage.
	shortageCooldown = 30 * config.Second
	// maxClassStats bounds the number of classes with statistics of their own, because users choose
	// the names of classes.
	maxClassStats = 1000
)

// Size bands of the jobs of a class.
const (
	otherBand = iota
	largestBand
	sizeBands
)

// classStats holds the statistics of a class that has waiting jobs.
type classStats struct {
	name                 string
	short                bool   // the class is short of capacity
	shortageSeenAt       Micros // time of the last indication of a shortage; 0 if there was none
	startRate            startRate
	waiting              int         // jobs that have not started, as of the current cycle
	pendingWork          pendingWork // work of the waiting jobs
	oldestArrival        Micros      // arrival time of the oldest waiting job
	late                 int         // number of waiting jobs that can no longer start in time
	oldestLate           *Job        // late job that has waited longest
	startsSinceLateStart int         // number of jobs that have started since the last late start
	lastLateStartAt      Micros      // time of the last late start
	largestFrom          int         // size bucket from which on a job is among the largest
	tiers                [sizeBands]int
}

// sizeBand returns the size band of a job of the class.
func (cs *classStats) sizeBand(j *Job) int {
	if slo.SizeBucket(j.Record.Spec.Tasks) >= cs.largestFrom {
		return largestBand
	}
	return otherBand
}

// resetWaiting empties the counts of waiting jobs at the beginning of a cycle.
func (cs *classStats) resetWaiting() {
	cs.waiting = 0
	cs.pendingWork = pendingWork{}
	cs.late = 0
	cs.oldestLate = nil
}

// addWaiting counts a job that has not started.
func (cs *classStats) addWaiting(j *Job, late bool) {
	cs.waiting++
	if cs.waiting == 1 || j.arrivedAt < cs.oldestArrival {
		cs.oldestArrival = j.arrivedAt
	}
	cs.pendingWork.add(j.Record.Spec)
	if !late {
		return
	}
	cs.late++
	if cs.oldestLate == nil || j.arrivedBefore(cs.oldestLate) {
		cs.oldestLate = j
	}
}

// arrivedBefore reports whether a job has waited longer than another one. Jobs that arrived at the
// same time are ordered by ID.
func (j *Job) arrivedBefore(other *Job) bool {
	return cmp.Or(cmp.Compare(j.arrivedAt, other.arrivedAt), cmp.Compare(j.ID, other.ID)) < 0
}

// hasStarted reports whether a job has ever had a placement.
func (j *Job) hasStarted() bool {
	return j.OpenTasks > 0 || j.DoneTasks > 0 || j.Record.LastAttempt > 0 || j.Record.Final()
}

// recordStart records the start of a job once its first placement is committed.
func (so *startOrder) recordStart(j *Job) {
	if j.startRecorded || !j.hasStarted() {
		return
	}
	j.startRecorded = true
	if !so.ready || j.Record.Spec == nil || !so.cfg.Settings.StartDeadlineFirst {
		return
	}
	cs := so.classStatsOf(j)
	cs.startRate.add(so.outbox.Now())
	cs.startsSinceLateStart++
	if so.isLate(j) {
		cs.startsSinceLateStart = 0
		cs.lastLateStartAt = so.outbox.Now()
	}
}

// classStatsOf returns the statistics of a job's class.
func (so *startOrder) classStatsOf(j *Job) *classStats {
	if j.classStats == nil {
		j.classStats = so.classStatsNamed(j.Record.Spec.Class)
	}
	return j.classStats
}

// classStatsNamed returns the statistics of a class. Classes beyond maxClassStats share one entry.
func (so *startOrder) classStatsNamed(class string) *classStats {
	cs := so.byClass[class]
	if cs == nil && len(so.byClass) >= maxClassStats {
		class = ""
		cs = so.byClass[class]
	}
	if cs == nil {
		cs = &classStats{name: class}
		so.byClass[class] = cs
	}
	return cs
}

// startDeadline returns the age from which on a job without a placement can't start in time.
func (so *startOrder) startDeadline() Micros {
	within := config.FromSeconds(so.cfg.Settings.StartWithinS)
	return within - within/startLeadDivisor
}

// isLate reports whether a job that has no placement yet can no longer start in time.
func (so *startOrder) isLate(j *Job) bool { return so.outbox.Now()-j.arrivedAt >= so.startDeadline() }

// shortClass returns the class of a job that has not started, if that class is short of capacity,
// and otherwise nil.
func (so *startOrder) shortClass(j *Job) *classStats {
	if cs := j.classStats; cs != nil && cs.short && !j.hasStarted() {
		return cs
	}
	return nil
}

// updateShortages determines from the jobs that lack placements which classes are short of capacity,
// and assigns tiers to the jobs of these classes.
func (so *startOrder) updateShortages() {
	if !so.cfg.Settings.StartDeadlineFirst {
		return
	}
	for _, cs := range so.byClass {
		cs.resetWaiting()
	}
	so.sumClaims(so.countWaiting())
	anyShort, anyChanged := false, false
	for _, cs := range so.byClass {
		short := so.isShort(cs)
		anyChanged = anyChanged || short != cs.short
		anyShort = anyShort || short
		cs.short = short
	}
	if anyChanged {
		so.reorderTeamQueues()
	}
	if anyShort {
		so.assignTiers()
	}
}

// countWaiting counts the jobs that have not started, by class. It returns those that wait for their
// victims to end, whose claims on a guarantee count.
func (so *startOrder) countWaiting() (claiming []*Job) {
	// The map order doesn't matter: jobs are counted, and the oldest is chosen by a total order.
	for j := range so.snapshot.lackingPlacements {
		if j.hasStarted() {
			continue
		}
		if j.queuedLast && so.outbox.Now() < j.preemptingUntil {
			claiming = append(claiming, j)
		}
		so.classStatsOf(j).addWaiting(j, so.isLate(j))
	}
	return claiming
}

// isShort reports whether a class is short of capacity: more than lateTolerance jobs are late, or
// its queue is too long to drain in time, or one of these applied within the last shortageCooldown.
func (so *startOrder) isShort(cs *classStats) bool {
	now := so.outbox.Now()
	queueTime, known := cs.startRate.timeToStart(now, cs.waiting)
	if !known {
		queueTime = 0
	}
	if cs.waiting >= shortageMinWaiting && !so.autoscaler.ManyMachinesBooting() {
		queueTime = max(queueTime, cs.pendingWork.drainTime(so.autoscaler.TotalCapacity(cs.pendingWork.spot)))
	}
	queueSettled := cs.waiting >= shortageMinWaiting && now-cs.oldestArrival >= shortageMinAge
	queueTooLong := queueSettled && queueTime > so.startDeadline()/longQueueDivisor
	if cs.late > lateTolerance || queueTooLong {
		cs.shortageSeenAt = now
	}
	return cs.shortageSeenAt != 0 && now-cs.shortageSeenAt <= shortageCooldown
}

// reorderTeamQueues updates the queues of the teams at once when classes have become short of
// capacity or have ceased to be: with only a part of the new order applied, running tasks could be
// preempted needlessly.
func (so *startOrder) reorderTeamQueues() {
	for _, name := range slices.Sorted(maps.Keys(so.byClass)) {
		cs := so.byClass[name]
		so.outbox.Debug("class capacity", "class", cs.name, "short", cs.short, "waiting", cs.waiting, "late", cs.late)
	}
	anyMoved := false
	for j := range so.snapshot.lackingPlacements {
		if behind := so.shortClass(j) != nil; behind != j.queuedLast {
			j.queuedLast = behind
			anyMoved = true
		}
	}
	if !anyMoved {
		return
	}
	// Thousands of jobs may have to move, so the queues are rebuilt, from the front on.
	clear(so.snapshot.teamQueues)
	ordered := slices.Clone(so.unfinished)
	slices.SortFunc(ordered, (*Job).compareQueuePosition)
	for _, j := range ordered {
		j.queued = queue.QueuedJob{}
		j.queueTeam = ""
		so.snapshot.refreshTeamQueue(j)
	}
}

// compareQueuePosition orders jobs as they are in the queues of their teams.
func (j *Job) compareQueuePosition(other *Job) int {
	return cmp.Or(cmp.Compare(j.queuePosition(), other.queuePosition()), cmp.Compare(j.ID, other.ID))
}

func compareByID(a, b *Job) int { return cmp.Compare(a.ID, b.ID) }
