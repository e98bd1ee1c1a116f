package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/fleet"
	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// A flood's jobs are alike: thousands that ask for the same. Within a pass room only gets
// less, so once one of them has found none, none of the others will, and a pass needs to
// say so only once. What it costs goes with how much it places and with how many kinds of
// jobs there are; of each of the others it does no more than count it.

// likeness is all that decides, beside its level, whether a job that has no places yet
// finds any.
type likeness struct {
	needs           zone.Res
	types           string
	zone            string
	shape           string
	spot            bool
	oneZone, spread bool
	tasks           int    // of a gang
	team            string // whose room it may take from others
	priority        string // of its own; its level doesn't tell it for what is beyond a guarantee
}

// mostAlike is how many likenesses are kept before all are numbered anew: users choose the
// sizes of their jobs, and most of what was numbered is over by then.
const mostAlike = 4096

// alike numbers the likenesses of the jobs of a reign.
type alike map[likeness]int

// of returns the number of a job's likeness, from 1 on.
func (a alike) of(j *Job, priority string) int {
	spec := j.Rec.Spec
	k := likeness{needs: taskRes(spec), types: j.types.text, zone: spec.Zone, shape: spec.Shape, spot: spec.Spot,
		oneZone: spec.OneZone, spread: spec.Spread, team: spec.Team, priority: priority}
	if spec.Shape == wire.Gang {
		k.tasks = spec.Tasks
	}
	n := a[k]
	if n == 0 {
		n = len(a) + 1
		a[k] = n
	}
	return n
}

// exhausted tells of which likenesses a pass has found that no job of a level finds room:
// a bit for each level.
type exhausted []uint32

func (x exhausted) has(like, level int) bool { return like < len(x) && x[like]&(1<<level) != 0 }

func (x *exhausted) add(like, level int) {
	for len(*x) <= like {
		*x = append(*x, 0)
	}
	(*x)[like] |= 1 << level
}

// usual tells whether nothing about a job but its likeness and its level decides whether it
// finds room now: it has failed nowhere, nothing is kept for it, and what it has already
// doesn't bind the rest.
func (l *Leader) usual(j *Job) bool {
	spec := j.Rec.Spec
	return len(j.failedOn) == 0 && l.box.Now() >= j.preempted && (j.Open == 0 || spec.Shape != wire.Gang && !spec.OneZone && !spec.Spread)
}

// hopeless tells whether one like a job has found no room in this pass. Then it counts it
// among those without, and what it lacks among what machines are rented for.
func (l *Leader) hopeless(s *scan, j *Job, level int) bool {
	if !s.exhausted.has(j.like, level) || !l.usual(j) {
		return false
	}
	spec := j.Rec.Spec
	lacks := min(spec.Tasks-j.Done-j.Open, l.mostAtOnce(j))
	if !queue.UnderLimit(l.teams[spec.Team], s.used[spec.Team].Plus(taskAmount(spec), float64(lacks))) {
		return false // its team's limit has a say as well
	}
	j.reserved = nil
	l.unplaced(s, j, l.need(j, lacks))
	return true
}

// mostAtOnce is how many tasks of a job are placed at a time: as many as one transaction
// can hold. A gang needs room for all.
func (l *Leader) mostAtOnce(j *Job) int {
	switch {
	case j.Rec.Spec.Shape == wire.Gang:
		return j.Rec.Spec.Tasks
	case l.form.Format >= job.Grouped:
		return job.PartTasks * (l.form.Ops() - 1)
	}
	return job.PartTasks
}

// need is what so many tasks of a job, which has been described, call for.
func (l *Leader) need(j *Job, count int) fleet.Need {
	spec := j.Rec.Spec
	return fleet.Need{Task: taskRes(spec), Count: count, Types: j.types.set, Zone: spec.Zone, Spot: spec.Spot}
}

// unplaced notes that some of a job found no room.
func (l *Leader) unplaced(s *scan, j *Job, n fleet.Need) {
	l.counters.without++
	s.needs = append(s.needs, n)
	if l.box.Now()-j.arrived > config.FromSeconds(l.cfg.Settings.AgeCapS) && len(s.barred) == 0 && l.mayBar() {
		if z := l.roomiest(s, j.Rec.Spec); z != "" {
			s.barred[z] = true
		}
	}
}

// barFor is how long a zone is barred at a time for jobs past the age cap; for as long the others have
// their turn then, whichever job asks. What is in such a job's way may never end, and room that fits may not
// lie idle for 90 s while a job waits.
const barFor = 45 * config.Second

// mayBar tells whether it is the turn of those past the age cap.
func (l *Leader) mayBar() bool { return turn(&l.survey.barSince, l.box.Now(), barFor) }

// turn tells whether it is the turn of what asks for it: for so long from when it first asks, and then not for as
// long, however often it does. It notes when the turn began.
func turn(since *Micros, now, length Micros) bool {
	if *since == 0 || now-*since > 2*length {
		*since = now
	}
	return now-*since <= length
}

const (
	// entryCost is about what a pass takes for a job that waits, on a whole core
	// (BenchmarkFlood).
	entryCost = 2 // microseconds
	// passPart is the part of its share of the processor that a node may spend on that.
	passPart = 0.4
)

// passInterval is the least time between two passes. It grows with the line, so that a
// flood leaves the leader time for its workers: a line of 100,000 jobs is gone over every
// 2.5 s by a node with a fifth of a core.
func (l *Leader) passInterval() Micros {
	least := config.FromMillis(l.cfg.Settings.PassIntervalMS)
	cores := l.cfg.Cluster.Limits.Cores
	if cores <= 0 || cores > 1 {
		cores = 1 // one loop uses no more
	}
	return max(least, Micros(float64(len(l.survey.wanting))*entryCost/(cores*passPart)))
}
