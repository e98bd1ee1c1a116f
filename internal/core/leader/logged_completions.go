package leader

import (
	"slices"

	"coralhub/internal/core/records"
	"coralhub/wire"
)

// loggedCompletions answers what the completion log asks about jobs.
type loggedCompletions struct {
	*environment
	commits    *jobCommitter
	placements *placementCommits
	scheduler  *scheduler
	snapshot   *clusterSnapshot
}

// HoldsOpen reports whether the records still hold an attempt open.
func (lc *loggedCompletions) HoldsOpen(e *records.CompletionEntry) bool {
	j := lc.jobs[e.Job]
	return j != nil && j.Record.Spec != nil && j.IsOpen(e.Task, e.Attempt, e.Machine)
}

// EntryStored drops the completion that an entry came from: pages or records hold it by now.
func (lc *loggedCompletions) EntryStored(e *records.CompletionEntry) {
	j := lc.jobs[e.Job]
	if j == nil {
		return
	}
	j.completions = slices.DeleteFunc(j.completions, func(c completion) bool {
		return c.logged && c.key.Task == e.Task && c.key.Attempt == e.Attempt && c.machine == e.Machine
	})
	lc.commits.requestCommit(j.ID)
	lc.scheduler.requestCycle()
}

// IsRecorded reports whether a job is known and its record has not been shrunk.
func (lc *loggedCompletions) IsRecorded(id string) bool {
	j := lc.jobs[id]
	return j != nil && j.Record.Spec != nil
}

// RequestMerge has the record or the placement page written that holds an entry's task.
func (lc *loggedCompletions) RequestMerge(c *records.Completion) {
	if page, ok := c.PlacementPage(); ok {
		lc.placements.requestCompaction(page)
		return
	}
	j := lc.jobs[c.Job]
	if !j.mergeRequested {
		j.mergeRequested = true
		lc.commits.requestCommit(j.ID)
	}
}

// CapacityIsShort reports whether a job waits for what completions free. Without placement pages it is not known.
func (lc *loggedCompletions) CapacityIsShort() bool {
	return !lc.usesPlacementPages() || lc.snapshot.capacityShort
}

// ApplyRecord applies a page of the log to the replica.
func (lc *loggedCompletions) ApplyRecord(change *wire.Change) { lc.applyRecord(change) }

// logCompletions hands completions of a job to the log, unless it has them already.
func (jc *jobCommitter) logCompletions(j *Job, completions []completion) {
	for _, c := range completions {
		for i := range j.completions {
			known := &j.completions[i]
			if known.key != c.key || known.machine != c.machine || known.logged {
				continue
			}
			known.logged = true
			jc.completionLog.Add(records.CompletionEntry{
				Job:       c.key.Job,
				Task:      c.key.Task,
				Attempt:   c.key.Attempt,
				Machine:   c.machine,
				Done:      c.done,
				Occupancy: c.occupancy,
			})
		}
	}
}
