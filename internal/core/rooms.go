package core

import (
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// listener passes what the records say on to the roles.
type listener struct{ c *Core }

func (l listener) Born(r *records.Job) {
	l.c.jobs[r.ID] = &Job{Job: r, arrived: l.c.now}
}

func (l listener) Placed(r *records.Job, old, now []job.Placement) {
	l.c.placed(l.c.jobs[r.ID], old, now)
}

func (l listener) Stored(r *records.Job) {
	l.c.outdatePlan(l.c.jobs[r.ID])
}

func (l listener) Recorded(r *records.Job) {
	c, j := l.c, l.c.jobs[r.ID]
	c.setActive(j, r.Rec.Spec != nil)
	if r.Rec.Created > 0 && c.wallAhead > 0 && !r.NeedsOthers() {
		j.arrived = min(c.now, r.Rec.Created-c.wallAhead)
	}
}

func (l listener) Ended(r *records.Job) {
	j := l.c.jobs[r.ID]
	if r.Rec.Spec == nil {
		j.started, j.failedOn, j.closes, j.reserved = nil, nil, nil, nil
		l.c.owner.OverAll(r.ID)
		j.runs = runs{}
	}
	l.c.front.Ended(r)
}

func (l listener) Changed(r *records.Job) {
	j := l.c.jobs[r.ID]
	l.c.changed(j)
	l.c.revise(j)
}

func (l listener) Freed(r *records.Job) {
	j := l.c.jobs[r.ID]
	j.arrived = l.c.now // its times count from now on
	l.c.changed(j)
	l.c.passDue = true
}

func (l listener) Doomed(r *records.Job) {
	j := l.c.jobs[r.ID]
	l.c.changed(j)
	if l.c.ready {
		l.c.dirty[r.ID] = true
	}
}

// revise has a pass and the writing of records look at a job.
func (c *Core) revise(j *Job) {
	c.passDue = true
	if c.ready {
		c.dirty[j.ID] = true
	}
}

// house is what the front knows of the rest of its node.
type house struct{ c *Core }

func (h house) Refusal() string      { return h.c.refusal() }
func (h house) Heard(ev wire.Change) { h.c.apply(&ev) }

func (h house) Wrote(ev wire.Change) {
	h.c.apply(&ev)
	if l := h.c.claim.Elsewhere(); l != "" {
		h.c.box.Emit(msg.Tell{Node: l, Event: ev})
	}
}

// refusal tells why this node doesn't serve; "": it does.
func (c *Core) refusal() string {
	switch {
	case c.foreign:
		return "the records are of a later version"
	case !c.loaded:
		return "starting"
	}
	return ""
}

// hint takes what another node has just written, ahead of the watch.
func (c *Core) hint(ev *wire.Change) {
	if id, n, ok := job.ParseKey(ev.Put); ok && n == 0 && id != "" && c.loaded {
		c.apply(ev)
	}
}

// desk takes what the owner of the zones has for the leader.
type desk struct{ c *Core }

func (d desk) Joined(m *zone.Machine) {
	d.c.touch(m)
	d.c.noteMachine(m.Name)
	d.c.passDue = true
}

func (d desk) Looks(m *zone.Machine)            { d.c.touch(m) }
func (d desk) MayOffer(m *zone.Machine)         { d.c.reconsider(m) }
func (d desk) Cached(m *zone.Machine, _ string) { d.c.noteMachine(m.Name) }
func (d desk) Running(key job.Key)              { d.c.running(d.c.jobs[key.Job], key) }

func (d desk) Exited(m *zone.Machine, key job.Key, t *zone.Task) {
	d.c.exited(m, d.c.jobs[key.Job], key, t)
}

func (d desk) Close(key job.Key, machine string, done bool) { d.c.close(key, machine, done) }

func (d desk) Closing(key job.Key, machine string) bool {
	j := d.c.jobs[key.Job]
	return j != nil && j.isClosing(key, machine)
}

func (d desk) Moved(machine string) { d.c.noteMachine(machine) }
func (d desk) Changed()             { d.c.passDue = true }
