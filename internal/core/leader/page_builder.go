package leader

import (
	"slices"

	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// Pages of shared parts as they are put together, before a transaction is made of them.

// pageBuilder is a page as it is to be written.
type pageBuilder struct {
	number  uint64
	version uint64
	entries []records.PlacementEntry
	size    int // bounds what it takes of the value's room
}

// newPageBuilder begins to rewrite a page of the copy.
func (pc *placementCommits) newPageBuilder(n uint64) *pageBuilder {
	d := &pageBuilder{number: n, version: pc.replica.PlacementPage(n).Version, entries: pc.replica.Compacted(n)}
	value, err := records.EncodePlacementPage(d.entries)
	if err != nil {
		panic(err) // a struct of numbers and text always encodes
	}
	d.size = wire.JSONSize(value)
	return d
}

// addToPages puts a job's plan into drafts, which may be begun for it, up to a number of them. It returns
// false, and leaves the drafts as they were, if the transaction has no room for all of it.
func (pc *placementCommits) addToPages(j *Job, drafts []*pageBuilder, most int) ([]*pageBuilder, bool) {
	type mark struct {
		d     *pageBuilder
		parts int
		size  int
	}
	var undo []mark
	for _, d := range drafts {
		undo = append(undo, mark{d, len(d.entries), d.size})
	}
	if len(drafts) > most {
		return nil, false
	}
	out := slices.Clone(drafts)
	for _, part := range entriesOf(j) {
		size := entrySize(&part)
		i := slices.IndexFunc(out, func(d *pageBuilder) bool { return d.size+size <= pc.encoding.MaxValueBytes() })
		if i < 0 {
			d := pc.pageWithRoom(out, most)
			if d == nil || d.size+size > pc.encoding.MaxValueBytes() {
				for _, m := range undo {
					m.d.entries, m.d.size = m.d.entries[:m.parts], m.size
				}
				return nil, false
			}
			i = len(out)
			out = append(out, d)
		}
		out[i].add(part, size)
	}
	return out, true
}

// add puts a part into a page. One that the page has of the same tasks is joined with it in the end.
func (d *pageBuilder) add(part records.PlacementEntry, size int) {
	d.size += size
	d.entries = append(d.entries, part)
}

// pageWithRoom begins another page: the one of the copy with the most room, or a new one; nil: the
// transaction can't have more.
func (pc *placementCommits) pageWithRoom(drafts []*pageBuilder, most int) *pageBuilder {
	if len(drafts) >= min(most, pc.encoding.MaxOps()) {
		return nil
	}
	p := pc
	best, least := uint64(0), int(maxPageFill*float64(pc.encoding.MaxValueBytes()))
	for _, n := range pc.replica.PlacementPages() {
		if !p.pageFree(n) || slices.ContainsFunc(drafts, func(d *pageBuilder) bool { return d.number == n }) {
			continue
		}
		if size := pc.liveSize(n); size < least {
			best, least = n, size
		}
	}
	if best != 0 {
		if d := pc.newPageBuilder(best); d.size <= int(maxPageFill*float64(pc.encoding.MaxValueBytes())) {
			return d
		}
	}
	// Pages are begun in the order of their numbers, and by one transaction at a time: who guards
	// all pages there are and the next one guards against any.
	number := pc.replica.NextPlacementPage()
	if _, begun := p.busyPages[number]; begun {
		return nil
	}
	for _, d := range drafts {
		if d.version == 0 {
			number = d.number + 1
		}
	}
	return &pageBuilder{number: number, size: emptyPageSize}
}

const (
	// emptyPageSize bounds what a page takes that holds nothing.
	emptyPageSize = 16
	// entryOverhead and placeSize estimate what a part and a place in it take.
	entryOverhead, placementSize = 60, 30
)

// liveSize estimates what a page would take without the jobs that are over.
func (pc *placementCommits) liveSize(n uint64) int {
	size := emptyPageSize
	page := pc.replica.PlacementPage(n)
	for i := range page.Entries {
		if j := pc.jobs[page.Entries[i].Job]; j == nil || !j.Archived() {
			size += entryOverhead + placementSize*min(len(page.Entries[i].Open), job.TasksPerShard)
		}
	}
	return size
}

// entriesOf are a job's planned placements as parts of pages.
func entriesOf(j *Job) []records.PlacementEntry {
	var out []records.PlacementEntry
	for _, pl := range j.plan {
		index := pl.Task / job.TasksPerShard
		i := slices.IndexFunc(out, func(p records.PlacementEntry) bool { return p.Index == index })
		if i < 0 {
			i = len(out)
			out = append(out, records.PlacementEntry{Job: j.ID, Index: index})
		}
		out[i].Open = append(out[i].Open, pl)
		out[i].LastAttempt = max(out[i].LastAttempt, pl.Attempt)
	}
	return out
}

// entrySize bounds what a part adds to a page.
func entrySize(p *records.PlacementEntry) int {
	value, err := records.EncodePlacementPage([]records.PlacementEntry{*p})
	if err != nil {
		panic(err) // a struct of numbers and text always encodes
	}
	return wire.JSONSize(value)
}

// mergeEntries joins the parts of a page that are of the same tasks.
func mergeEntries(parts []records.PlacementEntry) []records.PlacementEntry {
	type tasks struct {
		job   string
		index int
	}
	at := map[tasks]int{}
	out := make([]records.PlacementEntry, 0, len(parts))
	for _, p := range parts {
		key := tasks{p.Job, p.Index}
		i, known := at[key]
		if !known {
			at[key] = len(out)
			out = append(out, p)
			continue
		}
		same := &out[i]
		same.Open = append(slices.Clip(same.Open), p.Open...)
		same.LastAttempt = max(same.LastAttempt, p.LastAttempt)
		same.DoneSet = job.UnionDoneSets(same.DoneSet, p.DoneSet)
		same.Usage = same.Usage.Plus(p.Usage)
	}
	return out
}
