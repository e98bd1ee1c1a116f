package records

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// Placement pages. A job's tasks are stored in its record and its shards; from
// job.FormatPlacementPages on, leaders place tasks in placement pages as well. A page is one value
// that holds entries of many jobs, so that one write places tasks of all of them. An entry adds to
// the state of the same tasks in the record, the shards and other pages: a task is done if it is
// done in any of them, the open placements are those of all, and the usage is the sum. An attempt
// of a task is open in at most one of them. The page entries of an archived job are ignored.

// PlacementPage is a placement page as it is stored.
type PlacementPage struct {
	Version uint64
	Entries []PlacementEntry
}

// PlacementPages returns the numbers of the placement pages, oldest first.
func (r *Replica) PlacementPages() []uint64 { return slices.Sorted(maps.Keys(r.placementPages)) }

// PlacementPage returns a placement page, or nil if it does not exist.
func (r *Replica) PlacementPage(n uint64) *PlacementPage { return r.placementPages[n] }

// PlacementPagesRevision returns the revision of the last change of any placement page, or 0 if there is none.
func (r *Replica) PlacementPagesRevision() uint64 { return r.placementPagesRevision }

// PlacementPageConditions returns conditions that hold only if no placement page was changed or
// created since the state that this replica has. Pages are numbered from 1 on, and a page is created
// only once all pages before it exist, so a condition on the next page covers all new ones.
func (r *Replica) PlacementPageConditions() []wire.Condition {
	var conditions []wire.Condition
	next := r.NextPlacementPage()
	for n := uint64(1); n <= next; n++ {
		version := uint64(0)
		if page := r.placementPages[n]; page != nil {
			version = page.Version
		}
		conditions = append(conditions, wire.Condition{Key: PlacementPageKey(n), Version: version})
	}
	return conditions
}

// NextPlacementPage returns the number of the page to be created next.
func (r *Replica) NextPlacementPage() uint64 {
	next := uint64(1)
	for r.placementPages[next] != nil {
		next++
	}
	return next
}

// CompactedEntries returns the current entries of a page, with the completion log applied and without
// archived jobs. Replacing the page by them does not change the state that any reader derives.
func (r *Replica) CompactedEntries(n uint64) []PlacementEntry {
	page := r.placementPages[n]
	if page == nil {
		return nil
	}
	var entries []PlacementEntry
	for i := range page.Entries {
		stored := &page.Entries[i]
		j := r.jobs[stored.Job]
		if j != nil && j.Archived() {
			continue
		}
		compacted := *stored
		if e := j.pageEntry(n, stored.Index); e != nil {
			compacted.Shard = e.Clone()
		}
		entries = append(entries, compacted)
	}
	return entries
}

// applyPlacementPage applies a newer value of a page. Pages are rewritten but never deleted, so
// deletes are ignored.
func (r *Replica) applyPlacementPage(n uint64, change *wire.Change) error {
	old := r.placementPages[n]
	if change.Put == "" || old != nil && old.Version >= change.Version {
		return nil
	}
	entries, err := DecodePlacementPage(change.Value)
	if err != nil {
		return fmt.Errorf("decode placement page %d: %w", n, err)
	}
	r.placementPagesRevision = max(r.placementPagesRevision, change.Version)
	r.setPlacementPage(n, &PlacementPage{Version: change.Version, Entries: entries})
	return nil
}

// setPlacementPage replaces a page, and the page entries of all jobs that are in its old or new value.
func (r *Replica) setPlacementPage(n uint64, page *PlacementPage) {
	affected := map[string]bool{}
	if old := r.placementPages[n]; old != nil {
		for i := range old.Entries {
			affected[old.Entries[i].Job] = true
		}
	}
	r.placementPages[n] = page
	entriesByJob := map[string][]*PlacementEntry{}
	for i := range page.Entries {
		e := &page.Entries[i]
		entriesByJob[e.Job] = append(entriesByJob[e.Job], e)
		affected[e.Job] = true
	}
	for _, id := range slices.Sorted(maps.Keys(affected)) {
		r.setPageEntries(r.getOrAddJob(id), n, entriesByJob[id])
	}
}

// setPageEntries replaces the entries of a job in a page.
func (r *Replica) setPageEntries(j *Job, page uint64, entries []*PlacementEntry) {
	oldDone := j.DoneTasks
	oldUsage := j.PageUsage()
	j.markMergedIntoPage(page)
	old := j.removePageEntries(page)
	var now []job.Placement
	if !j.Archived() {
		now = j.addPageEntries(page, entries)
	}
	j.raiseLastAttempt()
	j.recount()
	if slices.Equal(old, now) && j.DoneTasks == oldDone && equalUsage(oldUsage, j.PageUsage()) {
		return // the page was rewritten because of other jobs
	}
	r.replacePlacements(j, old, now)
	r.listener.JobChanged(j)
	r.listener.PlanOutdated(j)
}

// removePageEntries removes the job's entries in a page, and returns their open placements.
func (j *Job) removePageEntries(page uint64) []job.Placement {
	var open []job.Placement
	j.pageEntries = slices.DeleteFunc(j.pageEntries, func(e *pageEntry) bool {
		if e.page == page {
			open = append(open, e.Open...)
		}
		return e.page == page
	})
	return open
}

// addPageEntries adds stored entries of a page to the job and applies the completion log to them. It
// returns the placements that are open after that.
func (j *Job) addPageEntries(page uint64, entries []*PlacementEntry) []job.Placement {
	var open []job.Placement
	for _, stored := range entries {
		e := &pageEntry{page: page, index: stored.Index, lastAttempt: stored.LastAttempt, Shard: stored.Clone()}
		j.pageEntries = append(j.pageEntries, e)
		j.applyCompletionsToEntry(e)
		open = append(open, e.Open...)
	}
	slices.SortStableFunc(j.pageEntries, func(a, b *pageEntry) int {
		return cmp.Or(cmp.Compare(a.page, b.page), cmp.Compare(a.index, b.index))
	})
	return open
}

func equalUsage(a, b *job.Usage) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Time == b.Time && a.Spot == b.Spot && a.Lost == b.Lost
}

// dropPageEntries drops all page entries of an archived job.
func (r *Replica) dropPageEntries(j *Job) {
	var old []job.Placement
	for _, e := range j.pageEntries {
		old = append(old, e.Open...)
	}
	j.pageEntries = nil
	if len(old) > 0 {
		r.replacePlacements(j, old, nil)
	}
}
