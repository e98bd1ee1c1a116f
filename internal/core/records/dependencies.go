package records

import (
	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/wire"
)

// Dependencies form a DAG: a job may depend on other jobs, all of which must be done before any of
// its tasks starts. Whether a job is blocked follows from committed records alone: the phases "done"
// and "cancelled" never change, so a transaction that starts a job needs no conditions on its
// dependencies. Every node links the jobs as their records arrive. The cost of each step is
// proportional to the number of affected jobs, and nothing is recursive, so chains of dependencies
// may be long.

// dependencies links a job to the jobs that it depends on and to those that depend on it.
type dependencies struct {
	linked     bool
	dependsOn  []*Job // dependencies that were not done when the job was linked
	unmet      int    // number of dependencies that are not done yet
	dependents []*Job // unfinished jobs that depend on this one
	// dependencyCancelled is set once a direct or indirect dependency is cancelled. This job will
	// be cancelled as well; clients get that status only once its record has been written with it.
	dependencyCancelled bool
	// inheritedPriority is the highest priority of the direct and indirect dependents. It is not
	// lowered when they are cancelled, since it only affects the order of the queue.
	inheritedPriority string
}

// HasDependencies reports whether the job was submitted with dependencies.
func (j *Job) HasDependencies() bool {
	return j.Record.Spec != nil && len(j.Record.Spec.Dependencies) > 0
}

// WaitsForDependencies reports whether any dependency of the job is not done yet.
func (j *Job) WaitsForDependencies() bool { return j.unmet > 0 }

// DependencyCancelled reports whether a direct or indirect dependency of the job is cancelled.
func (j *Job) DependencyCancelled() bool { return j.dependencyCancelled }

// Blocked reports whether the job waits for its dependencies, or will never start because one of
// them is cancelled. A blocked job is not queued, and does not count for fair share and guarantees.
func (j *Job) Blocked() bool { return j.unmet > 0 || j.dependencyCancelled }

// UnfinishedDependencies returns the IDs of the dependencies whose records the replica has and that
// are neither done nor cancelled.
func (j *Job) UnfinishedDependencies() []string {
	var ids []string
	for _, dependency := range j.dependsOn {
		if dependency.Record.Spec != nil && !dependency.Record.Final() {
			ids = append(ids, dependency.ID)
		}
	}
	return ids
}

// DependentCount returns the number of jobs that wait for this one.
func (j *Job) DependentCount() int { return len(j.dependents) }

// Priority returns the job's priority, or that of a direct or indirect dependent if it is higher.
func (j *Job) Priority() string {
	own := j.Record.Spec.Priority
	if j.inheritedPriority == "" || queue.Level(own, false) >= queue.Level(j.inheritedPriority, false) {
		return own
	}
	return j.inheritedPriority
}

// linkDependencies links a job to its dependencies when its record is first applied. The record of
// a dependency may be applied later.
func (r *Replica) linkDependencies(j *Job) {
	if j.linked || j.Record.Spec == nil {
		return
	}
	j.linked = true
	if j.Record.Final() {
		return
	}
	for _, id := range j.Record.Spec.Dependencies {
		dependency := r.getOrAddJob(id)
		if dependency.Record.Phase == job.Done {
			continue
		}
		j.dependsOn = append(j.dependsOn, dependency)
		j.unmet++
		if dependency.Record.Phase == job.Cancelled || dependency.dependencyCancelled {
			r.cancelDependents(j)
			continue
		}
		dependency.dependents = append(dependency.dependents, j)
	}
	inheritPriority(j)
}

// inheritPriority raises the inherited priority of all direct and indirect dependencies of a job.
// The priority of a service is not inherited, because nothing waits for a service.
func inheritPriority(j *Job) {
	if j.Record.Spec.Shape == wire.Service {
		return
	}
	for stack := []*Job{j}; len(stack) > 0; {
		dependent := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		priority := dependent.inheritedPriority
		if dependent.Record.Spec != nil {
			priority = dependent.Priority()
		}
		for _, dependency := range dependent.dependsOn {
			inherited := dependency.inheritedPriority
			if inherited == "" || queue.Level(priority, false) > queue.Level(inherited, false) {
				dependency.inheritedPriority = priority
				stack = append(stack, dependency)
			}
		}
	}
}

// notifyDependents updates the dependents of a job whose phase has become final.
func (r *Replica) notifyDependents(j *Job) {
	dependents := j.dependents
	j.dependents = nil
	j.dependsOn = nil
	for _, dependent := range dependents {
		if j.Record.Phase == job.Cancelled {
			r.cancelDependents(dependent)
			continue
		}
		dependent.unmet--
		if dependent.unmet == 0 && !dependent.Record.Final() {
			r.listener.DependenciesMet(dependent)
		}
	}
}

// cancelDependents marks a job that has a cancelled dependency, and all of its direct and indirect
// dependents.
func (r *Replica) cancelDependents(j *Job) {
	for stack := []*Job{j}; len(stack) > 0; {
		dependent := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if dependent.dependencyCancelled || dependent.Record.Final() {
			continue
		}
		dependent.dependencyCancelled = true
		r.listener.DependencyCancelled(dependent)
		stack = append(stack, dependent.dependents...)
	}
}
