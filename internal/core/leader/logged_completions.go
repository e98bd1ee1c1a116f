package leader

import (
	"slices"

	"coralhub/internal/core/records"
	"coralhub/wire"
)

// loggedCompletions gives the completion log access to jobs. It implements completionlog.Jobs.
type loggedCompletions struct {
	*environment
	commits    *jobCommitter
	placements *placementCommits
	scheduler  *scheduler
	snapshot   *clusterSnapshot
}

// IsOpen reports whether an attempt is still open in the records.
func (lc *loggedCompletions) IsOpen(e *records.CompletionEntry) bool {
	j := lc.jobs[e.Job]
	return j != nil && j.Record.Spec != nil && j.IsOpen(e.Task, e.Attempt, e.Machine)
}

// EntryStored removes the completion that an entry was created from, which is now stored in a page or a record.
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

// HasSpec reports whether the replica has a job and its record has not been shrunk.
func (lc *loggedCompletions) HasSpec(id string) bool {
	j := lc.jobs[id]
	return j != nil && j.Record.Spec != nil
}

// RequestMerge requests a write of the record or the placement page that contains an entry's task.
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

// CapacityShort reports whether a job waits for capacity, or for a part of its team's limit, that completions free.
// Without placement pages this is not known, and it returns true.
func (lc *loggedCompletions) CapacityShort() bool {
	return !lc.usesPlacementPages() || lc.snapshot.capacityShort
}

// ApplyPage applies a page of the completion log to the replica.
func (lc *loggedCompletions) ApplyPage(change *wire.Change) { lc.applyRecord(change) }

// logCompletions adds those completions of a job to the completion log that have not been added yet.
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
