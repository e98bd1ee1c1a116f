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

// scheduler TODO
type scheduler struct {
	*environment
	commits     *jobCommitter
	diagnostics *diagnostics
	estimates   *runTimeEstimates
	preemptions *preemptionDecisions
	snapshot    *clusterSnapshot
	startOrder  *startOrder

	usage           *queue.Usage
	weights         map[string]float64
	cycleDue        bool
	nextCycleAt     Micros
	lastCycleAt     Micros
	defragmentation defragState
}

func (sc *scheduler) reset() {
	sc.defragmentation = defragState{}
	sc.usage = queue.NewUsage(config.FromSeconds(sc.cfg.Settings.UsageWindowS))
}

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
func (sc *scheduler) runCycle() {
	sc.cycleDue, sc.lastCycleAt, sc.nextCycleAt = false, sc.outbox.Now(), 0
	if !sc.catalog.Known() || sc.elector.TokenChangePending() {
		return
	}
	s := sc.startCycle()
	sc.preemptions.resumeDecisions()
	sc.usage.Observe(sc.outbox.Now(), s.used)
	sc.startOrder.updateShortages()
	entries := sc.pendingJobs(s)
	queue.Rank(entries)
	sc.diagnostics.counters.cycles++
	sc.diagnostics.counters.pending, sc.diagnostics.counters.without, sc.diagnostics.counters.held = len(entries), 0, 0
	queue.Visit(entries, func(e *queue.Entry) bool {
		j := sc.jobs[e.ID]
		return !j.queuedBehind || sc.startOrder.mayClaimGuarantee(j, s.used)
	}, func(e *queue.Entry) {
		sc.reserveForPreemptors(s, e.Level)
		sc.placeJob(s, e)
	})
	sc.snapshot.demandUnmet = sc.diagnostics.counters.without > 0
	sc.snapshot.capacityShort = sc.snapshot.demandUnmet || s.quotaLimited
	sc.scaleOut(s)
	if sc.snapshot.deadlinesDue {
		sc.snapshot.deadlinesDue = false
		sc.estimates.updateDeadlineVerdicts()
	}
}

// startCycle brings what passes go by up to date. Everything open counts, whatever the
// workers last said of it, and so does what is being committed.
func (sc *scheduler) startCycle() *cycle {
	sc.snapshot.refreshSnapshot()
	s := &cycle{zones: sc.snapshot.zones, used: maps.Clone(sc.snapshot.used), reservedZones: map[string]bool{}, drainedZones: map[string]bool{}, changeBudget: float64(sc.commits.maxInFlightChanges() - sc.commits.inFlightChanges)}
	for _, z := range s.zones {
		z.Victims = func() []*zone.Victim { return sc.victims(s, z.Name) }
	}
	return s
}

// victims lists the work of a zone that could be stopped. Most passes find room
// without, so it is put together only when a job asks.
func (sc *scheduler) victims(s *cycle, name string) []*zone.Victim {
	if s.victims == nil {
		s.victims = map[string][]*zone.Victim{}
		for _, j := range sc.unfinished {
			if !j.Record.Final() && !j.Record.CancelRequested {
				sc.addVictims(s, j)
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

func (sc *scheduler) summarizeRunning(s *cycle) *runningSummary {
	if s.running == nil {
		s.running = &runningSummary{lowestLevel: math.MaxInt, borrowingTeams: map[string]bool{}}
		for _, j := range sc.unfinished {
			if j.OpenTasks == 0 || j.Record.Final() || j.Record.CancelRequested {
				continue
			}
			s.running.lowestLevel = min(s.running.lowestLevel, queue.Level(j.Priority(), true))
			if !sc.snapshot.withinGuarantee(j) {
				s.running.borrowingTeams[j.Record.Spec.Team] = true
			}
		}
	}
	return s.running
}

// anyRunsBelow tells whether anything of a priority below a level has places.
func (sc *scheduler) anyRunsBelow(s *cycle, level int) bool {
	return level > queue.Level(wire.Low, true) && sc.summarizeRunning(s).lowestLevel < level
}

// anyTeamBorrows tells whether any other team has places beyond its guarantee.
func (sc *scheduler) anyTeamBorrows(s *cycle, team string) bool {
	for other := range sc.summarizeRunning(s).borrowingTeams {
		if other != team {
			return true
		}
	}
	return false
}

// addVictims lists what could be stopped of a job.
func (sc *scheduler) addVictims(s *cycle, j *Job) {
	spec := j.Record.Spec
	needs := taskResources(spec)
	level := queue.Level(j.Priority(), sc.snapshot.withinGuarantee(j))
	var gang *zone.Victim // the same one in every zone that it is in
	listed := map[string]bool{}
	j.EachPlacement(func(p job.Placement) {
		m := sc.reconciler.Registry().Get(p.Machine)
		if sc.reconciler.IsTerminating(p.AttemptKey(j.ID)) || sc.preemptions.isPreempted(j.ID, p.Task) || m == nil || m.Offer == nil {
			return
		}
		since, ran := j.startedAt[p.Task]
		if !ran {
			since = sc.outbox.Now()
		}
		left := Micros(0)
		if sc.cfg.Settings.VictimsByRemaining && spec.Shape != wire.Service {
			if a, ok := sc.estimates.remainingTime(j, &p); ok {
				left = a.Median
			}
		}
		loss := Micros(0)
		if spec.Shape != wire.Service && spec.CheckpointS == 0 {
			loss = sc.outbox.Now() - since
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
func (sc *scheduler) pendingJobs(s *cycle) []queue.Entry {
	out := make([]queue.Entry, 0, len(sc.snapshot.wanting))
	shares := sc.usage.Shares(sc.weights)
	for j := range sc.snapshot.wanting { // in any order: ranking knows no ties
		spec := j.Record.Spec
		if j.transaction != nil || len(j.plan) > 0 || len(j.completions) > 0 {
			continue
		}
		if at := max(j.holdUntil, j.retryAt); sc.outbox.Now() < at {
			// When its time has come it should not wait for an event or a scan as well.
			if sc.nextCycleAt == 0 || at < sc.nextCycleAt {
				sc.nextCycleAt = at
			}
			continue
		}
		level := queue.Level(j.Priority(), sc.snapshot.withinGuarantee(j))
		if sc.outbox.Now() < j.preemptingUntil {
			s.waitingPreemptors = append(s.waitingPreemptors, waitingPreemptor{level, j})
		}
		turn, within := sc.startOrder.startTier(j)
		if within == 0 {
			within = sc.estimates.rankCost(j)
		}
		out = append(out, queue.Entry{ID: j.ID, Level: level, Tier: turn, Cost: within, Created: j.Record.CreatedAt,
			Credit: queue.Credit(&sc.cfg.Settings, sc.outbox.Now()-j.arrivedAt, shares[spec.Team])})
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
func (sc *scheduler) reserveForPreemptors(s *cycle, level int) {
	for len(s.waitingPreemptors) > 0 && s.waitingPreemptors[0].level >= level {
		for name := range s.waitingPreemptors[0].job.reservedMachines {
			if m := sc.reconciler.Registry().Get(name); m != nil && m.Offer != nil {
				m.Offer.Reserved = true
				sc.snapshot.markMachineStale(m)
			}
		}
		s.waitingPreemptors = s.waitingPreemptors[1:]
	}
}

// missingTasks lists the tasks that have no place, at most as many as one transaction
// can hold. A gang needs room for all: what its transaction can't hold is placed
// in the next pass, under the same attempt.
func (sc *scheduler) missingTasks(j *Job) []int {
	most := sc.maxTasksAtOnce(j)
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
func (sc *scheduler) placeJob(s *cycle, e *queue.Entry) {
	j := sc.jobs[e.ID]
	spec := j.Record.Spec
	team := sc.teams[spec.Team]
	gang := spec.Shape == wire.Gang
	if !gang && !queue.UnderLimit(team, s.used[spec.Team].Plus(taskAmount(spec), 1)) {
		s.quotaLimited = true
		j.preemptingUntil, j.reservedMachines = 0, nil
		return // as most of a long queue may
	}
	sc.classify(j)
	if sc.knownUnschedulable(s, j, e.Level) {
		return
	}
	usual := sc.isOrdinary(j)
	tasks := sc.startOrder.initialTasks(j, sc.missingTasks(j))
	attempt := j.Record.LastAttempt + 1
	if gang && j.OpenTasks > 0 {
		// A gang that hasn't started takes a replacement under its number; one
		// that has, or that is going, starts again once all of it has left.
		if j.Record.LastAttempt <= j.failedGangAttempt || j.Record.LastAttempt <= j.ranGangAttempt || sc.reconciler.IsTerminatingAny(j.ID) {
			return
		}
		attempt = j.Record.LastAttempt
	}
	for n := range tasks {
		if !queue.UnderLimit(team, s.used[spec.Team].Plus(taskAmount(spec), float64(n+1))) {
			s.quotaLimited = true
			if gang { // waits for its team's limit
				if sc.startOrder.reservesFreedMachines(j) {
					s.used[spec.Team] = s.used[spec.Team].Plus(taskAmount(spec), float64(len(tasks)))
				}
				return
			}
			tasks = tasks[:n]
			break
		}
	}
	q := sc.zoneRequest(s, j, e)
	if gang && sc.cfg.Settings.GangsAvoidSlow {
		q.Avoid = sc.estimates.addSlowMachines(q.Avoid)
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
				q.Avoid[name] = sc.outbox.Now() + config.Second
			}
		}
	}
	inZone := map[string]int{}
	j.EachPlacement(func(p job.Placement) { inZone[p.Zone]++ })
	// When the state service takes no more changes for now, those that rank
	// highest have gone first. The rest hold their places in this pass, so that
	// nothing ranking lower takes them and machines are rented for what is left.
	commit := s.changeBudget > 0
	apart := sc.newReplicaSpread(j)
	for len(tasks) > 0 {
		bid := apart.bid(q, func() *zone.Bid { return sc.auction(s, j, e, q, tasks, inZone) })
		if bid == nil {
			break
		}
		if len(bid.Victims) > 0 {
			if commit {
				sc.preempt(j, bid, e.Level)
			}
			return
		}
		if commit && len(j.plan) == 0 {
			s.changeBudget -= sc.commits.placementCost(j) // its record is written, or a part of a page
		}
		for i, r := range bid.Offers {
			image := ""
			if q.ShareFetches {
				image = q.Image
			}
			sc.snapshot.byName[r.Zone].Allocate(r, q.Needs, image)
			sc.snapshot.markMachineStale(r.Machine)
			inZone[bid.Zone]++
			apart.place(r.Machine.Name)
			if !commit {
				continue
			}
			if tasks[i] >= job.TasksPerShard && tasks[i]%job.TasksPerShard == 0 {
				s.changeBudget -= sc.commits.placementCost(j) // another value is written
			}
			sc.snapshot.addPlan(j, job.Placement{Task: tasks[i], Attempt: attempt, Machine: r.Machine.Name,
				Session: r.Machine.Incarnation, Zone: r.Machine.Zone, PlacedAt: job.EncodeTime(j.Record.CreatedAt, sc.wallClock()), Spot: r.Machine.Spot})
		}
		if commit {
			sc.outbox.Debug("placing", "job", j.ID, "class", spec.Class, "tasks", len(bid.Offers), "images_cached", bid.CachedImages, "zone", bid.Zone,
				"age_ms", (sc.outbox.Now()-j.arrivedAt)/1000, "level", e.Level)
			sc.commits.pendingCommits[j.ID] = true
		}
		if commit {
			sc.diagnostics.counters.placed += len(bid.Offers)
		} else {
			sc.diagnostics.counters.held++
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
	lacks := sc.demandOf(j, len(tasks))
	sc.defragment(s, j, q, &lacks, e.Level)
	sc.startOrder.reserveFreedMachines(s, j, q)
	sc.addDemand(s, j, lacks)
}

func (sc *scheduler) zoneWithMostCapacity(s *cycle, spec *wire.Job) string {
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
func (sc *scheduler) classify(j *Job) {
	if j.types.set == nil {
		j.types.set = map[string]bool{}
		for name, t := range sc.catalog.Types {
			if zone.Allows(j.Record.Spec, t) {
				j.types.set[name] = true
			}
		}
		j.types.text = strings.Join(slices.Sorted(maps.Keys(j.types.set)), " ")
		j.equivalenceClass = 0
	}
	if p := j.Priority(); j.equivalenceClass == 0 || j.classifiedAs != p {
		j.equivalenceClass, j.classifiedAs = sc.snapshot.classes.classOf(j, p), p
	}
}

func (sc *scheduler) zoneRequest(s *cycle, j *Job, e *queue.Entry) *zone.Request {
	spec := j.Record.Spec
	q := &zone.Request{Job: j.ID, Needs: taskResources(spec), AllOrNothing: spec.Shape == wire.Gang, Spot: spec.Spot,
		Types: j.types.set, TypeKey: j.types.text, Image: spec.Image, Avoid: j.failedOn, ShareFetches: sc.cfg.Settings.ShareFetches}
	if sc.outbox.Now() < j.preemptingUntil {
		q.ReservedMachines = j.reservedMachines
		return q
	}
	own := queue.Level(j.Priority(), true)
	claims := sc.snapshot.withinGuarantee(j) && queue.HasGuarantee(sc.teams[spec.Team]) && (!j.queuedBehind || sc.startOrder.mayClaimGuarantee(j, s.used))
	if !sc.anyRunsBelow(s, own) && !(claims && sc.anyTeamBorrows(s, spec.Team)) {
		return q // nothing that has places may be stopped for it: victims need not be listed
	}
	q.MayPreempt = func(v *zone.Victim) bool {
		of := sc.jobs[v.Job]
		victim := of.Record.Spec
		if claims && victim.Team != spec.Team && !sc.snapshot.withinGuarantee(of) {
			return true // what another team has borrowed
		}
		return queue.Level(of.Priority(), true) < own && v.Level < e.Level
	}
	return q
}

// auction asks every zone for a bid and returns the best.
func (sc *scheduler) auction(s *cycle, j *Job, e *queue.Entry, q *zone.Request, tasks []int, inZone map[string]int) *zone.Bid {
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
		bid := of.Plan(sc.outbox.Now(), &r)
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
	if best == nil && q.AllOrNothing && !spec.OneZone && len(sc.cfg.Cluster.Zones) > 1 {
		return sc.bidAcrossZones(s, spec, q, tasks, inZone)
	}
	return best
}

// bidAcrossZones places a gang that fits no zone alone but may be split.
func (sc *scheduler) bidAcrossZones(s *cycle, spec *wire.Job, q *zone.Request, tasks []int, inZone map[string]int) *zone.Bid {
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
		if bid := of.Plan(sc.outbox.Now(), &r); bid != nil {
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
func (sc *scheduler) preempt(j *Job, bid *zone.Bid, level int) {
	if !sc.preemptions.canAddDecision() {
		return
	}
	keep := map[string]bool{}
	for _, r := range bid.Offers {
		keep[r.Machine.Name] = true
		r.Reserved = true
		sc.snapshot.markMachineStale(r.Machine)
	}
	wait, why := 5*config.Second, preemption.ReasonGuarantee
	var victims []preemption.Victim
	for _, v := range bid.Victims {
		v.Preempted = true
		victim := sc.jobs[v.Job]
		victims = append(victims, sc.preemptions.victimOf(victim, v.Task))
		wait = max(wait, config.FromSeconds(victim.Record.Spec.SaveS)+6*config.Second)
		if queue.Level(victim.Priority(), true) < queue.Level(j.Priority(), true) {
			why = preemption.ReasonPriority
		}
	}
	sc.preemptions.addDecision(j, why, level, slices.Sorted(maps.Keys(keep)), victims, wait)
	if j.queuedBehind {
		sc.startOrder.addClaim(j)
	}
}

// scaleOut asks for the machines that the unplaced work calls for.
func (sc *scheduler) scaleOut(s *cycle) {
	if sc.elector.LeaseInDoubt() || len(s.demands) == 0 {
		return
	}
	sc.estimates.subtractSoonFree(s)
	for i := range s.demands { // more of the same arrives while the machines boot
		n := &s.demands[i]
		n.Count += int(math.Ceil(float64(n.Count) * sc.cfg.Settings.ScaleOutSurplus))
	}
	sc.autoscaler.ScaleOut(s.demands)
}
