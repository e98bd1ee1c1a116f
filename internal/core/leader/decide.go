package leader

import (
	"slices"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/standing"
	"coralhub/wire"
)

// To set work aside for other work is a decision that is committed before anything is
// stopped for it (package standing). If the leader dies in the middle, its heir reads whose places
// are becoming free: they stay the winner's, and no second set of victims is stopped for him.
// Decisions of several passes share a change, and none is needed to end one: it is over when its
// winner wants nothing any more, or its time is.

const (
	// decidePause and mostDecidePause are how long the next change by which decisions are
	// written waits, for each decision in the last one and at the most: one alone goes at
	// once, and those of a surge share changes.
	decidePause     = 50 * 1000
	mostDecidePause = config.Second
	// decideSlack is added to the time that places are kept, for the commit.
	decideSlack = 2 * config.Second
	// resumeFor is how long an heir keeps places at the least, and resumeGrace how long after a
	// decision's time he still takes it up: while nobody led nobody could use what it kept.
	resumeFor   = 6 * config.Second
	resumeGrace = 15 * config.Second
	// tallyEvery is how often the tally of who yielded is written along.
	tallyEvery = 10 * config.Second
)

// deciding is what a leader has decided and not committed yet. The books are every node's.
type deciding struct {
	book  standing.Book
	tally standing.Tally

	fresh   []standing.Decision // not on their way yet
	yields  map[string]map[int]bool
	txn     *wire.Commit
	of      []standing.Decision // what it writes
	out     bool                // its answer may still come
	unsure  bool                // a sending of it had no answer
	writeAt Micros
	tallyAt Micros
	resumed bool // what predecessors had decided is taken up
}

// yielding tells whether a task is to yield by a decision that isn't committed yet.
func (d *deciding) yielding(id string, task int) bool {
	of := d.yields[id]
	return of[task] || of[standing.WholeGang]
}

func (d *deciding) mark(v *standing.Victim) {
	if d.yields[v.Job] == nil {
		d.yields[v.Job] = map[int]bool{}
	}
	d.yields[v.Job][v.Task] = true
}

func (d *deciding) unmark(of []standing.Decision) {
	for i := range of {
		for _, v := range of[i].Victims {
			if delete(d.yields[v.Job], v.Task); len(d.yields[v.Job]) == 0 {
				delete(d.yields, v.Job)
			}
		}
	}
}

// mayDecide tells whether one more decision can be kept.
func (l *Leader) mayDecide() bool {
	d := &l.deciding
	return len(d.fresh)+len(d.of) < standing.MostOpen
}

// decide keeps machines for a job and has others' tasks stopped there.
func (l *Leader) decide(j *Job, why standing.Why, level int, keep []string, victims []standing.Victim, wait Micros) {
	j.reserved = make(map[string]bool, len(keep))
	for _, name := range keep {
		j.reserved[name] = true
	}
	j.preempted = l.box.Now() + wait
	x := standing.Decision{Winner: j.ID, Why: why, Level: level, Keep: keep, Victims: victims}
	if l.form.Format < job.Standing || l.wall() == 0 {
		l.carryOut(&x)
		return
	}
	j.preempted += decideSlack
	x.Until = l.wall() + wait + decideSlack
	for i := range victims {
		l.deciding.mark(&victims[i])
	}
	l.deciding.fresh = append(l.deciding.fresh, standing.Fitting(x, l.form.Fits)...)
}

// wants tells whether a job still lacks places.
func (j *Job) wants() bool {
	return j.Rec.Spec != nil && !j.Rec.Final() && !j.Rec.Cancel && !j.Doomed() && j.Done+j.Open < j.Rec.Spec.Tasks
}

// writeDecisions commits what was decided.
func (l *Leader) writeDecisions() {
	d := &l.deciding
	if d.out || l.claim.Raising() || l.box.Now() < d.writeAt {
		return
	}
	if d.txn != nil { // without an answer: the same again, by its guards one of the two takes effect
		l.sendDecisions()
		return
	}
	if len(d.fresh) == 0 {
		return
	}
	wall := l.wall()
	writes, packed := d.book.Pack(d.fresh, l.form.Ops()-1, func(x *standing.Decision) bool {
		j := l.jobs[x.Winner]
		return x.InForce(wall) && j != nil && j.wants()
	}, l.form.Fits)
	if packed == 0 { // every page is full of what is in force
		l.undecide(d.fresh)
		d.fresh = nil
		return
	}
	d.of, d.fresh = slices.Clone(d.fresh[:packed]), slices.Clone(d.fresh[packed:])
	t := &wire.Commit{Guards: []wire.Guard{l.claim.Guard()}}
	for _, w := range writes {
		t.Guards = append(t.Guards, wire.Guard{Key: standing.Key(w.Page), Version: w.Version})
		t.Changes = append(t.Changes, wire.Change{Put: standing.Key(w.Page), Value: w.Value})
	}
	if l.box.Now()-d.tallyAt >= tallyEvery {
		if value := d.tally.Value(l.form.Fits); value != nil {
			d.tallyAt = l.box.Now()
			t.Guards = append(t.Guards, wire.Guard{Key: standing.TallyKey, Version: d.tally.Version()})
			t.Changes = append(t.Changes, wire.Change{Put: standing.TallyKey, Value: value})
		}
	}
	d.txn, d.unsure = t, false
	d.writeAt = l.box.Now() + min(mostDecidePause, decidePause*Micros(packed))
	l.sendDecisions()
}

func (l *Leader) sendDecisions() {
	d := &l.deciding
	t := d.txn
	d.out = true
	l.box.Transact(*t, msg.First, msg.ForDecision, func(x msg.CommitDone) {
		if !l.claim.Held() || d.txn != t {
			return
		}
		d.out = false
		switch x.Outcome {
		case msg.OK:
			for _, c := range t.Changes {
				l.decisionsIn(&wire.Change{Put: c.Put, Value: c.Value, Version: x.Revision})
			}
			l.decided(d.of)
		case msg.Unknown:
			d.unsure, d.writeAt = true, l.box.Now()+commitPause
			return
		case msg.Conflict:
			if l.claim.Failed(t.Guards[0].Version, x.Failed) {
				return
			}
			l.readDecisions(t)
			return
		default:
			d.writeAt = l.box.Now() + commitPause
			if d.unsure { // this sending was refused; an earlier one may still be applied
				return
			}
			l.undecide(d.of)
		}
		d.txn, d.of = nil, nil
	})
}

// readDecisions finds out what is stored where a transaction met other versions than it knew: an
// earlier sending has been applied after all, or it never will be.
func (l *Leader) readDecisions(t *wire.Commit) {
	d := &l.deciding
	left := len(t.Changes)
	d.out = true
	for _, c := range t.Changes {
		l.box.Read(c.Put, func(x msg.ReadDone) {
			if !l.claim.Held() || d.txn != t {
				return
			}
			if x.Outcome == msg.OK && x.Item.Version != 0 {
				l.decisionsIn(&wire.Change{Put: c.Put, Value: x.Item.Value, Version: x.Item.Version})
			}
			if left--; left > 0 {
				return
			}
			stored := map[string]Micros{}
			for _, s := range d.book.InForce(l.wall()) {
				stored[s.Winner] = s.Until
			}
			var made, lost []standing.Decision
			for _, s := range d.of {
				if stored[s.Winner] == s.Until {
					made = append(made, s)
				} else {
					lost = append(lost, s)
				}
			}
			l.decided(made)
			l.undecide(lost)
			d.txn, d.of, d.out = nil, nil, false
			d.writeAt = l.box.Now() + commitPause
		})
	}
}

// decided carries out decisions that are committed.
func (l *Leader) decided(ds []standing.Decision) {
	l.deciding.unmark(ds)
	for i := range ds {
		if j := l.jobs[ds[i].Winner]; j != nil && j.wants() {
			l.carryOut(&ds[i])
		}
	}
}

// undecide gives up decisions that are not committed and never will be.
func (l *Leader) undecide(ds []standing.Decision) {
	l.deciding.unmark(ds)
	for i := range ds {
		if j := l.jobs[ds[i].Winner]; j != nil {
			j.preempted, j.reserved = 0, nil
		}
	}
	l.passDue = true
}

// carryOut stops the victims of a decision, as far as they are still where they were.
func (l *Leader) carryOut(d *standing.Decision) {
	winner := l.jobs[d.Winner]
	for _, v := range d.Victims {
		of := l.jobs[v.Job]
		if of == nil || of.Rec.Spec == nil {
			continue
		}
		only := map[job.Key]bool{}
		of.EachOpen(func(p job.Placement) {
			if key := p.Key(of.ID); p.Attempt == v.Attempt && (p.Task == v.Task || v.Task == standing.WholeGang) && !l.owner.Stopping(key) {
				only[key] = true
			}
		})
		if len(only) == 0 {
			continue
		}
		l.owner.Stop(of.Job, only, d.Why.String()+" of "+d.Winner)
		y := standing.Yield{To: winner.Rec.Spec.Class, From: of.Rec.Spec.Class, Why: d.Why}
		l.deciding.tally.Add(y, len(only))
		l.box.Debug("yields", "job", of.ID, "class", y.From, "team", of.Rec.Spec.Team, "tasks", len(only), "to", d.Winner, "class_to", y.To,
			"team_to", winner.Rec.Spec.Team, "by", d.Why.String(), "level", d.Level)
	}
}

// resume goes on with what predecessors had decided.
func (l *Leader) resume() {
	d := &l.deciding
	if d.resumed || l.wall() == 0 {
		return
	}
	d.resumed = true
	wall := l.wall()
	ds := d.book.InForce(wall - resumeGrace)
	kept := 0
	for i := range ds {
		j := l.jobs[ds[i].Winner]
		if j == nil || !j.wants() {
			continue
		}
		if j.reserved == nil {
			j.reserved = map[string]bool{}
		}
		for _, name := range ds[i].Keep {
			j.reserved[name] = true
		}
		j.preempted = max(j.preempted, l.box.Now()+max(ds[i].Until-wall, resumeFor))
		kept++
		l.carryOut(&ds[i])
	}
	if kept > 0 {
		l.box.Log("going on with decisions", "count", kept)
	}
}

// decisionsIn takes a page of decisions, or the tally, as it is stored.
func (l *Leader) decisionsIn(ev *wire.Change) {
	if ev.Put == "" {
		return
	}
	var err error
	if ev.Put == standing.TallyKey {
		if l.ready { // it counts itself
			l.deciding.tally.Written(ev.Version)
			return
		}
		err = l.deciding.tally.Apply(ev.Version, ev.Value)
	} else if n, ok := standing.ParseKey(strings.TrimPrefix(ev.Put, standing.Prefix)); ok {
		err = l.deciding.book.Apply(n, ev.Version, ev.Value)
	}
	if err != nil {
		l.box.Log("unreadable", "key", ev.Put, "error", err.Error())
	}
}

// resetDeciding forgets what was decided under a claim that is over. What is committed stays.
func (l *Leader) resetDeciding() {
	l.deciding = deciding{book: l.deciding.book, tally: l.deciding.tally, yields: map[string]map[int]bool{}}
}

// victimOf describes a task that a job loses, or all of a gang.
func (l *Leader) victimOf(j *Job, task int) standing.Victim {
	v := standing.Victim{Job: j.ID, Task: task}
	j.EachOpen(func(p job.Placement) {
		if p.Task == task || j.Rec.Spec.Shape == wire.Gang {
			v.Attempt = max(v.Attempt, p.Attempt)
		}
	})
	if j.Rec.Spec.Shape == wire.Gang {
		v.Task = standing.WholeGang
	}
	return v
}
