package records

import (
	"fmt"
	"maps"
	"slices"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// Completion is an entry of the completion log together with its merge state.
type Completion struct {
	CompletionEntry
	Merged bool       // whether the stored value of the job's record, shard or placement page includes it
	entry  *pageEntry // entry of a placement page whose stored value has the attempt open, or nil
}

// PlacementPage returns the placement page that has to be rewritten before the completion can be
// dropped from the log. ok is false if there is none.
func (c *Completion) PlacementPage() (page uint64, ok bool) {
	if c.entry == nil {
		return 0, false
	}
	return c.entry.page, true
}

// CompletionPage is a page of the completion log.
type CompletionPage struct {
	Version     uint64
	Completions []*Completion
}

// CompletionPages returns the numbers of the pages of the completion log, oldest first.
func (r *Replica) CompletionPages() []uint64 { return slices.Sorted(maps.Keys(r.completionPages)) }

// CompletionPage returns a page of the completion log, or nil if it does not exist.
func (r *Replica) CompletionPage(n uint64) *CompletionPage { return r.completionPages[n] }

func (r *Replica) applyCompletionPage(n uint64, change *wire.Change) error {
	page := r.completionPages[n]
	if page != nil && page.Version >= change.Version {
		return nil
	}
	if change.Put == "" {
		if page != nil {
			r.DropCompletionPage(n)
		}
		return nil
	}
	entries, err := DecodeCompletionPage(change.Value)
	if err != nil {
		return fmt.Errorf("decode completion log page %d: %w", n, err)
	}
	if page == nil {
		page = &CompletionPage{}
		r.completionPages[n] = page
	}
	page.Version = change.Version
	known := min(len(page.Completions), len(entries)) // entries are only ever appended to a page
	for _, entry := range entries[known:] {
		c := &Completion{CompletionEntry: entry}
		page.Completions = append(page.Completions, c)
		r.applyCompletion(c)
	}
	return nil
}

// DropCompletionPage removes a deleted page from the replica, which must have it.
func (r *Replica) DropCompletionPage(n uint64) {
	for _, c := range r.completionPages[n].Completions {
		if j := r.jobs[c.Job]; j != nil {
			j.completions = slices.DeleteFunc(j.completions, func(other *Completion) bool { return other == c })
		}
	}
	delete(r.completionPages, n)
}

// applyCompletion applies a new completion to its job.
func (r *Replica) applyCompletion(c *Completion) {
	j := r.getOrAddJob(c.Job)
	j.completions = append(j.completions, c)
	if r.closeInPlacementPages(j, c) {
		return
	}
	n := j.Record.ShardOf(c.Task)
	if j.Version == 0 || j.Archived() || n > len(j.Shards) {
		return // no record or shard to update yet: c is applied when one arrives, unless the job is archived
	}
	shard, _ := j.Shard(n)
	updated := shard.Clone()
	if !c.apply(j, &updated) {
		return
	}
	r.replacePlacements(j, shard.Open, updated.Open)
	*shard = updated
	j.recount()
	r.listener.JobChanged(j)
}

// closeInPlacementPages closes the placement of a completion if it is open in a placement page, and
// reports whether it was open there.
func (r *Replica) closeInPlacementPages(j *Job, c *Completion) bool {
	for _, e := range j.pageEntries {
		old := e.Open
		if !e.closeCompleted(c) {
			continue
		}
		r.replacePlacements(j, old, e.Open)
		j.recount()
		r.listener.JobChanged(j)
		return true
	}
	return false
}

// apply applies the completion to a shard of its job, and reports whether that changed the shard. A
// completion of a placement that is in a placement page does not change the shard.
func (c *Completion) apply(j *Job, shard *job.Shard) bool {
	if c.entry != nil {
		return false
	}
	if c.Done && j.doneInPages(c.Task) {
		c.Merged = true
		return false
	}
	changed := shard.Close(c.Task, c.Attempt, c.Machine, c.Occupancy)
	if c.Done && !shard.IsDone(c.Task%job.TasksPerShard) {
		shard.SetDone(c.Task % job.TasksPerShard)
		changed = true
	}
	c.Merged = !changed
	return changed
}

// applyCompletions applies the completion log to the stored value of the job's n-th shard.
func (j *Job) applyCompletions(n int, shard *job.Shard) {
	for _, c := range j.completions {
		if j.Record.ShardOf(c.Task) == n {
			c.apply(j, shard)
		}
	}
}

// EachUnmerged calls f with the task of each completion that the stored values of the job's record
// and shards do not include yet. Completions of placements in placement pages are left out.
func (j *Job) EachUnmerged(f func(task int)) {
	for _, c := range j.completions {
		if !c.Merged && c.entry == nil {
			f(c.Task)
		}
	}
}
