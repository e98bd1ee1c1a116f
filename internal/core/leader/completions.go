package leader

import (
	"slices"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// completion is an attempt that is proven to have ended on a machine.
type completion struct {
	key       job.AttemptKey
	machine   string
	done      bool // the task succeeded
	occupancy job.Occupancy
	logged    bool // handed to the completion log
}

// isClosing reports whether a placement's end is known and not committed yet.
func (j *Job) isClosing(key job.AttemptKey, machine string) bool {
	return slices.ContainsFunc(j.completions, func(c completion) bool { return c.key == key && c.machine == machine })
}

// dropCompletions drops the given completions, which are committed or stored already.
func (j *Job) dropCompletions(dropped []completion) {
	j.completions = slices.DeleteFunc(j.completions, func(c completion) bool {
		return slices.ContainsFunc(dropped, func(d completion) bool { return d.key == c.key && d.machine == c.machine })
	})
}

// countWithCompletions counts a job's done tasks and open placements with its completions that are not committed yet.
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

// closePlacement records the proof that a placement is over.
func (jc *jobCommitter) closePlacement(key job.AttemptKey, machine string, done bool) {
	jc.closeWithProgress(key, machine, done, false)
}

// closeWithProgress does so for a task that may have saved a checkpoint.
func (jc *jobCommitter) closeWithProgress(key job.AttemptKey, machine string, done, saved bool) {
	j := jc.jobs[key.Job]
	if j == nil || j.isClosing(key, machine) {
		return
	}
	jc.estimates.observeRun(j, key, machine, done)
	j.completions = append(j.completions, completion{
		key:       key,
		machine:   machine,
		done:      done,
		occupancy: jc.occupancyOf(j, key, machine, done || saved),
	})
	if j.Record.Spec != nil && j.Record.Spec.Shape == wire.Gang {
		j.noteLeft(machine, key.Attempt)
	}
	jc.reconciler.TerminationDone(key)
	jc.requestCommit(key.Job)
}

// occupancyOf returns the end of a placement as it is charged. Unless its work is kept, the time since the
// last checkpoint is lost.
func (jc *jobCommitter) occupancyOf(j *Job, key job.AttemptKey, machine string, kept bool) job.Occupancy {
	spec := j.Record.Spec
	if jc.encoding.Format < job.FormatPreemption || spec == nil {
		return job.Occupancy{}
	}
	occupancy := job.Occupancy{End: job.EncodeTime(j.Record.CreatedAt, jc.wallClock())}
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

// confirmCancellation decides whether the cancellation of a job may be confirmed to the user. If so, nodes get
// no further delegation before they know of it.
func (jc *jobCommitter) confirmCancellation(j *Job) {
	if !j.Record.CancelRequested || j.Record.Final() {
		j.cancelling = false
		return
	}
	if !jc.cancellationCertain(j) {
		return
	}
	j.cancelling = true
	if j.OpenTasks > 0 {
		jc.delegations.AcknowledgeCancel(j.Version)
	}
}

// cancellationCertain reports whether a cancelled job is certain to stop: every
// open placement must be on a worker that follows this leader, so that the leader will stop the
// task or the worker's lease ends, and no start may still be in flight that
// could take effect after that. Where a lease may outlast the time allowed for a cancellation, or a delegate that
// doesn't know of the cancellation could keep a task alive, only proof that all of the job is over
// will do: a worker that receives nothing keeps its tasks until its lease ends.
func (jc *jobCommitter) cancellationCertain(j *Job) bool {
	stopsWithLease := jc.cfg.Cluster.Workers.LeaseEndsInTime() && jc.delegations.CancelKnown(j.Version)
	certain := j.OpenTasks == 0 || stopsWithLease
	j.EachPlacement(func(p job.Placement) {
		m := jc.reconciler.Registry().Get(p.Machine)
		if m == nil || m.FencingToken < jc.elector.TermStart() {
			certain = false
			return
		}
		if _, reported := m.Tasks[p.AttemptKey(j.ID)]; reported || !m.StartMayArrive(jc.outbox.Now()) {
			return
		}
		certain = false
		if !m.StartInFlight && m.StartUncertain() {
			jc.elector.RequestNewToken()
		}
	})
	return certain
}
