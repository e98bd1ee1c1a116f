package leader

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/served"
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
	// lateLead is the part of the time that a job has to begin which a place takes to become
	// a start: its image has to be fetched, too.
	lateLead = 8
	// fewLate is how many jobs of a class may be late without the class being short of places:
	// one alone may want what only it wants.
	fewLate = 2
	// longLine is the part of the time to begin that a class's line may take to be gone
	// through; one that takes longer tells that the class is short before any job is late.
	longLine = 2
	// fewWait and waitsFor are how many jobs have to wait, and the first of them for how long,
	// for the line to tell anything: what has just come may go at once.
	fewWait  = 10
	waitsFor = 10 * config.Second
	// calm is how long a class is held to be short since the last sign of it.
	calm = 30 * config.Second
	// paceOver is over how long the pace is taken at which jobs of a class begin.
	paceOver = 60 * config.Second
	// mostKinds is how many classes are told apart: users choose the names.
	mostKinds = 1000
	// lanesEvery is how often it is reckoned anew how the sizes of a class fare.
	lanesEvery = config.Second
	// enough is which part of a class's largest jobs, and of its others, has the right to
	// begin in time before the class goes on as it comes.
	enough = 0.65
	// lateShare and lateEvery give late jobs their part: the first of them goes before all
	// others once so many have begun since the last late one, or after so long.
	lateShare = 8
	lateEvery = 30 * config.Second
	// mostEstimate bounds what is added up, in seconds.
	mostEstimate = 1e6
	// narrow is which part of its tasks an array or a service gets for its beginning.
	narrow = 8
)

// Turns of the jobs of a level, the first ones first. What belongs to classes that aren't short
// has the first.
const (
	firstTurn  = 0
	laneTurn   = 1 // and those that follow: lanes of which not enough has begun
	usualTurn  = 1 << 19
	lateTurn   = 1 << 20         // and that of its lane
	lineBehind = Micros(1) << 55 // in the line for a team's guarantee, behind what has begun
)

// Lanes of a class.
const (
	others = iota
	widest
	lanes
)

// kind is what a leader knows of a class whose jobs wait.
type kind struct {
	name    string
	short   bool
	signAt  Micros // of the last sign that it is; 0: none yet
	pace    pace
	waiting int    // jobs that have not begun, as of the pass under way
	work    work   // of these
	oldest  Micros // when the first of them came
	late    int    // of them
	first   *Job   // the late one that has waited longest
	inTime  int    // jobs that have begun since the last late one did
	lateAt  Micros // when that was
	from    int    // the size from which on a job is among the widest
	turns   [lanes]int
}

// work is what waiting jobs would take of machines for how long, by their owners' estimates: in
// thousandths, times seconds. Whole numbers add up to the same in any order.
type work struct {
	cpus, gpus, memory int64
	spot               bool // some of it may use spot machines
}

func (w *work) add(spec *wire.Job) {
	w.spot = w.spot || spec.Spot
	if spec.Shape == wire.Service {
		return // nobody knows for how long
	}
	times := int64(spec.Tasks) * int64(min(math.Ceil(spec.EstimateS), mostEstimate))
	w.cpus += int64(spec.CPUs*1000) * times
	w.gpus += int64(spec.GPUs*1000) * times
	w.memory += int64(spec.MemoryGB*1000) * times
}

// lasts tells how long the work takes if all the room there is were its own.
func (w *work) lasts(room zone.Res) Micros {
	longest := 0.0
	for _, x := range [...]struct {
		work int64
		room float64
	}{{w.cpus, room.CPUs}, {w.gpus, room.GPUs}, {w.memory, room.MemoryGB}} {
		if x.room > 0 {
			longest = max(longest, float64(x.work)/1000/x.room)
		}
	}
	return config.FromSeconds(min(longest, mostEstimate))
}

// pace counts what begins, in two halves of a time that moves on.
type pace struct {
	since     Micros // when the present half began; 0: nothing has begun yet
	now, last int
	lastTook  Micros
}

func (p *pace) add(now Micros) {
	if p.since == 0 {
		p.since = now
	}
	p.move(now)
	p.now++
}

func (p *pace) move(now Micros) {
	if took := now - p.since; p.since != 0 && took >= paceOver/2 {
		p.last, p.lastTook = p.now, took
		p.now, p.since = 0, now
	}
}

// lasts tells how long so many take to begin; false: it is not known.
func (p *pace) lasts(now Micros, n int) (Micros, bool) {
	p.move(now)
	took := now - p.since + p.lastTook
	if p.since == 0 || took < paceOver/6 || p.now+p.last == 0 {
		return 0, false
	}
	return took / Micros(p.now+p.last) * Micros(n), true
}

// order is what passes know of the order under shortage.
type order struct {
	kinds   map[string]*kind
	lanesAt Micros
	claimed map[string]queue.Amount // by team: what jobs wait for that had others stopped
}

// begun tells whether a job has ever had a place.
func (j *Job) begun() bool { return j.Open > 0 || j.Done > 0 || j.Rec.Attempt > 0 || j.Rec.Final() }

// began counts a job whose first place is committed.
func (l *Leader) began(j *Job) {
	if j.counted || !j.begun() {
		return
	}
	j.counted = true
	if !l.ready || j.Rec.Spec == nil || !l.cfg.Settings.InTimeFirst {
		return
	}
	k := l.kindOf(j)
	k.pace.add(l.box.Now())
	if k.inTime++; l.box.Now()-j.arrived >= l.lateAfter() {
		k.inTime, k.lateAt = 0, l.box.Now()
	}
}

// kindOf returns what is known of a job's class.
func (l *Leader) kindOf(j *Job) *kind {
	if j.kind == nil {
		j.kind = l.kindNamed(j.Rec.Spec.Class)
	}
	return j.kind
}

func (l *Leader) kindNamed(class string) *kind {
	k := l.order.kinds[class]
	if k == nil && len(l.order.kinds) >= mostKinds {
		class = ""
		k = l.order.kinds[class]
	}
	if k == nil {
		k = &kind{name: class}
		l.order.kinds[class] = k
	}
	return k
}

// lateAfter is the age from which on a job that has no place can't begin in time.
func (l *Leader) lateAfter() Micros {
	within := config.FromSeconds(l.cfg.Settings.BeginWithinS)
	return within - within/lateLead
}

// shortages finds out which classes are short of places, among the jobs that want some, and
// whose turn it is in these.
func (l *Leader) shortages() {
	if !l.cfg.Settings.InTimeFirst {
		return
	}
	now, late := l.box.Now(), l.lateAfter()
	for _, k := range l.order.kinds {
		k.waiting, k.late, k.first, k.work = 0, 0, nil, work{}
	}
	var claiming []*Job
	for j := range l.survey.wanting { // in any order: counted, and the first is picked by an order that knows no ties
		if j.begun() {
			continue
		}
		if j.behind && now < j.preempted {
			claiming = append(claiming, j)
		}
		k := l.kindOf(j)
		if k.waiting++; k.waiting == 1 || j.arrived < k.oldest {
			k.oldest = j.arrived
		}
		k.work.add(j.Rec.Spec)
		if now-j.arrived < late {
			continue
		}
		if k.late++; k.first == nil || j.longer(k.first) {
			k.first = j
		}
	}
	l.claims(claiming)
	any, turned := false, false
	for _, k := range l.order.kinds {
		lasts, known := k.pace.lasts(now, k.waiting)
		if !known {
			lasts = 0
		}
		if k.waiting >= fewWait && !l.keeper.Growing() {
			lasts = max(lasts, k.work.lasts(l.keeper.Room(k.work.spot)))
		}
		if k.late > fewLate || k.waiting >= fewWait && now-k.oldest >= waitsFor && lasts > late/longLine {
			k.signAt = now
		}
		short := k.signAt != 0 && now-k.signAt <= calm
		if short != k.short {
			turned = true
		}
		k.short = short
		any = any || short
	}
	if turned {
		l.turned()
	}
	if any {
		l.reckonLanes()
	}
}

// turned brings the lines of the teams up to date at once when classes have become short or
// are so no more: by half of the new order, work that runs could be stopped for nothing.
func (l *Leader) turned() {
	for _, name := range slices.Sorted(maps.Keys(l.order.kinds)) {
		k := l.order.kinds[name]
		l.box.Debug("places", "class", k.name, "short", k.short, "waiting", k.waiting, "late", k.late)
	}
	moved := false
	for j := range l.survey.wanting {
		if behind := l.shortOf(j) != nil; behind != j.behind {
			j.behind, moved = behind, true
		}
	}
	if !moved {
		return
	}
	// Thousands may have to move: the lines are made anew, from the front on.
	clear(l.survey.lines)
	inLine := slices.Clone(l.active)
	slices.SortFunc(inLine, (*Job).before)
	for _, j := range inLine {
		j.member, j.lineOf = queue.Member{}, ""
		l.refreshLine(j)
	}
}

// before orders jobs as they stand in the lines of their teams.
func (j *Job) before(o *Job) int {
	return cmp.Or(cmp.Compare(j.inLine(), o.inLine()), cmp.Compare(j.ID, o.ID))
}

func byID(a, b *Job) int { return cmp.Compare(a.ID, b.ID) }

func (j *Job) longer(o *Job) bool {
	return cmp.Or(cmp.Compare(j.arrived, o.arrived), cmp.Compare(j.ID, o.ID)) < 0
}

// reckonLanes gives the largest jobs and the others of the classes that are short their turns:
// those of which the smallest part has begun go first, as long as that isn't enough.
func (l *Leader) reckonLanes() {
	o := &l.order
	if o.lanesAt != 0 && l.box.Now()-o.lanesAt < lanesEvery {
		return
	}
	o.lanesAt = l.box.Now()
	type lane struct {
		*kind
		which int
		part  float64
	}
	var all []lane
	classes := l.service.tally.Classes(l.wall())
	for _, name := range slices.Sorted(maps.Keys(o.kinds)) {
		k := o.kinds[name]
		if !k.short {
			continue
		}
		c := classes[name]
		k.from = c.LargestFrom
		k.turns = [lanes]int{usualTurn, usualTurn}
		all = append(all, lane{k, others, c.Rest.Part()}, lane{k, widest, c.Largest.Part()})
	}
	slices.SortStableFunc(all, func(a, b lane) int { return cmp.Compare(a.part, b.part) })
	for i, x := range all {
		if x.part < enough {
			x.turns[x.which] = laneTurn + i
		}
	}
}

// lane tells in which lane of its class a job is.
func (k *kind) lane(j *Job) int {
	if served.Size(j.Rec.Spec.Tasks) >= k.from {
		return widest
	}
	return others
}

// shortOf returns the class of a job that has not begun, if that is short of places.
func (l *Leader) shortOf(j *Job) *kind {
	if k := j.kind; k != nil && k.short && !j.begun() {
		return k
	}
	return nil
}

// turn puts a waiting job into the order of its level. The cost, if it isn't 0, comes before
// credit.
func (l *Leader) turn(j *Job) (turn int, cost float64) {
	k := l.shortOf(j)
	// What has not begun claims its team's guarantee when its turn comes, and not by its age.
	if behind := k != nil; behind != j.behind {
		j.behind = behind
		l.changed(j)
	}
	if k == nil {
		if j.kind != nil && j.kind.short {
			return usualTurn, 0
		}
		return firstTurn, 0
	}
	late := l.box.Now()-j.arrived >= l.lateAfter()
	if late && j == k.first && (k.inTime >= lateShare || l.box.Now()-k.lateAt >= lateEvery) {
		return firstTurn, 0
	}
	spec := j.Rec.Spec
	lane := k.lane(j)
	if turn = k.turns[lane]; turn < usualTurn && lane == others && spec.Shape == wire.Gang {
		cost = float64(spec.Tasks) * taskRes(spec).Weight() // all or nothing: the smaller, the more begin
	}
	if late {
		turn += lateTurn // in the same order: they can still be done
	}
	return turn, cost
}

// narrowed cuts the first tasks of a job down that is to begin, and not more, where others
// should begin as well.
func (l *Leader) narrowed(j *Job, tasks []int) []int {
	k := l.shortOf(j)
	if k == nil || j.Rec.Spec.Shape == wire.Gang || l.box.Now()-j.arrived >= l.lateAfter() || k.turns[k.lane(j)] >= usualTurn {
		return tasks
	}
	return tasks[:min(len(tasks), (j.Rec.Spec.Tasks+narrow-1)/narrow)]
}

// mayClaim tells whether a job that has not begun, of a class that is short, fits into what
// its team is guaranteed beside what the teams use.
func (l *Leader) mayClaim(j *Job, used map[string]queue.Amount) bool {
	if l.box.Now() < j.preempted {
		return true // what it claims counts already
	}
	spec := j.Rec.Spec
	team := l.teams[spec.Team]
	return !queue.HasGuarantee(team) || queue.UnderGuarantee(team, used[spec.Team].Plus(l.order.claimed[spec.Team], 1).Plus(beginAmount(spec), 1))
}

// claimFor counts, for the pass under way, what a job waits for that had others stopped: until it
// is placed nothing else tells that its team has claimed it.
func (l *Leader) claimFor(j *Job) {
	spec := j.Rec.Spec
	l.order.claimed[spec.Team] = l.order.claimed[spec.Team].Plus(beginAmount(spec), 1)
}

// claims adds up what is claimed as a pass begins.
func (l *Leader) claims(claiming []*Job) {
	clear(l.order.claimed)
	slices.SortFunc(claiming, byID) // sums of amounts depend on their order
	for _, j := range claiming {
		l.claimFor(j)
	}
}

// drains tells whether room that becomes free is kept for a job, until it has enough: a gang
// among the largest of a class that is short of places, or the first of its late ones. Narrower
// ones would take each place as it becomes free. It is kept for a bounded time; for as long
// others have their turn then.
func (l *Leader) drains(j *Job) bool {
	keep := config.FromSeconds(l.cfg.Settings.DrainS)
	k := l.shortOf(j)
	if keep <= 0 || j.Rec.Spec.Shape != wire.Gang || k == nil || j != k.first && k.lane(j) != widest {
		return false
	}
	return turn(&j.drainSince, l.box.Now(), keep)
}

// drain keeps free machines of a zone for a gang that has found no room. One at a time in a
// zone.
func (l *Leader) drain(s *scan, j *Job, q *zone.Request) {
	if !l.drains(j) {
		return
	}
	now := l.box.Now()
	var best []*zone.Room
	where := ""
	for _, z := range s.zones {
		if of := j.Rec.Spec.Zone; of != "" && of != z.Name || s.barred[z.Name] || s.drained[z.Name] {
			continue
		}
		r := *q
		r.Count = j.Rec.Spec.Tasks
		if rooms := z.Rooms(now, &r); where == "" || len(rooms) > len(best) {
			best, where = rooms, z.Name
		}
	}
	if where == "" {
		return
	}
	s.drained[where] = true
	for _, r := range best {
		r.Barred = true
		l.touch(r.Machine)
	}
}
