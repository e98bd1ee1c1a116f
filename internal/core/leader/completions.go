package leader

import (
	"slices"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// completion is an attempt whose end on a machine is proven.
type completion struct {
	key       job.AttemptKey
	machine   string
	done      bool // the task succeeded
	occupancy job.Occupancy
	logged    bool // handed to the completion log
}

// isClosing reports whether a placement's end is proven but not committed yet.
func (j *Job) isClosing(key job.AttemptKey, machine string) bool {
	return slices.ContainsFunc(j.completions, func(c completion) bool { return c.key == key && c.machine == machine })
}

// dropCompletions removes the given completions, which have been committed or were stored already.
func (j *Job) dropCompletions(dropped []completion) {
	j.completions = slices.DeleteFunc(j.completions, func(c completion) bool {
		return slices.ContainsFunc(dropped, func(d completion) bool { return d.key == c.key && d.machine == c.machine })
	})
}

// countWithCompletions counts a job's done tasks and open placements, including the effect of completions that are not
// committed yet.
func (j *Job) countWithCompletions() (done, open int) {
	done, open = j.DoneTasks, j.OpenTasks
	for _, c := range j.completions {
		if j.IsOpen(c.key.Task, c.key.Attempt, c.machine) {
			open--
		}
		if c.done && !j.IsDone(c.key.Task) {
			done++
		}
	}
	return done, open
}

// completionCollector collects the placements that are proven to have ended, to be committed to the records.
type completionCollector struct {
	*environment
	commits   *jobCommitter
	estimates *runTimeEstimates
}

// closePlacement records that a placement is proven to have ended. done is true if the task succeeded.
func (cc *completionCollector) closePlacement(key job.AttemptKey, machine string, done bool) {
	cc.closeWithProgress(key, machine, done, false)
}

// closeWithProgress is like closePlacement for a task that may have saved a checkpoint; saved is true if it did.
func (cc *completionCollector) closeWithProgress(key job.AttemptKey, machine string, done, saved bool) {
	j := cc.jobs[key.Job]
	if j == nil || j.isClosing(key, machine) {
		return
	}
	cc.estimates.observeRun(j, key, machine, done)
	j.completions = append(j.completions, completion{
		key:       key,
		machine:   machine,
		done:      done,
		occupancy: cc.occupancyOf(j, key, machine, done || saved),
	})
	if j.Record.Spec != nil && j.Record.Spec.Shape == wire.Gang {
		j.recordDeparture(machine, key.Attempt)
	}
	cc.reconciler.TerminationDone(key)
	cc.commits.requestCommit(key.Job)
}

// occupancyOf returns the end of a placement for charging its usage. Unless its work is kept, the time since the last
// checkpoint counts as lost.
func (cc *completionCollector) occupancyOf(j *Job, key job.AttemptKey, machine string, kept bool) job.Occupancy {
	spec := j.Record.Spec
	if cc.encoding.Format < job.FormatPreemption || spec == nil {
		return job.Occupancy{}
	}
	occupancy := job.Occupancy{End: job.EncodeTime(j.Record.CreatedAt, cc.wallClock())}
	if kept || spec.Shape == wire.Service {
		return occupancy
	}
	if p, open := j.Placement(key.Task, key.Attempt, machine); open && p.PlacedAt > 0 {
		occupancy.Lost = max(0, occupancy.End-p.PlacedAt)
	}
	if spec.CheckpointS > 0 { // the work before the last checkpoint is saved
		occupancy.Lost = min(occupancy.Lost, int64(spec.CheckpointS*job.EncodedTimesPerSecond))
	}
	return occupancy
}
