package records

import (
	"slices"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// pageEntry is an entry of a placement page with the completion log applied, see PlacementEntry.
type pageEntry struct {
	page        uint64
	index       int
	lastAttempt uint64
	job.Shard
}

// closeCompleted closes the placement of a completion, and reports whether the entry had it open.
func (e *pageEntry) closeCompleted(c *Completion) bool {
	if c.Task/job.TasksPerShard != e.index || !e.Close(c.Task, c.Attempt, c.Machine, c.Occupancy) {
		return false
	}
	if c.Done {
		e.SetDone(c.Task % job.TasksPerShard)
	}
	c.entry = e
	c.Merged = false
	return true
}

// isTaskDone reports whether a task of the job is done in the entry.
func (e *pageEntry) isTaskDone(task int) bool {
	return e.index == task/job.TasksPerShard && e.IsDone(task%job.TasksPerShard)
}

// pageEntry returns the job's entry with the given index in a page, or nil if there is none. The job
// may be nil.
func (j *Job) pageEntry(page uint64, index int) *pageEntry {
	if j == nil {
		return nil
	}
	for _, e := range j.pageEntries {
		if e.page == page && e.index == index {
			return e
		}
	}
	return nil
}

// eachPageEntry calls f for the job's entries with the given index, in the order of pages.
func (j *Job) eachPageEntry(index int, f func(*pageEntry)) {
	for _, e := range j.pageEntries {
		if e.index == index {
			f(e)
		}
	}
}

// applyCompletionsToEntry applies the completion log to a page entry.
func (j *Job) applyCompletionsToEntry(e *pageEntry) {
	for _, c := range j.completions {
		if e.closeCompleted(c) {
			continue
		}
		if c.entry == nil && c.Done && e.isTaskDone(c.Task) {
			c.Merged = true
		}
	}
}

// markMergedIntoPage marks the completions of placements that the old value of a page had open as
// merged into its new value. If the new value also has such a placement open, applyCompletionsToEntry
// removes the mark.
func (j *Job) markMergedIntoPage(page uint64) {
	for _, c := range j.completions {
		if c.entry != nil && c.entry.page == page {
			c.entry = nil
			c.Merged = true
		}
	}
}

// raiseLastAttempt sets the last attempt of the record in memory to the highest one ever observed:
// placement pages have attempts that the stored record does not include.
func (j *Job) raiseLastAttempt() {
	for _, e := range j.pageEntries {
		j.highestAttempt = max(j.highestAttempt, e.lastAttempt)
	}
	j.highestAttempt = max(j.highestAttempt, j.Record.LastAttempt)
	if !j.Archived() {
		j.Record.LastAttempt = j.highestAttempt
	}
}

// doneInPages reports whether a task is done in any placement page.
func (j *Job) doneInPages(task int) bool {
	return slices.ContainsFunc(j.pageEntries, func(e *pageEntry) bool { return e.isTaskDone(task) })
}

// InPlacementPage reports whether the placement of a task's attempt on a machine is open in a
// placement page.
func (j *Job) InPlacementPage(task int, attempt uint64, machine string) bool {
	return slices.ContainsFunc(j.pageEntries, func(e *pageEntry) bool {
		return e.index == task/job.TasksPerShard && e.IsOpen(task, attempt, machine)
	})
}

// PageDoneSet returns the bit set of the tasks of a record's n-th shard that are done in placement
// pages.
func (j *Job) PageDoneSet(record *job.Record, n int) string {
	first, _ := record.ShardSpan(n, wire.MaxTasksPerJob)
	doneSet := ""
	j.eachPageEntry(first/job.TasksPerShard, func(e *pageEntry) {
		doneSet = job.UnionDoneSets(doneSet, e.DoneSet)
	})
	return doneSet
}

// LastPageShard returns the highest shard of a record that has tasks in placement pages, or 0 if none has.
func (j *Job) LastPageShard(record *job.Record) int {
	last := 0
	for _, e := range j.pageEntries {
		last = max(last, record.ShardOf(e.index*job.TasksPerShard))
	}
	return last
}

// PageOpenTasks returns the number of placements that are open in placement pages.
func (j *Job) PageOpenTasks() int {
	open := 0
	for _, e := range j.pageEntries {
		open += len(e.Open)
	}
	return open
}

// PageUsage returns the job's usage in placement pages, or nil if there is none.
func (j *Job) PageUsage() *job.Usage {
	var sum *job.Usage
	for _, e := range j.pageEntries {
		sum = sum.Plus(e.Usage)
	}
	return sum
}
