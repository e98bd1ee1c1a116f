package leader

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/slo"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Where more comes than there are places for, first come, first served makes nearly everybody
// late: once the line is longer than a job has to begin, each one that begins is late already.
// So, for a class that is short of places and while it is, among jobs of one level those that
// can still begin in time go first, until enough of them have: of the largest jobs of the class
// as of the others. Late ones keep their order behind, and now and then the first of them goes
// before all, so that none waits for ever. Priority is decided before, and within a turn credit decides as
// always.

const (
	// startLeadDivisor is the part of the time that a job has to begin which a place takes to become
	// a start: its image has to be fetched, too.
	startLeadDivisor = 8
	// lateTolerance is how many jobs of a class may be late without the class being short of places:
	// one alone may want what only it wants.
	lateTolerance = 2
	// longQueueDivisor is the part of the time to begin that a class's line may take to be gone
	// through; one that takes longer tells that the class is short before any job is late.
	longQueueDivisor = 2
	// shortageMinWaiting and waitsFor are how many jobs have to wait, and the first of them for how long,
	// for the line to tell anything: what has just come may go at once.
	shortageMinWaiting = 10
	shortageMinAge     = 10 * config.Second
	// shortageCooldown is how long a class is held to be short since the last sign of it.
	shortageCooldown = 30 * config.Second
	// startRateWindow is over how long the pace is taken at which jobs of a class begin.
	startRateWindow = 60 * config.Second
	// maxClassStats is how many classes are told apart: users choose the names.
	maxClassStats = 1000
	// tierInterval is how often it is reckoned anew how the sizes of a class fare.
	tierInterval = config.Second
	// sufficientRatio is which part of a class's largest jobs, and of its others, has the right to
	// begin in time before the class goes on as it comes.
	sufficientRatio = 0.65
	// lateStartShare and lateEvery give late jobs their part: the first of them goes before all
	// others once so many have begun since the last late one, or after so long.
	lateStartShare    = 8
	lateStartInterval = 30 * config.Second
	// maxEstimateS bounds what is added up, in seconds.
	maxEstimateS = 1e6
	// initialTasksDivisor is which part of its tasks an array or a service gets for its beginning.
	initialTasksDivisor = 8
)

// Turns of the jobs of a level, the first ones first. What belongs to classes that aren't short
// has the first.
const (
	firstTier         = 0
	bandTier          = 1 // and those that follow: lanes of which not enough has begun
	normalTier        = 1 << 19
	lateTierOffset    = 1 << 20         // and that of its lane
	queueBehindOffset = Micros(1) << 55 // in the line for a team's guarantee, behind what has begun
)

// Lanes of a class.
const (
	otherBand = iota
	largestBand
	sizeBands
)

// classStats is what a leader knows of a class whose jobs wait.
type classStats struct {
	name            string
	short           bool
	shortageSeenAt  Micros // of the last sign that it is; 0: none yet
	startRate       startRate
	waiting         int         // jobs that have not begun, as of the pass under way
	pendingWork     pendingWork // of these
	oldestArrival   Micros      // when the first of them came
	late            int         // of them
	firstLate       *Job        // the late one that has waited longest
	startsSinceLate int         // jobs that have begun since the last late one did
	lateStartAt     Micros      // when that was
	largestFrom     int         // the size from which on a job is among the widest
	tiers           [sizeBands]int
}

// pendingWork is what waiting jobs would take of machines for how long, by their owners' estimates: in
// thousandths, times seconds. Whole numbers add up to the same in any order.
type pendingWork struct {
	cpus, gpus, memory int64
	spot               bool // some of it may use spot machines
}

func (w *pendingWork) add(spec *wire.Job) {
	w.spot = w.spot || spec.Spot
	if spec.Shape == wire.Service {
		return // nobody knows for how long
	}
	times := int64(spec.Tasks) * int64(min(math.Ceil(spec.EstimateS), maxEstimateS))
	w.cpus += int64(spec.CPUs*1000) * times
	w.gpus += int64(spec.GPUs*1000) * times
	w.memory += int64(spec.MemoryGB*1000) * times
}

// drainTime tells how long the work takes if all the room there is were its own.
func (w *pendingWork) drainTime(room zone.Resources) Micros {
	longest := 0.0
	for _, x := range [...]struct {
		work int64
		room float64
	}{{w.cpus, room.CPUs}, {w.gpus, room.GPUs}, {w.memory, room.MemoryGB}} {
		if x.room > 0 {
			longest = max(longest, float64(x.work)/1000/x.room)
		}
	}
	return config.FromSeconds(min(longest, maxEstimateS))
}

// startRate counts what begins, in two halves of a time that moves on.
type startRate struct {
	windowStart       Micros // when the present half began; 0: nothing has begun yet
	current, previous int
	previousWindow    Micros
}

func (p *startRate) add(now Micros) {
	if p.windowStart == 0 {
		p.windowStart = now
	}
	p.advance(now)
	p.current++
}

func (p *startRate) advance(now Micros) {
	if took := now - p.windowStart; p.windowStart != 0 && took >= startRateWindow/2 {
		p.previous, p.previousWindow = p.current, took
		p.current, p.windowStart = 0, now
	}
}

// timeToStart tells how long so many take to begin; false: it is not known.
func (p *startRate) timeToStart(now Micros, n int) (Micros, bool) {
	p.advance(now)
	took := now - p.windowStart + p.previousWindow
	if p.windowStart == 0 || took < startRateWindow/6 || p.current+p.previous == 0 {
		return 0, false
	}
	return took / Micros(p.current+p.previous) * Micros(n), true
}

// startOrder is what passes know of the order under shortage.
type startOrder struct {
	*environment
	slo      *sloTracker
	snapshot *clusterSnapshot

	byClass          map[string]*classStats
	tiersAssignedAt  Micros
	claimedGuarantee map[string]queue.Amount // by team: what jobs wait for that had others stopped
}

func (so *startOrder) reset() {
	so.byClass, so.claimedGuarantee, so.tiersAssignedAt = map[string]*classStats{}, map[string]queue.Amount{}, 0
}

// hasStarted tells whether a job has ever had a place.
func (j *Job) hasStarted() bool {
	return j.OpenTasks > 0 || j.DoneTasks > 0 || j.Record.LastAttempt > 0 || j.Record.Final()
}

// noteStarted counts a job whose first place is committed.
func (so *startOrder) noteStarted(j *Job) {
	if j.startCounted || !j.hasStarted() {
		return
	}
	j.startCounted = true
	if !so.ready || j.Record.Spec == nil || !so.cfg.Settings.StartDeadlineFirst {
		return
	}
	k := so.classStatsOf(j)
	k.startRate.add(so.outbox.Now())
	if k.startsSinceLate++; so.outbox.Now()-j.arrivedAt >= so.startDeadline() {
		k.startsSinceLate, k.lateStartAt = 0, so.outbox.Now()
	}
}

// classStatsOf returns what is known of a job's class.
func (so *startOrder) classStatsOf(j *Job) *classStats {
	if j.classStats == nil {
		j.classStats = so.classStatsNamed(j.Record.Spec.Class)
	}
	return j.classStats
}

func (so *startOrder) classStatsNamed(class string) *classStats {
	k := so.byClass[class]
	if k == nil && len(so.byClass) >= maxClassStats {
		class = ""
		k = so.byClass[class]
	}
	if k == nil {
		k = &classStats{name: class}
		so.byClass[class] = k
	}
	return k
}

// startDeadline is the age from which on a job that has no place can't begin in time.
func (so *startOrder) startDeadline() Micros {
	within := config.FromSeconds(so.cfg.Settings.StartWithinS)
	return within - within/startLeadDivisor
}

// updateShortages finds out which classes are short of places, among the jobs that want some, and
// whose turn it is in these.
func (so *startOrder) updateShortages() {
	if !so.cfg.Settings.StartDeadlineFirst {
		return
	}
	now, late := so.outbox.Now(), so.startDeadline()
	for _, k := range so.byClass {
		k.waiting, k.late, k.firstLate, k.pendingWork = 0, 0, nil, pendingWork{}
	}
	var claiming []*Job
	for j := range so.snapshot.wanting { // in any order: counted, and the first is picked by an order that knows no ties
		if j.hasStarted() {
			continue
		}
		if j.queuedBehind && now < j.preemptingUntil {
			claiming = append(claiming, j)
		}
		k := so.classStatsOf(j)
		if k.waiting++; k.waiting == 1 || j.arrivedAt < k.oldestArrival {
			k.oldestArrival = j.arrivedAt
		}
		k.pendingWork.add(j.Record.Spec)
		if now-j.arrivedAt < late {
			continue
		}
		if k.late++; k.firstLate == nil || j.waitsLonger(k.firstLate) {
			k.firstLate = j
		}
	}
	so.sumClaims(claiming)
	any, turned := false, false
	for _, k := range so.byClass {
		lasts, known := k.startRate.timeToStart(now, k.waiting)
		if !known {
			lasts = 0
		}
		if k.waiting >= shortageMinWaiting && !so.autoscaler.Growing() {
			lasts = max(lasts, k.pendingWork.drainTime(so.autoscaler.TotalCapacity(k.pendingWork.spot)))
		}
		if k.late > lateTolerance || k.waiting >= shortageMinWaiting && now-k.oldestArrival >= shortageMinAge && lasts > late/longQueueDivisor {
			k.shortageSeenAt = now
		}
		short := k.shortageSeenAt != 0 && now-k.shortageSeenAt <= shortageCooldown
		if short != k.short {
			turned = true
		}
		k.short = short
		any = any || short
	}
	if turned {
		so.reorderQueues()
	}
	if any {
		so.assignTiers()
	}
}

// reorderQueues brings the lines of the teams up to date at once when classes have become short or
// are so no more: by half of the new order, work that runs could be stopped for nothing.
func (so *startOrder) reorderQueues() {
	for _, name := range slices.Sorted(maps.Keys(so.byClass)) {
		k := so.byClass[name]
		so.outbox.Debug("class capacity", "class", k.name, "short", k.short, "waiting", k.waiting, "late", k.late)
	}
	moved := false
	for j := range so.snapshot.wanting {
		if behind := so.shortClass(j) != nil; behind != j.queuedBehind {
			j.queuedBehind, moved = behind, true
		}
	}
	if !moved {
		return
	}
	// Thousands may have to move: the lines are made anew, from the front on.
	clear(so.snapshot.teamQueues)
	inLine := slices.Clone(so.unfinished)
	slices.SortFunc(inLine, (*Job).compareQueuePosition)
	for _, j := range inLine {
		j.queued, j.queueTeam = queue.QueuedJob{}, ""
		so.snapshot.refreshTeamQueue(j)
	}
}

// compareQueuePosition orders jobs as they stand in the lines of their teams.
func (j *Job) compareQueuePosition(o *Job) int {
	return cmp.Or(cmp.Compare(j.queuePosition(), o.queuePosition()), cmp.Compare(j.ID, o.ID))
}

func compareByID(a, b *Job) int { return cmp.Compare(a.ID, b.ID) }

func (j *Job) waitsLonger(o *Job) bool {
	return cmp.Or(cmp.Compare(j.arrivedAt, o.arrivedAt), cmp.Compare(j.ID, o.ID)) < 0
}

// assignTiers gives the largest jobs and the others of the classes that are short their turns:
// those of which the smallest part has begun go first, as long as that isn't enough.
func (so *startOrder) assignTiers() {
	o := so
	if o.tiersAssignedAt != 0 && so.outbox.Now()-o.tiersAssignedAt < tierInterval {
		return
	}
	o.tiersAssignedAt = so.outbox.Now()
	type lane struct {
		*classStats
		which int
		part  float64
	}
	var all []lane
	classes := so.slo.tracker.Classes(so.wallClock())
	for _, name := range slices.Sorted(maps.Keys(o.byClass)) {
		k := o.byClass[name]
		if !k.short {
			continue
		}
		c := classes[name]
		k.largestFrom = c.LargestBucket
		k.tiers = [sizeBands]int{normalTier, normalTier}
		all = append(all, lane{k, otherBand, c.Rest.Value()}, lane{k, largestBand, c.Largest.Value()})
	}
	slices.SortStableFunc(all, func(a, b lane) int { return cmp.Compare(a.part, b.part) })
	for i, x := range all {
		if x.part < sufficientRatio {
			x.tiers[x.which] = bandTier + i
		}
	}
}

// sizeBand tells in which lane of its class a job is.
func (k *classStats) sizeBand(j *Job) int {
	if slo.SizeBucket(j.Record.Spec.Tasks) >= k.largestFrom {
		return largestBand
	}
	return otherBand
}

// shortClass returns the class of a job that has not begun, if that is short of places.
func (so *startOrder) shortClass(j *Job) *classStats {
	if k := j.classStats; k != nil && k.short && !j.hasStarted() {
		return k
	}
	return nil
}

// startTier puts a waiting job into the order of its level. The cost, if it isn't 0, comes before
// credit.
func (so *startOrder) startTier(j *Job) (turn int, cost float64) {
	k := so.shortClass(j)
	// What has not begun claims its team's guarantee when its turn comes, and not by its age.
	if behind := k != nil; behind != j.queuedBehind {
		j.queuedBehind = behind
		so.snapshot.markJobStale(j)
	}
	if k == nil {
		if j.classStats != nil && j.classStats.short {
			return normalTier, 0
		}
		return firstTier, 0
	}
	late := so.outbox.Now()-j.arrivedAt >= so.startDeadline()
	if late && j == k.firstLate && (k.startsSinceLate >= lateStartShare || so.outbox.Now()-k.lateStartAt >= lateStartInterval) {
		return firstTier, 0
	}
	spec := j.Record.Spec
	lane := k.sizeBand(j)
	if turn = k.tiers[lane]; turn < normalTier && lane == otherBand && spec.Shape == wire.Gang {
		cost = float64(spec.Tasks) * taskResources(spec).Weight() // all or nothing: the smaller, the more begin
	}
	if late {
		turn += lateTierOffset // in the same order: they can still be done
	}
	return turn, cost
}

// initialTasks cuts the first tasks of a job down that is to begin, and not more, where others
// should begin as well.
func (so *startOrder) initialTasks(j *Job, tasks []int) []int {
	k := so.shortClass(j)
	if k == nil || j.Record.Spec.Shape == wire.Gang || so.outbox.Now()-j.arrivedAt >= so.startDeadline() || k.tiers[k.sizeBand(j)] >= normalTier {
		return tasks
	}
	return tasks[:min(len(tasks), (j.Record.Spec.Tasks+initialTasksDivisor-1)/initialTasksDivisor)]
}

// mayClaimGuarantee tells whether a job that has not begun, of a class that is short, fits into what
// its team is guaranteed beside what the teams use.
func (so *startOrder) mayClaimGuarantee(j *Job, used map[string]queue.Amount) bool {
	if so.outbox.Now() < j.preemptingUntil {
		return true // what it claims counts already
	}
	spec := j.Record.Spec
	team := so.teams[spec.Team]
	return !queue.HasGuarantee(team) || queue.UnderGuarantee(team, used[spec.Team].Plus(so.claimedGuarantee[spec.Team], 1).Plus(startAmount(spec), 1))
}

// addClaim counts, for the pass under way, what a job waits for that had others stopped: until it
// is placed nothing else tells that its team has claimed it.
func (so *startOrder) addClaim(j *Job) {
	spec := j.Record.Spec
	so.claimedGuarantee[spec.Team] = so.claimedGuarantee[spec.Team].Plus(startAmount(spec), 1)
}

// sumClaims adds up what is claimed as a pass begins.
func (so *startOrder) sumClaims(claiming []*Job) {
	clear(so.claimedGuarantee)
	slices.SortFunc(claiming, compareByID) // sums of amounts depend on their order
	for _, j := range claiming {
		so.addClaim(j)
	}
}

// reservesFreedMachines tells whether room that becomes free is kept for a job, until it has enough: a gang
// among the largest of a class that is short of places, or the first of its late ones. Narrower
// ones would take each place as it becomes free. It is kept for a bounded time; for as long
// others have their turn then.
func (so *startOrder) reservesFreedMachines(j *Job) bool {
	keep := config.FromSeconds(so.cfg.Settings.ReserveFreedS)
	k := so.shortClass(j)
	if keep <= 0 || j.Record.Spec.Shape != wire.Gang || k == nil || j != k.firstLate && k.sizeBand(j) != largestBand {
		return false
	}
	return alternate(&j.reservingSince, so.outbox.Now(), keep)
}

// reserveFreedMachines keeps free machines of a zone for a gang that has found no room. One at a time in a
// zone.
func (so *startOrder) reserveFreedMachines(s *cycle, j *Job, q *zone.Request) {
	if !so.reservesFreedMachines(j) {
		return
	}
	now := so.outbox.Now()
	var best []*zone.Offer
	where := ""
	for _, z := range s.zones {
		if of := j.Record.Spec.Zone; of != "" && of != z.Name || s.reservedZones[z.Name] || s.gangReservedZones[z.Name] {
			continue
		}
		r := *q
		r.Count = j.Record.Spec.Tasks
		if rooms := z.FindOffers(now, &r); where == "" || len(rooms) > len(best) {
			best, where = rooms, z.Name
		}
	}
	if where == "" {
		return
	}
	s.gangReservedZones[where] = true
	for _, r := range best {
		r.Reserved = true
		so.snapshot.markMachineStale(r.Machine)
	}
}
