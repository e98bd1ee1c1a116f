package records

import (
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

// NeedsOthers tells whether a job was submitted with jobs that it needs.
func (j *Job) NeedsOthers() bool { return j.Rec.Spec != nil && len(j.Rec.Spec.Needs) > 0 }

// Waits tells whether a job that it needs is not done yet.
func (j *Job) Waits() bool { return j.waits > 0 }

// Doomed tells whether a job that it needs, directly or not, is cancelled.
func (j *Job) Doomed() bool { return j.doomed }

// Held tells whether a job still waits for others, or never will start because
// one of them is cancelled. It holds no part of anything until then.
func (j *Job) Held() bool { return j.waits > 0 || j.doomed }

// UndoneNeeds lists the jobs that it needs which are neither done nor cancelled, and whose
// records have come.
func (j *Job) UndoneNeeds() []string {
	var out []string
	for _, n := range j.needs {
		if n.Rec.Spec != nil && !n.Rec.Final() {
			out = append(out, n.ID)
		}
	}
	return out
}

// AwaitedBy tells how many jobs wait for this one.
func (j *Job) AwaitedBy() int { return len(j.neededBy) }

// Priority is that of the job, or of one that needs it if that is higher.
func (j *Job) Priority() string {
	if p := j.Rec.Spec.Priority; j.lent == "" || queue.Level(p, false) >= queue.Level(j.lent, false) {
		return p
	}
	return j.lent
}

// link ties a job to those that it needs when its record first comes. The
// record of a needed job may come later.
func (b *Replica) link(j *Job) {
	if j.linked || j.Rec.Spec == nil {
		return
	}
	j.linked = true
	if j.Rec.Final() {
		return
	}
	for _, id := range j.Rec.Spec.Needs {
		n := b.job(id)
		if n.Rec.Phase == job.Done {
			continue
		}
		j.needs = append(j.needs, n)
		j.waits++
		if n.Rec.Phase == job.Cancelled || n.doomed {
			b.doom(j)
			continue
		}
		n.neededBy = append(n.neededBy, j)
	}
	lend(j)
}

// lend gives the jobs that one needs its priority, and so on. Those of services
// stay with them: nothing waits for a service.
func lend(j *Job) {
	if j.Rec.Spec.Shape == wire.Service {
		return
	}
	for todo := []*Job{j}; len(todo) > 0; {
		x := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		p := x.lent
		if x.Rec.Spec != nil {
			p = x.Priority()
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
func (b *Replica) settled(j *Job) {
	waiting := j.neededBy
	j.neededBy, j.needs = nil, nil
	for _, d := range waiting {
		if j.Rec.Phase == job.Cancelled {
			b.doom(d)
			continue
		}
		if d.waits--; d.waits == 0 && !d.Rec.Final() {
			b.to.Freed(d)
		}
	}
}

// doom marks a job, and those that need it, directly or not, as cancelled by a
// cancellation before them.
func (b *Replica) doom(j *Job) {
	for todo := []*Job{j}; len(todo) > 0; {
		x := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if x.doomed || x.Rec.Final() {
			continue
		}
		x.doomed = true
		b.to.Doomed(x)
		todo = append(todo, x.neededBy...)
	}
}

// Unknown lists those of the ids that the copy has no record of.
func (b *Replica) Unknown(ids []string) []string {
	var out []string
	for _, id := range ids {
		if j := b.jobs[id]; j == nil || j.Version == 0 {
			out = append(out, id)
		}
	}
	return out
}
