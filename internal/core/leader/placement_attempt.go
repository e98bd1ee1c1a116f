package leader

import (
	"maps"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// placementAttempt is the state of finding machines for the missing tasks of one job in a cycle.
type placementAttempt struct {
	cycle   *cycle
	job     *Job
	level   int
	request *zone.Request
	tasks   []int          // tasks that still lack a machine
	attempt uint64         // attempt number under which the tasks are started
	inZone  map[string]int // placed tasks of the job by zone
	spread  *replicaSpread
	// commit is false when the change budget of the cycle has been used up by jobs of higher rank. The
	// tasks are not placed then, but their capacity is allocated for the rest of the cycle, so that no
	// lower-ranking job gets it and machines are requested for the tasks that found no capacity.
	commit bool
}

// maxInZone returns how many of the wanted tasks a zone may get: no more than half of the tasks,
// rounded up, of a job that is to be spread.
func (a *placementAttempt) maxInZone(zoneName string, wanted int) int {
	spec := a.job.Record.Spec
	if !spec.Spread {
		return wanted
	}
	return min(wanted, (spec.Tasks+1)/2-a.inZone[zoneName])
}

// placeJob finds machines for the missing tasks of a job.
func (sc *scheduler) placeJob(c *cycle, e *queue.Entry) {
	j := sc.jobs[e.ID]
	if sc.teamLimitReached(c, j) {
		c.teamLimited = true
		j.clearReservation()
		return // checked first because it may apply to most jobs of a long queue
	}
	sc.snapshot.classify(j)
	if sc.skipIfUnschedulable(c, j, e.Level) {
		return
	}
	classOnly := sc.dependsOnClassOnly(j)
	missing := sc.startOrder.initialTasks(j, sc.missingTasks(j))
	attempt, ok := sc.nextAttempt(j)
	if !ok {
		return
	}
	tasks, ok := sc.tasksWithinLimit(c, j, missing)
	if !ok {
		return
	}
	clear(c.inZone)
	a := placementAttempt{
		cycle:   c,
		job:     j,
		level:   e.Level,
		request: sc.bidder.zoneRequest(c, j, e),
		tasks:   tasks,
		attempt: attempt,
		inZone:  c.inZone,
		spread:  sc.bidder.newReplicaSpread(j),
		commit:  c.changeBudget > 0,
	}
	sc.avoidMachinesForGang(&a)
	j.EachPlacement(func(p job.Placement) { a.inZone[p.Zone]++ })
	if preempts := sc.placeTasks(&a); preempts {
		return
	}
	if len(a.tasks) == 0 {
		j.clearReservation()
		return
	}
	sc.recordUnplaced(&a, classOnly)
}

// clearReservation ends the reservation of the machines that victims free for a job.
func (j *Job) clearReservation() {
	j.preemptingUntil = 0
	j.reservedMachines = nil
}

// teamLimitReached reports whether the team's limit leaves no capacity for one more task of a job.
// Gangs are checked as a whole, see tasksWithinLimit.
func (sc *scheduler) teamLimitReached(c *cycle, j *Job) bool {
	spec := j.Record.Spec
	return spec.Shape != wire.Gang && !queue.WithinLimit(sc.teams[spec.Team], c.used[spec.Team].Plus(taskAmount(spec), 1))
}

// missingTasks lists the tasks that have no placement, at most as many as one transaction can hold.
// For a gang it lists all of them, because it needs capacity for all: tasks that its transaction
// can't hold are placed in the next cycle, under the same attempt.
func (sc *scheduler) missingTasks(j *Job) []int {
	most := sc.maxTasksAtOnce(j)
	tasks := j.Record.Spec.Tasks
	var out []int
	for n, end := j.Record.ShardRange(tasks); n < end; n++ {
		shard := j.CombinedShard(n)
		first, count := j.Record.ShardSpan(n, tasks)
		for _, i := range shard.Pending(count) {
			if out = append(out, first+i); len(out) == most {
				return out
			}
		}
	}
	return out
}

// nextAttempt returns the number of the attempt under which the missing tasks of a job are started.
// It returns false if they can't be started now.
func (sc *scheduler) nextAttempt(j *Job) (uint64, bool) {
	last := j.Record.LastAttempt
	if j.Record.Spec.Shape != wire.Gang || j.OpenTasks == 0 {
		return last + 1, true
	}
	// A gang that has not started gets a replacement under the same number. One that has started,
	// or that is terminating, is started again once all of its tasks have ended.
	if last <= j.failedGangAttempt || last <= j.ranGangAttempt || sc.reconciler.HasTerminations(j.ID) {
		return 0, false
	}
	return last, true
}

// tasksWithinLimit returns the tasks for which the team's limit has capacity. It returns false for
// a gang that doesn't fit as a whole and has to wait.
func (sc *scheduler) tasksWithinLimit(c *cycle, j *Job, tasks []int) ([]int, bool) {
	spec := j.Record.Spec
	team := sc.teams[spec.Team]
	for n := range tasks {
		if queue.WithinLimit(team, c.used[spec.Team].Plus(taskAmount(spec), n+1)) {
			continue
		}
		c.teamLimited = true
		if spec.Shape != wire.Gang {
			return tasks[:n], true
		}
		if sc.startOrder.mayReserveFreedMachines(j) {
			c.used[spec.Team] = c.used[spec.Team].Plus(taskAmount(spec), len(tasks))
		}
		return nil, false
	}
	return tasks, true
}

// avoidMachinesForGang adds the machines that a gang must not use, or should not, to its request.
func (sc *scheduler) avoidMachinesForGang(a *placementAttempt) {
	j, q := a.job, a.request
	if j.Record.Spec.Shape != wire.Gang {
		return
	}
	if sc.cfg.Settings.GangsAvoidSlow {
		q.Avoid = sc.estimates.addSlowMachines(q.Avoid)
	}
	if j.OpenTasks == 0 {
		return
	}
	// An attempt must not return to a machine that it has left: messages of the worker about the
	// former task could not be distinguished from those about the new one.
	q.Avoid = maps.Clone(q.Avoid)
	if q.Avoid == nil {
		q.Avoid = map[string]Micros{}
	}
	for name, left := range j.leftMachines {
		if left == a.attempt {
			q.Avoid[name] = sc.outbox.Now() + config.Second
		}
	}
}

// placeTasks accepts bids until all tasks are placed or no zone makes a bid. It reports whether it
// stopped because the best bid has victims: the tasks are placed once these have ended.
func (sc *scheduler) placeTasks(a *placementAttempt) (preempts bool) {
	for len(a.tasks) > 0 {
		bid := a.spread.bid(a.request, func() *zone.Bid { return sc.bidder.bestBid(a) })
		if bid == nil {
			return false
		}
		if len(bid.Victims) > 0 {
			if a.commit {
				sc.preempt(a.job, bid, a.level)
			}
			return true
		}
		sc.acceptBid(a, bid)
	}
	return false
}

// acceptBid allocates the offers of a bid to the next tasks and plans their placements.
func (sc *scheduler) acceptBid(a *placementAttempt, bid *zone.Bid) {
	j, spec := a.job, a.job.Record.Spec
	if a.commit && len(j.plan) == 0 {
		a.cycle.changeBudget -= sc.commits.placementCost(j) // cost of writing its record, or a part of a placement page
	}
	for i, offer := range bid.Offers {
		sc.allocate(a, offer)
		a.inZone[bid.Zone]++
		if a.commit {
			sc.planPlacement(a, a.tasks[i], offer.Machine)
		}
	}
	if a.commit {
		sc.outbox.Debug("placing", "job", j.ID, "class", spec.Class, "tasks", len(bid.Offers),
			"images_cached", bid.CachedImages, "zone", bid.Zone,
			"age_ms", (sc.outbox.Now()-j.arrivedAt)/1000, "level", a.level)
		sc.commits.requestCommit(j.ID)
		sc.diagnostics.counters.placed += len(bid.Offers)
	} else {
		sc.diagnostics.counters.deferred++
	}
	a.cycle.used[spec.Team] = a.cycle.used[spec.Team].Plus(taskAmount(spec), len(bid.Offers))
	a.tasks = a.tasks[len(bid.Offers):]
}

// allocate takes the capacity of one task from an offer for the rest of the cycle.
func (sc *scheduler) allocate(a *placementAttempt, offer *zone.Offer) {
	image := ""
	if a.request.ShareFetches {
		image = a.request.Image
	}
	sc.snapshot.byName[offer.Zone].Allocate(offer, a.request.Needs, image)
	sc.snapshot.markMachineStale(offer.Machine)
	a.spread.place(offer.Machine.Name)
}

// planPlacement plans the placement of a task, which is committed afterwards.
func (sc *scheduler) planPlacement(a *placementAttempt, task int, m *zone.Machine) {
	j := a.job
	if task >= job.TasksPerShard && task%job.TasksPerShard == 0 {
		a.cycle.changeBudget -= sc.commits.placementCost(j) // first task of another shard: one more value
	}
	sc.snapshot.addPlan(j, job.Placement{
		Task:        task,
		Attempt:     a.attempt,
		Machine:     m.Name,
		Incarnation: m.Incarnation,
		Zone:        m.Zone,
		PlacedAt:    job.EncodeTime(j.Record.CreatedAt, sc.wallClock()),
		Spot:        m.Spot,
	})
}

// recordUnplaced records that there is no free capacity for the remaining tasks of a job: as a
// demand for machines and, if classOnly is set, in the cache of unschedulable equivalence classes. It
// also tries to free capacity for the job by defragmentation, and to reserve capacity that becomes
// free.
func (sc *scheduler) recordUnplaced(a *placementAttempt, classOnly bool) {
	c, j := a.cycle, a.job
	spec := j.Record.Spec
	boundByPlaced := len(a.inZone) > 0 && (spec.OneZone || spec.Spread)
	if classOnly && !boundByPlaced {
		c.unschedulable.add(j.equivalenceClass, a.level)
	}
	demand := sc.demandOf(j, len(a.tasks))
	sc.defragmenter.defragment(c, j, a.request, &demand, a.level)
	sc.startOrder.reserveFreedMachines(c, j, a.request)
	sc.addDemand(c, j, demand)
}
