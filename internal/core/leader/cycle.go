package leader

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/autoscaler"
	"coralhub/internal/core/job"
	"coralhub/internal/core/preemption"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// cycle is one pass over the queue.
type cycle struct {
	zones          []*zone.Zone
	used           map[string]queue.Amount
	failedRequests []failedRequest
	demands        []autoscaler.Demand
	reservedZones  map[string]bool // zones kept for a job past the age cap
	// drained are the zones of which free machines are kept for a gang.
	drainedZones map[string]bool

	unschedulable unschedulableCache

	waitingPreemptors []waitingPreemptor        // the highest level first
	victims           map[string][]*zone.Victim // by zone; nil: nobody has asked
	running           *runningSummary           // nil: nobody has asked
	quotaLimited      bool                      // a job waits for its team's limit
	changeBudget      float64                   // changes that may still be asked of the state service
}

// machineTypes is the machine types that suit a job.
type machineTypes struct {
	set  map[string]bool
	text string
}

// failedRequest is an entry of the negative cache: the same or a larger request
// fails until the pass ends.
type failedRequest struct {
	zone  string
	needs zone.Resources
	spot  bool
	types string
	level int
	count int
}

// runCycle ranks the pending jobs and places what it can. A job that finds no
// place waits; the next is tried.
func (l *Leader) runCycle() {
	l.cycleDue, l.lastCycleAt, l.nextCycleAt = false, l.outbox.Now(), 0
	if !l.catalog.Known() || l.elector.TokenChangePending() {
		return
	}
	s := l.startCycle()
	l.resumeDecisions()
	l.usage.Observe(l.outbox.Now(), s.used)
	l.updateShortages()
	entries := l.pendingJobs(s)
	queue.Rank(entries)
	l.counters.cycles++
	l.counters.pending, l.counters.without, l.counters.held = len(entries), 0, 0
	queue.Visit(entries, func(e *queue.Entry) bool {
		j := l.jobs[e.ID]
		return !j.queuedBehind || l.mayClaimGuarantee(j, s.used)
	}, func(e *queue.Entry) {
		l.reserveForPreemptors(s, e.Level)
		l.placeJob(s, e)
	})
	l.snapshot.demandUnmet = l.counters.without > 0
	l.snapshot.capacityShort = l.snapshot.demandUnmet || s.quotaLimited
	l.scaleOut(s)
	if l.snapshot.deadlinesDue {
		l.snapshot.deadlinesDue = false
		l.updateDeadlineVerdicts()
	}
}

// startCycle brings what passes go by up to date. Everything open counts, whatever the
// workers last said of it, and so does what is being committed.
func (l *Leader) startCycle() *cycle {
	l.refreshSnapshot()
	s := &cycle{zones: l.snapshot.zones, used: maps.Clone(l.snapshot.used), reservedZones: map[string]bool{}, drainedZones: map[string]bool{}, changeBudget: float64(l.maxInFlightChanges() - l.inFlightChanges)}
	for _, z := range s.zones {
		z.Victims = func() []*zone.Victim { return l.victims(s, z.Name) }
	}
	return s
}

// victims lists the work of a zone that could be stopped. Most passes find room
// without, so it is put together only when a job asks.
func (l *Leader) victims(s *cycle, name string) []*zone.Victim {
	if s.victims == nil {
		s.victims = map[string][]*zone.Victim{}
		for _, j := range l.unfinished {
			if !j.Record.Final() && !j.Record.CancelRequested {
				l.addVictims(s, j)
			}
		}
		for _, vs := range s.victims {
			zone.SortByLoss(vs)
		}
	}
	return s.victims[name]
}

// runningSummary tells in short what has places in a pass. To list all that runs, in the order in
// which it would be stopped, costs more than the rest of a pass; in a flood of a class below
// which nothing runs every pass did so, and found that nothing may be stopped.
type runningSummary struct {
	lowestLevel    int             // of the levels by priority
	borrowingTeams map[string]bool // teams that have places beyond their guarantee
}

func (l *Leader) summarizeRunning(s *cycle) *runningSummary {
	if s.running == nil {
		s.running = &runningSummary{lowestLevel: math.MaxInt, borrowingTeams: map[string]bool{}}
		for _, j := range l.unfinished {
			if j.OpenTasks == 0 || j.Record.Final() || j.Record.CancelRequested {
				continue
			}
			s.running.lowestLevel = min(s.running.lowestLevel, queue.Level(j.Priority(), true))
			if !l.withinGuarantee(j) {
				s.running.borrowingTeams[j.Record.Spec.Team] = true
			}
		}
	}
	return s.running
}

// anyRunsBelow tells whether anything of a priority below a level has places.
func (l *Leader) anyRunsBelow(s *cycle, level int) bool {
	return level > queue.Level(wire.Low, true) && l.summarizeRunning(s).lowestLevel < level
}

// anyTeamBorrows tells whether any other team has places beyond its guarantee.
func (l *Leader) anyTeamBorrows(s *cycle, team string) bool {
	for other := range l.summarizeRunning(s).borrowingTeams {
		if other != team {
			return true
		}
	}
	return false
}

// addVictims lists what could be stopped of a job.
func (l *Leader) addVictims(s *cycle, j *Job) {
	spec := j.Record.Spec
	needs := taskResources(spec)
	level := queue.Level(j.Priority(), l.withinGuarantee(j))
	var gang *zone.Victim // the same one in every zone that it is in
	listed := map[string]bool{}
	j.EachPlacement(func(p job.Placement) {
		m := l.reconciler.Registry().Get(p.Machine)
		if l.reconciler.IsTerminating(p.AttemptKey(j.ID)) || l.preemptions.isPreempted(j.ID, p.Task) || m == nil || m.Offer == nil {
			return
		}
		since, ran := j.startedAt[p.Task]
		if !ran {
			since = l.outbox.Now()
		}
		left := Micros(0)
		if l.cfg.Settings.VictimsByRemaining && spec.Shape != wire.Service {
			if a, ok := l.remainingTime(j, &p); ok {
				left = a.Median
			}
		}
		loss := Micros(0)
		if spec.Shape != wire.Service && spec.CheckpointS == 0 {
			loss = l.outbox.Now() - since
		}
		take := zone.Reclaim{Offer: m.Offer, Resources: needs}
		if spec.Shape != wire.Gang {
			s.victims[m.Zone] = append(s.victims[m.Zone], &zone.Victim{Job: j.ID, Task: p.Task, Level: level, Since: since, Loss: loss, Left: left,
				Reclaims: []zone.Reclaim{take}})
			return
		}
		if gang == nil {
			gang = &zone.Victim{Job: j.ID, Task: -1, Level: level, Since: since, Loss: loss, Left: left}
		}
		gang.Reclaims = append(gang.Reclaims, take)
		if !listed[m.Zone] {
			listed[m.Zone] = true
			s.victims[m.Zone] = append(s.victims[m.Zone], gang)
		}
	})
}

// pendingJobs lists the jobs that want places.
func (l *Leader) pendingJobs(s *cycle) []queue.Entry {
	out := make([]queue.Entry, 0, len(l.snapshot.wanting))
	shares := l.usage.Shares(l.weights)
	for j := range l.snapshot.wanting { // in any order: ranking knows no ties
		spec := j.Record.Spec
		if j.transaction != nil || len(j.plan) > 0 || len(j.completions) > 0 {
			continue
		}
		if at := max(j.holdUntil, j.retryAt); l.outbox.Now() < at {
			// When its time has come it should not wait for an event or a scan as well.
			if l.nextCycleAt == 0 || at < l.nextCycleAt {
				l.nextCycleAt = at
			}
			continue
		}
		level := queue.Level(j.Priority(), l.withinGuarantee(j))
		if l.outbox.Now() < j.preemptingUntil {
			s.waitingPreemptors = append(s.waitingPreemptors, waitingPreemptor{level, j})
		}
		turn, within := l.startTier(j)
		if within == 0 {
			within = l.rankCost(j)
		}
		out = append(out, queue.Entry{ID: j.ID, Level: level, Tier: turn, Cost: within, Created: j.Record.CreatedAt,
			Credit: queue.Credit(&l.cfg.Settings, l.outbox.Now()-j.arrivedAt, shares[spec.Team])})
	}
	slices.SortFunc(s.waitingPreemptors, func(a, b waitingPreemptor) int {
		return cmp.Or(cmp.Compare(b.level, a.level), compareByID(a.job, b.job))
	})
	return out
}

// waitingPreemptor is a job for which others were stopped: the machines that become free are its own.
type waitingPreemptor struct {
	level int
	job   *Job
}

// reserveForPreemptors keeps machines for the jobs that had others stopped, before anything has its turn that
// ranks no higher: it would reckon with room that is somebody's.
func (l *Leader) reserveForPreemptors(s *cycle, level int) {
	for len(s.waitingPreemptors) > 0 && s.waitingPreemptors[0].level >= level {
		for name := range s.waitingPreemptors[0].job.reservedMachines {
			if m := l.reconciler.Registry().Get(name); m != nil && m.Offer != nil {
				m.Offer.Reserved = true
				l.markMachineStale(m)
			}
		}
		s.waitingPreemptors = s.waitingPreemptors[1:]
	}
}

// missingTasks lists the tasks that have no place, at most as many as one transaction
// can hold. A gang needs room for all: what its transaction can't hold is placed
// in the next pass, under the same attempt.
func (l *Leader) missingTasks(j *Job) []int {
	most := l.maxTasksAtOnce(j)
	tasks := j.Record.Spec.Tasks
	var out []int
	for n, end := j.Record.ShardRange(tasks); n < end; n++ {
		p := j.CombinedShard(n)
		first, count := j.Record.ShardSpan(n, tasks)
		for _, i := range p.Missing(count) {
			if out = append(out, first+i); len(out) == most {
				return out
			}
		}
	}
	return out
}

// placeJob finds machines for a job's missing tasks.
func (l *Leader) placeJob(s *cycle, e *queue.Entry) {
	j := l.jobs[e.ID]
	spec := j.Record.Spec
	team := l.teams[spec.Team]
	gang := spec.Shape == wire.Gang
	if !gang && !queue.UnderLimit(team, s.used[spec.Team].Plus(taskAmount(spec), 1)) {
		s.quotaLimited = true
		j.preemptingUntil, j.reservedMachines = 0, nil
		return // as most of a long queue may
	}
	l.classify(j)
	if l.knownUnschedulable(s, j, e.Level) {
		return
	}
	usual := l.isOrdinary(j)
	tasks := l.initialTasks(j, l.missingTasks(j))
	attempt := j.Record.LastAttempt + 1
	if gang && j.OpenTasks > 0 {
		// A gang that hasn't started takes a replacement under its number; one
		// that has, or that is going, starts again once all of it has left.
		if j.Record.LastAttempt <= j.failedGangAttempt || j.Record.LastAttempt <= j.ranGangAttempt || l.reconciler.IsTerminatingAny(j.ID) {
			return
		}
		attempt = j.Record.LastAttempt
	}
	for n := range tasks {
		if !queue.UnderLimit(team, s.used[spec.Team].Plus(taskAmount(spec), float64(n+1))) {
			s.quotaLimited = true
			if gang { // waits for its team's limit
				if l.reservesFreedMachines(j) {
					s.used[spec.Team] = s.used[spec.Team].Plus(taskAmount(spec), float64(len(tasks)))
				}
				return
			}
			tasks = tasks[:n]
			break
		}
	}
	q := l.zoneRequest(s, j, e)
	if gang && l.cfg.Settings.GangsAvoidSlow {
		q.Avoid = l.addSlowMachines(q.Avoid)
	}
	if gang && j.OpenTasks > 0 {
		// An attempt must not come to a machine that it has left: what the worker
		// says of the one could not be told from what it says of the other.
		q.Avoid = maps.Clone(q.Avoid)
		if q.Avoid == nil {
			q.Avoid = map[string]Micros{}
		}
		for name, left := range j.leftMachines {
			if left == attempt {
				q.Avoid[name] = l.outbox.Now() + config.Second
			}
		}
	}
	inZone := map[string]int{}
	j.EachPlacement(func(p job.Placement) { inZone[p.Zone]++ })
	// When the state service takes no more changes for now, those that rank
	// highest have gone first. The rest hold their places in this pass, so that
	// nothing ranking lower takes them and machines are rented for what is left.
	commit := s.changeBudget > 0
	apart := l.newReplicaSpread(j)
	for len(tasks) > 0 {
		bid := apart.bid(q, func() *zone.Bid { return l.auction(s, j, e, q, tasks, inZone) })
		if bid == nil {
			break
		}
		if len(bid.Victims) > 0 {
			if commit {
				l.preempt(j, bid, e.Level)
			}
			return
		}
		if commit && len(j.plan) == 0 {
			s.changeBudget -= l.placementCost(j) // its record is written, or a part of a page
		}
		for i, r := range bid.Offers {
			image := ""
			if q.ShareFetches {
				image = q.Image
			}
			l.snapshot.byName[r.Zone].Allocate(r, q.Needs, image)
			l.markMachineStale(r.Machine)
			inZone[bid.Zone]++
			apart.place(r.Machine.Name)
			if !commit {
				continue
			}
			if tasks[i] >= job.TasksPerShard && tasks[i]%job.TasksPerShard == 0 {
				s.changeBudget -= l.placementCost(j) // another value is written
			}
			l.addPlan(j, job.Placement{Task: tasks[i], Attempt: attempt, Machine: r.Machine.Name,
				Session: r.Machine.Incarnation, Zone: r.Machine.Zone, PlacedAt: job.EncodeTime(j.Record.CreatedAt, l.wallClock()), Spot: r.Machine.Spot})
		}
		if commit {
			l.outbox.Debug("placing", "job", j.ID, "class", spec.Class, "tasks", len(bid.Offers), "warm", bid.CachedImages, "zone", bid.Zone,
				"age_ms", (l.outbox.Now()-j.arrivedAt)/1000, "level", e.Level)
			l.pendingCommits[j.ID] = true
		}
		if commit {
			l.counters.placed += len(bid.Offers)
		} else {
			l.counters.held++
		}
		s.used[spec.Team] = s.used[spec.Team].Plus(taskAmount(spec), float64(len(bid.Offers)))
		tasks = tasks[len(bid.Offers):]
	}
	if len(tasks) == 0 {
		j.preemptingUntil, j.reservedMachines = 0, nil
		return
	}
	if usual && (len(inZone) == 0 || !spec.OneZone && !spec.Spread) {
		s.unschedulable.add(j.equivalenceClass, e.Level)
	}
	lacks := l.demandOf(j, len(tasks))
	l.defragment(s, j, q, &lacks, e.Level)
	l.reserveFreedMachines(s, j, q)
	l.addDemand(s, j, lacks)
}

func (l *Leader) zoneWithMostCapacity(s *cycle, spec *wire.Job) string {
	best, most := "", -1.0
	for _, z := range s.zones {
		if spec.Zone != "" && spec.Zone != z.Name {
			continue
		}
		if free := z.FreeCapacity(); free > most {
			best, most = z.Name, free
		}
	}
	return best
}

// classify brings up to date what is known of the kind of a job.
func (l *Leader) classify(j *Job) {
	if j.types.set == nil {
		j.types.set = map[string]bool{}
		for name, t := range l.catalog.Types {
			if zone.Allows(j.Record.Spec, t) {
				j.types.set[name] = true
			}
		}
		j.types.text = strings.Join(slices.Sorted(maps.Keys(j.types.set)), " ")
		j.equivalenceClass = 0
	}
	if p := j.Priority(); j.equivalenceClass == 0 || j.classifiedAs != p {
		j.equivalenceClass, j.classifiedAs = l.snapshot.classes.classOf(j, p), p
	}
}

func (l *Leader) zoneRequest(s *cycle, j *Job, e *queue.Entry) *zone.Request {
	spec := j.Record.Spec
	q := &zone.Request{Job: j.ID, Needs: taskResources(spec), AllOrNothing: spec.Shape == wire.Gang, Spot: spec.Spot,
		Types: j.types.set, TypeKey: j.types.text, Image: spec.Image, Avoid: j.failedOn, ShareFetches: l.cfg.Settings.ShareFetches}
	if l.outbox.Now() < j.preemptingUntil {
		q.ReservedMachines = j.reservedMachines
		return q
	}
	own := queue.Level(j.Priority(), true)
	claims := l.withinGuarantee(j) && queue.HasGuarantee(l.teams[spec.Team]) && (!j.queuedBehind || l.mayClaimGuarantee(j, s.used))
	if !l.anyRunsBelow(s, own) && !(claims && l.anyTeamBorrows(s, spec.Team)) {
		return q // nothing that has places may be stopped for it: victims need not be listed
	}
	q.MayPreempt = func(v *zone.Victim) bool {
		of := l.jobs[v.Job]
		victim := of.Record.Spec
		if claims && victim.Team != spec.Team && !l.withinGuarantee(of) {
			return true // what another team has borrowed
		}
		return queue.Level(of.Priority(), true) < own && v.Level < e.Level
	}
	return q
}

// auction asks every zone for a bid and returns the best.
func (l *Leader) auction(s *cycle, j *Job, e *queue.Entry, q *zone.Request, tasks []int, inZone map[string]int) *zone.Bid {
	spec := j.Record.Spec
	var best *zone.Bid
	fewest := -1
	for _, of := range s.zones {
		z := of.Name
		if spec.Zone != "" && spec.Zone != z || s.reservedZones[z] {
			continue
		}
		if spec.OneZone && len(inZone) > 0 && inZone[z] == 0 {
			continue
		}
		r := *q
		r.Count = len(tasks)
		if spec.Spread {
			r.Count = min(r.Count, (spec.Tasks+1)/2-inZone[z])
		}
		service := spec.Shape == wire.Service
		if service {
			r.Count = min(r.Count, 1)
		}
		if r.Count <= 0 || r.AllOrNothing && r.Count < len(tasks) && spec.OneZone {
			continue
		}
		if s.knownToFail(z, &r, e.Level) {
			continue
		}
		bid := of.Plan(l.outbox.Now(), &r)
		if bid == nil && len(q.Avoid) == 0 { // else it says little of others
			s.failedRequests = append(s.failedRequests, failedRequest{z, r.Needs, r.Spot, r.TypeKey, e.Level, minTasks(&r)})
		}
		if bid == nil {
			continue
		}
		if service && (best == nil || len(bid.Victims) <= len(best.Victims)) && (fewest < 0 || inZone[z] < fewest) ||
			(!service || inZone[z] == fewest) && bid.Better(best) {
			best, fewest = bid, inZone[z]
		}
	}
	if best == nil && q.AllOrNothing && !spec.OneZone && len(l.cfg.Cluster.Zones) > 1 {
		return l.bidAcrossZones(s, spec, q, tasks, inZone)
	}
	return best
}

// bidAcrossZones places a gang that fits no zone alone but may be split.
func (l *Leader) bidAcrossZones(s *cycle, spec *wire.Job, q *zone.Request, tasks []int, inZone map[string]int) *zone.Bid {
	whole := &zone.Bid{}
	for _, of := range s.zones {
		z := of.Name
		if spec.Zone != "" && spec.Zone != z || s.reservedZones[z] {
			continue
		}
		r := *q
		r.AllOrNothing, r.MayPreempt = false, nil
		r.Count = len(tasks) - len(whole.Offers)
		if spec.Spread {
			r.Count = min(r.Count, (spec.Tasks+1)/2-inZone[z])
		}
		if r.Count <= 0 {
			continue
		}
		if bid := of.Plan(l.outbox.Now(), &r); bid != nil {
			whole.Offers = append(whole.Offers, bid.Offers...)
		}
	}
	if len(whole.Offers) < len(tasks) {
		return nil
	}
	return whole
}

func minTasks(q *zone.Request) int {
	if q.AllOrNothing {
		return q.Count
	}
	return 1
}

// knownToFail looks into the negative cache.
func (s *cycle) knownToFail(z string, q *zone.Request, level int) bool {
	if len(q.ReservedMachines) > 0 {
		return false
	}
	for i := range s.failedRequests {
		f := &s.failedRequests[i]
		if f.zone == z && f.needs.Fits(q.Needs) && (f.spot || !q.Spot) && f.types == q.TypeKey &&
			f.level == level && f.count <= minTasks(q) {
			return true
		}
	}
	return false
}

// preempt stops a bid's victims and keeps their machines for the job.
func (l *Leader) preempt(j *Job, bid *zone.Bid, level int) {
	if !l.canAddDecision() {
		return
	}
	keep := map[string]bool{}
	for _, r := range bid.Offers {
		keep[r.Machine.Name] = true
		r.Reserved = true
		l.markMachineStale(r.Machine)
	}
	wait, why := 5*config.Second, preemption.ReasonGuarantee
	var victims []preemption.Victim
	for _, v := range bid.Victims {
		v.Preempted = true
		victim := l.jobs[v.Job]
		victims = append(victims, l.victimOf(victim, v.Task))
		wait = max(wait, config.FromSeconds(victim.Record.Spec.SaveS)+6*config.Second)
		if queue.Level(victim.Priority(), true) < queue.Level(j.Priority(), true) {
			why = preemption.ReasonPriority
		}
	}
	l.addDecision(j, why, level, slices.Sorted(maps.Keys(keep)), victims, wait)
	if j.queuedBehind {
		l.addClaim(j)
	}
}

// scaleOut asks for the machines that the unplaced work calls for.
func (l *Leader) scaleOut(s *cycle) {
	if l.elector.LeaseInDoubt() || len(s.demands) == 0 {
		return
	}
	l.subtractSoonFree(s)
	for i := range s.demands { // more of the same arrives while the machines boot
		n := &s.demands[i]
		n.Count += int(math.Ceil(float64(n.Count) * l.cfg.Settings.ScaleOutSurplus))
	}
	l.autoscaler.ScaleOut(s.demands)
}
