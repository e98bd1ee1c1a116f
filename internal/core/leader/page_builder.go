package leader

import (
	"slices"

	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

const (
	// emptyPageSize bounds the bytes that a page takes without entries.
	emptyPageSize = 16
	// entryOverhead estimates the bytes that an entry takes without placements.
	entryOverhead = 60
	// placementSize estimates the bytes that a placement takes in an entry.
	placementSize = 30
)

// pageBuilder is a placement page as it is to be written, while a transaction is put together.
type pageBuilder struct {
	number  uint64
	version uint64 // that it replaces; 0: the page is new
	entries []records.PlacementEntry
	size    int // upper bound of its value's size in bytes
}

// add adds an entry of the given size to the page. Entries of the same tasks are merged when the page is encoded.
func (b *pageBuilder) add(entry records.PlacementEntry, size int) {
	b.size += size
	b.entries = append(b.entries, entry)
}

// truncate drops the entries after the first ones, whose size was the given one.
func (b *pageBuilder) truncate(entries, size int) {
	b.entries = b.entries[:entries]
	b.size = size
}

// newPageBuilder begins to rewrite a page of the replica.
func (pc *placementCommits) newPageBuilder(n uint64) *pageBuilder {
	b := &pageBuilder{number: n, version: pc.replica.PlacementPage(n).Version, entries: pc.replica.Compacted(n)}
	b.size = encodedSize(b.entries)
	return b
}

// addToPages adds a job's plan to pages, and begins further ones for it as long as there are at most limit. It
// returns the pages, or false, with the given pages unchanged, if the transaction can't hold the whole plan.
func (pc *placementCommits) addToPages(j *Job, pages []*pageBuilder, limit int) ([]*pageBuilder, bool) {
	type savedPage struct {
		page    *pageBuilder
		entries int
		size    int
	}
	var saved []savedPage
	for _, page := range pages {
		saved = append(saved, savedPage{page, len(page.entries), page.size})
	}
	if len(pages) > limit {
		return nil, false
	}
	extended := slices.Clone(pages)
	for _, entry := range planEntries(j) {
		size := encodedSize([]records.PlacementEntry{entry})
		i := slices.IndexFunc(extended, func(page *pageBuilder) bool { return page.size+size <= pc.encoding.MaxValueBytes() })
		if i < 0 {
			page := pc.beginPage(extended, limit)
			if page == nil || page.size+size > pc.encoding.MaxValueBytes() {
				for _, s := range saved {
					s.page.truncate(s.entries, s.size)
				}
				return nil, false
			}
			i = len(extended)
			extended = append(extended, page)
		}
		extended[i].add(entry, size)
	}
	return extended, true
}

// beginPage begins another page besides the given ones: the one of the replica with the most free space, or a new one;
// nil: the transaction can't have more.
func (pc *placementCommits) beginPage(others []*pageBuilder, limit int) *pageBuilder {
	if len(others) >= min(limit, pc.encoding.MaxOps()) {
		return nil
	}
	if page := pc.rewriteEmptiestPage(others); page != nil {
		return page
	}
	// Pages are begun in the order of their numbers, and by one transaction at a time: whoever has
	// all existing pages and the next one as conditions has a condition against any placement.
	number := pc.replica.NextPlacementPage()
	if _, busy := pc.busyPages[number]; busy {
		return nil
	}
	for _, page := range others {
		if page.version == 0 {
			number = page.number + 1
		}
	}
	return &pageBuilder{number: number, size: emptyPageSize}
}

// rewriteEmptiestPage begins to rewrite the idle page of the replica with the most free space; nil: none has enough.
func (pc *placementCommits) rewriteEmptiestPage(others []*pageBuilder) *pageBuilder {
	maxSize := int(maxPageFill * float64(pc.encoding.MaxValueBytes()))
	emptiest, smallest := uint64(0), maxSize
	for _, n := range pc.replica.PlacementPages() {
		if !pc.pageIdle(n) || slices.ContainsFunc(others, func(page *pageBuilder) bool { return page.number == n }) {
			continue
		}
		if size := pc.estimateLiveSize(n); size < smallest {
			emptiest, smallest = n, size
		}
	}
	if emptiest == 0 {
		return nil
	}
	if page := pc.newPageBuilder(emptiest); page.size <= maxSize {
		return page
	}
	return nil
}

// estimateLiveSize estimates the size in bytes that a page would have without the jobs that are over.
func (pc *placementCommits) estimateLiveSize(n uint64) int {
	size := emptyPageSize
	page := pc.replica.PlacementPage(n)
	for i := range page.Entries {
		if j := pc.jobs[page.Entries[i].Job]; j == nil || !j.Archived() {
			size += entryOverhead + placementSize*min(len(page.Entries[i].Open), job.TasksPerShard)
		}
	}
	return size
}

// planEntries returns a job's planned placements as entries of placement pages.
func planEntries(j *Job) []records.PlacementEntry {
	var entries []records.PlacementEntry
	for _, placement := range j.plan {
		index := placement.Task / job.TasksPerShard
		i := slices.IndexFunc(entries, func(e records.PlacementEntry) bool { return e.Index == index })
		if i < 0 {
			i = len(entries)
			entries = append(entries, records.PlacementEntry{Job: j.ID, Index: index})
		}
		entries[i].Open = append(entries[i].Open, placement)
		entries[i].LastAttempt = max(entries[i].LastAttempt, placement.Attempt)
	}
	return entries
}

// encodedSize returns the size in bytes of a page with the given entries. For one entry it bounds what the
// entry adds to a page.
func encodedSize(entries []records.PlacementEntry) int {
	value, err := records.EncodePlacementPage(entries)
	if err != nil {
		panic(err) // a struct of numbers and text always encodes
	}
	return wire.JSONSize(value)
}

// mergeEntries merges the entries of a page that are of the same tasks, in the order of their first ones.
func mergeEntries(entries []records.PlacementEntry) []records.PlacementEntry {
	type taskRange struct {
		job   string
		index int
	}
	positions := map[taskRange]int{}
	merged := make([]records.PlacementEntry, 0, len(entries))
	for _, entry := range entries {
		key := taskRange{entry.Job, entry.Index}
		i, known := positions[key]
		if !known {
			positions[key] = len(merged)
			merged = append(merged, entry)
			continue
		}
		same := &merged[i]
		same.Open = append(slices.Clip(same.Open), entry.Open...)
		same.LastAttempt = max(same.LastAttempt, entry.LastAttempt)
		same.DoneSet = job.UnionDoneSets(same.DoneSet, entry.DoneSet)
		same.Usage = same.Usage.Plus(entry.Usage)
	}
	return merged
}
