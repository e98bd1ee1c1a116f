package leader

import (
	"slices"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/preemption"
	"coralhub/wire"
)

// To set work aside for other work is a decision that is committed before anything is
// stopped for it (package standing). If the leader dies in the middle, its heir reads whose places
// are becoming free: they stay the winner's, and no second set of victims is stopped for him.
// Decisions of several passes share a change, and none is needed to end one: it is over when its
// winner wants nothing any more, or its time is.

const (
	// decisionInterval and mostDecidePause are how long the next change by which decisions are
	// written waits, for each decision in the last one and at the most: one alone goes at
	// once, and those of a surge share changes.
	decisionInterval    = 50 * 1000
	maxDecisionInterval = config.Second
	// decisionSlack is added to the time that places are kept, for the commit.
	decisionSlack = 2 * config.Second
	// resumedReservation is how long an heir keeps places at the least, and resumeGrace how long after a
	// decision's time he still takes it up: while nobody led nobody could use what it kept.
	resumedReservation = 6 * config.Second
	resumeGrace        = 15 * config.Second
	// countsInterval is how often the tally of who yielded is written along.
	countsInterval = 10 * config.Second
)

// preemptionState is what is reserved for a job for which others are preempted.
type preemptionState struct {
	preemptingUntil  Micros          // the reservation lasts until then
	reservedMachines map[string]bool // machines that its victims leave
}

// preemptionDecisions is what a leader has decided and not committed yet. The books are every node's.
type preemptionDecisions struct {
	*environment
	scheduler *scheduler

	decisions preemption.Decisions
	counts    preemption.Counts

	unwritten      []preemption.Decision // not on their way yet
	preempted      map[string]map[int]bool
	transaction    *wire.Transaction
	writing        []preemption.Decision // what it writes
	inFlight       bool                  // its answer may still come
	outcomeUnknown bool                  // a sending of it had no answer
	nextWriteAt    Micros
	nextCountsAt   Micros
	resumed        bool // what predecessors had decided is taken up
}

// isPreempted tells whether a task is to yield by a decision that isn't committed yet.
func (d *preemptionDecisions) isPreempted(id string, task int) bool {
	of := d.preempted[id]
	return of[task] || of[preemption.WholeGang]
}

func (d *preemptionDecisions) mark(v *preemption.Victim) {
	if d.preempted[v.Job] == nil {
		d.preempted[v.Job] = map[int]bool{}
	}
	d.preempted[v.Job][v.Task] = true
}

func (d *preemptionDecisions) unmark(of []preemption.Decision) {
	for i := range of {
		for _, v := range of[i].Victims {
			if delete(d.preempted[v.Job], v.Task); len(d.preempted[v.Job]) == 0 {
				delete(d.preempted, v.Job)
			}
		}
	}
}

// canAddDecision tells whether one more decision can be kept.
func (ps *preemptionDecisions) canAddDecision() bool {
	d := ps
	return len(d.unwritten)+len(d.writing) < preemption.MaxOpenDecisions
}

// addDecision keeps machines for a job and has others' tasks stopped there.
func (ps *preemptionDecisions) addDecision(j *Job, why preemption.Reason, level int, keep []string, victims []preemption.Victim, wait Micros) {
	j.reservedMachines = make(map[string]bool, len(keep))
	for _, name := range keep {
		j.reservedMachines[name] = true
	}
	j.preemptingUntil = ps.outbox.Now() + wait
	x := preemption.Decision{Preemptor: j.ID, Reason: why, Level: level, ReservedMachines: keep, Victims: victims}
	if ps.encoding.Format < job.FormatPreemption || ps.wallClock() == 0 {
		ps.executeDecision(&x)
		return
	}
	j.preemptingUntil += decisionSlack
	x.Until = ps.wallClock() + wait + decisionSlack
	for i := range victims {
		ps.mark(&victims[i])
	}
	ps.unwritten = append(ps.unwritten, preemption.SplitToFit(x, ps.encoding.Fits)...)
}

// wantsPlacements tells whether a job still lacks places.
func (j *Job) wantsPlacements() bool {
	return j.Record.Spec != nil && !j.Record.Final() && !j.Record.CancelRequested && !j.DependencyCancelled() && j.DoneTasks+j.OpenTasks < j.Record.Spec.Tasks
}

// writeDecisions commits what was decided.
func (ps *preemptionDecisions) writeDecisions() {
	d := ps
	if d.inFlight || ps.elector.TokenChangePending() || ps.outbox.Now() < d.nextWriteAt {
		return
	}
	if d.transaction != nil { // without an answer: the same again, by its guards one of the two takes effect
		ps.sendDecisions()
		return
	}
	if len(d.unwritten) == 0 {
		return
	}
	wall := ps.wallClock()
	writes, packed := d.decisions.Pack(d.unwritten, ps.encoding.MaxOps()-1, func(x *preemption.Decision) bool {
		j := ps.jobs[x.Preemptor]
		return x.InForce(wall) && j != nil && j.wantsPlacements()
	}, ps.encoding.Fits)
	if packed == 0 { // every page is full of what is in force
		ps.dropDecisions(d.unwritten)
		d.unwritten = nil
		return
	}
	d.writing, d.unwritten = slices.Clone(d.unwritten[:packed]), slices.Clone(d.unwritten[packed:])
	t := &wire.Transaction{Conditions: []wire.Condition{ps.elector.Condition()}}
	for _, w := range writes {
		t.Conditions = append(t.Conditions, wire.Condition{Key: preemption.PageKey(w.Page), Version: w.Version})
		t.Changes = append(t.Changes, wire.Change{Put: preemption.PageKey(w.Page), Value: w.Value})
	}
	if ps.outbox.Now()-d.nextCountsAt >= countsInterval {
		if value := d.counts.Value(ps.encoding.Fits); value != nil {
			d.nextCountsAt = ps.outbox.Now()
			t.Conditions = append(t.Conditions, wire.Condition{Key: preemption.CountsKey, Version: d.counts.Version()})
			t.Changes = append(t.Changes, wire.Change{Put: preemption.CountsKey, Value: value})
		}
	}
	d.transaction, d.outcomeUnknown = t, false
	d.nextWriteAt = ps.outbox.Now() + min(maxDecisionInterval, decisionInterval*Micros(packed))
	ps.sendDecisions()
}

func (ps *preemptionDecisions) sendDecisions() {
	d := ps
	t := d.transaction
	d.inFlight = true
	ps.outbox.CommitWithPriority(*t, msg.Critical, msg.PurposePreemption, func(x msg.CommitDone) {
		if !ps.elector.IsLeader() || d.transaction != t {
			return
		}
		d.inFlight = false
		switch x.Outcome {
		case msg.OK:
			for _, c := range t.Changes {
				ps.applyDecisions(&wire.Change{Put: c.Put, Value: c.Value, Version: x.Revision})
			}
			ps.decisionsCommitted(d.writing)
		case msg.Unknown:
			d.outcomeUnknown, d.nextWriteAt = true, ps.outbox.Now()+commitRetryInterval
			return
		case msg.Conflict:
			if ps.elector.DeposedBy(t.Conditions[0].Version, x.Failed) {
				return
			}
			ps.readDecisions(t)
			return
		default:
			d.nextWriteAt = ps.outbox.Now() + commitRetryInterval
			if d.outcomeUnknown { // this sending was refused; an earlier one may still be applied
				return
			}
			ps.dropDecisions(d.writing)
		}
		d.transaction, d.writing = nil, nil
	})
}

// readDecisions finds out what is stored where a transaction met other versions than it knew: an
// earlier sending has been applied after all, or it never will be.
func (ps *preemptionDecisions) readDecisions(t *wire.Transaction) {
	d := ps
	left := len(t.Changes)
	d.inFlight = true
	for _, c := range t.Changes {
		ps.outbox.Read(c.Put, func(x msg.ReadDone) {
			if !ps.elector.IsLeader() || d.transaction != t {
				return
			}
			if x.Outcome == msg.OK && x.Item.Version != 0 {
				ps.applyDecisions(&wire.Change{Put: c.Put, Value: x.Item.Value, Version: x.Item.Version})
			}
			if left--; left > 0 {
				return
			}
			stored := map[string]Micros{}
			for _, s := range d.decisions.InForce(ps.wallClock()) {
				stored[s.Preemptor] = s.Until
			}
			var made, lost []preemption.Decision
			for _, s := range d.writing {
				if stored[s.Preemptor] == s.Until {
					made = append(made, s)
				} else {
					lost = append(lost, s)
				}
			}
			ps.decisionsCommitted(made)
			ps.dropDecisions(lost)
			d.transaction, d.writing, d.inFlight = nil, nil, false
			d.nextWriteAt = ps.outbox.Now() + commitRetryInterval
		})
	}
}

// decisionsCommitted carries out decisions that are committed.
func (ps *preemptionDecisions) decisionsCommitted(ds []preemption.Decision) {
	ps.unmark(ds)
	for i := range ds {
		if j := ps.jobs[ds[i].Preemptor]; j != nil && j.wantsPlacements() {
			ps.executeDecision(&ds[i])
		}
	}
}

// dropDecisions gives up decisions that are not committed and never will be.
func (ps *preemptionDecisions) dropDecisions(ds []preemption.Decision) {
	ps.unmark(ds)
	for i := range ds {
		if j := ps.jobs[ds[i].Preemptor]; j != nil {
			j.preemptingUntil, j.reservedMachines = 0, nil
		}
	}
	ps.scheduler.cycleDue = true
}

// executeDecision stops the victims of a decision, as far as they are still where they were.
func (ps *preemptionDecisions) executeDecision(d *preemption.Decision) {
	winner := ps.jobs[d.Preemptor]
	for _, v := range d.Victims {
		of := ps.jobs[v.Job]
		if of == nil || of.Record.Spec == nil {
			continue
		}
		only := map[job.AttemptKey]bool{}
		of.EachPlacement(func(p job.Placement) {
			if key := p.AttemptKey(of.ID); p.Attempt == v.Attempt && (p.Task == v.Task || v.Task == preemption.WholeGang) && !ps.reconciler.IsTerminating(key) {
				only[key] = true
			}
		})
		if len(only) == 0 {
			continue
		}
		ps.reconciler.Terminate(of.Job, only, d.Reason.String()+" of "+d.Preemptor)
		y := preemption.Pair{Preemptor: winner.Record.Spec.Class, Victim: of.Record.Spec.Class, Reason: d.Reason}
		ps.counts.Add(y, len(only))
		ps.outbox.Debug("preempting", "job", of.ID, "class", y.Victim, "team", of.Record.Spec.Team, "tasks", len(only), "to", d.Preemptor, "class_to", y.Preemptor,
			"team_to", winner.Record.Spec.Team, "by", d.Reason.String(), "level", d.Level)
	}
}

// resumeDecisions goes on with what predecessors had decided.
func (ps *preemptionDecisions) resumeDecisions() {
	d := ps
	if d.resumed || ps.wallClock() == 0 {
		return
	}
	d.resumed = true
	wall := ps.wallClock()
	ds := d.decisions.InForce(wall - resumeGrace)
	kept := 0
	for i := range ds {
		j := ps.jobs[ds[i].Preemptor]
		if j == nil || !j.wantsPlacements() {
			continue
		}
		if j.reservedMachines == nil {
			j.reservedMachines = map[string]bool{}
		}
		for _, name := range ds[i].ReservedMachines {
			j.reservedMachines[name] = true
		}
		j.preemptingUntil = max(j.preemptingUntil, ps.outbox.Now()+max(ds[i].Until-wall, resumedReservation))
		kept++
		ps.executeDecision(&ds[i])
	}
	if kept > 0 {
		ps.outbox.Log("preemption decisions resumed", "count", kept)
	}
}

// applyDecisions takes a page of decisions, or the tally, as it is stored.
func (ps *preemptionDecisions) applyDecisions(ev *wire.Change) {
	if ev.Put == "" {
		return
	}
	var err error
	if ev.Put == preemption.CountsKey {
		if ps.ready { // it counts itself
			ps.counts.Written(ev.Version)
			return
		}
		err = ps.counts.Apply(ev.Version, ev.Value)
	} else if n, ok := preemption.ParsePage(strings.TrimPrefix(ev.Put, preemption.KeyPrefix)); ok {
		err = ps.decisions.Apply(n, ev.Version, ev.Value)
	}
	if err != nil {
		ps.outbox.Log("stored value unreadable", "key", ev.Put, "error", err.Error())
	}
}

// reset forgets what was decided under a claim that is over. What is committed stays.
func (ps *preemptionDecisions) reset() {
	ps.unwritten, ps.preempted = nil, map[string]map[int]bool{}
	ps.transaction, ps.writing, ps.inFlight, ps.outcomeUnknown = nil, nil, false, false
	ps.nextWriteAt, ps.nextCountsAt, ps.resumed = 0, 0, false
}

// victimOf describes a task that a job loses, or all of a gang.
func (ps *preemptionDecisions) victimOf(j *Job, task int) preemption.Victim {
	v := preemption.Victim{Job: j.ID, Task: task}
	j.EachPlacement(func(p job.Placement) {
		if p.Task == task || j.Record.Spec.Shape == wire.Gang {
			v.Attempt = max(v.Attempt, p.Attempt)
		}
	})
	if j.Record.Spec.Shape == wire.Gang {
		v.Task = preemption.WholeGang
	}
	return v
}
