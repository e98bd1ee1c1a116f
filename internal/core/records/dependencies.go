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

// dependencies is how a job hangs together with others.
type dependencies struct {
	linked     bool
	dependsOn  []*Job // those that were not done when it was linked
	unmet      int    // how many of them are not done yet
	dependents []*Job // jobs that wait for this one
	// A job that it needs, directly or not, is cancelled: this one is as good as
	// cancelled, and its record will say so before anybody is told.
	dependencyCancelled bool
	// The highest priority of the jobs that need it, directly or not. It stays
	// when they are cancelled: a matter of rank alone.
	inheritedPriority string
}

// HasDependencies tells whether a job was submitted with jobs that it needs.
func (j *Job) HasDependencies() bool { return j.Record.Spec != nil && len(j.Record.Spec.Needs) > 0 }

// WaitsForDependencies tells whether a job that it needs is not done yet.
func (j *Job) WaitsForDependencies() bool { return j.unmet > 0 }

// DependencyCancelled tells whether a job that it needs, directly or not, is cancelled.
func (j *Job) DependencyCancelled() bool { return j.dependencyCancelled }

// Blocked tells whether a job still waits for others, or never will start because
// one of them is cancelled. It holds no part of anything until then.
func (j *Job) Blocked() bool { return j.unmet > 0 || j.dependencyCancelled }

// UnfinishedDependencies lists the jobs that it needs which are neither done nor cancelled, and whose
// records have come.
func (j *Job) UnfinishedDependencies() []string {
	var out []string
	for _, n := range j.dependsOn {
		if n.Record.Spec != nil && !n.Record.Final() {
			out = append(out, n.ID)
		}
	}
	return out
}

// DependentCount tells how many jobs wait for this one.
func (j *Job) DependentCount() int { return len(j.dependents) }

// Priority is that of the job, or of one that needs it if that is higher.
func (j *Job) Priority() string {
	if p := j.Record.Spec.Priority; j.inheritedPriority == "" || queue.Level(p, false) >= queue.Level(j.inheritedPriority, false) {
		return p
	}
	return j.inheritedPriority
}

// link ties a job to those that it needs when its record first comes. The
// record of a needed job may come later.
func (b *Replica) link(j *Job) {
	if j.linked || j.Record.Spec == nil {
		return
	}
	j.linked = true
	if j.Record.Final() {
		return
	}
	for _, id := range j.Record.Spec.Needs {
		n := b.job(id)
		if n.Record.Phase == job.Done {
			continue
		}
		j.dependsOn = append(j.dependsOn, n)
		j.unmet++
		if n.Record.Phase == job.Cancelled || n.dependencyCancelled {
			b.cancelDependents(j)
			continue
		}
		n.dependents = append(n.dependents, j)
	}
	inheritPriority(j)
}

// inheritPriority gives the jobs that one needs its priority, and so on. Those of services
// stay with them: nothing waits for a service.
func inheritPriority(j *Job) {
	if j.Record.Spec.Shape == wire.Service {
		return
	}
	for todo := []*Job{j}; len(todo) > 0; {
		x := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		p := x.inheritedPriority
		if x.Record.Spec != nil {
			p = x.Priority()
		}
		for _, n := range x.dependsOn {
			if n.inheritedPriority == "" || queue.Level(p, false) > queue.Level(n.inheritedPriority, false) {
				n.inheritedPriority = p
				todo = append(todo, n)
			}
		}
	}
}

// notifyDependents tells the jobs that wait for one that its phase is final.
func (b *Replica) notifyDependents(j *Job) {
	waiting := j.dependents
	j.dependents, j.dependsOn = nil, nil
	for _, d := range waiting {
		if j.Record.Phase == job.Cancelled {
			b.cancelDependents(d)
			continue
		}
		if d.unmet--; d.unmet == 0 && !d.Record.Final() {
			b.listener.DependenciesMet(d)
		}
	}
}

// cancelDependents marks a job, and those that need it, directly or not, as cancelled by a
// cancellation before them.
func (b *Replica) cancelDependents(j *Job) {
	for todo := []*Job{j}; len(todo) > 0; {
		x := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if x.dependencyCancelled || x.Record.Final() {
			continue
		}
		x.dependencyCancelled = true
		b.listener.DependencyCancelled(x)
		todo = append(todo, x.dependents...)
	}
}

// UnknownJobs lists those of the ids that the copy has no record of.
func (b *Replica) UnknownJobs(ids []string) []string {
	var out []string
	for _, id := range ids {
		if j := b.jobs[id]; j == nil || j.Version == 0 {
			out = append(out, id)
		}
	}
	return out
}
