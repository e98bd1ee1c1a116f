package core

import (
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/wire"
)

// Chains. A job may need others to be done before any task of it starts. What
// it waits for is decided by committed records alone: "done" and "cancelled"
// never change, so nothing has to be guarded when it starts. Every node links the
// jobs as their records come; each step's work goes with the jobs that it
// concerns, and none recurs, so that chains may be long.

// chain is how a job hangs together with others.
type chain struct {
	linked   bool
	needs    []*Job // those that were not done when it was linked
	waits    int    // how many of them are not done yet
	neededBy []*Job // jobs that wait for this one
	// A job that it needs, directly or not, is cancelled: this one is as good as
	// cancelled, and its record will say so before anybody is told.
	doomed bool
	// The highest priority of the jobs that need it, directly or not. It stays
	// when they are cancelled: a matter of rank alone.
	lent string
}

// needsOthers tells whether a job was submitted with jobs that it needs.
func (j *Job) needsOthers() bool { return j.Rec.Spec != nil && len(j.Rec.Spec.Needs) > 0 }

// held tells whether a job still waits for others, or never will start because
// one of them is cancelled. It holds no part of anything until then.
func (j *Job) held() bool { return j.waits > 0 || j.doomed }

// priority is that of the job, or of one that needs it if that is higher.
func (j *Job) priority() string {
	if p := j.Rec.Spec.Priority; j.lent == "" || queue.Level(p, false) >= queue.Level(j.lent, false) {
		return p
	}
	return j.lent
}

// link ties a job to those that it needs when its record first comes. The
// record of a needed job may come later.
func (c *Core) link(j *Job) {
	if j.linked || j.Rec.Spec == nil {
		return
	}
	j.linked = true
	if j.Rec.Final() {
		return
	}
	for _, id := range j.Rec.Spec.Needs {
		n := c.job(id)
		if n.Rec.Phase == job.Done {
			continue
		}
		j.needs = append(j.needs, n)
		j.waits++
		if n.Rec.Phase == job.Cancelled || n.doomed {
			c.doom(j)
			continue
		}
		n.neededBy = append(n.neededBy, j)
	}
	c.lend(j)
}

// lend gives the jobs that one needs its priority, and so on. Those of services
// stay with them: nothing waits for a service.
func (c *Core) lend(j *Job) {
	if j.Rec.Spec.Shape == wire.Service {
		return
	}
	for todo := []*Job{j}; len(todo) > 0; {
		x := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		p := x.lent
		if x.Rec.Spec != nil {
			p = x.priority()
		}
		for _, n := range x.needs {
			if n.lent == "" || queue.Level(p, false) > queue.Level(n.lent, false) {
				n.lent = p
				todo = append(todo, n)
			}
		}
	}
}

// settled tells the jobs that wait for one that its phase is final.
func (c *Core) settled(j *Job) {
	waiting := j.neededBy
	j.neededBy, j.needs = nil, nil
	for _, d := range waiting {
		if j.Rec.Phase == job.Cancelled {
			c.doom(d)
			continue
		}
		if d.waits--; d.waits == 0 && !d.Rec.Final() {
			d.arrived = c.now // its times count from now on
			c.changed(d)
			c.passDue = true
		}
	}
}

// doom marks a job, and those that need it, directly or not, as cancelled by a
// cancellation before them.
func (c *Core) doom(j *Job) {
	for todo := []*Job{j}; len(todo) > 0; {
		x := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if x.doomed || x.Rec.Final() {
			continue
		}
		x.doomed = true
		c.changed(x)
		if c.ready {
			c.dirty[x.ID] = true
		}
		todo = append(todo, x.neededBy...)
	}
}

// stale tells whether this node can't know well enough whether a job that waits
// for others is still to be called queued.
func (c *Core) stale(j *Job) bool {
	return j.waits > 0 && c.now-c.currentAt > config.FromSeconds(c.cfg.Cluster.Workers.CancelS)/4
}

// unknown lists the ids that this node has no record of.
func (c *Core) unknown(ids []string) []string {
	var out []string
	for _, id := range ids {
		if j := c.jobs[id]; j == nil || j.Version == 0 {
			out = append(out, id)
		}
	}
	return out
}

// needed hands over which of the ids were never accepted, as the state service
// confirms it now: this node's copy may lag, and users submit a job as soon as
// those that it needs are accepted, perhaps by another node.
func (c *Core) needed(ids []string, then func(missing string, o Outcome)) {
	batch := c.unknown(ids)
	if len(batch) == 0 {
		then("", OK)
		return
	}
	batch = batch[:min(len(batch), wire.GuardFactor*c.ops())]
	t := wire.Commit{}
	for _, id := range batch {
		t.Guards = append(t.Guards, wire.Guard{Key: job.RecordKey(id)})
	}
	c.commit(t, func(d CommitDone) {
		if d.Outcome != OK && (d.Outcome != Conflict || len(d.Failed) == 0) {
			then("", Unknown)
			return
		}
		left := slices.Clone(ids)
		for _, id := range batch {
			if d.Outcome == OK || !slices.Contains(d.Failed, job.RecordKey(id)) {
				then(id, OK)
				return
			}
			left = slices.DeleteFunc(left, func(o string) bool { return o == id })
		}
		c.needed(left, then)
	})
}
