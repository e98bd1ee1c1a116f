package leader

import (
	"cmp"
	"maps"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/served"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Where more comes than there are places for, first come, first served makes nearly everybody
// late: once the line is longer than a job has to begin, each one that begins is late already.
// So, for a class that is short of places and while it is, among jobs of one level those that
// can still begin in time go first, and of these the smaller ones, with a part for the largest.
// Late ones keep their order behind, and the first of them its place in front: so none waits for
// ever. Priority and guarantee are decided before, and within a turn credit decides as always.

const (
	// lateLead is the part of the time that a job has to begin which a place takes to become
	// a start: its image has to be fetched, too.
	lateLead = 8
	// shortOf is how many jobs of a class, beside the first, have to be late for the class to
	// be short of places: one alone may want what only it wants.
	shortOf = 2
	// calm is how long none may be late before it isn't short any more.
	calm = 30 * config.Second
	// mostKinds is how many classes are told apart: users choose the names.
	mostKinds = 1000
	// lanesEvery is how often it is reckoned anew how the sizes of a class fare.
	lanesEvery = config.Second
)

// Turns of the jobs of a level. Lanes come in between.
const (
	firstTurn = 0
	lateTurn  = 1 << 20
)

// Places in the line for a team's guarantee: what has begun or belongs to classes that are not
// short, what can begin in time, what can't.
const (
	lineFront  = 0
	lineInTime = Micros(1) << 55
	lineLate   = Micros(1) << 56
)

// kind is what a leader knows of a class whose jobs wait.
type kind struct {
	name   string
	short  bool
	lateAt Micros // when it was last seen to have late jobs enough
	late   int    // as of the pass under way
	first  *Job   // the late one that has waited longest
	lane   served.Class
	turns  [2]int // of the rest, of the largest
}

// order is what passes know of the order under shortage.
type order struct {
	kinds   map[string]*kind
	lanesAt Micros
}

func (j *Job) begun() bool { return j.Open > 0 || j.Done > 0 || j.Rec.Attempt > 0 || j.Rec.Final() }

func (l *Leader) kindOf(class string) *kind {
	k := l.order.kinds[class]
	if k == nil {
		if len(l.order.kinds) >= mostKinds {
			class = ""
			if k = l.order.kinds[class]; k != nil {
				return k
			}
		}
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
	now, any := l.box.Now(), false
	for _, k := range l.order.kinds {
		k.late, k.first = 0, nil
	}
	for j := range l.survey.wanting { // in any order: counted, and the first is picked by an order that knows no ties
		if j.begun() || now-j.arrived < l.lateAfter() {
			continue
		}
		k := l.kindOf(j.Rec.Spec.Class)
		if k.late++; k.first == nil || j.longer(k.first) {
			k.first = j
		}
	}
	for _, k := range l.order.kinds {
		if k.late > shortOf {
			k.lateAt = now
		}
		if short := k.lateAt != 0 && now-k.lateAt <= calm; short != k.short {
			k.short = short
		}
		any = any || k.short
	}
	if any {
		l.lanes()
	}
}

func (j *Job) longer(o *Job) bool {
	return cmp.Or(cmp.Compare(j.arrived, o.arrived), cmp.Compare(j.ID, o.ID)) < 0
}

// lanes gives the sizes of the classes that are short their turns: the one of which the
// smallest part has begun goes first.
func (l *Leader) lanes() {
	o := &l.order
	if o.lanesAt != 0 && l.box.Now()-o.lanesAt < lanesEvery {
		return
	}
	o.lanesAt = l.box.Now()
	type lane struct {
		*kind
		large int
		part  float64
	}
	var all []lane
	classes := l.service.tally.Classes(l.wall())
	for _, name := range slices.Sorted(maps.Keys(o.kinds)) {
		k := o.kinds[name]
		if !k.short {
			continue
		}
		k.lane = classes[name]
		all = append(all, lane{k, 0, k.lane.Rest.Part()}, lane{k, 1, k.lane.Largest.Part()})
	}
	slices.SortStableFunc(all, func(a, b lane) int { return cmp.Compare(a.part, b.part) })
	for i, x := range all {
		x.turns[x.large] = firstTurn + 1 + i
	}
}

// turn puts a waiting job into the order of its level, and into the line of its team. The cost,
// if it isn't 0, comes before credit.
func (l *Leader) turn(j *Job) (turn int, cost float64) {
	line := Micros(lineFront)
	k := l.order.kinds[j.Rec.Spec.Class]
	switch {
	case k == nil || !k.short || j.begun() || j == k.first:
	case l.box.Now()-j.arrived >= l.lateAfter():
		turn, line = lateTurn, lineLate
	default:
		line = lineInTime
		if k.large(j) {
			turn = k.turns[1]
		} else {
			turn, cost = k.turns[0], float64(j.Rec.Spec.Tasks)*zone.Res{CPUs: j.Rec.Spec.CPUs, GPUs: j.Rec.Spec.GPUs}.Weight()
		}
	}
	if line != j.behind {
		j.behind = line
		l.changed(j)
	}
	return turn, cost
}

// large tells whether a job is among the largest of its class.
func (k *kind) large(j *Job) bool {
	return k.lane.Rest.Jobs > 0 && served.Size(j.Rec.Spec.Tasks) >= k.lane.LargestFrom
}

// drain keeps free machines of a zone for a gang among the largest of a class that is short of
// places, until it has enough of them: narrower ones would take each as it becomes free. One
// at a time in a zone, and for a bounded time.
func (l *Leader) drain(s *scan, j *Job, q *zone.Request) {
	k := l.order.kinds[j.Rec.Spec.Class]
	keep := config.FromSeconds(l.cfg.Settings.DrainS)
	if keep <= 0 || !q.Whole || j.Rec.Spec.Shape != wire.Gang || k == nil || !k.short || j.begun() || j != k.first && !k.large(j) {
		return
	}
	now := l.box.Now()
	if j.drainSince == 0 || now-j.drainSince > 2*keep {
		j.drainSince = now
	}
	if now-j.drainSince > keep {
		return // others have their turn for as long
	}
	var best []*zone.Room
	where := ""
	for _, z := range s.zones {
		if of := j.Rec.Spec.Zone; of != "" && of != z.Name || s.barred[z.Name] || s.drained[z.Name] {
			continue
		}
		r := *q
		r.Count = j.Rec.Spec.Tasks - j.Open
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
