package leader

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/fleet"
	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/standing"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// scan is one pass over the queue.
type scan struct {
	zones  []*zone.Zone
	used   map[string]queue.Amount
	failed []failure
	needs  []fleet.Need
	barred map[string]bool // zones kept for a job past the age cap
	// drained are the zones of which free machines are kept for a gang.
	drained map[string]bool

	exhausted exhausted

	kept    []kept                    // the highest level first
	victims map[string][]*zone.Victim // by zone; nil: nobody has asked
	running *running                  // nil: nobody has asked
	limited bool                      // a job waits for its team's limit
	budget  float64                   // changes that may still be asked of the state service
}

// typeSet is the machine types that suit a job.
type typeSet struct {
	set  map[string]bool
	text string
}

// failure is an entry of the negative cache: the same or a larger request
// fails until the pass ends.
type failure struct {
	zone  string
	needs zone.Res
	spot  bool
	types string
	level int
	count int
}

// pass ranks the pending jobs and places what it can. A job that finds no
// place waits; the next is tried.
func (l *Leader) pass() {
	l.passDue, l.lastPass, l.passAt = false, l.box.Now(), 0
	if !l.catalog.Known() || l.claim.Raising() {
		return
	}
	s := l.surveyAll()
	l.resume()
	l.usage.Observe(l.box.Now(), s.used)
	l.shortages()
	entries := l.pending(s)
	queue.Rank(entries)
	l.counters.passes++
	l.counters.pending, l.counters.without, l.counters.held = len(entries), 0, 0
	queue.Walk(entries, func(e *queue.Entry) bool {
		j := l.jobs[e.ID]
		return !j.behind || l.mayClaim(j, s.used)
	}, func(e *queue.Entry) {
		l.bar(s, e.Level)
		l.place(s, e)
	})
	l.survey.lacked = l.counters.without > 0
	l.survey.pressing = l.survey.lacked || s.limited
	l.rent(s)
	if l.survey.judgeDue {
		l.survey.judgeDue = false
		l.judgeDeadlines()
	}
}

// surveyAll brings what passes go by up to date. Everything open counts, whatever the
// workers last said of it, and so does what is being committed.
func (l *Leader) surveyAll() *scan {
	l.refresh()
	s := &scan{zones: l.survey.zones, used: maps.Clone(l.survey.used), barred: map[string]bool{}, drained: map[string]bool{}, budget: float64(l.mostWriting() - l.writing)}
	for _, z := range s.zones {
		z.Victims = func() []*zone.Victim { return l.victims(s, z.Name) }
	}
	return s
}

// victims lists the work of a zone that could be stopped. Most passes find room
// without, so it is put together only when a job asks.
func (l *Leader) victims(s *scan, name string) []*zone.Victim {
	if s.victims == nil {
		s.victims = map[string][]*zone.Victim{}
		for _, j := range l.active {
			if !j.Rec.Final() && !j.Rec.Cancel {
				l.couldStop(s, j)
			}
		}
		for _, vs := range s.victims {
			zone.ByLoss(vs)
		}
	}
	return s.victims[name]
}

// running tells in short what has places in a pass. To list all that runs, in the order in
// which it would be stopped, costs more than the rest of a pass; in a flood of a class below
// which nothing runs every pass did so, and found that nothing may be stopped.
type running struct {
	lowest  int             // of the levels by priority
	borrows map[string]bool // teams that have places beyond their guarantee
}

func (l *Leader) runs(s *scan) *running {
	if s.running == nil {
		s.running = &running{lowest: math.MaxInt, borrows: map[string]bool{}}
		for _, j := range l.active {
			if j.Open == 0 || j.Rec.Final() || j.Rec.Cancel {
				continue
			}
			s.running.lowest = min(s.running.lowest, queue.Level(j.Priority(), true))
			if !l.within(j) {
				s.running.borrows[j.Rec.Spec.Team] = true
			}
		}
	}
	return s.running
}

// anyBelow tells whether anything of a priority below a level has places.
func (l *Leader) anyBelow(s *scan, level int) bool {
	return level > queue.Level(wire.Low, true) && l.runs(s).lowest < level
}

// anyBorrows tells whether any other team has places beyond its guarantee.
func (l *Leader) anyBorrows(s *scan, team string) bool {
	for other := range l.runs(s).borrows {
		if other != team {
			return true
		}
	}
	return false
}

// couldStop lists what could be stopped of a job.
func (l *Leader) couldStop(s *scan, j *Job) {
	spec := j.Rec.Spec
	needs := taskRes(spec)
	level := queue.Level(j.Priority(), l.within(j))
	var gang *zone.Victim // the same one in every zone that it is in
	listed := map[string]bool{}
	j.EachOpen(func(p job.Placement) {
		m := l.owner.Roster().Get(p.Machine)
		if l.owner.Stopping(p.Key(j.ID)) || l.deciding.yielding(j.ID, p.Task) || m == nil || m.Room == nil {
			return
		}
		since, ran := j.started[p.Task]
		if !ran {
			since = l.box.Now()
		}
		left := Micros(0)
		if l.cfg.Settings.VictimsByLeft && spec.Shape != wire.Service {
			if a, ok := l.taskLeft(j, &p); ok {
				left = a.Median
			}
		}
		loss := Micros(0)
		if spec.Shape != wire.Service && spec.CheckpointS == 0 {
			loss = l.box.Now() - since
		}
		take := zone.Take{Room: m.Room, Res: needs}
		if spec.Shape != wire.Gang {
			s.victims[m.Zone] = append(s.victims[m.Zone], &zone.Victim{Job: j.ID, Task: p.Task, Level: level, Since: since, Loss: loss, Left: left,
				Takes: []zone.Take{take}})
			return
		}
		if gang == nil {
			gang = &zone.Victim{Job: j.ID, Task: -1, Level: level, Since: since, Loss: loss, Left: left}
		}
		gang.Takes = append(gang.Takes, take)
		if !listed[m.Zone] {
			listed[m.Zone] = true
			s.victims[m.Zone] = append(s.victims[m.Zone], gang)
		}
	})
}

// pending lists the jobs that want places.
func (l *Leader) pending(s *scan) []queue.Entry {
	out := make([]queue.Entry, 0, len(l.survey.wanting))
	shares := l.usage.Shares(l.weights)
	for j := range l.survey.wanting { // in any order: ranking knows no ties
		spec := j.Rec.Spec
		if j.txn != nil || len(j.plan) > 0 || len(j.closes) > 0 {
			continue
		}
		if at := max(j.holdUntil, j.retryAt); l.box.Now() < at {
			// When its time has come it should not wait for an event or a scan as well.
			if l.passAt == 0 || at < l.passAt {
				l.passAt = at
			}
			continue
		}
		level := queue.Level(j.Priority(), l.within(j))
		if l.box.Now() < j.preempted {
			s.kept = append(s.kept, kept{level, j})
		}
		turn, within := l.turn(j)
		if within == 0 {
			within = l.rankWithin(j)
		}
		out = append(out, queue.Entry{ID: j.ID, Level: level, Turn: turn, Within: within, Created: j.Rec.Created,
			Credit: queue.Credit(&l.cfg.Settings, l.box.Now()-j.arrived, shares[spec.Team])})
	}
	slices.SortFunc(s.kept, func(a, b kept) int { return cmp.Or(cmp.Compare(b.level, a.level), byID(a.j, b.j)) })
	return out
}

// kept is a job for which others were stopped: the machines that become free are its own.
type kept struct {
	level int
	j     *Job
}

// bar keeps machines for the jobs that had others stopped, before anything has its turn that
// ranks no higher: it would reckon with room that is somebody's.
func (l *Leader) bar(s *scan, level int) {
	for len(s.kept) > 0 && s.kept[0].level >= level {
		for name := range s.kept[0].j.reserved {
			if m := l.owner.Roster().Get(name); m != nil && m.Room != nil {
				m.Room.Barred = true
				l.touch(m)
			}
		}
		s.kept = s.kept[1:]
	}
}

// missing lists the tasks that have no place, at most as many as one transaction
// can hold. A gang needs room for all: what its transaction can't hold is placed
// in the next pass, under the same attempt.
func (l *Leader) missing(j *Job) []int {
	most := l.mostAtOnce(j)
	tasks := j.Rec.Spec.Tasks
	var out []int
	for n, end := j.Rec.Parts(tasks); n < end; n++ {
		p := j.Whole(n)
		first, count := j.Rec.Span(n, tasks)
		for _, i := range p.Missing(count) {
			if out = append(out, first+i); len(out) == most {
				return out
			}
		}
	}
	return out
}

// place finds machines for a job's missing tasks.
func (l *Leader) place(s *scan, e *queue.Entry) {
	j := l.jobs[e.ID]
	spec := j.Rec.Spec
	team := l.teams[spec.Team]
	gang := spec.Shape == wire.Gang
	if !gang && !queue.UnderLimit(team, s.used[spec.Team].Plus(taskAmount(spec), 1)) {
		s.limited = true
		j.preempted, j.reserved = 0, nil
		return // as most of a long queue may
	}
	l.describe(j)
	if l.hopeless(s, j, e.Level) {
		return
	}
	usual := l.usual(j)
	tasks := l.narrowed(j, l.missing(j))
	attempt := j.Rec.Attempt + 1
	if gang && j.Open > 0 {
		// A gang that hasn't started takes a replacement under its number; one
		// that has, or that is going, starts again once all of it has left.
		if j.Rec.Attempt <= j.deadGang || j.Rec.Attempt <= j.gangRan || l.owner.StopsAny(j.ID) {
			return
		}
		attempt = j.Rec.Attempt
	}
	for n := range tasks {
		if !queue.UnderLimit(team, s.used[spec.Team].Plus(taskAmount(spec), float64(n+1))) {
			s.limited = true
			if gang { // waits for its team's limit
				if l.drains(j) {
					s.used[spec.Team] = s.used[spec.Team].Plus(taskAmount(spec), float64(len(tasks)))
				}
				return
			}
			tasks = tasks[:n]
			break
		}
	}
	q := l.request(s, j, e)
	if gang && l.cfg.Settings.GangsAvoidSlow {
		q.Avoid = l.avoidSlow(q.Avoid)
	}
	if gang && j.Open > 0 {
		// An attempt must not come to a machine that it has left: what the worker
		// says of the one could not be told from what it says of the other.
		q.Avoid = maps.Clone(q.Avoid)
		if q.Avoid == nil {
			q.Avoid = map[string]Micros{}
		}
		for name, left := range j.left {
			if left == attempt {
				q.Avoid[name] = l.box.Now() + config.Second
			}
		}
	}
	inZone := map[string]int{}
	j.EachOpen(func(p job.Placement) { inZone[p.Zone]++ })
	// When the state service takes no more changes for now, those that rank
	// highest have gone first. The rest hold their places in this pass, so that
	// nothing ranking lower takes them and machines are rented for what is left.
	commit := s.budget > 0
	apart := l.replicasApart(j)
	for len(tasks) > 0 {
		bid := apart.bid(q, func() *zone.Bid { return l.auction(s, j, e, q, tasks, inZone) })
		if bid == nil {
			break
		}
		if len(bid.Victims) > 0 {
			if commit {
				l.evict(j, bid, e.Level)
			}
			return
		}
		if commit && len(j.plan) == 0 {
			s.budget -= l.placeCost(j) // its record is written, or a part of a page
		}
		for i, r := range bid.Rooms {
			image := ""
			if q.Share {
				image = q.Image
			}
			l.survey.byName[r.Zone].Use(r, q.Needs, image)
			l.touch(r.Machine)
			inZone[bid.Zone]++
			apart.place(r.Machine.Name)
			if !commit {
				continue
			}
			if tasks[i] >= job.PartTasks && tasks[i]%job.PartTasks == 0 {
				s.budget -= l.placeCost(j) // another value is written
			}
			l.addPlan(j, job.Placement{Task: tasks[i], Attempt: attempt, Machine: r.Machine.Name,
				Session: r.Machine.Session, Zone: r.Machine.Zone, At: job.TimeOf(j.Rec.Created, l.wall()), Cheap: r.Machine.Spot})
		}
		if commit {
			l.box.Debug("placing", "job", j.ID, "class", spec.Class, "tasks", len(bid.Rooms), "warm", bid.Warm, "zone", bid.Zone,
				"age_ms", (l.box.Now()-j.arrived)/1000, "level", e.Level)
			l.dirty[j.ID] = true
		}
		if commit {
			l.counters.placed += len(bid.Rooms)
		} else {
			l.counters.held++
		}
		s.used[spec.Team] = s.used[spec.Team].Plus(taskAmount(spec), float64(len(bid.Rooms)))
		tasks = tasks[len(bid.Rooms):]
	}
	if len(tasks) == 0 {
		j.preempted, j.reserved = 0, nil
		return
	}
	if usual && (len(inZone) == 0 || !spec.OneZone && !spec.Spread) {
		s.exhausted.add(j.like, e.Level)
	}
	lacks := l.need(j, len(tasks))
	l.gather(s, j, q, &lacks, e.Level)
	l.drain(s, j, q)
	l.unplaced(s, j, lacks)
}

func (l *Leader) roomiest(s *scan, spec *wire.Job) string {
	best, most := "", -1.0
	for _, z := range s.zones {
		if spec.Zone != "" && spec.Zone != z.Name {
			continue
		}
		if free := z.Free(); free > most {
			best, most = z.Name, free
		}
	}
	return best
}

// describe brings up to date what is known of the kind of a job.
func (l *Leader) describe(j *Job) {
	if j.types.set == nil {
		j.types.set = map[string]bool{}
		for name, t := range l.catalog.Types {
			if zone.Allows(j.Rec.Spec, t) {
				j.types.set[name] = true
			}
		}
		j.types.text = strings.Join(slices.Sorted(maps.Keys(j.types.set)), " ")
		j.like = 0
	}
	if p := j.Priority(); j.like == 0 || j.likeAs != p {
		j.like, j.likeAs = l.survey.alike.of(j, p), p
	}
}

func (l *Leader) request(s *scan, j *Job, e *queue.Entry) *zone.Request {
	spec := j.Rec.Spec
	q := &zone.Request{Job: j.ID, Needs: taskRes(spec), Whole: spec.Shape == wire.Gang, Spot: spec.Spot,
		Types: j.types.set, TypeKey: j.types.text, Image: spec.Image, Avoid: j.failedOn, Share: l.cfg.Settings.ShareFetches}
	if l.box.Now() < j.preempted {
		q.Keep = j.reserved
		return q
	}
	own := queue.Level(j.Priority(), true)
	claims := l.within(j) && queue.HasGuarantee(l.teams[spec.Team]) && (!j.behind || l.mayClaim(j, s.used))
	if !l.anyBelow(s, own) && !(claims && l.anyBorrows(s, spec.Team)) {
		return q // nothing that has places may be stopped for it: victims need not be listed
	}
	q.May = func(v *zone.Victim) bool {
		of := l.jobs[v.Job]
		victim := of.Rec.Spec
		if claims && victim.Team != spec.Team && !l.within(of) {
			return true // what another team has borrowed
		}
		return queue.Level(of.Priority(), true) < own && v.Level < e.Level
	}
	return q
}

// auction asks every zone for a bid and returns the best.
func (l *Leader) auction(s *scan, j *Job, e *queue.Entry, q *zone.Request, tasks []int, inZone map[string]int) *zone.Bid {
	spec := j.Rec.Spec
	var best *zone.Bid
	fewest := -1
	for _, of := range s.zones {
		z := of.Name
		if spec.Zone != "" && spec.Zone != z || s.barred[z] {
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
		if r.Count <= 0 || r.Whole && r.Count < len(tasks) && spec.OneZone {
			continue
		}
		if s.cached(z, &r, e.Level) {
			continue
		}
		bid := of.Plan(l.box.Now(), &r)
		if bid == nil && len(q.Avoid) == 0 { // else it says little of others
			s.failed = append(s.failed, failure{z, r.Needs, r.Spot, r.TypeKey, e.Level, need(&r)})
		}
		if bid == nil {
			continue
		}
		if service && (best == nil || len(bid.Victims) <= len(best.Victims)) && (fewest < 0 || inZone[z] < fewest) ||
			(!service || inZone[z] == fewest) && bid.Better(best) {
			best, fewest = bid, inZone[z]
		}
	}
	if best == nil && q.Whole && !spec.OneZone && len(l.cfg.Cluster.Zones) > 1 {
		return l.acrossZones(s, spec, q, tasks, inZone)
	}
	return best
}

// acrossZones places a gang that fits no zone alone but may be split.
func (l *Leader) acrossZones(s *scan, spec *wire.Job, q *zone.Request, tasks []int, inZone map[string]int) *zone.Bid {
	whole := &zone.Bid{}
	for _, of := range s.zones {
		z := of.Name
		if spec.Zone != "" && spec.Zone != z || s.barred[z] {
			continue
		}
		r := *q
		r.Whole, r.May = false, nil
		r.Count = len(tasks) - len(whole.Rooms)
		if spec.Spread {
			r.Count = min(r.Count, (spec.Tasks+1)/2-inZone[z])
		}
		if r.Count <= 0 {
			continue
		}
		if bid := of.Plan(l.box.Now(), &r); bid != nil {
			whole.Rooms = append(whole.Rooms, bid.Rooms...)
		}
	}
	if len(whole.Rooms) < len(tasks) {
		return nil
	}
	return whole
}

func need(q *zone.Request) int {
	if q.Whole {
		return q.Count
	}
	return 1
}

// cached looks into the negative cache.
func (s *scan) cached(z string, q *zone.Request, level int) bool {
	if len(q.Keep) > 0 {
		return false
	}
	for i := range s.failed {
		f := &s.failed[i]
		if f.zone == z && f.needs.Fits(q.Needs) && (f.spot || !q.Spot) && f.types == q.TypeKey &&
			f.level == level && f.count <= need(q) {
			return true
		}
	}
	return false
}

// evict stops a bid's victims and keeps their machines for the job.
func (l *Leader) evict(j *Job, bid *zone.Bid, level int) {
	if !l.mayDecide() {
		return
	}
	keep := map[string]bool{}
	for _, r := range bid.Rooms {
		keep[r.Machine.Name] = true
		r.Barred = true
		l.touch(r.Machine)
	}
	wait, why := 5*config.Second, standing.Guarantee
	var victims []standing.Victim
	for _, v := range bid.Victims {
		v.Gone = true
		victim := l.jobs[v.Job]
		victims = append(victims, l.victimOf(victim, v.Task))
		wait = max(wait, config.FromSeconds(victim.Rec.Spec.SaveS)+6*config.Second)
		if queue.Level(victim.Priority(), true) < queue.Level(j.Priority(), true) {
			why = standing.Priority
		}
	}
	l.decide(j, why, level, slices.Sorted(maps.Keys(keep)), victims, wait)
	if j.behind {
		l.claimFor(j)
	}
}

// rent asks for the machines that the unplaced work calls for.
func (l *Leader) rent(s *scan) {
	if l.claim.InDoubt() || len(s.needs) == 0 {
		return
	}
	l.soonFree(s)
	for i := range s.needs { // more of the same arrives while the machines boot
		n := &s.needs[i]
		n.Count += int(math.Ceil(float64(n.Count) * l.cfg.Settings.RentSurplus))
	}
	l.keeper.Rent(s.needs)
}
